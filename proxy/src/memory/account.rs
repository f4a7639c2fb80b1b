//! The account: how much memory is entered, for what, and up to which limits.

use super::limits::MemoryLimits;
use std::fmt;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;

/// Up to this size, an addition for a request may use all that requests may use.
pub(super) const MAX_SMALL_BYTES: usize = 8 << 10;
/// Larger additions leave what requests may use divided by this, so that small requests and their
/// responses are served beside large ones.
const SMALL_SHARE_DIVISOR: usize = 5;

/// What memory is entered for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemoryUse {
    /// The endpoint list. It is entered whether or not it fits.
    EndpointList,
    /// Open connections of clients.
    ClientConnection,
    /// Buffers of clients' connections that a large head has made grow.
    LargeHead,
    /// Open connections to endpoints.
    EndpointConnection,
    /// Requests, without their bodies.
    Request,
    /// Bodies that are buffered.
    Body,
    /// Bodies that are passed on as they arrive.
    Transfer,
}

impl MemoryUse {
    /// All uses, in the order of their declaration.
    pub const ALL: [MemoryUse; 7] = [
        MemoryUse::EndpointList,
        MemoryUse::ClientConnection,
        MemoryUse::LargeHead,
        MemoryUse::EndpointConnection,
        MemoryUse::Request,
        MemoryUse::Body,
        MemoryUse::Transfer,
    ];

    /// Whether [`MemoryLimits::work`] applies to this use.
    fn is_work(self) -> bool {
        matches!(
            self,
            MemoryUse::Request | MemoryUse::Body | MemoryUse::Transfer
        )
    }
}

/// Counters of one use.
#[derive(Debug, Default)]
struct UseCounters {
    reserved: AtomicUsize,
    denied: AtomicU64,
}

/// The state that all handles share. One thread makes and releases all reservations; the counters
/// are atomic only because [`hyper::body::Bytes::from_owner`] requires an owner that is `Send`.
#[derive(Debug)]
struct AccountState {
    total_limit: AtomicUsize,
    work_limit: AtomicUsize,
    total: AtomicUsize,
    work: AtomicUsize,
    peak: AtomicUsize,
    uses: [UseCounters; MemoryUse::ALL.len()],
}

/// A handle to the account; clones share it.
#[derive(Clone, Debug)]
pub struct MemoryAccount(Arc<AccountState>);

impl MemoryAccount {
    /// Creates an account in which nothing is entered.
    pub fn new(limits: MemoryLimits) -> MemoryAccount {
        MemoryAccount(Arc::new(AccountState {
            total_limit: AtomicUsize::new(limits.total),
            work_limit: AtomicUsize::new(limits.work),
            total: AtomicUsize::new(0),
            work: AtomicUsize::new(0),
            peak: AtomicUsize::new(0),
            uses: Default::default(),
        }))
    }

    /// Changes the limits. What is entered beyond a lower one stays entered.
    pub(crate) fn set_limits(&self, limits: MemoryLimits) {
        self.0.total_limit.store(limits.total, Ordering::Relaxed);
        self.0.work_limit.store(limits.work, Ordering::Relaxed);
    }

    /// Enters this many bytes, or returns `None` if they do not fit.
    pub(crate) fn reserve(&self, memory_use: MemoryUse, bytes: usize) -> Option<MemoryReservation> {
        let mut reservation = self.empty_reservation(memory_use);
        reservation.grow_by(bytes).then_some(reservation)
    }

    /// Enters this many bytes whether or not they fit.
    pub(crate) fn reserve_unchecked(
        &self,
        memory_use: MemoryUse,
        bytes: usize,
    ) -> MemoryReservation {
        let mut reservation = self.empty_reservation(memory_use);
        reservation.enter(bytes);
        reservation
    }

    fn empty_reservation(&self, memory_use: MemoryUse) -> MemoryReservation {
        MemoryReservation {
            account: self.clone(),
            memory_use,
            bytes: 0,
        }
    }

