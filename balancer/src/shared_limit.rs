//! One concurrency limit for all endpoints together. It is used where a balancer's part of an
//! endpoint's initial limit would be below [`MIN_ENDPOINT_CONCURRENCY`]: a balancer then sends too
//! few requests to an endpoint to estimate its capacity.

use crate::attempt::{Attempt, Trial};
use crate::concurrency_limit::ConcurrencyLimit;
use crate::latency::LATENCY_SMOOTHING;
use crate::{Micros, Outcome};

/// Endpoints share a limit if this balancer's part of the initial limit of each would be below this
/// many requests.
const MIN_ENDPOINT_CONCURRENCY: f64 = 0.5;
/// Initial limit per endpoint, in requests from all balancers together.
const SHARED_INITIAL_CONCURRENCY: f64 = 3.0;
/// Minimum limit per endpoint after a cut, in requests from all balancers together.
const SHARED_CONCURRENCY_FLOOR: f64 = 0.35;
/// Permitted burst above the limit, in requests of mean latency.
const SHARED_BURST_REQUESTS: f64 = 2.0;
/// Minimum weight of a new sample in the shared latency pressure. It is lower than for a single
/// endpoint, as the samples come from fast and slow endpoints and from all classes.
const MIN_SHARED_PRESSURE_SMOOTHING: f64 = LATENCY_SMOOTHING / 3.0;
/// Time constant of the shared latency pressure, while the bounds on the weight of a sample allow
/// it.
const SHARED_PRESSURE_TIME_CONSTANT_US: f64 = 1e6;
/// Time constant of the mean number of requests in flight, and of the shared latency pressure after
/// a longer time without samples.
pub(crate) const UTILIZATION_TIME_CONSTANT_US: f64 = 3e6;

/// The shared concurrency limit. It is a token bucket that bounds the mean number of requests in
/// flight. Tokens are microseconds of request duration: a request takes as many as it lasts, and a
/// limit of `n` requests adds `n` per microsecond.
#[derive(Debug, Default)]
pub(crate) struct SharedLimit {
    /// Limit per available endpoint. Its trial and its backoff apply to all endpoints together.
    pub(crate) limit: ConcurrencyLimit,
    pub(crate) available_endpoints: f64,
    /// Number of requests in flight at all endpoints.
    pub(crate) in_flight: u32,
    /// Tokens that were taken before they were added, in microseconds of request duration.
    debt_us: f64,
    debt_updated_at: Micros,
    /// Mean number of requests in flight.
    pub(crate) mean_in_flight: f64,
    /// Moving average of the latency pressure of responses; above 1 the limit is cut.
    pub(crate) latency_pressure: f64,
    /// Sum of the samples' weights since the last cut. From 1 on, the latency pressure reflects the
    /// current limit.
    sample_weight: f64,
    cut_at: Micros,
    last_sample_at: Micros,
}

impl SharedLimit {
    /// Returns `None` if there are so few balancers that each endpoint has a limit of its own: the
    /// initial limit would be at least [`MIN_ENDPOINT_CONCURRENCY`].
    pub(crate) fn new(balancer_count: u32) -> Option<Self> {
        if ConcurrencyLimit::new(balancer_count).requests_per_step >= MIN_ENDPOINT_CONCURRENCY {
            return None;
        }
        let limit = ConcurrencyLimit::with_initial_limit(
            SHARED_INITIAL_CONCURRENCY,
            SHARED_CONCURRENCY_FLOOR,
            balancer_count,
        );
        Some(SharedLimit {
            limit,
            ..SharedLimit::default()
        })
    }

    /// The limit for all endpoints together, in requests.
    fn max_in_flight(&self) -> f64 {
        self.limit.max_in_flight() * self.available_endpoints
    }

    /// Deducts the tokens added since the last call from the debt, then adds `request_time` to it,
    /// which may be negative.
    fn charge_request_time(&mut self, now: Micros, request_time: f64) {
        let accrued = self.max_in_flight() * now.saturating_sub(self.debt_updated_at) as f64;
        self.debt_us = (self.debt_us - accrued).max(0.0) + request_time;
        self.debt_updated_at = now;
    }

