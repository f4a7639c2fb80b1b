//! The time limit on a peer that sends a body too slowly.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{sleep, Instant, Sleep};

/// How long the proxy may still wait for a peer's data. The allowance shrinks only while the proxy
/// waits, not while nobody reads, and grows with each byte by what that byte may take at the lowest
/// accepted rate.
#[derive(Debug)]
pub(super) struct TransferTimer {
    allowance: Duration,
    max_allowance: Duration,
    min_bytes_per_second: f64,
    wait: Option<Wait>,
}

#[derive(Debug)]
struct Wait {
    since: Instant,
    timeout: Pin<Box<Sleep>>,
}

impl TransferTimer {
    /// A timer that starts with `allowance` and never allows more than `max_allowance`.
    pub(super) fn new(
        allowance: Duration,
        max_allowance: Duration,
        min_bytes_per_second: f64,
    ) -> TransferTimer {
        TransferTimer {
            allowance,
            max_allowance,
            min_bytes_per_second,
            wait: None,
        }
    }

    /// Ends a wait, if there is one, at the instant `until`, and takes its time off the allowance.
    pub(super) fn stop_waiting(&mut self, until: impl FnOnce() -> Instant) {
        if let Some(wait) = self.wait.take() {
            let waited = until().saturating_duration_since(wait.since);
            self.allowance = self.allowance.saturating_sub(waited);
        }
    }

    /// Extends the allowance for data that has arrived.
    pub(super) fn extend(&mut self, bytes: usize) {
        let earned = Duration::from_secs_f64(bytes as f64 / self.min_bytes_per_second);
        self.allowance = (self.allowance + earned).min(self.max_allowance);
    }

    /// Begins to wait, or goes on waiting, and is ready once the allowance is used up.
    pub(super) fn poll_expired(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let allowance = self.allowance;
        let wait = self.wait.get_or_insert_with(|| Wait {
            since: Instant::now(),
            timeout: Box::pin(sleep(allowance)),
        });
        wait.timeout.as_mut().poll(context)
    }
}
