//! The subset of the endpoints that this balancer sends to.

use crate::balancer::*;

impl Balancer {
    /// How many servers calls are spread over: a thin balancer that went to all would open a
    /// connection for nearly every call, past what servers accept, and would learn of none of them.
    pub(crate) fn subset_size(&self) -> usize {
        let busy =
            self.shared_limit.as_ref().map_or(f64::MAX, |p| p.mean_in_flight / SUBSET_REQUESTS_PER_ENDPOINT);
        (busy as usize).max(MIN_SUBSET_SIZE).min(self.endpoints.len())
    }

    /// All servers from this balancer's place on: places are at even distances on the ring of
    /// servers.
    pub(crate) fn subset_ring(&self) -> impl Iterator<Item = usize> + Clone {
        let len = self.endpoints.len();
        let start =
            self.settings.balancer_index as usize * len / self.settings.balancer_count.max(1) as usize;
        (start..start + len).map(move |i| i % len)
    }
}
