//! Whether a request is retried after an attempt that failed.

use crate::balancer::*;
use crate::*;

impl Balancer {
    /// After an attempt that did not serve: again, or the end.
    pub(crate) fn retry_or_abandon(
        &mut self,
        now: Micros,
        id: RequestId,
        outcome: Outcome,
        actions: &mut Actions,
    ) {
        let request = &self.requests[&id];
        let in_time = now as f64 + self.typical_latency(request.class_id, request.class.latency_objective)
            < request.objective_at() as f64;
        let some = self
            .endpoints
            .iter()
            .any(|s| s.listed && request.may_attempt(now, s, self.settings.clock_resolution));
        let spent = request.non_replayable && !matches!(outcome, Outcome::ConnectFailed | Outcome::NeverSent);
        let more = (request.attempts.len() as u32) < self.settings.limits.max_attempts && !spent;
        if in_time && some && more && (self.retry_budget >= 1.0 || outcome == Outcome::ConnectFailed) {
            self.retry_budget = (self.retry_budget - 1.0).max(0.0);
            self.enqueue(now, id, true);
        } else {
            self.abandon(id, self.initial_backoff(), FailureReason::AttemptsExhausted, actions);
        }
    }
}
