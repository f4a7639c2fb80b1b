//! Forwards queued requests as capacity becomes available.

use crate::attempt::Trial;
use crate::balancer::Balancer;
use crate::request::Request;
use crate::selection::Route;
use crate::{Action, FailureReason, Micros, RequestId};

/// Maximum number of queued requests that are inspected after the first at each event. It bounds
/// the CPU time that a long queue costs.
const MAX_QUEUE_SCAN: usize = 16;

impl Balancer {
    /// Queues a request that has just arrived.
    pub(crate) fn enqueue(&mut self, now: Micros, id: RequestId) {
        self.queue.push_back(id);
        self.mark_queued(now, id);
    }

    /// Queues a request for another attempt, ahead of the others as it is older.
    pub(crate) fn enqueue_retry(&mut self, now: Micros, id: RequestId) {
        self.queue.push_front(id);
        self.mark_queued(now, id);
    }

    fn mark_queued(&mut self, now: Micros, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.is_queued = true;
            self.set_queue_deadline(now, id);
        }
    }

    /// Sets the timer at which a request leaves the queue without a further attempt: when a
    /// response of mean latency would be late, but before its client stops waiting, and for a
    /// retry no later than the end of its deduplication window.
    pub(crate) fn set_queue_deadline(&mut self, now: Micros, id: RequestId) {
        let request = &self.requests[&id];
        let last_reply_at = request
            .deadline
            .saturating_sub(self.settings.clock_resolution);
        let last_useful_start = request
            .response_due_at()
            .saturating_sub(self.mean_latency(request) as Micros);
        let window_end = request.attempt_deadline().unwrap_or(Micros::MAX);
        let leave_at = last_useful_start
            .max(now + 1)
            .min(last_reply_at.max(now))
            .min(window_end)
            .max(1);
        self.set_request_timer(id, Some(leave_at));
    }

    /// Forwards a queued request as a trial to each ejected endpoint whose trial is due.
    pub(crate) fn forward_readmission_trials(&mut self, now: Micros, actions: &mut Vec<Action>) {
        for index in 0..self.endpoints.len() {
            if let Some(position) = self.find_trial_request(now, index) {
                self.forward_queued_at(now, position, index, Trial::Endpoint, actions);
            }
        }
    }

    /// Position in the queue of a request for the trial of an ejected endpoint, if the trial is
    /// due. The request must not have been attempted before: a retry may be restricted to some
    /// endpoints.
    fn find_trial_request(&self, now: Micros, index: usize) -> Option<usize> {
        let endpoint = &self.endpoints[index];
        if !endpoint.is_awaiting_trial(now, self.served_count, &self.settings.slow_start)
            || !self.zone_outages.accepts_requests(endpoint.zone, now)
        {
            return None;
        }
        let is_suitable = |request: &Request| {
            request.attempts.is_empty()
                && !request.is_non_replayable
                && endpoint
                    .class_rejections
                    .accepts_class(request.class_id, now)
        };
        self.queue
            .iter()
            .take(MAX_QUEUE_SCAN)
            .position(|id| is_suitable(&self.requests[&id]))
    }

    /// Forwards queued requests in order, up to the first that has to wait although it may be sent
    /// to any endpoint: those behind it would have to wait too.
    pub(crate) fn forward_queued(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let mut position = 0;
        while let Some(id) = self.queue.get(position) {
            match self.route(now, id) {
                Route::Forward { endpoint, trial } => {
                    self.forward_queued_at(now, position, endpoint, trial, actions);
                }
                Route::Reject { retry_after } => {
                    self.reject_or_fail(id, retry_after, FailureReason::NoEndpoint, actions);
                }
                Route::Queue => {
                    if position >= MAX_QUEUE_SCAN || !self.is_restricted(now, id) {
                        break;
                    }
                    position += 1;
                }
            }
        }
    }

    fn forward_queued_at(
        &mut self,
        now: Micros,
        position: usize,
        endpoint: usize,
        trial: Trial,
        actions: &mut Vec<Action>,
    ) {
        let Some(id) = self.queue.get(position) else {
            return;
        };
        self.queue.remove_at(position);
        if let Some(request) = self.requests.get_mut(&id) {
            request.is_queued = false;
        }
        self.forward(now, id, endpoint, trial, actions);
    }

    /// Whether a request may be sent only to some endpoints, because of its earlier attempts or
    /// because some endpoints reject its class.
    fn is_restricted(&self, now: Micros, id: RequestId) -> bool {
        let request = &self.requests[&id];
        request.first_possibly_executed().is_some()
            || self.endpoints.iter().any(|endpoint| {
                endpoint.is_ready
                    && !endpoint
                        .class_rejections
                        .accepts_class(request.class_id, now)
            })
    }

    /// Rejects or fails a request that has been queued for too long.
    pub(crate) fn expire_queued(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let waited = now.saturating_sub(self.requests[&id].arrived_at);
        self.reject_or_fail(id, waited, FailureReason::QueueTimeout, actions);
    }
}
