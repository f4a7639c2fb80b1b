//! Forwards a request to the selected endpoint and counts the attempt there.

use crate::attempt::{Attempt, Trial};
use crate::balancer::Balancer;
use crate::endpoint::Endpoint;
use crate::request::Request;
use crate::{Action, Micros, RequestId};

fn new_attempt(now: Micros, request: &Request, endpoint: &Endpoint, trial: Trial) -> Attempt {
    Attempt {
        endpoint: endpoint.id,
        endpoint_listed_start: endpoint.listed_start,
        zone: endpoint.zone,
        cell: endpoint.cell,
        class_id: request.class_id,
        sent_at: now,
        trial,
        upload: request.upload,
        outcome: None,
    }
}

impl Balancer {
    /// Forwards a request. The attempt times out only when its client stops waiting: after an
    /// earlier timeout the endpoint would go on working on the request without it being counted.
    pub(crate) fn forward(
        &mut self,
        now: Micros,
        id: RequestId,
        index: usize,
        trial: Trial,
        actions: &mut Vec<Action>,
    ) {
        self.forwarded_count += 1;
        self.spend_slow_start_credit(now, index);
        let initial_backoff = self.initial_backoff();
        self.mark_trial(index, trial);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let endpoint = &self.endpoints[index];
        self.zone_outages
            .avoid_during_trial(endpoint.zone, now, initial_backoff);
        let clock_resolution = self.settings.clock_resolution;
        let start_within = request
            .attempt_deadline()
            .map(|end| end.saturating_sub(now + clock_resolution));
        let attempt = new_attempt(now, request, endpoint, trial);
        request.attempts.push(attempt);
        if attempt.upload.is_uploading() {
            self.count_upload(&attempt);
        } else {
            self.count_in_flight(now, &attempt);
        }
        actions.push(Action::Forward {
            request: id,
            endpoint: attempt.endpoint,
            start_within,
        });
        let hedge_at = self.hedge_at(now, &self.requests[&id]);
        self.set_request_timer(id, hedge_at);
    }

    fn mark_trial(&mut self, index: usize, trial: Trial) {
        match trial {
            Trial::None => {}
            Trial::Endpoint => self.endpoints[index].limit.trial_in_flight = true,
            Trial::Shared => {
                if let Some(shared_limit) = &mut self.shared_limit {
                    shared_limit.limit.trial_in_flight = true;
                }
            }
        }
    }

    /// The endpoint of an attempt; `None` if it is no longer kept or has restarted since.
    pub(crate) fn endpoint_of_attempt(&mut self, attempt: &Attempt) -> Option<&mut Endpoint> {
        let index = self.endpoints.index_of(attempt.endpoint)?;
        let endpoint = &mut self.endpoints[index];
        (endpoint.listed_start == attempt.endpoint_listed_start).then_some(endpoint)
    }

    /// Counts an attempt as in flight at its endpoint and under the shared limit.
    pub(crate) fn count_in_flight(&mut self, now: Micros, attempt: &Attempt) {
        if let Some(endpoint) = self.endpoint_of_attempt(attempt) {
            endpoint.in_flight += 1;
        }
        let mean_latency = self.mean_latency_of_attempt(attempt);
        if let Some(shared_limit) = &mut self.shared_limit {
            shared_limit.begin_attempt(now, mean_latency);
        }
    }

    /// Mean latency of an attempt's class, in microseconds.
    pub(crate) fn mean_latency_of_attempt(&self, attempt: &Attempt) -> f64 {
        let class = self.settings.classes.get(attempt.class_id);
        let latency_objective = class.map_or(0, |class| class.latency_objective);
        self.latencies.mean(attempt.class_id, latency_objective)
    }
}
