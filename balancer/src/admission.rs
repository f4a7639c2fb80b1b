//! Which requests are admitted to the pending queue. This depends on how long queued requests have
//! waited, on the request's priority and on its tenant's quota.

use crate::attempt::UploadState;
use crate::balancer::Balancer;
use crate::latency::SLACK_MEAN_LATENCIES;
use crate::request::Request;
use crate::{Action, Class, ClassId, FailureReason, Micros, RequestId, TenantId};

/// New requests are rejected if the first queued request has waited for longer than this fraction
/// of their latency objective, unless they have high priority.
const QUEUE_WAIT_OBJECTIVE_FRACTION: f64 = 0.1;
/// Fraction of that time that applies to requests of tenants over their quota.
const OVER_QUOTA_WAIT_FRACTION: f64 = 0.5;

impl Balancer {
    /// Adds a request that has arrived. If its class is not in the settings, it is treated as
    /// non-idempotent, with the time that its client waits as its latency objective.
    pub(crate) fn add_request(
        &mut self,
        now: Micros,
        id: RequestId,
        class: ClassId,
        time_left: Micros,
        is_non_replayable: bool,
    ) {
        let class_id = class.0;
        let unknown_class = Class {
            latency_objective: time_left,
            deadline: time_left,
            ..Class::default()
        };
        let request = Request {
            class: self
                .settings
                .classes
                .get(class_id)
                .copied()
                .unwrap_or(unknown_class),
            class_id,
            arrived_at: now,
            deadline: now.saturating_add(time_left),
            is_non_replayable,
            upload: if is_non_replayable {
                UploadState::WaitsForEndpoint
            } else {
                UploadState::Complete
            },
            ..Request::default()
        };
        self.requests.insert(id, request);
        self.retry_budget.add_request();
        if let Some(estimate) = self.latencies.get_mut(class_id) {
            estimate.request_count += 1.0;
        }
    }

    /// Queues a new request, or rejects it if it would wait too long.
    pub(crate) fn admit(
        &mut self,
        now: Micros,
        id: RequestId,
        tenant: Option<TenantId>,
        actions: &mut Vec<Action>,
    ) {
        let is_over_quota =
            tenant.is_some_and(|tenant| self.tenant_usage.record(tenant, &self.settings.tenants));
        let queue_wait = self.queue.front().map_or(0, |first| {
            now.saturating_sub(self.requests[&first].arrived_at)
        });
        if queue_wait > self.max_queue_wait(id, is_over_quota) {
            self.reject_or_fail(id, queue_wait, FailureReason::QueueFull, actions);
        } else {
            self.enqueue(now, id);
        }
    }

    /// The longest that the first queued request may have waited if this request is to be queued.
    /// Without this bound, all requests would be served late under overload.
    fn max_queue_wait(&self, id: RequestId, is_over_quota: bool) -> Micros {
        let request = &self.requests[&id];
        let mean_latency = self.mean_latency(request);
        let allowed_latency = request.response_due_at().saturating_sub(request.arrived_at) as f64;
        let default_wait = allowed_latency * QUEUE_WAIT_OBJECTIVE_FRACTION;
        let max_wait = if is_over_quota {
            default_wait * OVER_QUOTA_WAIT_FRACTION
        } else if self.is_high_priority(request) {
            default_wait.max(allowed_latency - SLACK_MEAN_LATENCIES * mean_latency)
        } else {
            default_wait
        };
        max_wait.min(allowed_latency - mean_latency).max(0.0) as Micros
    }

    /// Whether the request's class has so much priority weight per unit of work, compared to all
    /// requests, that serving it instead of others raises the score, even if those others are of
    /// the class with the worst results.
    fn is_high_priority(&self, request: &Request) -> bool {
        let mut total_weight = 0.0;
        let mut total_work = 0.0;
        for (estimate, class) in self.latencies.iter().zip(&self.settings.classes) {
            total_weight += estimate.request_count * class.priority_weight;
            total_work += estimate.request_count * estimate.unloaded;
        }
        let unloaded_latency = self
            .latencies
            .get(request.class_id)
            .map_or(f64::MAX, |estimate| estimate.unloaded);
        let relative_weight_per_work = request.class.priority_weight / unloaded_latency
            * total_work
            / total_weight.max(f64::MIN_POSITIVE);
        let score_weights = &self.settings.score_weights;
        score_weights.overall * relative_weight_per_work
            > score_weights.overall + score_weights.worst_class
    }

    /// Mean latency of a request's class, in microseconds.
    pub(crate) fn mean_latency(&self, request: &Request) -> f64 {
        self.latencies
            .mean(request.class_id, request.class.latency_objective)
    }
}
