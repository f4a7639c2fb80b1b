//! Selects the endpoint for a request: the less loaded of two random ones in this balancer's
//! subset.

use crate::attempt::Trial;
use crate::balancer::Balancer;
use crate::endpoint::Endpoint;
use crate::{Micros, RequestId};

/// Where a request goes.
pub(crate) enum Route {
    /// To an endpoint, given by its index.
    Forward { endpoint: usize, trial: Trial },
    /// It waits in the queue: no endpoint can be sent it now, or the shared limit is reached.
    Queue,
    /// It is rejected, as all endpoints are ejected.
    Reject { retry_after: Micros },
}

impl Balancer {
    /// Selects an endpoint: the better of two random candidates or, if that is full, of two that
    /// have capacity or, if there are none, of two that may exceed their limit as a trial.
    pub(crate) fn route(&mut self, now: Micros, id: RequestId) -> Route {
        let mean_latency = self.latencies.longest_mean();
        let reached_limit = self
            .shared_limit
            .as_ref()
            .filter(|shared_limit| shared_limit.is_reached(now, mean_latency));
        let needs_shared_trial = reached_limit.is_some();
        if reached_limit.is_some_and(|shared_limit| {
            shared_limit.latency_pressure > 1.0 || !shared_limit.limit.is_trial_ready(now)
        }) {
            return Route::Queue;
        }
        let trial = if needs_shared_trial {
            Trial::Shared
        } else {
            Trial::None
        };
        let candidates = self.candidates(now, id);
        let with_capacity = self.filter_endpoints(&candidates, |endpoint| {
            !endpoint.is_full(now, &self.settings.slow_start)
        });
        let first_choice = self.pick_of_two(&candidates);
        if let Some(endpoint) = first_choice.filter(|endpoint| with_capacity.contains(endpoint)) {
            return Route::Forward { endpoint, trial };
        }
        let trial_candidates = self.filter_endpoints(&candidates, |endpoint| {
            self.may_exceed_limit(now, endpoint, mean_latency)
        });
        // Both are drawn even if the first is enough: drawing fewer random numbers would change the
        // decisions that a seed gives.
        let within_limit = self.pick_of_two(&with_capacity);
        let beyond_limit = self.pick_of_two(&trial_candidates);
        match (within_limit, beyond_limit) {
            (Some(endpoint), _) => Route::Forward { endpoint, trial },
            (None, Some(_)) if needs_shared_trial => Route::Queue,
            (None, Some(endpoint)) => Route::Forward {
                endpoint,
                trial: Trial::Endpoint,
            },
            (None, None) => self.queue_or_reject(now),
        }
    }

    /// Indices of the endpoints to choose from: the first ones on the ring that may be sent the
    /// request, at most as many as the subset has. Endpoints that accept its class, and then those
    /// that it has not been sent to, are preferred. Under a shared limit full endpoints are skipped
    /// while others have capacity, so a burst spills over to further endpoints, one request to
    /// each.
    fn candidates(&self, now: Micros, id: RequestId) -> Vec<usize> {
        let request = &self.requests[&id];
        let slow_start = &self.settings.slow_start;
        let clock_resolution = self.settings.clock_resolution;
        let is_allowed = |index: &usize| {
            let endpoint = &self.endpoints[*index];
            endpoint.is_usable(now, self.served_count, slow_start)
                && self.zone_outages.accepts_requests(endpoint.zone, now)
                && request.may_attempt(now, endpoint, clock_resolution)
        };
        let accepts_class = |index: &usize| {
            self.endpoints[*index]
                .class_rejections
                .accepts_class(request.class_id, now)
        };
        let is_untried = |index: &usize| request.has_not_tried(self.endpoints[*index].id);
        let has_capacity = |index: &usize| !self.endpoints[*index].is_full(now, slow_start);

        let allowed = || self.subset_ring().filter(is_allowed);
        let any_accepts = allowed().any(|index| accepts_class(&index));
        let accepting = || allowed().filter(|index| !any_accepts || accepts_class(index));
        let any_untried = accepting().any(|index| is_untried(&index));
        let preferred = || accepting().filter(|index| !any_untried || is_untried(index));
        let spills_over =
            self.shared_limit.is_some() && preferred().any(|index| has_capacity(&index));
        preferred()
            .filter(|index| !spills_over || has_capacity(index))
            .take(self.subset_size())
            .collect()
    }

    fn filter_endpoints(
        &self,
        indices: &[usize],
        predicate: impl Fn(&Endpoint) -> bool,
    ) -> Vec<usize> {
        indices
            .iter()
            .copied()
            .filter(|&index| predicate(&self.endpoints[index]))
            .collect()
    }

    /// Whether an endpoint may be sent a request beyond its limit, as the trial that raises the
    /// limit if it is served.
    fn may_exceed_limit(&self, now: Micros, endpoint: &Endpoint, mean_latency: f64) -> bool {
        endpoint.limit.is_trial_ready(now)
            && endpoint.latency_pressure <= 1.0
            && (endpoint.limit_changed_at == 0
                || endpoint.can_judge_limit_change(now, mean_latency))
            && endpoint.is_warm(now, &self.settings.slow_start)
    }

    /// Queues a request that cannot be sent to any endpoint now. If there are ready endpoints and
    /// all are ejected, rejects it; `retry_after` is the time until the first trial, but at least
    /// the initial backoff.
    fn queue_or_reject(&self, now: Micros) -> Route {
        let ready = self.endpoints.iter().filter(|endpoint| endpoint.is_ready);
        if !ready.clone().all(Endpoint::is_ejected) {
            return Route::Queue;
        }
        match ready.map(|endpoint| endpoint.limit.backoff_end).min() {
            None => Route::Queue,
            Some(first_trial) => Route::Reject {
                retry_after: first_trial.saturating_sub(now).max(self.initial_backoff()),
            },
        }
    }

    /// The better of two random endpoints: the one with fewer requests out at it, then the one in
    /// this balancer's zone, then the one with less latency pressure. Under a shared limit most
    /// choices are ties, because a balancer usually has less than one request in flight per
    /// endpoint; preferring its own zone would overload a zone that has more balancers than
    /// endpoints. There, ties go to the one whose latency pressure is at most 1, then to the one
    /// with less recent load.
    fn pick_of_two(&mut self, candidates: &[usize]) -> Option<usize> {
        let len = candidates.len() as u64;
        let offset = self.random_below(len);
        let first = *candidates.get(offset as usize)?;
        let step = 1 + self.random_below(len - 1);
        let second = candidates[((offset + step) % len) as usize];
        let forwarded_count = self.forwarded_count as f64;
        let subset_size = self.subset_size() as f64;
        let load = |index: usize| {
            let endpoint = &self.endpoints[index];
            let (is_less_preferred, tie_breaker) = if self.shared_limit.is_some() {
                let recent_load = endpoint.recent_load(forwarded_count, subset_size);
                (endpoint.latency_pressure > 1.0, recent_load)
            } else {
                let is_remote = self.settings.zone.is_some_and(|zone| zone != endpoint.zone);
                (is_remote, endpoint.latency_pressure)
            };
            (endpoint.outstanding(), is_less_preferred, tie_breaker)
        };
        Some(if load(second) < load(first) {
            second
        } else {
            first
        })
    }
}
