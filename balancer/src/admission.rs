//! Which requests join the pending queue.

use crate::balancer::*;
use crate::concurrency_limit::LATENCY_SMOOTHING;
use crate::request::Request;
use crate::*;

impl Balancer {
    pub(crate) fn receive_request(&mut self, now: Micros, id: RequestId, class: ClassId, left: Micros) {
        // A class that the settings do not name is unsafe and wanted while the client waits.
        let unknown = Class { latency_objective: left, deadline: left, ..Class::default() };
        let spec = self.settings.classes.get(class.0).copied().unwrap_or(unknown);
        let deadline = now.saturating_add(left);
        let (class, class_id, arrived) = (spec, class.0, now);
        self.requests.insert(id, Request { class, class_id, arrived, deadline, ..Request::default() });
        self.retry_budget = (self.retry_budget + RETRIES_PER_REQUEST).min(MAX_RETRY_BUDGET);
        self.latencies.iter_mut().skip(class_id).take(1).for_each(|p| p.request_count += 1.0);
    }

    /// Lets a new call join the hold, unless it would wait too long there.
    pub(crate) fn admit(
        &mut self,
        now: Micros,
        id: RequestId,
        tenant: Option<TenantId>,
        actions: &mut Actions,
    ) {
        let is_over_quota = tenant.is_some_and(|t| self.is_over_quota(t));
        let waited = self.queue.front().map_or(0, |head| now.saturating_sub(self.requests[head].arrived));
        if waited > self.queue_wait_limit(id, is_over_quota) {
            self.abandon(id, waited, FailureReason::QueueFull, actions);
        } else {
            self.enqueue(now, id, false);
        }
    }

    /// How long may the hold's head have waited for this call to join? Without a bound all would be
    /// served late. Classes whose worth for their work outweighs the goal's part of the worst class
    /// wait longest.
    pub(crate) fn queue_wait_limit(&self, id: RequestId, is_over_quota: bool) -> Micros {
        let request = &self.requests[&id];
        let typical_latency = self.typical_latency(request.class_id, request.class.latency_objective);
        let latency_objective = request.objective_at().saturating_sub(request.arrived) as f64;
        let limit = match is_over_quota {
            true => latency_objective * QUEUE_WAIT_OBJECTIVE_FRACTION / 2.0,
            false if self.is_high_priority(request) => (latency_objective * QUEUE_WAIT_OBJECTIVE_FRACTION)
                .max(latency_objective - SLACK_TYPICAL_LATENCIES * typical_latency),
            false => latency_objective * QUEUE_WAIT_OBJECTIVE_FRACTION,
        };
        limit.min(latency_objective - typical_latency).max(0.0) as Micros
    }

    pub(crate) fn is_high_priority(&self, request: &Request) -> bool {
        let all = self.latencies.iter().zip(&self.settings.classes);
        let (priority_weight, work) = all.fold((0.0, 0.0), |(w, t), (p, c)| {
            (w + p.request_count * c.priority_weight, t + p.request_count * p.base)
        });
        let base = self.latencies.get(request.class_id).map_or(f64::MAX, |p| p.base);
        let density = request.class.priority_weight / base * work / priority_weight.max(f64::MIN_POSITIVE);
        let score_weights = &self.settings.score_weights;
        score_weights.overall * density > score_weights.overall + score_weights.worst_class
    }

    /// Counts a tenant's call and tells whether it asks for more than its share of this balancer's
    /// calls.
    pub(crate) fn is_over_quota(&mut self, tenant: TenantId) -> bool {
        let Some(share) = self.settings.tenants.get(tenant.0).map(|t| t.quota) else { return true };
        for (index, asked) in self.tenants.iter_mut().enumerate() {
            *asked += (if index == tenant.0 { 1.0 } else { 0.0 } - *asked) * LATENCY_SMOOTHING / 10.0;
        }
        let all: f64 = self.tenants.iter().sum();
        self.tenants[tenant.0] > all * share * 1.1
    }
}