    /// Counts an attempt that starts, and charges the mean latency of its class.
    pub(crate) fn begin_attempt(&mut self, now: Micros, mean_latency: f64) {
        self.in_flight += 1;
        self.charge_request_time(now, mean_latency);
    }

    /// Counts an attempt that has ended, and charges its actual duration in place of the typical
    /// latency.
    pub(crate) fn end_attempt(&mut self, now: Micros, elapsed: f64, mean_latency: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.charge_request_time(now, elapsed - mean_latency);
    }

    /// If an attempt was a trial of the shared limit, raises the limit or backs off.
    pub(crate) fn end_trial(
        &mut self,
        now: Micros,
        attempt: &Attempt,
        outcome: Outcome,
        initial_backoff: Micros,
    ) {
        if attempt.trial != Trial::Shared {
            return;
        }
        self.limit.trial_in_flight = false;
        if outcome == Outcome::Served {
            self.limit.raise();
        } else {
            self.limit.back_off(now, initial_backoff);
        }
    }

    /// Whether another request would exceed the limit.
    pub(crate) fn is_reached(&self, now: Micros, mean_latency: f64) -> bool {
        self.available_endpoints > 0.0 && self.available_at(mean_latency) > now
    }

    /// When the limit allows another request; not later than now if it does so already. The debt is
    /// ignored while one more request in flight would be within the limit, because it may stem from
    /// slow requests that have ended.
    fn available_at(&self, mean_latency: f64) -> Micros {
        if f64::from(self.in_flight) + 1.0 <= self.max_in_flight() {
            return self.debt_updated_at;
        }
        let excess = (self.debt_us - SHARED_BURST_REQUESTS * mean_latency).max(0.0);
        let wait = excess / self.max_in_flight().max(f64::MIN_POSITIVE);
        self.debt_updated_at.saturating_add(wait as Micros)
    }

    /// Records the latency pressure of a response, and cuts the limit if the average is too high.
    /// Attempts sent before the last cut don't count towards it, as they don't reflect the current
    /// limit.
    pub(crate) fn record_latency(
        &mut self,
        now: Micros,
        sent_at: Micros,
        latency_pressure: f64,
        elapsed: f64,
    ) {
        let gap = now.saturating_sub(self.last_sample_at) as f64;
        self.last_sample_at = now;
        self.mean_in_flight = self.mean_in_flight * (-gap / UTILIZATION_TIME_CONSTANT_US).exp()
            + elapsed / UTILIZATION_TIME_CONSTANT_US;
        if sent_at < self.cut_at {
            return;
        }
        // The weight grows with the time since the last sample, within bounds. After about 0.3 s
        // without a sample the second time constant gives a weight above these bounds, so that an
        // old average does not last.
        let weight_of_gap = |time_constant: f64| 1.0 - (-gap / time_constant).exp();
        let weight = weight_of_gap(SHARED_PRESSURE_TIME_CONSTANT_US)
            .clamp(MIN_SHARED_PRESSURE_SMOOTHING, LATENCY_SMOOTHING)
            .max(weight_of_gap(UTILIZATION_TIME_CONSTANT_US));
        self.latency_pressure += (latency_pressure - self.latency_pressure) * weight;
        self.sample_weight += weight;
        if self.latency_pressure > 1.0 && self.sample_weight >= 1.0 {
            self.cut(now);
        }
    }

    /// Cuts the limit, starting from the part of it that is in use.
    fn cut(&mut self, now: Micros) {
        // The mean lags behind the number in flight when the load has just started to rise.
        let used = self.mean_in_flight.max(f64::from(self.in_flight))
            / (f64::from(self.limit.steps) * self.available_endpoints.max(1.0));
        self.limit.requests_per_step = self.limit.requests_per_step.min(used.max(self.limit.floor));
        self.limit.cut(1.0 / self.latency_pressure, false);
        self.latency_pressure = self.latency_pressure.sqrt();
        self.sample_weight = 0.0;
        self.cut_at = now;
    }
}
