//! The subset of the endpoints that this balancer sends to under a shared limit. The number of
//! requests that a balancer sends to each endpoint falls with the number of balancers and of
//! endpoints. If it sent to all, most requests would need a new connection, and there would be too
//! few outcomes per endpoint to judge it by.

use crate::balancer::Balancer;

const MIN_SUBSET_SIZE: usize = 8;
/// Mean number of requests in flight per endpoint beyond which the subset grows.
const SUBSET_REQUESTS_PER_ENDPOINT: f64 = 0.8;

impl Balancer {
    /// Number of endpoints that requests are spread over: all of them without a shared limit.
    pub(crate) fn subset_size(&self) -> usize {
        let needed = self.shared_limit.as_ref().map_or(f64::MAX, |shared_limit| {
            shared_limit.mean_in_flight / SUBSET_REQUESTS_PER_ENDPOINT
        });
        (needed as usize)
            .max(MIN_SUBSET_SIZE)
            .min(self.endpoints.len())
    }

    /// Indices of all endpoints as a ring, from this balancer's start on. The balancers' starts are
    /// spread evenly over the ring.
    pub(crate) fn subset_ring(&self) -> impl Iterator<Item = usize> + Clone {
        let len = self.endpoints.len();
        let balancer_index = self.settings.balancer_index as usize;
        let start = balancer_index * len / self.settings.balancer_count.max(1) as usize;
        (start..start + len).map(move |index| index % len)
    }
}
