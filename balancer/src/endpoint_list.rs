//! Updates of the endpoint list.

use crate::balancer::*;
use crate::endpoint::Endpoint;
use crate::*;

impl Balancer {
    pub(crate) fn update_endpoint_list(&mut self, now: Micros, kind: ListUpdate, entries: &[EndpointEntry]) {
        if matches!(kind, ListUpdate::WatchLost | ListUpdate::WatchFlapping | ListUpdate::PollFailed) {
            self.schedule_poll(now, kind);
            return;
        }
        self.polling.heard(kind == ListUpdate::Cached);
        self.endpoint_starts.heard(now, kind, entries);
        self.endpoints.iter_mut().for_each(|s| s.listed &= kind == ListUpdate::Delta);
        for entry in entries {
            let found = self.endpoints.binary_search_by_key(&entry.endpoint, |s| s.id);
            let place = found.unwrap_or_else(|place| place);
            // A restart under the same number is a new, cold process: nothing learned of the old
            // one holds.
            let restarted = |known: &Endpoint| entry.started_at != 0 && entry.started_at != known.started_at;
            if found.is_err() || restarted(&self.endpoints[place]) {
                let mut endpoint =
                    Endpoint::new(entry, self.endpoint_starts.local_start(entry.endpoint), &self.settings);
                endpoint.record_busy_time(self.longest_typical_latency(), self.forwarded_count, 1.0);
                // Balancers hear of a cold server together: each waits a random part before its
                // first call.
                endpoint.slow_start_credit =
                    self.below(INITIAL_CREDIT_STEPS) as f64 / INITIAL_CREDIT_STEPS as f64;
                endpoint.slow_start_due_at =
                    now.saturating_add(self.below(self.slow_start_interval(now, &endpoint)));
                self.endpoints.splice(place..place + usize::from(found.is_ok()), [endpoint]);
            }
            let endpoint = &mut self.endpoints[place];
            endpoint.listed = entry.state == EndpointState::Ready;
            (endpoint.zone, endpoint.cell) = (entry.zone, entry.cell);
            endpoint.weight = if entry.weight.is_finite() && entry.weight > 0.0 { entry.weight } else { 1.0 };
        }
        self.endpoints.retain(|s| s.listed || s.in_flight > 0);
        let Balancer { endpoint_starts, endpoints, .. } = self;
        endpoint_starts.forget(now, |id| endpoints.binary_search_by_key(&id, |s| s.id).is_ok());
        self.refresh_counts();
    }

    /// Jitter keeps balancers that lost the list together from asking together again.
    pub(crate) fn schedule_poll(&mut self, now: Micros, kind: ListUpdate) {
        if self.settings.discovery.mode == DiscoveryMode::Poll {
            let (least, most) =
                self.polling.wait(now, &self.settings.discovery, self.shared_limit.is_some(), kind);
            self.polling.at = now + least + self.below(most - least);
        }
    }

    /// Trouble seen at most of the fleet is not the servers' own: never are most set aside.
    pub(crate) fn refresh_counts(&mut self) {
        self.listed = self.endpoints.iter().filter(|s| s.listed).count();
        self.ejected_count = self.endpoints.iter().filter(|s| s.listed && s.limit.steps == 0).count();
        // Servers of a lost zone get no calls: counted as up, their going from the list would halve
        // a budget that those left have already been found to bear.
        let lost =
            |s: &&Endpoint| self.zone_outages.get(&s.zone).is_some_and(|cut| cut.0 > ZONE_BACKOFF_DOUBLINGS);
        let zone_outages =
            self.endpoints.iter().filter(|s| s.listed && s.limit.steps > 0).filter(lost).count();
        self.shared_limit
            .iter_mut()
            .for_each(|p| p.available_endpoints = (self.listed - self.ejected_count - zone_outages) as f64);
    }
}
