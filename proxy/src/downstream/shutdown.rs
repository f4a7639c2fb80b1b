//! The schedule of a graceful shutdown: how long connections are accepted, requests are admitted
//! and responses are waited for.

use super::timeouts::IdleTimeouts;
use crate::control::ShutdownSchedule;
use std::time::Duration;
use tokio::time::Instant;

/// How long new connections are still accepted after the shutdown has begun: clients may continue
/// to connect to this process for up to 0.4 s.
pub(super) const ACCEPT_DURATION: Duration = Duration::from_millis(500);
/// Time from the start of the shutdown after which newly completed requests are rejected: a long
/// response to such a request could be truncated when the process is killed. The same can happen to
/// a request that completed earlier, which is accepted.
const REJECT_DELAY: Duration = Duration::from_millis(600);
/// Maximum time that open requests have for the beginning of their responses, without
/// [`DEADLINE_MARGIN`]. It applies if the longest deadline of any class exceeds it. The sum of both
/// ends before the process is killed.
const MAX_SHUTDOWN_DEADLINE: Duration = Duration::from_secs(3);
/// Time from the longest deadline of any class, or from [`MAX_SHUTDOWN_DEADLINE`], to the end of
/// the shutdown. It equals [`REJECT_DELAY`], so a request that completes before requests are
/// rejected keeps the full deadline of its class, unless that maximum applies.
const DEADLINE_MARGIN: Duration = Duration::from_millis(600);

/// The schedule of a shutdown that begins now. `longest_deadline` is the longest of any class.
pub(super) fn schedule(longest_deadline: Duration) -> ShutdownSchedule {
    let now = Instant::now();
    let end = now + longest_deadline.min(MAX_SHUTDOWN_DEADLINE) + DEADLINE_MARGIN;
    ShutdownSchedule {
        reject_from: now + REJECT_DELAY,
        end,
    }
}

impl IdleTimeouts {
    /// The timeouts while the process shuts down. Idle connections are closed at once: further
    /// requests should go to the succeeding process, which has time for long responses. A
    /// connection on which nothing has arrived is closed when requests begin to be rejected.
    pub(super) fn shutting_down() -> IdleTimeouts {
        IdleTimeouts {
            after_request: Duration::ZERO,
            before_first_byte: REJECT_DELAY,
        }
    }
}
