//! Slow start: limits the requests to an endpoint that warms up. Each request that is served grants
//! the endpoint some credit, and each request sent to it costs one unit. Without credit it gets a
//! request after an interval that is long enough to be safe.

use crate::balancer::Balancer;
use crate::endpoint::Endpoint;
use crate::outlier_detection::EJECTION_FAILURE_RATE;
use crate::Micros;

/// Load that endpoints are sent during slow start under a shared limit, as a fraction of the
/// overload multiple. It is low because requests differ in work and endpoints in capacity, and the
/// few balancers whose subsets contain an endpoint don't average this out.
const SLOW_START_OVERLOAD_FRACTION: f64 = 0.24;

/// The ready endpoints from this balancer's position on the ring up to the last one of its subset,
/// and the capacity of those in service.
#[derive(Debug, Default)]
struct SubsetRange {
    indices: Vec<usize>,
    /// Sum of weight times warm-up over the endpoints in service.
    weighted_capacity: f64,
    /// Sum of warm-up over the endpoints in service.
    capacity: f64,
    /// Number of endpoints in service.
    in_service_count: f64,
}

impl Balancer {
    /// Grants credit for one served request to the endpoints of the subset range: to each its
    /// current capacity as a fraction of the capacity of the range, multiplied under a shared limit
    /// by a part of the overload multiple. In this way any number of balancers together stay within
    /// the capacity of an endpoint that warms up. Endpoints outside the range get no credit, as
    /// balancers would later use all of it at the same time.
    pub(crate) fn grant_slow_start_credit(&mut self, now: Micros) {
        let slow_start = &self.settings.slow_start;
        if self
            .endpoints
            .iter()
            .all(|endpoint| !endpoint.is_ready || endpoint.is_warm(now, slow_start))
        {
            return;
        }
        let subset_range = self.subset_range(now);
        // The weight of an endpoint counts only up to the mean, as the initial load of a new
        // endpoint is low whatever its size.
        let (fraction, max_weight) = if self.shared_limit.is_some() {
            let multiple = slow_start.overload_multiple * SLOW_START_OVERLOAD_FRACTION;
            (
                multiple / subset_range.weighted_capacity,
                subset_range.weighted_capacity / subset_range.capacity,
            )
        } else {
            (
                1.0 / subset_range.weighted_capacity,
                subset_range.weighted_capacity / subset_range.in_service_count,
            )
        };
        for index in subset_range.indices {
            let endpoint = &mut self.endpoints[index];
            let weight = endpoint.weight.min(max_weight);
            let share = (fraction * weight).min(1.0) * endpoint.warm_up_fraction(now, slow_start);
            // Without a shared limit the credit is the share rounded up to one over a whole number:
            // if all endpoints warm up, shares that add up to less than one request would let none
            // through.
            let credit = if self.shared_limit.is_some() {
                share
            } else {
                (1.0 / share).floor().recip()
            };
            endpoint.slow_start_credit = (endpoint.slow_start_credit + credit).min(1.0 + credit);
        }
    }

    /// The ready endpoints from this balancer's position on the ring up to the last endpoint of its
    /// subset.
    fn subset_range(&self, now: Micros) -> SubsetRange {
        let slow_start = &self.settings.slow_start;
        let mut subset_range = SubsetRange::default();
        let mut remaining = self.subset_size();
        for index in self.subset_ring() {
            if remaining == 0 {
                break;
            }
            let endpoint = &self.endpoints[index];
            if !endpoint.is_ready {
                continue;
            }
            subset_range.indices.push(index);
            if self.is_in_service(endpoint) {
                let warm_up_fraction = endpoint.warm_up_fraction(now, slow_start);
                subset_range.weighted_capacity += endpoint.weight * warm_up_fraction;
                subset_range.capacity += warm_up_fraction;
                subset_range.in_service_count += 1.0;
            }
            if endpoint.is_usable(now, self.served_count, slow_start) {
                remaining -= 1;
            }
        }
        subset_range
    }

    /// Whether an endpoint counts towards the capacity of the range. Under a shared limit this
    /// includes an ejected endpoint whose failure rate is low: it was ejected for being slow and is
    /// expected to be readmitted, and the other endpoints serve its requests meanwhile.
    fn is_in_service(&self, endpoint: &Endpoint) -> bool {
        !endpoint.is_ejected()
            || self.shared_limit.is_some() && endpoint.failure_rate < EJECTION_FAILURE_RATE / 2.0
    }

    /// Deducts the credit for a request that is forwarded to an endpoint, and sets when the next
    /// one may follow without credit.
    pub(crate) fn spend_slow_start_credit(&mut self, now: Micros, index: usize) {
        let interval = self.slow_start_interval(now, &self.endpoints[index]);
        let endpoint = &mut self.endpoints[index];
        endpoint.slow_start_credit = (endpoint.slow_start_credit - 1.0).max(0.0);
        endpoint.slow_start_due_at = now.saturating_add(interval);
    }

    /// Interval between requests that this balancer sends to an endpoint without credit. It is so
    /// long that all balancers together have on average less than one such request in flight at the
    /// endpoint, as long as responses arrive within the longest latency objective.
    pub(crate) fn slow_start_interval(&self, now: Micros, endpoint: &Endpoint) -> Micros {
        let warm_up_fraction = endpoint.warm_up_fraction(now, &self.settings.slow_start);
        let balancers = f64::from(self.settings.balancer_count);
        (self.settings.longest_latency_objective() * balancers / warm_up_fraction) as Micros
    }
}
