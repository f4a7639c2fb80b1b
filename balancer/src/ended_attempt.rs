//! An attempt that has ended, with the estimates that its duration is compared with. They don't
//! include the attempt itself.

use crate::attempt::Attempt;
use crate::{Micros, Outcome};

/// Maximum latency pressure of one response or load report. The latency pressure of a response is
/// its duration divided by the longest duration that does not indicate overload.
pub(crate) const MAX_LATENCY_PRESSURE: f64 = 4.0;

/// Effect of an attempt's outcome on its endpoint's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptHealth {
    /// The endpoint works, though it may be slow.
    Healthy,
    /// The endpoint failed.
    Failed,
    /// No effect: the outcome has another cause than the endpoint's health.
    Neutral,
}

/// An attempt that has ended. All durations are in microseconds.
#[derive(Debug)]
pub(crate) struct EndedAttempt {
    pub(crate) now: Micros,
    pub(crate) attempt: Attempt,
    pub(crate) outcome: Outcome,
    /// Duration of the attempt; 0 if the request was still arriving.
    pub(crate) elapsed: f64,
    pub(crate) initial_backoff: Micros,
    pub(crate) longest_latency_objective: f64,
    /// Mean latency of the slowest class.
    pub(crate) longest_mean_latency: f64,
    /// Mean latency of the attempt's class.
    pub(crate) mean_latency: f64,
    pub(crate) subset_size: usize,
    /// Duration relative to the longest one that does not indicate overload, for the endpoint's
    /// latency pressure.
    pub(crate) latency_pressure: f64,
    /// The same relative to the longest duration that applies under a shared limit, for the shared
    /// limit's latency pressure.
    pub(crate) shared_latency_pressure: f64,
    /// Whether it timed out earlier than the tail latency of its class, because its client allowed
    /// too little time. Always false under a shared limit.
    pub(crate) has_short_deadline: bool,
}

impl EndedAttempt {
    pub(crate) fn is_served(&self) -> bool {
        self.outcome == Outcome::Served
    }

    /// Whether the connection could not be established or broke.
    pub(crate) fn is_connection_lost(&self) -> bool {
        matches!(
            self.outcome,
            Outcome::ConnectFailed | Outcome::Truncated | Outcome::Reset
        )
    }
}