    fn fits(&self, memory_use: MemoryUse, bytes: usize) -> bool {
        let state = &self.0;
        let fits = |used: &AtomicUsize, limit: &AtomicUsize, kept_free: usize| {
            used.load(Ordering::Relaxed) + bytes + kept_free <= limit.load(Ordering::Relaxed)
        };
        // What is kept free for small requests.
        let kept_free = if memory_use.is_work() && bytes > MAX_SMALL_BYTES {
            state.work_limit.load(Ordering::Relaxed) / SMALL_SHARE_DIVISOR
        } else {
            0
        };
        fits(&state.total, &state.total_limit, kept_free)
            && (!memory_use.is_work() || fits(&state.work, &state.work_limit, kept_free))
    }

    /// How much is entered for all uses together.
    pub(crate) fn total(&self) -> usize {
        self.0.total.load(Ordering::Relaxed)
    }

    /// Whether more is entered than the limits allow, as they were lowered.
    pub(crate) fn is_over_limit(&self) -> bool {
        !self.fits(MemoryUse::Request, 0)
    }

    /// How much is entered for one use.
    #[cfg(test)]
    pub(crate) fn reserved(&self, memory_use: MemoryUse) -> usize {
        self.0.uses[memory_use as usize]
            .reserved
            .load(Ordering::Relaxed)
    }
}

/// The account's state as one log line has it: kilobytes by use, and reservations that did not fit.
impl fmt::Display for MemoryAccount {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kilobytes = |bytes: &AtomicUsize| bytes.load(Ordering::Relaxed) >> 10;
        let (total, limit) = (kilobytes(&self.0.total), kilobytes(&self.0.total_limit));
        let (work, work_limit) = (kilobytes(&self.0.work), kilobytes(&self.0.work_limit));
        let peak = kilobytes(&self.0.peak);
        write!(
            formatter,
            "memory_kb: {total} of {limit} (peak {peak}), requests {work} of {work_limit}"
        )?;
        for memory_use in MemoryUse::ALL {
            let counters = &self.0.uses[memory_use as usize];
            let reserved = kilobytes(&counters.reserved);
            let denied = counters.denied.load(Ordering::Relaxed);
            write!(formatter, ", {memory_use:?}: {reserved}")?;
            if denied > 0 {
                write!(formatter, " (denied {denied} times)")?;
            }
        }
        Ok(())
    }
}

/// Memory that is entered in the account until this is dropped.
#[derive(Debug)]
pub(crate) struct MemoryReservation {
    account: MemoryAccount,
    memory_use: MemoryUse,
    bytes: usize,
}

impl MemoryReservation {
    /// Enters this many bytes more. Returns `false` and changes nothing if they do not fit.
    pub(crate) fn grow_by(&mut self, bytes: usize) -> bool {
        let fits = self.account.fits(self.memory_use, bytes);
        if fits {
            self.enter(bytes);
        } else {
            let counters = &self.account.0.uses[self.memory_use as usize];
            counters.denied.fetch_add(1, Ordering::Relaxed);
        }
        fits
    }

    /// Reduces the reservation to at most this many bytes.
    pub(crate) fn shrink_to(&mut self, bytes: usize) {
        let released = self.bytes.saturating_sub(bytes);
        self.bytes -= released;
        let state = &self.account.0;
        state.total.fetch_sub(released, Ordering::Relaxed);
        if self.memory_use.is_work() {
            state.work.fetch_sub(released, Ordering::Relaxed);
        }
        state.uses[self.memory_use as usize]
            .reserved
            .fetch_sub(released, Ordering::Relaxed);
    }

    fn enter(&mut self, bytes: usize) {
        self.bytes += bytes;
        let state = &self.account.0;
        let total = state.total.fetch_add(bytes, Ordering::Relaxed) + bytes;
        state.peak.fetch_max(total, Ordering::Relaxed);
        if self.memory_use.is_work() {
            state.work.fetch_add(bytes, Ordering::Relaxed);
        }
        state.uses[self.memory_use as usize]
            .reserved
            .fetch_add(bytes, Ordering::Relaxed);
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}
