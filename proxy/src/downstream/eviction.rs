//! Selects the connection that is closed to make room for a new one when the connection limit is
//! reached. Otherwise clients that hold connections without sending requests would block all
//! others.

use super::connection::ClientConnection;
use super::phase::Phase;
use super::timeouts::{WriteProgress, IDLE_TIMEOUT_WHEN_BUSY};
use std::time::Duration;
use tokio::time::Instant;

/// How long a connection is protected from eviction after it was opened or its last response was
/// sent: clients that send a request begin to send it within this time. Without the protection,
/// each connection of a burst would be evicted for the next one before its request arrives.
pub(super) const EVICTION_GRACE: Duration = Duration::from_millis(100);

/// What the eviction of a connection costs its client, in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionCost {
    /// Nothing has ever been received, or the connection is closing and will carry no further
    /// request.
    Unused,
    /// Idle for [`IDLE_TIMEOUT_WHEN_BUSY`] or longer, so it is unlikely to be reused.
    LongIdle,
    /// Idle for less than [`IDLE_TIMEOUT_WHEN_BUSY`], after at most one read, so it has probably
    /// carried a single request. It is less likely to be reused than a connection that was reused
    /// before.
    IdleAfterOneRead,
    /// Part of a request has arrived. The longer ago it began, the less likely the rest will
    /// arrive.
    Receiving,
    /// Idle for less than [`IDLE_TIMEOUT_WHEN_BUSY`], after more than one read.
    Idle,
}

/// The position in the order of eviction: sorted by cost, then by how long the connection has been
/// in its phase, longest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionRank {
    cost: EvictionCost,
    since: Instant,
}

impl ClientConnection {
    /// The connection's position in the order of eviction, or `None` if it may not be evicted.
    pub(super) fn eviction_rank(&self, now: Instant) -> Option<EvictionRank> {
        if self.write_progress(now) != WriteProgress::Unblocked {
            return None;
        }
        let has_read = self.socket.read_count() > 0;
        let (cost, since) = match self.phase.get() {
            Phase::Closing(since) => {
                return Some(EvictionRank {
                    cost: EvictionCost::Unused,
                    since,
                })
            }
            Phase::AwaitingFirst(since) if !has_read => (EvictionCost::Unused, since),
            Phase::Idle(since) if now >= since + IDLE_TIMEOUT_WHEN_BUSY => {
                (EvictionCost::LongIdle, since)
            }
            Phase::Idle(since) if self.socket.read_count() <= 1 => {
                (EvictionCost::IdleAfterOneRead, since)
            }
            Phase::AwaitingFirst(since) | Phase::Receiving(since) => {
                (EvictionCost::Receiving, since)
            }
            Phase::Idle(since) => (EvictionCost::Idle, since),
            Phase::Open => return None,
        };
        let may_have_unread_request = self.may_have_unread_request();
        let may_evict = now >= since + EVICTION_GRACE && !may_have_unread_request;
        may_evict.then_some(EvictionRank { cost, since })
    }

    /// Whether there is unread input, which may be a complete request. A new connection can have
    /// some before its task has run for the first time.
    fn may_have_unread_request(&self) -> bool {
        let awaits_request = matches!(self.phase.get(), Phase::AwaitingFirst(_) | Phase::Idle(_));
        awaits_request && !self.socket.has_no_unread_input()
    }
}
