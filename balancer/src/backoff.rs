//! Exponential backoff that starts from a fraction of the longest latency objective of all classes.

use crate::{Micros, Settings};

/// Number of times that a backoff may double; after that it stays at its maximum.
pub(crate) const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Initial backoff as a fraction of the longest latency objective.
const INITIAL_BACKOFF_OBJECTIVE_FRACTION: f64 = 0.25;
const MIN_INITIAL_BACKOFF_US: Micros = 1_000;

/// Returns the backoff after a first failure, in microseconds.
pub(crate) fn initial_backoff(settings: &Settings) -> Micros {
    let backoff = settings.longest_latency_objective() * INITIAL_BACKOFF_OBJECTIVE_FRACTION;
    (backoff as Micros).max(MIN_INITIAL_BACKOFF_US)
}
