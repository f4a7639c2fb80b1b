//! Selects the connection that is closed to make room when connections, memory or connections to
//! endpoints run out. Otherwise clients that hold connections without sending requests, or that
//! send or read slowly, would block all others.

use super::connection::ClientConnection;
use super::phase::Phase;
use super::timeouts::IDLE_TIMEOUT_WHEN_BUSY;
use crate::metrics::ClientCloseReason;
use std::time::Duration;
use tokio::time::Instant;

/// How long a connection is protected from eviction after it was opened or its last response was
/// sent: clients that send a request begin to send it within this time. Without the protection,
/// each connection of a burst would be evicted for the next one before its request arrives.
pub(super) const EVICTION_GRACE: Duration = Duration::from_millis(100);

/// How long nothing of a body may arrive until its client counts as stalled. A client that writes at
/// the lowest rate that is served may do so in pieces, some of them a quarter of a second apart.
const STALLED_UPLOAD_WAIT: Duration = Duration::from_millis(500);
/// How long a client may read nothing of its response until its connection may be closed to make
/// room. A client that reads at the lowest rate that is served frees a third of the send buffer,
/// after which writing goes on, in two thirds of a second.
const SLOW_READER_WAIT: Duration = Duration::from_secs(2);

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
    /// Part of the body of a request has arrived, and nothing for [`STALLED_UPLOAD_WAIT`]. Ordered
    /// by how soon the client will have kept the proxy waiting for too long.
    StalledUpload,
    /// Idle for less than [`IDLE_TIMEOUT_WHEN_BUSY`], after more than one read.
    Idle,
    /// Part of the body of a request has arrived, and nothing for [`EVICTION_GRACE`].
    SlowUpload,
    /// The client has not read its response for [`SLOW_READER_WAIT`].
    SlowReader,
}

/// The position in the order of eviction: sorted by cost, then by how long the connection has been
/// in its phase, longest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionRank {
    cost: EvictionCost,
    since: Instant,
}

impl EvictionRank {
    /// The reason to record when the connection is closed.
    pub(super) fn close_reason(self) -> ClientCloseReason {
        match self.cost {
            EvictionCost::StalledUpload | EvictionCost::SlowUpload => ClientCloseReason::SlowUpload,
            EvictionCost::SlowReader => ClientCloseReason::SlowReader,
            _ => ClientCloseReason::Evicted,
        }
    }
}

impl ClientConnection {
    /// The connection's position in the order of eviction, or `None` if it may not be evicted.
    #[cfg(test)]
    pub(super) fn eviction_rank(&self, now: Instant) -> Option<EvictionRank> {
        let rank = self.eviction_candidate(now)?;
        self.has_no_unread_request().then_some(rank)
    }

    /// The connection's position in the order of eviction as far as it is known without asking the
    /// system, or `None` if it may not be evicted. One that is evicted must also
    /// [have no unread request](ClientConnection::has_no_unread_request).
    pub(super) fn eviction_candidate(&self, now: Instant) -> Option<EvictionRank> {
        if let Some(since) = self.socket.write_blocked_since() {
            return (now >= since + SLOW_READER_WAIT).then_some(EvictionRank {
                cost: EvictionCost::SlowReader,
                since,
            });
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
            Phase::Open => return self.upload_rank(now),
        };
        (now >= since + EVICTION_GRACE).then_some(EvictionRank { cost, since })
    }

    /// The position of a connection whose request is still arriving.
    fn upload_rank(&self, now: Instant) -> Option<EvictionRank> {
        let wait = self.progress.last_client_wait()?;
        let waited = now.saturating_duration_since(wait.since);
        let cost = match waited {
            _ if waited >= STALLED_UPLOAD_WAIT => EvictionCost::StalledUpload,
            _ if waited >= EVICTION_GRACE => EvictionCost::SlowUpload,
            _ => return None,
        };
        Some(EvictionRank {
            cost,
            since: wait.stalled_at,
        })
    }

    /// Whether there is no unread input that may be a request or the rest of one. Asks the system. A
    /// new connection can have some before its task has run for the first time.
    pub(super) fn has_no_unread_request(&self) -> bool {
        match self.phase.get() {
            Phase::AwaitingFirst(_) | Phase::Idle(_) => self.socket.has_no_unread_input(),
            Phase::Open if self.socket.write_blocked_since().is_none() => {
                self.socket.has_no_unread_input()
            }
            Phase::Open | Phase::Receiving(_) | Phase::Closing(_) => true,
        }
    }
}
