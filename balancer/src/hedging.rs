//! Hedged requests.

use crate::attempt::Trial;
use crate::balancer::*;
use crate::endpoint::Endpoint;
use crate::selection::Route;
use crate::*;

impl Balancer {
    /// A second copy for a call that is late on a server that may have stalled, while others have
    /// room.
    pub(crate) fn forward_hedge(&mut self, now: Micros, id: RequestId, actions: &mut Actions) {
        let request = &self.requests[&id];
        let clock_resolution = self.settings.clock_resolution;
        let more = (request.attempts.len() as u32) < self.settings.limits.max_attempts
            && request.in_flight_count() == 1;
        let some = |s: &Endpoint| {
            s.is_usable(now, self.served, &self.settings.slow_start)
                && request.may_attempt(now, s, clock_resolution)
                && request.is_untried(s.id)
        };
        let slack = self.retry_budget >= HEDGING_RETRY_RESERVE + 1.0 && self.queue.is_empty();
        if !more || !slack || !self.endpoints.iter().any(some) {
            return;
        }
        if let Route::Forward { endpoint, trial: Trial::None } = self.route(now, id) {
            self.retry_budget -= 1.0;
            self.forward(now, id, endpoint, Trial::None, actions);
        }
    }
}
