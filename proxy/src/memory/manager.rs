//! Reserves memory, and makes room for it: what is needed least is given up first.

use super::account::{MemoryAccount, MemoryReservation, MemoryUse, MAX_SMALL_BYTES};
use super::costs::TRANSFER_BYTES;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{sleep_until, Instant};

/// Interval at which it is looked for room while none can be made.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// For what room is to be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Need {
    /// Memory.
    Memory,
    /// A connection to an endpoint.
    EndpointConnection,
}

/// Gives up something that is needed less. Returns `false` if there is nothing.
type Reclaimer = Rc<dyn Fn(Need) -> bool>;

/// A handle to the account and to those that can make room in it; clones share them.
#[derive(Clone)]
pub struct MemoryManager {
    account: MemoryAccount,
    /// In the order in which they are asked.
    reclaimers: Rc<RefCell<Vec<Reclaimer>>>,
    transfer_count: Rc<Cell<usize>>,
    max_transfers: Rc<Cell<usize>>,
    /// For each need, until when there is nothing that could be given up.
    exhausted_until: Rc<[Cell<Option<Instant>>; 2]>,
}

impl fmt::Debug for MemoryManager {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.account.fmt(formatter)
    }
}

/// Memory and a place for a body that is passed on as it arrives.
#[derive(Debug)]
pub(crate) struct TransferPermit {
    _memory: MemoryReservation,
    _place: TransferPlace,
}

/// One of the places for transfers, until it is dropped.
#[derive(Debug)]
struct TransferPlace(Rc<Cell<usize>>);

impl TransferPlace {
    fn take(count: &Rc<Cell<usize>>) -> TransferPlace {
        count.set(count.get() + 1);
        TransferPlace(count.clone())
    }
}

impl Drop for TransferPlace {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl MemoryManager {
    /// Creates a manager of this account, with places for `max_transfers` transfers.
    pub(crate) fn new(account: MemoryAccount, max_transfers: usize) -> MemoryManager {
        MemoryManager {
            account,
            reclaimers: Rc::default(),
            transfer_count: Rc::default(),
            max_transfers: Rc::new(Cell::new(max_transfers)),
            exhausted_until: Rc::default(),
        }
    }

    /// The account.
    pub(crate) fn account(&self) -> &MemoryAccount {
        &self.account
    }

    /// Number of transfers.
    pub(crate) fn transfer_count(&self) -> usize {
        self.transfer_count.get()
    }

    /// Changes the number of places for transfers.
    pub(crate) fn set_max_transfers(&self, max_transfers: usize) {
        self.max_transfers.set(max_transfers);
    }

    /// Adds one that can make room. It is asked after those that were added before.
    pub(crate) fn add_reclaimer(&self, reclaimer: impl Fn(Need) -> bool + 'static) {
        self.reclaimers.borrow_mut().push(Rc::new(reclaimer));
    }

    /// Gives up what is needed least. Returns `false` if there is nothing, or was nothing within the
    /// last [`RETRY_INTERVAL`]: many may need room at once, and each look takes time.
    pub(crate) fn reclaim(&self, need: Need) -> bool {
        let now = Instant::now();
        let exhausted_until = &self.exhausted_until[need as usize];
        if exhausted_until.get().is_some_and(|until| now < until) {
            return false;
        }
        let reclaimers = self.reclaimers.borrow().clone();
        let has_reclaimed = reclaimers.iter().any(|reclaimer| reclaimer(need));
        exhausted_until.set((!has_reclaimed).then_some(now + RETRY_INTERVAL));
        has_reclaimed
    }

    /// Enters memory, and makes room for it if necessary. Where there is no room to be made, waits
    /// for a small amount until `until`, and returns `None` then.
    pub(crate) async fn reserve(
        &self,
        memory_use: MemoryUse,
        bytes: usize,
        until: Instant,
    ) -> Option<MemoryReservation> {
        let mut reservation = self.account.reserve_unchecked(memory_use, 0);
        let has_memory = self.grow(&mut reservation, bytes, until).await;
        has_memory.then_some(reservation)
    }

    /// Adds to a reservation like [`MemoryManager::reserve`]. Returns `false` if there was no room.
    pub(crate) async fn grow(
        &self,
        reservation: &mut MemoryReservation,
        bytes: usize,
        until: Instant,
    ) -> bool {
        // What is large does not wait: what it has by then would be missing to others.
        let until = (bytes <= MAX_SMALL_BYTES).then_some(until);
        while !reservation.grow_by(bytes) {
            if !self.make_room(Need::Memory, until).await {
                return false;
            }
        }
        true
    }

    /// Takes a place and memory for a transfer, and makes room for it if necessary.
    pub(crate) async fn reserve_transfer(&self) -> Option<TransferPermit> {
        while self.transfer_count() >= self.max_transfers.get() {
            if !self.make_room(Need::EndpointConnection, None).await {
                return None;
            }
        }
        // Taken before memory is made room for, as others may take places in the meantime.
        let place = TransferPlace::take(&self.transfer_count);
        let memory = self.reserve(MemoryUse::Transfer, TRANSFER_BYTES, Instant::now());
        Some(TransferPermit {
            _memory: memory.await?,
            _place: place,
        })
    }

    /// Gives up what is needed least, or else lets some time pass. Returns `false` from `until` on;
    /// `None`: no time may pass.
    async fn make_room(&self, need: Need, until: Option<Instant>) -> bool {
        if self.reclaim(need) {
            // What was given up is freed when the tasks that held it are dropped.
            yield_now().await;
            return true;
        }
        let now = Instant::now();
        let Some(until) = until.filter(|until| now < *until) else {
            return false;
        };
        sleep_until(until.min(now + RETRY_INTERVAL)).await;
        true
    }
}
