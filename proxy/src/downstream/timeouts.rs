//! Which client connections have run out of time: idle, slow to send a request, or slow to take a
//! response.

use super::connection::ClientConnection;
use super::phase::{Phase, REQUEST_READ_TIMEOUT};
use crate::log;
use crate::metrics::ClientCloseReason;
use std::time::Duration;
use tokio::time::{interval, Instant, Interval, MissedTickBehavior};

/// How often all connections are checked for timeouts.
pub(super) const SWEEP_INTERVAL: Duration = Duration::from_millis(50);
/// How long a connection stays open without an open request. Clients may leave theirs open for good
/// and never use them again; those that do reuse them do so far sooner.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The same while many connections are open: clients that need a new one must get it at once.
pub(super) const CROWDED_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a client may seem to take nothing of a response. The system reports a socket writable
/// only once a third of its buffer is free, which takes a slow client a while.
pub(super) const MAX_WRITE_STALL: Duration = Duration::from_secs(60);

/// How long connections stay open on which no request arrives.
#[derive(Clone, Copy, Debug)]
pub(super) struct IdleTimeouts {
    /// After a request.
    pub(super) after_request: Duration,
    /// While nothing has arrived at all.
    pub(super) before_first_byte: Duration,
}

impl IdleTimeouts {
    /// While the proxy serves.
    pub(super) fn serving(is_crowded: bool) -> IdleTimeouts {
        IdleTimeouts {
            after_request: if is_crowded {
                CROWDED_IDLE_TIMEOUT
            } else {
                IDLE_TIMEOUT
            },
            before_first_byte: REQUEST_READ_TIMEOUT,
        }
    }
}

/// Whether a client takes what is written to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteProgress {
    /// Nothing waits to be written.
    Unblocked,
    /// A response waits for the client, which may have been handed over completely.
    Blocked,
    /// It has waited for too long.
    Stalled,
}

impl ClientConnection {
    pub(super) fn write_progress(&self, now: Instant) -> WriteProgress {
        match self.socket.write_blocked_since() {
            None => WriteProgress::Unblocked,
            Some(since) if now >= since + MAX_WRITE_STALL => WriteProgress::Stalled,
            Some(_) => WriteProgress::Blocked,
        }
    }

    /// Whether its time is over. A response that its client has not taken keeps it open.
    pub(super) fn is_timed_out(&self, now: Instant, timeouts: IdleTimeouts) -> bool {
        if self.write_progress(now) != WriteProgress::Unblocked {
            return false;
        }
        match self.phase.get() {
            Phase::AwaitingFirst(since) if self.socket.read_count() == 0 => {
                now >= since + timeouts.before_first_byte && self.socket.has_no_unread_input()
                    || now >= since + REQUEST_READ_TIMEOUT
            }
            Phase::AwaitingFirst(since) | Phase::Receiving(since) => {
                now >= since + REQUEST_READ_TIMEOUT
            }
            // What is unread may be a complete request.
            Phase::Idle(since) => {
                now >= since + timeouts.after_request && self.socket.has_no_unread_input()
            }
            Phase::Open | Phase::Closing(_) => false,
        }
    }

    /// Closes it if its time is over or its client has gone, and notes a request that has begun to
    /// arrive. Whether it is still there.
    pub(super) fn check(&self, now: Instant, timeouts: IdleTimeouts) -> bool {
        if self.task.is_finished() {
            return false;
        }
        if self.write_progress(now) == WriteProgress::Stalled {
            log::line("closed a client's connection: it took nothing of its response for too long");
            self.close(ClientCloseReason::ResponseStalled);
            return false;
        }
        match self.phase.get() {
            // Its task waits for this too; this is for a system that reports a disconnect only when
            // polled.
            Phase::Open if self.socket.is_known_disconnected() => {
                self.close(ClientCloseReason::ClientDisconnected)
            }
            Phase::Idle(since) if self.socket.last_read_at() > since => {
                self.phase.set(Phase::Receiving(self.socket.last_read_at()));
            }
            _ if self.is_timed_out(now, timeouts) => self.close_request.notify_one(),
            _ => {}
        }
        true
    }
}

/// The ticks at which all connections are checked.
pub(super) fn sweep_ticks() -> Interval {
    let mut ticks = interval(SWEEP_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}
