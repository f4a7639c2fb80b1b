//! Watches the endpoint list and applies the lists and updates that arrive.

use crate::control::late_calls::{LateCallId, MAX_LATE_CALLS};
use crate::control::{Control, ControlState};
use crate::discovery::{
    open_watch, EndpointList, OpenWatch, WatchEnd, WatchError, WatchEvent, WatchTimeouts,
};
use crate::log;
use crate::memory::{MemoryUse, ENDPOINT_ENTRY_BYTES};
use crate::metrics::DiscoveryCallEnd;
use crate::task;
use crate::upstream::ConnectionPermit;
use balancer::{Event, ListUpdate};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;
use tokio::time::{sleep, timeout, timeout_at, Instant};

/// Parameters of a watch.
#[derive(Clone)]
struct WatchRequest {
    generation: u64,
    discovery: SocketAddr,
    /// Version of the list after which changes are requested.
    since: Option<u64>,
    timeouts: WatchTimeouts,
}

/// A call to discovery that asks for a watch.
struct WatchCall {
    begun_at: Instant,
    answer: Pin<Box<dyn Future<Output = Result<OpenWatch, WatchError>>>>,
}

impl WatchCall {
    fn begin(request: &WatchRequest) -> WatchCall {
        WatchCall {
            begun_at: Instant::now(),
            answer: Box::pin(open_watch(request.discovery, request.since)),
        }
    }
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
            .set_task(task::spawn(control.clone().call_and_follow(request)));
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

    /// Calls discovery for a watch, and runs the watch until it ends.
    async fn call_and_follow(self, request: WatchRequest) {
        let mut call = WatchCall::begin(&request);
        let limit = request.timeouts.response;
        let answer = match timeout(limit, &mut call.answer).await {
            Ok(answer) => {
                let end = match &answer {
                    Ok(_) => DiscoveryCallEnd::Opened,
                    Err(_) => DiscoveryCallEnd::Failed,
                };
                self.count_call(&call, end);
                answer
            }
            Err(_) => {
                self.wait_beside_others(&request, call).await;
                Err(WatchError::NoResponse(limit))
            }
        };
        self.follow_watch(request, answer).await;
    }

    /// Goes on waiting for a call that was not answered in time, beside others, if there is room.
    async fn wait_beside_others(&self, request: &WatchRequest, call: WatchCall) {
        let Some(permit) = self.reserve_late_call().await else {
            return self.count_call(&call, DiscoveryCallEnd::Unanswered);
        };
        let mut state = self.state_mut();
        let late_calls = &mut state.watch.late_calls;
        let patience = request.timeouts.patience(&late_calls.patiences());
        let (control, request) = (self.clone(), request.clone());
        late_calls.add(patience, permit, |id| {
            task::spawn(control.follow_late_call(id, request, call, patience))
        });
    }

    /// Takes a place for a late call. Only for the first one a slow client's connection may be closed,
    /// as a silent discovery is called several times a second.
    async fn reserve_late_call(&self) -> Option<ConnectionPermit> {
        let pending_count = self.state().watch.late_calls.count();
        match pending_count {
            0 => self.reserve_connection().await,
            1..MAX_LATE_CALLS => self.state_mut().reserve_connection(),
            _ => None,
        }
    }

    /// Waits for the answer to a call that has waited for too long to be the only one. A watch that
    /// it opens becomes the current one.
    async fn follow_late_call(
        self,
        id: LateCallId,
        mut request: WatchRequest,
        mut call: WatchCall,
        patience: Duration,
    ) {
        let answer = timeout_at(call.begun_at + patience, &mut call.answer).await;
        self.count_call(
            &call,
            match &answer {
                Ok(Ok(_)) => DiscoveryCallEnd::OpenedLate,
                Ok(Err(_)) => DiscoveryCallEnd::Failed,
                Err(_) => DiscoveryCallEnd::Unanswered,
            },
        );
        let Ok(Ok(watch)) = answer else {
            // Ends this task as well.
            drop(self.state_mut().watch.late_calls.take(id));
            return;
        };
        let Some(generation) = self.state_mut().watch.adopt(id) else {
            return;
        };
        log::line(&format!(
            "discovery: the watch at {} was opened {:?} after it was called",
            request.discovery,
            call.begun_at.elapsed()
        ));
        request.generation = generation;
        self.follow_watch(request, Ok(watch)).await;
    }

    fn count_call(&self, call: &WatchCall, end: DiscoveryCallEnd) {
        let metrics = self.metrics();
        let mut counters = metrics.counters_mut();
        counters.discovery_calls_ended(end, 1);
        if matches!(end, DiscoveryCallEnd::Opened | DiscoveryCallEnd::OpenedLate) {
            counters
                .discovery_answer_times
                .record(call.begun_at.elapsed());
        }
    }

    /// Runs a watch until it ends, if the call for it was successful. In push mode, calls for the
    /// next one after that; otherwise the balancer decides when to poll again.
    async fn follow_watch(self, request: WatchRequest, answer: Result<OpenWatch, WatchError>) {
        let end = match answer {
            Ok(watch) => {
                self.record_open_watch();
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

    fn record_open_watch(&self) {
        let superseded = self.state_mut().watch.record_open();
        let metrics = self.metrics();
        let mut counters = metrics.counters_mut();
        counters.discovery_calls_ended(DiscoveryCallEnd::Superseded, superseded);
    }

    fn apply_event(&self, event: WatchEvent, request: &WatchRequest) {
        match event {
            WatchEvent::List(list) => self.apply_watched_list(&list, request.generation),
            WatchEvent::Heartbeat => self.report_heartbeat(request.generation),
        }
    }
}
