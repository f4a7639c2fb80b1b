//! The concurrency limit that all endpoints share.

use crate::concurrency_limit::*;
use crate::Micros;

/// The budget of all servers together, where one server's would be far under a call: a thousand
/// balancers at a call each would crowd it, and each meets it too seldom to learn what it takes. It
/// bounds the mean number in flight; its trial and its backoff are shared by all servers.
#[derive(Debug, Default)]
pub(crate) struct SharedLimit {
    pub(crate) limit: ConcurrencyLimit,
    pub(crate) available_endpoints: f64,
    /// Calls in flight at all servers.
    pub(crate) in_flight: u32,
    /// Time in flight that was taken ahead of the budget, and when that was reckoned.
    pub(crate) debt_us: f64,
    pub(crate) at: Micros,
    pub(crate) mean_in_flight: f64,
    pub(crate) latency_pressure: f64,
    /// Sum of the weights of the answers since the last cut; at 1 they make up the strain.
    pub(crate) sample_weight: f64,
    pub(crate) changed: Micros,
    pub(crate) heard: Micros,
}

impl SharedLimit {
    pub(crate) fn new(balancer_count: u32) -> Option<Self> {
        let of_all = |concurrency: f64| concurrency / f64::from(balancer_count.max(1));
        let (concurrency, floor) = (of_all(SHARED_INITIAL_CONCURRENCY), of_all(SHARED_CONCURRENCY_FLOOR));
        let limit = ConcurrencyLimit { steps: 1, concurrency, floor, ..ConcurrencyLimit::default() };
        (of_all(INITIAL_CONCURRENCY) < MIN_ENDPOINT_CONCURRENCY)
            .then(|| SharedLimit { limit, ..SharedLimit::default() })
    }

    pub(crate) fn total(&self) -> f64 {
        f64::from(self.limit.steps) * self.limit.concurrency * self.available_endpoints
    }

    pub(crate) fn charge(&mut self, now: Micros, time: f64) {
        let paid = self.total() * now.saturating_sub(self.at) as f64;
        (self.debt_us, self.at) = ((self.debt_us - paid).max(0.0) + time, now);
    }

    /// A budget of whole calls has room by what is out now: what slow calls took is no longer in
    /// flight.
    pub(crate) fn available_at(&self, typical_latency: f64) -> Micros {
        if f64::from(self.in_flight) + 1.0 <= self.total() {
            return self.at;
        }
        let over = (self.debt_us - SHARED_BURST_REQUESTS * typical_latency).max(0.0)
            / self.total().max(f64::MIN_POSITIVE);
        self.at.saturating_add(over as Micros)
    }

    /// Strain seen at whichever server lowers the budget, counted from what was used of it. Calls
    /// sent before the last cut tell nothing of it: cut for them too, a busy balancer would give up
    /// all in one jam.
    pub(crate) fn learn(&mut self, now: Micros, sent: Micros, latency_pressure: f64, elapsed: f64) {
        let gap = now.saturating_sub(self.heard) as f64;
        self.heard = now;
        self.mean_in_flight =
            self.mean_in_flight * (-gap / UTILIZATION_MEMORY_US).exp() + elapsed / UTILIZATION_MEMORY_US;
        if sent < self.changed {
            return;
        }
        let start_within = |memory: f64| 1.0 - (-gap / memory).exp();
        let weight = start_within(SHARED_PRESSURE_MEMORY_US)
            .clamp(MIN_SHARED_PRESSURE_SMOOTHING, LATENCY_SMOOTHING)
            .max(start_within(UTILIZATION_MEMORY_US));
        self.latency_pressure += (latency_pressure - self.latency_pressure) * weight;
        self.sample_weight += weight;
        if self.latency_pressure > 1.0 && self.sample_weight >= 1.0 {
            // The mean of some seconds is far under what is out when calls have only begun to come.
            let used = self.mean_in_flight.max(f64::from(self.in_flight))
                / (f64::from(self.limit.steps) * self.available_endpoints.max(1.0));
            self.limit.concurrency = self.limit.concurrency.min(used.max(self.limit.floor));
            self.limit.cut(1.0 / self.latency_pressure, false);
            self.latency_pressure = self.latency_pressure.sqrt();
            (self.sample_weight, self.changed) = (0.0, now);
        }
    }
}
