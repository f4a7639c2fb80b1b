//! Watches the endpoint list and applies the lists and updates that arrive.

use crate::control::{Control, ControlState};
use crate::discovery::{
    open_watch, EndpointList, OpenWatch, WatchEnd, WatchError, WatchEvent, WatchTimeouts,
};
use crate::memory::{MemoryUse, ENDPOINT_ENTRY_BYTES};
use crate::metrics::DiscoveryCallEnd;
use crate::task;
use balancer::{Event, ListUpdate};
use std::net::SocketAddr;
use tokio::time::{sleep, timeout, Instant};

/// Parameters of a watch.
struct WatchRequest {
    generation: u64,
    discovery: SocketAddr,
    /// Version of the list after which changes are requested.
    since: Option<u64>,
    timeouts: WatchTimeouts,
}

impl ControlState {
    /// Opens a watch, which replaces the current one.
    pub(super) fn subscribe(&mut self, control: &Control) {
        let request = WatchRequest {
            generation: self.watch.next_generation(),
            discovery: self.config.discovery,
            since: self.watch.version,
            timeouts: self.config.watch_timeouts(),
        };
        self.watch
            .set_task(task::spawn(control.clone().follow_watch(request)));
    }

    /// Ends the unwritten attempts for endpoints that are not ready, and closes the idle
    /// connections to them. The drain grace limits when an attempt's first byte may be written, so
    /// attempts that the balancer started before it had this list are ended as well.
    fn withdraw_from_unready(&mut self) {
        for endpoint_id in self.endpoints.unready_ids() {
            self.pool.close_all(endpoint_id);
        }
        let endpoints = &self.endpoints;
        self.requests
            .withdraw_attempts(&mut self.events, |process| endpoints.accepts(process));
    }

    fn apply_list(&mut self, list: &EndpointList, kind: ListUpdate) {
        self.watch.has_list |= kind != ListUpdate::Cached || !list.endpoints.is_empty();
        self.watch.version = Some(list.version);
        self.watch.list_received.notify_one();
        let entries = self
            .endpoints
            .update(list, kind != ListUpdate::Delta, &mut self.pool);
        // Queued first: the balancer must apply the list before it handles the ends of the attempts
        // that are withdrawn below, or it could retry them at the same endpoints.
        self.events.push_back(Event::EndpointList { kind, entries });
        self.withdraw_from_unready();
        self.endpoints.forget_removed();
        let list_bytes = self.endpoints.count() * ENDPOINT_ENTRY_BYTES;
        let account = self.memory.account();
        let memory = account.reserve_unchecked(MemoryUse::EndpointList, list_bytes);
        self.list_memory = Some(memory);
    }
}

impl Control {
    /// Applies the cached list of the configuration.
    pub(super) fn apply_cached_list(&self, list: &EndpointList) {
        self.state_mut().apply_list(list, ListUpdate::Cached);
        self.dispatch([]);
    }

    fn apply_watched_list(&self, list: &EndpointList, generation: u64) {
        // A replaced watch may still deliver lists. If the discovery address has changed since it
        // was opened, their versions belong to another discovery service.
        if !self.state().watch.is_current(generation) {
            return;
        }
        let kind = if list.is_full {
            ListUpdate::Full
        } else {
            ListUpdate::Delta
        };
        self.state_mut().apply_list(list, kind);
        self.dispatch([]);
    }

    fn report_heartbeat(&self, generation: u64) {
        if self.state().watch.is_current(generation) {
            self.dispatch([Event::Heartbeat]);
        }
    }

    /// Opens a watch and runs it until it ends. In push mode, opens the next one after that;
    /// otherwise the balancer decides when to poll again.
    async fn follow_watch(self, request: WatchRequest) {
        let end = match self.open_watch(&request).await {
            Ok(watch) => {
                watch
                    .follow(|event| self.apply_event(event, &request))
                    .await
            }
            Err(reason) => WatchEnd::not_opened(reason),
        };
        if !self.state().watch.is_current(request.generation) {
            return;
        }
        let kind = self.state_mut().watch.record_end(request.discovery, &end);
        self.dispatch([Event::EndpointList {
            kind,
            entries: Vec::new(),
        }]);
        if let Some(reopen_delay) = request.timeouts.reopen_delay {
            sleep(reopen_delay.saturating_sub(end.open_for.unwrap_or_default())).await;
            self.state_mut().subscribe(&self);
        }
    }

    /// Opens a watch, and counts how the call ended.
    async fn open_watch(&self, request: &WatchRequest) -> Result<OpenWatch, WatchError> {
        let called_at = Instant::now();
        let limit = request.timeouts.response;
        let opened = timeout(limit, open_watch(request.discovery, request.since)).await;
        let metrics = self.metrics();
        let mut counters = metrics.counters_mut();
        counters.discovery_call_ended(match &opened {
            Ok(Ok(_)) => DiscoveryCallEnd::Opened,
            Ok(Err(_)) => DiscoveryCallEnd::Failed,
            Err(_) => DiscoveryCallEnd::Unanswered,
        });
        if let Ok(Ok(_)) = &opened {
            counters.discovery_answer_times.record(called_at.elapsed());
        }
        opened.unwrap_or(Err(WatchError::NoResponse(limit)))
    }

    fn apply_event(&self, event: WatchEvent, request: &WatchRequest) {
        match event {
            WatchEvent::List(list) => self.apply_watched_list(&list, request.generation),
            WatchEvent::Heartbeat => self.report_heartbeat(request.generation),
        }
    }
}
