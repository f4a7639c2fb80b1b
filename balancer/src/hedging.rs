//! Hedged requests: a second attempt for a request whose first attempt may be at a stalled
//! endpoint.

use crate::attempt::Trial;
use crate::balancer::Balancer;
use crate::endpoint::Endpoint;
use crate::latency::SLACK_MEAN_LATENCIES;
use crate::request::Request;
use crate::selection::Route;
use crate::{Action, Micros, RequestId};

impl Balancer {
    /// When to hedge a request that was forwarded for the first time: when [`SLACK_MEAN_LATENCIES`]
    /// mean latencies remain until the response is due, but not before the tail latency of its
    /// class has passed since its arrival. `None` if a second attempt would then be late. Also
    /// `None` under a shared limit: a balancer sends too few requests to an endpoint there to
    /// recognize that it is stalled, so hedging would only add load.
    pub(crate) fn hedge_at(&self, now: Micros, request: &Request) -> Option<Micros> {
        let is_allowed = request.attempts.len() == 1
            && !request.is_non_replayable
            && self.settings.limits.hedging
            && self.shared_limit.is_none();
        if !is_allowed {
            return None;
        }
        let tail_latency = self
            .latencies
            .get(request.class_id)
            .map_or(f64::MAX, |estimate| estimate.tail);
        let mean_latency = self.mean_latency(request);
        let response_due_at = request.response_due_at() as f64;
        let hedge_at = (response_due_at - SLACK_MEAN_LATENCIES * mean_latency)
            .max(request.arrived_at as f64 + tail_latency);
        (hedge_at + mean_latency <= response_due_at).then(|| (hedge_at as Micros).max(now + 1))
    }

    /// Hedges a request if it has attempts left, nothing is queued, the retry budget allows it, and
    /// an endpoint that it has not been sent to has capacity.
    pub(crate) fn forward_hedge(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let request = &self.requests[&id];
        let is_candidate = |endpoint: &Endpoint| {
            endpoint.is_usable(now, self.served_count, &self.settings.slow_start)
                && request.may_attempt(now, endpoint, self.settings.clock_resolution)
                && request.has_not_tried(endpoint.id)
        };
        let is_allowed = self.has_attempts_left(request)
            && request.in_flight_count() == 1
            && self.retry_budget.allows_hedge()
            && self.queue.is_empty()
            && self.endpoints.iter().any(is_candidate);
        if !is_allowed {
            return;
        }
        if let Route::Forward {
            endpoint,
            trial: Trial::None,
        } = self.route(now, id)
        {
            self.retry_budget.spend();
            self.forward(now, id, endpoint, Trial::None, actions);
        }
    }
}
