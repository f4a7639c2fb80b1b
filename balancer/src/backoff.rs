//! Exponential backoff, in proportion to the longest latency objective.

use crate::{Micros, Settings};

/// Number of times that a backoff doubles before it reaches its maximum.
pub(crate) const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// First backoff as a fraction of the longest latency objective.
const INITIAL_BACKOFF_OBJECTIVE_FRACTION: f64 = 0.25;
const MIN_INITIAL_BACKOFF_US: Micros = 1_000;

/// The first backoff after a failure, in microseconds.
pub(crate) fn initial_backoff(settings: &Settings) -> Micros {
    let backoff = settings.longest_latency_objective() * INITIAL_BACKOFF_OBJECTIVE_FRACTION;
    (backoff as Micros).max(MIN_INITIAL_BACKOFF_US)
}
