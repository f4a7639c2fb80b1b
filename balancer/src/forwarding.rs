//! Forwards a request to an endpoint.

use crate::attempt::{Attempt, Trial};
use crate::balancer::*;
use crate::endpoint::Endpoint;
use crate::*;

impl Balancer {
    /// From here on a server is taken to work on an attempt.
    pub(crate) fn begin_work(&mut self, now: Micros, attempt: &Attempt) {
        if let Ok(place) = self.endpoints.binary_search_by_key(&attempt.endpoint, |s| s.id) {
            let endpoint = &mut self.endpoints[place];
            endpoint.in_flight += u32::from(endpoint.started_at == attempt.started_at);
        }
        let latency_objective =
            self.settings.classes.get(attempt.class_id).map_or(0, |c| c.latency_objective);
        let typical_latency = self.typical_latency(attempt.class_id, latency_objective);
        if let Some(shared_limit) = &mut self.shared_limit {
            shared_limit.in_flight += 1;
            shared_limit.charge(now, typical_latency);
        }
    }

    pub(crate) fn forward(
        &mut self,
        now: Micros,
        id: RequestId,
        place: usize,
        trial: Trial,
        actions: &mut Actions,
    ) {
        let span = self.slow_start_interval(now, &self.endpoints[place]);
        let endpoint = &mut self.endpoints[place];
        endpoint.slow_start_credit = (endpoint.slow_start_credit - 1.0).max(0.0);
        endpoint.slow_start_due_at = now.saturating_add(span);
        self.forwarded_count += 1;
        // A lost zone is tried by one call: those of the time that a connection takes to fail would
        // be late.
        let first = self.initial_backoff();
        let endpoint = &mut self.endpoints[place];
        if let Some(cut) =
            self.zone_outages.get_mut(&endpoint.zone).filter(|cut| cut.0 > ZONE_BACKOFF_DOUBLINGS)
        {
            cut.1 = now + first;
        }
        endpoint.limit.trial_in_flight |= trial == Trial::Endpoint;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let start_within =
            request.attempt_deadline().map(|end| end.saturating_sub(now + self.settings.clock_resolution));
        let &mut Endpoint { id: endpoint, started_at, zone, cell, .. } = endpoint;
        let (class_id, sent, streaming, outcome) = (request.class_id, now, request.streaming, None);
        let attempt = Attempt { endpoint, started_at, zone, cell, class_id, sent, trial, streaming, outcome };
        request.attempts.push(attempt);
        let (copies, non_replayable) = (request.attempts.len(), request.non_replayable);
        let tail = self.latencies.get(class_id).map_or(f64::MAX, |p| p.tail);
        let (latency_objective, arrived) = (request.objective_at(), request.arrived);
        let typical_latency = self.typical_latency(class_id, self.requests[&id].class.latency_objective);
        if !streaming {
            self.begin_work(now, &attempt);
        }
        self.shared_limit.iter_mut().for_each(|p| p.limit.trial_in_flight |= trial == Trial::Shared);
        // It runs for as long as its client waits. Given up earlier, its server would work on all
        // the same, but uncounted: the next call would take a place that is not free.
        actions.push(Action::Forward { request: id, endpoint, start_within });
        // The latest moment at which a second copy can still be in time, but not before the first
        // is late.
        let copy_at =
            (latency_objective as f64 - SLACK_TYPICAL_LATENCIES * typical_latency).max(arrived as f64 + tail);
        // A shared budget tells nothing of one server: the copy would only add to the work.
        let copies =
            copies == 1 && !non_replayable && self.settings.limits.hedging && self.shared_limit.is_none();
        let copy = copies && copy_at + typical_latency <= latency_objective as f64;
        self.set_request_timer(id, if copy { (copy_at as Micros).max(now + 1) } else { 0 });
    }
}
