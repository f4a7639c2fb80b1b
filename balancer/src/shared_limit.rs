//! One concurrency limit for all endpoints together, where an endpoint's own would be far below one
//! request: each of very many balancers meets an endpoint too seldom to learn what it can take.

use crate::attempt::{Attempt, Trial};
use crate::concurrency_limit::ConcurrencyLimit;
use crate::latency::LATENCY_SMOOTHING;
use crate::{Micros, Outcome};

/// Endpoints share a limit if the initial one of each would be less than this many requests.
const MIN_ENDPOINT_CONCURRENCY: f64 = 0.5;
/// Requests in flight at an endpoint, from all balancers together: initially, and what cuts leave.
const SHARED_INITIAL_CONCURRENCY: f64 = 3.0;
const SHARED_CONCURRENCY_FLOOR: f64 = 0.35;
/// Requests of typical latency that may be forwarded at once.
const SHARED_BURST_REQUESTS: f64 = 2.0;
/// Weight of a new sample in the latency pressure, lower than that of one endpoint: samples are of
/// fast and slow endpoints and of all classes.
const MIN_SHARED_PRESSURE_SMOOTHING: f64 = LATENCY_SMOOTHING / 3.0;
/// Time over which samples make up the latency pressure where they are few.
const SHARED_PRESSURE_MEMORY_US: f64 = 1e6;
/// Time over which the mean number of requests in flight is taken.
pub(crate) const UTILIZATION_MEMORY_US: f64 = 3e6;

/// The shared concurrency limit. It bounds the mean number of requests in flight: each uses up
/// request time, which accrues at the limit's rate.
#[derive(Debug, Default)]
pub(crate) struct SharedLimit {
    /// Requests in flight per available endpoint; its trial and backoff are those of all endpoints.
    pub(crate) limit: ConcurrencyLimit,
    pub(crate) available_endpoints: f64,
    /// Requests in flight at all endpoints.
    pub(crate) in_flight: u32,
    /// Request time used ahead of the limit, in microseconds.
    debt_us: f64,
    debt_updated_at: Micros,
    /// Mean number of requests in flight.
    pub(crate) mean_in_flight: f64,
    /// Time of responses relative to their limit; above 1 the limit is cut.
    pub(crate) latency_pressure: f64,
    /// Sum of the samples' weights since the last cut; from 1 on they make up the pressure.
    sample_weight: f64,
    cut_at: Micros,
    last_sample_at: Micros,
}

impl SharedLimit {
    /// `None` if there are so few balancers that each endpoint has a limit of its own.
    pub(crate) fn new(balancer_count: u32) -> Option<Self> {
        if ConcurrencyLimit::new(balancer_count).concurrency >= MIN_ENDPOINT_CONCURRENCY {
            return None;
        }
        let limit = ConcurrencyLimit::with_concurrency(
            SHARED_INITIAL_CONCURRENCY,
            SHARED_CONCURRENCY_FLOOR,
            balancer_count,
        );
        Some(SharedLimit {
            limit,
            ..SharedLimit::default()
        })
    }

    /// The limit at all endpoints together, in requests.
    fn total(&self) -> f64 {
        self.limit.total() * self.available_endpoints
    }

    fn charge(&mut self, now: Micros, request_time: f64) {
        let accrued = self.total() * now.saturating_sub(self.debt_updated_at) as f64;
        self.debt_us = (self.debt_us - accrued).max(0.0) + request_time;
        self.debt_updated_at = now;
    }

    /// Counts an attempt that begins, at a class's typical latency.
    pub(crate) fn begin_attempt(&mut self, now: Micros, typical_latency: f64) {
        self.in_flight += 1;
        self.charge(now, typical_latency);
    }

    /// Counts an attempt that has ended, at its real time instead of the typical latency.
    pub(crate) fn end_attempt(&mut self, now: Micros, elapsed: f64, typical_latency: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.charge(now, elapsed - typical_latency);
    }

    /// Raises the limit, or backs off, if an attempt was its trial.
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

    /// Whether a further request would exceed the limit.
    pub(crate) fn is_reached(&self, now: Micros, typical_latency: f64) -> bool {
        self.available_endpoints > 0.0 && self.available_at(typical_latency) > now
    }

    /// When the limit allows another request. One of whole requests goes by the number in flight:
    /// the request time that slow ones have used says nothing of the present load.
    fn available_at(&self, typical_latency: f64) -> Micros {
        if f64::from(self.in_flight) + 1.0 <= self.total() {
            return self.debt_updated_at;
        }
        let excess = (self.debt_us - SHARED_BURST_REQUESTS * typical_latency).max(0.0);
        let wait = excess / self.total().max(f64::MIN_POSITIVE);
        self.debt_updated_at.saturating_add(wait as Micros)
    }

    /// Records a response's latency pressure and cuts the limit when that is high. Attempts sent
    /// before the last cut tell nothing of the present limit and don't count.
    pub(crate) fn record_latency(
        &mut self,
        now: Micros,
        sent_at: Micros,
        latency_pressure: f64,
        elapsed: f64,
    ) {
        let gap = now.saturating_sub(self.last_sample_at) as f64;
        self.last_sample_at = now;
        self.mean_in_flight = self.mean_in_flight * (-gap / UTILIZATION_MEMORY_US).exp()
            + elapsed / UTILIZATION_MEMORY_US;
        if sent_at < self.cut_at {
            return;
        }
        let weight_of_gap = |memory: f64| 1.0 - (-gap / memory).exp();
        let weight = weight_of_gap(SHARED_PRESSURE_MEMORY_US)
            .clamp(MIN_SHARED_PRESSURE_SMOOTHING, LATENCY_SMOOTHING)
            .max(weight_of_gap(UTILIZATION_MEMORY_US));
        self.latency_pressure += (latency_pressure - self.latency_pressure) * weight;
        self.sample_weight += weight;
        if self.latency_pressure > 1.0 && self.sample_weight >= 1.0 {
            self.cut(now);
        }
    }

    /// Cuts the limit, from what is in use of it.
    fn cut(&mut self, now: Micros) {
        // The mean lags behind the number in flight when load has just begun to rise.
        let used = self.mean_in_flight.max(f64::from(self.in_flight))
            / (f64::from(self.limit.steps) * self.available_endpoints.max(1.0));
        self.limit.concurrency = self.limit.concurrency.min(used.max(self.limit.floor));
        self.limit.cut(1.0 / self.latency_pressure, false);
        self.latency_pressure = self.latency_pressure.sqrt();
        self.sample_weight = 0.0;
        self.cut_at = now;
    }
}
