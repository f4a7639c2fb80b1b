//! Applies updates of the endpoint list.

use crate::balancer::Balancer;
use crate::endpoint::Endpoint;
use crate::{Action, DiscoveryMode, EndpointEntry, EndpointState, ListUpdate, Micros};

/// Number of distinct values of the random slow-start credit that a new endpoint starts with.
const INITIAL_CREDIT_RESOLUTION: u64 = 1 << 20;

impl Balancer {
    /// Subscribes to the endpoint list if this balancer has to poll for it.
    pub(crate) fn subscribe_if_polled(&self, actions: &mut Vec<Action>) {
        if self.settings.discovery.mode == DiscoveryMode::Poll {
            actions.push(Action::Subscribe);
        }
    }

    /// Applies an update of the endpoint list, or schedules the next poll if the watch or a poll
    /// failed.
    pub(crate) fn update_endpoint_list(
        &mut self,
        now: Micros,
        kind: ListUpdate,
        entries: &[EndpointEntry],
    ) {
        match kind {
            ListUpdate::WatchLost | ListUpdate::WatchFlapping | ListUpdate::PollFailed => {
                self.schedule_poll(now, kind);
                return;
            }
            ListUpdate::Full | ListUpdate::Cached => self.endpoints.mark_all_not_ready(),
            ListUpdate::Delta => {}
        }
        self.polling.record_update(kind);
        self.endpoint_starts.record_update(now, kind, entries);
        for entry in entries {
            self.apply_entry(now, entry);
        }
        self.endpoints.remove_unused();
        let endpoints = &self.endpoints;
        self.endpoint_starts
            .forget_unlisted(now, |id| endpoints.index_of(id).is_some());
        self.refresh_endpoint_counts();
    }

    fn apply_entry(&mut self, now: Micros, entry: &EndpointEntry) {
        let is_same_process =
            |known: &Endpoint| entry.started_at == 0 || entry.started_at == known.listed_start;
        let known = self.endpoints.index_of(entry.endpoint);
        if !known.is_some_and(|index| is_same_process(&self.endpoints[index])) {
            let endpoint = self.new_endpoint(now, entry);
            self.endpoints.insert(endpoint);
        }
        let Some(index) = self.endpoints.index_of(entry.endpoint) else {
            return;
        };
        let endpoint = &mut self.endpoints[index];
        endpoint.is_ready = entry.state == EndpointState::Ready;
        endpoint.zone = entry.zone;
        endpoint.cell = entry.cell;
        let is_valid_weight = entry.weight.is_finite() && entry.weight > 0.0;
        endpoint.weight = if is_valid_weight { entry.weight } else { 1.0 };
    }

    fn new_endpoint(&mut self, now: Micros, entry: &EndpointEntry) -> Endpoint {
        let local_start = self.endpoint_starts.local_start(entry.endpoint);
        let mut endpoint = Endpoint::new(entry, local_start, &self.settings);
        endpoint.record_busy_time(self.latencies.longest_mean(), self.forwarded_count, 1.0);
        // All balancers learn of a new endpoint at about the same time. Random initial credit and a
        // random delay spread out their first requests to it.
        let credit = self.random_below(INITIAL_CREDIT_RESOLUTION);
        endpoint.slow_start_credit = credit as f64 / INITIAL_CREDIT_RESOLUTION as f64;
        let first_request_delay = self.random_below(self.slow_start_interval(now, &endpoint));
        endpoint.slow_start_due_at = now.saturating_add(first_request_delay);
        endpoint
    }

    /// Schedules the next poll after a random delay, so that balancers that lost their watches at
    /// the same time don't poll at the same time.
    fn schedule_poll(&mut self, now: Micros, kind: ListUpdate) {
        if self.settings.discovery.mode == DiscoveryMode::Poll {
            let has_many_peers = self.shared_limit.is_some();
            let discovery = &self.settings.discovery;
            let delay = self
                .polling
                .next_delay(now, discovery, has_many_peers, kind);
            self.polling.due_at = now + delay.min + self.random_below(delay.max - delay.min);
        }
    }

    /// Recounts the available endpoints after an update of the endpoint list, an ejection or a
    /// readmission. Endpoints of a zone with an outage don't count towards the shared limit:
    /// otherwise the limit would drop when they leave the list, although the other endpoints have
    /// been shown to sustain the load.
    pub(crate) fn refresh_endpoint_counts(&mut self) {
        let available_count = self.endpoints.refresh_counts(&self.zone_outages);
        if let Some(shared_limit) = &mut self.shared_limit {
            shared_limit.available_endpoints = available_count as f64;
        }
    }
}
