//! How many requests an endpoint gets while it warms up: one for each unit of credit, which it is
//! granted with each request that is served, or at times that are safe without any.

use crate::balancer::Balancer;
use crate::endpoint::Endpoint;
use crate::outlier_detection::EJECTION_FAILURE_RATE;
use crate::Micros;

/// Fraction of the overload multiple that endpoints are sent while they warm up under a shared
/// limit: requests and endpoints are uneven, and each endpoint is in the subset of few balancers.
const SLOW_START_OVERLOAD_FRACTION: f64 = 0.24;

/// The endpoints within reach of the subset, and the capacity of those in service among them.
#[derive(Debug, Default)]
struct Reach {
    indices: Vec<usize>,
    /// Sums over the endpoints in service of weighted warm-up, of warm-up, and of 1.
    weighted_capacity: f64,
    capacity: f64,
    in_service: f64,
}

impl Balancer {
    /// Grants each endpoint that warms up its part of a request, for one that was served: its
    /// present capacity as a fraction of that of all in reach. Under a shared limit this is
    /// multiplied by a part of the overload multiple. Any number of balancers together stay within
    /// the endpoint's capacity so. Endpoints out of reach get none: they would be sent all of it at
    /// once later.
    pub(crate) fn grant_slow_start_credit(&mut self, now: Micros) {
        let slow_start = &self.settings.slow_start;
        if self
            .endpoints
            .iter()
            .all(|e| !e.is_listed || e.is_warm(now, slow_start))
        {
            return;
        }
        let reach = self.reach(now);
        // A new endpoint's weight counts up to the mean, as its initial load is low whatever its
        // size.
        let (fraction, max_weight) = if self.shared_limit.is_some() {
            let multiple = slow_start.overload_multiple * SLOW_START_OVERLOAD_FRACTION;
            (
                multiple / reach.weighted_capacity,
                reach.weighted_capacity / reach.capacity,
            )
        } else {
            (
                1.0 / reach.weighted_capacity,
                reach.weighted_capacity / reach.in_service,
            )
        };
        for index in reach.indices {
            let endpoint = &mut self.endpoints[index];
            let weight = endpoint.weight.min(max_weight);
            let share = (fraction * weight).min(1.0) * endpoint.warm_up(now, slow_start);
            // A few balancers count in whole requests: where all endpoints warm up, shares that add
            // up to less than a request would let none through.
            let credit = if self.shared_limit.is_some() {
                share
            } else {
                (1.0 / share).floor().recip()
            };
            endpoint.slow_start_credit = (endpoint.slow_start_credit + credit).min(1.0 + credit);
        }
    }

    /// The listed endpoints from this balancer's place on the ring, up to the last of its subset.
    fn reach(&self, now: Micros) -> Reach {
        let slow_start = &self.settings.slow_start;
        let mut reach = Reach::default();
        let mut left = self.subset_size();
        for index in self.subset_ring() {
            if left == 0 {
                break;
            }
            let endpoint = &self.endpoints[index];
            if !endpoint.is_listed {
                continue;
            }
            reach.indices.push(index);
            if self.is_in_service(endpoint) {
                let warm_up = endpoint.warm_up(now, slow_start);
                reach.weighted_capacity += endpoint.weight * warm_up;
                reach.capacity += warm_up;
                reach.in_service += 1.0;
            }
            if endpoint.is_usable(now, self.served_count, slow_start) {
                left -= 1;
            }
        }
        reach
    }

    /// Whether an endpoint serves a part of the requests. One that was ejected as slow counts too,
    /// as it is only left alone for a while and others serve more meanwhile.
    fn is_in_service(&self, endpoint: &Endpoint) -> bool {
        !endpoint.is_ejected()
            || self.shared_limit.is_some() && endpoint.failure_rate < EJECTION_FAILURE_RATE / 2.0
    }

    /// Takes the credit for a request that is forwarded to an endpoint, and sets when the next may
    /// follow without any.
    pub(crate) fn account_for_slow_start(&mut self, now: Micros, index: usize) {
        let interval = self.slow_start_interval(now, &self.endpoints[index]);
        let endpoint = &mut self.endpoints[index];
        endpoint.slow_start_credit = (endpoint.slow_start_credit - 1.0).max(0.0);
        endpoint.slow_start_due_at = now.saturating_add(interval);
    }

    /// The time between requests without credit that leaves less than one in flight from all
    /// balancers together.
    pub(crate) fn slow_start_interval(&self, now: Micros, endpoint: &Endpoint) -> Micros {
        let warm_up = endpoint.warm_up(now, &self.settings.slow_start);
        let balancers = f64::from(self.settings.balancer_count);
        (self.settings.longest_latency_objective() * balancers / warm_up) as Micros
    }
}
