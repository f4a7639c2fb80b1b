//! The time limit for a peer that sends a body slowly.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{sleep, Instant, Sleep};

/// Limits the time that the proxy waits for data from a peer. The remaining time, the allowance,
/// decreases only while the proxy is waiting for data, not while it does not read. Each byte that
/// arrives increases it by the time that a byte takes at the minimum rate.
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
    /// Creates a timer with an initial allowance of `allowance`, which later data can increase up
    /// to `max_allowance`.
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

    /// The remaining time, as of the last wait that has ended.
    pub(super) fn allowance(&self) -> Duration {
        self.allowance
    }

    /// Ends the current wait, if there is one, as of the instant that `until` returns, and deducts
    /// its duration from the allowance.
    pub(super) fn stop_waiting(&mut self, until: impl FnOnce() -> Instant) {
        if let Some(wait) = self.wait.take() {
            let waited = until().saturating_duration_since(wait.since);
            self.allowance = self.allowance.saturating_sub(waited);
        }
    }

    /// Increases the allowance for data that has arrived.
    pub(super) fn extend_allowance(&mut self, bytes: usize) {
        let extension = Duration::from_secs_f64(bytes as f64 / self.min_bytes_per_second);
        self.allowance = (self.allowance + extension).min(self.max_allowance);
    }

    /// Starts or continues a wait, and completes once the allowance is used up.
    pub(super) fn poll_expired(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let allowance = self.allowance;
        let wait = self.wait.get_or_insert_with(|| Wait {
            since: Instant::now(),
            timeout: Box::pin(sleep(allowance)),
        });
        wait.timeout.as_mut().poll(context)
    }
}
