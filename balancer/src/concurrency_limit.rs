//! How many requests may be in flight at an endpoint. The limit consists of steps, as in gRPC's
//! proposal A105 (connection scaling), each of a number of requests.

use crate::backoff::MAX_BACKOFF_DOUBLINGS;
use crate::Micros;

/// Maximum number of steps, as for A105's connections.
const MAX_STEPS: u32 = 10;
/// Requests in flight at an endpoint, from all balancers together: initially, and what cuts leave.
const INITIAL_CONCURRENCY: f64 = 7.0;
const CONCURRENCY_FLOOR: f64 = 12.0;
/// Least factor of one cut, as in TCP.
const MIN_CUT_FACTOR: f64 = 0.5;
/// What a deep cut leaves of the floor.
const DEEP_CUT_FLOOR_FRACTION: f64 = 0.2;

/// A limit of `steps * concurrency` requests in flight. A request that is served beyond it, as a
/// trial, adds a step.
#[derive(Debug, Default)]
pub(crate) struct ConcurrencyLimit {
    /// 0: the endpoint is ejected.
    pub(crate) steps: u32,
    /// Requests per step.
    pub(crate) concurrency: f64,
    /// The limit that cuts leave, in requests.
    pub(crate) floor: f64,
    pub(crate) trial_in_flight: bool,
    pub(crate) backoff_doublings: u32,
    /// When the next trial may be sent.
    pub(crate) backoff_end: Micros,
}

impl ConcurrencyLimit {
    /// The initial limit of an endpoint.
    pub(crate) fn new(balancer_count: u32) -> Self {
        Self::with_concurrency(INITIAL_CONCURRENCY, CONCURRENCY_FLOOR, balancer_count)
    }

    /// A limit of one step; both figures are those of all balancers together.
    pub(crate) fn with_concurrency(concurrency: f64, floor: f64, balancer_count: u32) -> Self {
        let balancers = f64::from(balancer_count.max(1));
        ConcurrencyLimit {
            steps: 1,
            concurrency: concurrency / balancers,
            floor: floor / balancers,
            ..ConcurrencyLimit::default()
        }
    }

    /// The limit, in requests.
    pub(crate) fn total(&self) -> f64 {
        f64::from(self.steps) * self.concurrency
    }

    pub(crate) fn is_trial_ready(&self, now: Micros) -> bool {
        !self.trial_in_flight && now >= self.backoff_end
    }

    /// Raises the limit after a trial that was served.
    pub(crate) fn raise(&mut self) {
        self.backoff_doublings = 0;
        if self.steps < MAX_STEPS {
            self.steps += 1;
        } else {
            self.concurrency *= 1.0 + 1.0 / f64::from(MAX_STEPS);
        }
    }

    /// Delays the next trial.
    pub(crate) fn back_off(&mut self, now: Micros, initial_backoff: Micros) {
        self.backoff_end = now + (initial_backoff << self.backoff_doublings);
        self.backoff_doublings = (self.backoff_doublings + 1).min(MAX_BACKOFF_DOUBLINGS);
    }

    /// Multiplies the limit by `factor`, down to the floor or, if `is_deep`, to a fraction of it.
    pub(crate) fn cut(&mut self, factor: f64, is_deep: bool) {
        let floor = if is_deep {
            self.floor * DEEP_CUT_FLOOR_FRACTION
        } else {
            self.floor
        };
        let min_concurrency = floor / f64::from(self.steps.max(1));
        self.concurrency = (self.concurrency * factor.max(MIN_CUT_FACTOR)).max(min_concurrency);
    }
}
