//! An attempt that has ended, with the estimates of before by which it is judged.

use crate::attempt::Attempt;
use crate::{Micros, Outcome};

/// Maximum latency pressure of one response, and of a load report.
pub(crate) const MAX_LATENCY_PRESSURE: f64 = 4.0;

/// What an attempt's outcome says of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It works, though it may be slow.
    Healthy,
    /// It failed.
    Failed,
    /// Nothing: the cause was another.
    Neutral,
}

/// An attempt that has ended. All durations are in microseconds.
#[derive(Debug)]
pub(crate) struct EndedAttempt {
    pub(crate) now: Micros,
    pub(crate) attempt: Attempt,
    pub(crate) outcome: Outcome,
    /// 0 if the request was still arriving.
    pub(crate) elapsed: f64,
    pub(crate) initial_backoff: Micros,
    pub(crate) longest_latency_objective: f64,
    /// Of all classes.
    pub(crate) longest_typical_latency: f64,
    /// Of its class.
    pub(crate) typical_latency: f64,
    pub(crate) subset_size: usize,
    /// Its time relative to what its class allows, and to what that allows under a shared limit.
    pub(crate) latency_pressure: f64,
    pub(crate) shared_latency_pressure: f64,
    /// It timed out before most responses of its class arrive: its client allowed too little time.
    pub(crate) has_short_deadline: bool,
}

impl EndedAttempt {
    pub(crate) fn is_served(&self) -> bool {
        self.outcome == Outcome::Served
    }

    /// Whether its connection could not be established or broke.
    pub(crate) fn is_connection_lost(&self) -> bool {
        matches!(
            self.outcome,
            Outcome::ConnectFailed | Outcome::Truncated | Outcome::Reset
        )
    }
}
