//! Limits the requests in flight at an endpoint. The limit is a number of steps, as in gRPC's
//! proposal A105 (connection scaling), times a number of requests per step.

use crate::backoff::MAX_BACKOFF_DOUBLINGS;
use crate::Micros;

/// Maximum number of steps, the same as A105's maximum number of connections.
const MAX_STEPS: u32 = 10;
/// Initial limit of an endpoint, in requests from all balancers together.
const INITIAL_CONCURRENCY: f64 = 7.0;
/// Minimum limit of an endpoint after a cut, in requests from all balancers together. It is above
/// [`INITIAL_CONCURRENCY`], so a cut raises a limit that is still below the floor, unless the cut
/// is deep.
const CONCURRENCY_FLOOR: f64 = 12.0;
/// Minimum factor of a cut: like in TCP, one cut at most halves the limit.
const MIN_CUT_FACTOR: f64 = 0.5;
/// Minimum limit after a deep cut, as a fraction of the floor.
const DEEP_CUT_FLOOR_FRACTION: f64 = 0.2;

/// A limit of `steps * requests_per_step` requests in flight. A trial is a request that is sent
/// although the limit is reached; if it is served, the limit grows by a step.
#[derive(Debug, Default)]
pub(crate) struct ConcurrencyLimit {
    /// 0 means that the endpoint is ejected.
    pub(crate) steps: u32,
    /// Requests per step.
    pub(crate) requests_per_step: f64,
    /// Minimum limit after a cut, in requests.
    pub(crate) floor: f64,
    pub(crate) trial_in_flight: bool,
    pub(crate) backoff_doublings: u32,
    /// Earliest time at which the next trial may be sent.
    pub(crate) backoff_end: Micros,
}

impl ConcurrencyLimit {
    /// Creates the initial limit of an endpoint.
    pub(crate) fn new(balancer_count: u32) -> Self {
        Self::with_initial_limit(INITIAL_CONCURRENCY, CONCURRENCY_FLOOR, balancer_count)
    }

    /// Creates a limit of one step. `initial_limit` and `floor` are totals for all balancers, of
    /// which this one gets an equal share.
    pub(crate) fn with_initial_limit(initial_limit: f64, floor: f64, balancer_count: u32) -> Self {
        let balancers = f64::from(balancer_count.max(1));
        ConcurrencyLimit {
            steps: 1,
            requests_per_step: initial_limit / balancers,
            floor: floor / balancers,
            ..ConcurrencyLimit::default()
        }
    }

    /// Maximum number of requests in flight, trials excluded.
    pub(crate) fn max_in_flight(&self) -> f64 {
        f64::from(self.steps) * self.requests_per_step
    }

    pub(crate) fn is_trial_ready(&self, now: Micros) -> bool {
        !self.trial_in_flight && now >= self.backoff_end
    }

    /// Raises the limit after a served trial by the requests of one step: adds a step or, at the
    /// maximum number of steps, enlarges all steps.
    pub(crate) fn raise(&mut self) {
        self.backoff_doublings = 0;
        if self.steps < MAX_STEPS {
            self.steps += 1;
        } else {
            self.requests_per_step *= 1.0 + 1.0 / f64::from(MAX_STEPS);
        }
    }

    /// Delays the next trial, and doubles the delay of the one after it up to a maximum.
    pub(crate) fn back_off(&mut self, now: Micros, initial_backoff: Micros) {
        self.backoff_end = now + (initial_backoff << self.backoff_doublings);
        self.backoff_doublings = (self.backoff_doublings + 1).min(MAX_BACKOFF_DOUBLINGS);
    }

    /// Multiplies the limit by `factor`. The result is at least the floor or, if `is_deep`, a
    /// fraction of the floor, so a limit below that is raised to it.
    pub(crate) fn cut(&mut self, factor: f64, is_deep: bool) {
        let floor = if is_deep {
            self.floor * DEEP_CUT_FLOOR_FRACTION
        } else {
            self.floor
        };
        let min_requests_per_step = floor / f64::from(self.steps.max(1));
        self.requests_per_step =
            (self.requests_per_step * factor.max(MIN_CUT_FACTOR)).max(min_requests_per_step);
    }
}
