//! Which connection is closed for a new one when the limit is reached. Clients that send nothing on
//! their connections must not lock others out.

use super::connection::ClientConnection;
use super::phase::Phase;
use super::timeouts::{WriteProgress, CROWDED_IDLE_TIMEOUT};
use std::time::Duration;
use tokio::time::Instant;

/// How long a connection is safe from eviction after its start or its last response: a client that
/// means to send a request has begun to by then. Without it, each of a burst would be closed for
/// the next before its request arrives.
pub(super) const EVICTION_GRACE: Duration = Duration::from_millis(100);

/// What an evicted connection costs its client, the cheapest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionCost {
    /// No request has ever begun to arrive, or none will any more.
    Unused,
    /// Idle for longer than clients take to reuse a connection.
    LongIdle,
    /// Idle after a single read: it may never be reused, unlike one that was reused before.
    IdleAfterOneRead,
    /// A part of a request has arrived: the longer ago it began, the less likely the rest is.
    Receiving,
    /// Idle between requests.
    Idle,
}

/// The order of eviction: by cost, then the longest in its phase first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionRank {
    cost: EvictionCost,
    since: Instant,
}

impl ClientConnection {
    /// Its place in the order of eviction; `None`: it may not be evicted.
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
            Phase::Idle(since) if now >= since + CROWDED_IDLE_TIMEOUT => {
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
        let has_unread_request = self.has_unread_request();
        let may_evict = now >= since + EVICTION_GRACE && !has_unread_request;
        may_evict.then_some(EvictionRank { cost, since })
    }

    /// Whether what is unread may be a complete request, also on a new connection whose task has
    /// not run yet.
    fn has_unread_request(&self) -> bool {
        let awaits_request = matches!(self.phase.get(), Phase::AwaitingFirst(_) | Phase::Idle(_));
        awaits_request && !self.socket.has_no_unread_input()
    }
}
