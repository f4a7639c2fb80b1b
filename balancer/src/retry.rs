//! Decides whether a request is retried after an attempt that was not served.

use crate::balancer::Balancer;
use crate::request::Request;
use crate::{Action, FailureReason, Micros, Outcome, RequestId};

impl Balancer {
    /// Queues a request for a retry, or rejects or fails it.
    pub(crate) fn retry_or_give_up(
        &mut self,
        now: Micros,
        id: RequestId,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        // A connection that could not be established cost the endpoint nothing, so the request is
        // retried even if the budget is used up.
        let is_within_budget =
            self.retry_budget.allows_retry() || outcome == Outcome::ConnectFailed;
        if is_within_budget && self.may_retry(now, &self.requests[&id], outcome) {
            self.retry_budget.spend();
            self.enqueue_retry(now, id);
        } else {
            self.reject_or_fail(
                id,
                self.initial_backoff(),
                FailureReason::AttemptsExhausted,
                actions,
            );
        }
    }

    /// Whether a retry is allowed, can be in time, and has an endpoint that it may be sent to.
    fn may_retry(&self, now: Micros, request: &Request, outcome: Outcome) -> bool {
        let is_in_time = now as f64 + self.mean_latency(request) < request.response_due_at() as f64;
        let is_body_lost = request.is_non_replayable
            && !matches!(outcome, Outcome::ConnectFailed | Outcome::NeverSent);
        is_in_time
            && !is_body_lost
            && self.has_attempts_left(request)
            && self.endpoints.iter().any(|endpoint| {
                endpoint.is_ready
                    && request.may_attempt(now, endpoint, self.settings.clock_resolution)
            })
    }

    pub(crate) fn has_attempts_left(&self, request: &Request) -> bool {
        (request.attempts.len() as u32) < self.settings.limits.max_attempts
    }
}
