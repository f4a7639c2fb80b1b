//! The times of a graceful shutdown: until when connections are accepted, requests admitted, and
//! responses waited for.

use super::timeouts::IdleTimeouts;
use crate::control::ShutdownSchedule;
use std::time::Duration;
use tokio::time::Instant;

/// How long new connections are still accepted after the shutdown has begun; they arrive for up to
/// 0.4 s.
pub(super) const ACCEPT_DURATION: Duration = Duration::from_millis(500);
/// From when on a complete request is rejected: a long response to it might be cut off when the
/// process is killed, as one to an earlier request may be.
const REJECT_DELAY: Duration = Duration::from_millis(600);
/// By when requests get their responses, or their beginnings: the longest deadline of a class, but
/// no longer than this, and a margin. Both are over before the process is killed.
const MAX_DEADLINE: Duration = Duration::from_secs(3);
const DEADLINE_MARGIN: Duration = Duration::from_millis(600);

/// The schedule of a shutdown that begins now.
pub(super) fn schedule(longest_deadline: Duration) -> ShutdownSchedule {
    let now = Instant::now();
    let end = now + longest_deadline.min(MAX_DEADLINE) + DEADLINE_MARGIN;
    ShutdownSchedule {
        reject_from: now + REJECT_DELAY,
        end,
    }
}

impl IdleTimeouts {
    /// While the process shuts down: what arrives now is better off at its successor, which has the
    /// time for a long response, and what would arrive on a silent connection would be rejected by
    /// then.
    pub(super) fn shutting_down() -> IdleTimeouts {
        IdleTimeouts {
            after_request: Duration::ZERO,
            before_first_byte: REJECT_DELAY,
        }
    }
}
