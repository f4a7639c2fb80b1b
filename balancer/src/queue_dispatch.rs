//! Forwards queued requests as capacity appears.

use crate::attempt::Trial;
use crate::balancer::*;
use crate::request::Request;
use crate::selection::Route;
use crate::*;

impl Balancer {
    /// Puts a call into the hold; one that goes again is older than those waiting and goes to the
    /// front.
    pub(crate) fn enqueue(&mut self, now: Micros, id: RequestId, retry_or_abandon: bool) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.queued = true;
        self.set_queue_deadline(now, id);
        self.queue.insert(if retry_or_abandon { 0 } else { self.queue.len() }, id);
    }

    /// A call leaves the hold when a usual answer could not come in time, before its client gives
    /// up, and a repeat also when its window is over, as it can go nowhere from then on.
    pub(crate) fn set_queue_deadline(&mut self, now: Micros, id: RequestId) {
        let request = &self.requests[&id];
        let (class_id, latency_objective, last) = (
            request.class_id,
            request.class.latency_objective,
            request.deadline.saturating_sub(self.settings.clock_resolution),
        );
        let wake = request
            .objective_at()
            .saturating_sub(self.typical_latency(class_id, latency_objective) as Micros)
            .max(now + 1);
        let closes = request.attempt_deadline().unwrap_or(Micros::MAX);
        self.set_request_timer(id, wake.min(last.max(now)).min(closes).max(1));
    }

    pub(crate) fn dispatch_queue(&mut self, now: Micros, actions: &mut Actions) {
        for place in 0..self.endpoints.len() {
            let endpoint = &self.endpoints[place];
            if endpoint.is_awaiting_trial(now, self.served, &self.settings.slow_start)
                && self.is_zone_reachable(now, endpoint)
            {
                // Only a call that never went: a bound one may go to some servers alone.
                let mut queued = self.queue.iter().take(MAX_QUEUE_SCAN);
                let endpoint = &self.endpoints[place];
                let fits = |c: &Request| {
                    c.attempts.is_empty() && !c.non_replayable && endpoint.accepts_class(c.class_id, now)
                };
                if let Some(index) = queued.position(|id| fits(&self.requests[id])) {
                    let id = self.queue[index];
                    self.dequeue(index);
                    self.forward(now, id, place, Trial::Endpoint, actions);
                }
            }
        }
        let mut index = 0;
        while let Some(&id) = self.queue.get(index) {
            match self.route(now, id) {
                Route::Forward { endpoint, trial } => {
                    self.dequeue(index);
                    self.forward(now, id, endpoint, trial, actions);
                }
                Route::Reject { retry_after } => {
                    self.abandon(id, retry_after, FailureReason::NoEndpoint, actions)
                }
                // Arrival order: the first that stays keeps the rest, unless bound to some servers.
                Route::Queue if self.is_bound(now, id) && index < MAX_QUEUE_SCAN => index += 1,
                Route::Queue => break,
            }
        }
    }

    /// Whether a call may go to some servers alone, by what ran before or as others turn its class
    /// away.
    pub(crate) fn is_bound(&self, now: Micros, id: RequestId) -> bool {
        let request = &self.requests[&id];
        request.first_possibly_executed().is_some()
            || self.endpoints.iter().any(|s| s.listed && !s.accepts_class(request.class_id, now))
    }

    pub(crate) fn dequeue(&mut self, index: usize) {
        if let Some(request) = self.queue.remove(index).and_then(|id| self.requests.get_mut(&id)) {
            request.queued = false;
        }
    }
}
