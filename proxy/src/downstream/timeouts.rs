//! Timeouts of client connections that are idle, slow to send a request, or slow to read a
//! response.

use super::connection::ClientConnection;
use super::phase::{Phase, REQUEST_READ_TIMEOUT};
use crate::log;
use crate::metrics::ClientCloseReason;
use std::time::Duration;
use tokio::time::{interval, Instant, Interval, MissedTickBehavior};

/// How often all connections are checked for timeouts.
pub(super) const SWEEP_INTERVAL: Duration = Duration::from_millis(50);
/// How long an idle connection is kept. Some clients leave connections open indefinitely and never
/// use them again; clients that reuse a connection do so within this time.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// How long an idle connection is kept while more client connections are open than
/// [`crate::config::Config::busy_connection_threshold`], so that clients that need a new connection
/// get one without delay.
pub(super) const IDLE_TIMEOUT_WHEN_BUSY: Duration = Duration::from_secs(2);
/// How long a socket may be unwritable before its client counts as stalled. The kernel reports a
/// socket writable only when a third of its send buffer is free, and the more slowly the client
/// reads, the longer this takes.
pub(super) const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(60);

/// How long connections stay open while no request arrives.
#[derive(Clone, Copy, Debug)]
pub(super) struct IdleTimeouts {
    /// After the previous request.
    pub(super) after_request: Duration,
    /// On a new connection on which nothing has arrived.
    pub(super) before_first_byte: Duration,
}

impl IdleTimeouts {
    /// The timeouts while the proxy is not shutting down.
    pub(super) fn serving(is_busy: bool) -> IdleTimeouts {
        IdleTimeouts {
            after_request: if is_busy {
                IDLE_TIMEOUT_WHEN_BUSY
            } else {
                IDLE_TIMEOUT
            },
            before_first_byte: REQUEST_READ_TIMEOUT,
        }
    }
}

/// Whether a client reads what is written to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteProgress {
    /// No write is waiting for the socket.
    Unblocked,
    /// A write waits for the socket to become writable. hyper may already have been given the
    /// complete response.
    Blocked,
    /// A write has waited for [`WRITE_STALL_TIMEOUT`] or longer.
    Stalled,
}

impl ClientConnection {
    pub(super) fn write_progress(&self, now: Instant) -> WriteProgress {
        match self.socket.write_blocked_since() {
            None => WriteProgress::Unblocked,
            Some(since) if now >= since + WRITE_STALL_TIMEOUT => WriteProgress::Stalled,
            Some(_) => WriteProgress::Blocked,
        }
    }

    /// Whether the connection has timed out while idle or while receiving a request. A connection
    /// with unsent response data has not.
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
            // Unread input may be a complete request.
            Phase::Idle(since) => {
                now >= since + timeouts.after_request && self.socket.has_no_unread_input()
            }
            Phase::Open | Phase::Closing(_) => false,
        }
    }

    /// Closes the connection if it is stalled or its client has disconnected, signals its task to
    /// close it if it has timed out, and updates its phase if a request has begun to arrive.
    /// Returns false if the connection had already ended or was closed for a stall.
    pub(super) fn check_timeouts(&self, now: Instant, timeouts: IdleTimeouts) -> bool {
        if self.task.is_finished() {
            return false;
        }
        if self.write_progress(now) == WriteProgress::Stalled {
            log::line(&format!(
                "closed a client connection: the client did not read its response for \
                 {WRITE_STALL_TIMEOUT:?}"
            ));
            self.close(ClientCloseReason::ResponseStalled);
            return false;
        }
        match self.phase.get() {
            // The connection's task waits for the disconnect as well. This check is for platforms
            // on which a disconnect does not wake that task.
            Phase::Open if self.socket.is_known_disconnected() => {
                self.close(ClientCloseReason::ClientDisconnected)
            }
            Phase::Idle(since) if self.socket.last_read_at() > since => {
                self.phase.set(Phase::Receiving(self.socket.last_read_at()));
            }
            _ if self.is_timed_out(now, timeouts) => self.close_signal.notify_one(),
            _ => {}
        }
        true
    }
}

/// An interval timer for sweeps of all connections.
pub(super) fn sweep_ticks() -> Interval {
    let mut ticks = interval(SWEEP_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}
