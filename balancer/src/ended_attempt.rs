//! An attempt that has ended, with the estimates from before its end that it is judged by.

use crate::attempt::Attempt;
use crate::{Micros, Outcome};

/// Maximum latency pressure of one response or load report.
pub(crate) const MAX_LATENCY_PRESSURE: f64 = 4.0;

/// What an attempt's outcome says about its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptHealth {
    /// The endpoint works, though it may be slow.
    Healthy,
    /// The endpoint failed.
    Failed,
    /// Nothing: the endpoint did not cause the outcome.
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
    /// Duration relative to what the class allows, for the endpoint's latency pressure.
    pub(crate) latency_pressure: f64,
    /// Duration relative to what the class allows, for the shared limit's latency pressure.
    pub(crate) shared_latency_pressure: f64,
    /// Whether it timed out before most responses of its class arrive, because its client allowed
    /// too little time.
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
