//! Hedged requests.

use crate::attempt::Trial;
use crate::balancer::*;
use crate::endpoint::Endpoint;
use crate::selection::Route;
use crate::*;

impl Balancer {
    /// A second copy for a call that is late on a server that may have stalled, while others have
    /// room.
    pub(crate) fn send_hedge(&mut self, now: Micros, id: RequestId, actions: &mut Actions) {
        let request = &self.requests[&id];
        let clock_resolution = self.settings.clock_resolution;
        let more = (request.attempts.len() as u32) < self.settings.limits.max_attempts && request.out() == 1;
        let some = |s: &Endpoint| {
            s.usable(now, self.served, &self.settings.slow_start)
                && request.may_go(now, s, clock_resolution)
                && request.untried(s.id)
        };
        let slack = self.retries >= HEDGING_RETRY_RESERVE + 1.0 && self.queue.is_empty();
        if !more || !slack || !self.endpoints.iter().any(some) {
            return;
        }
        if let Route::Forward { endpoint, trial: Trial::None } = self.route(now, id) {
            self.retries -= 1.0;
            self.send(now, id, endpoint, Trial::None, actions);
        }
    }
}
