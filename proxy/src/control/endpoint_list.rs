//! Endpoint lists: the watch that brings them, and what follows from them.

use crate::control::{Control, ControlState};
use crate::discovery::{self, EndpointList, WatchEvent, WatchTimeouts};
use crate::task;
use balancer::{Event, ListUpdate};
use std::net::SocketAddr;
use tokio::time::sleep;

/// Parameters of a watch.
struct WatchRequest {
    generation: u64,
    discovery: SocketAddr,
    /// Version of the list to go on from.
    since: Option<u64>,
    timeouts: WatchTimeouts,
}

impl ControlState {
    /// Opens a watch in place of the current one.
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

    /// Ends what is not yet written to endpoints that are not ready, and closes their idle
    /// connections: what counts is when an attempt is written, not when it was decided.
    fn withdraw_from_unready(&mut self) {
        for endpoint_id in self.endpoints.unready() {
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
        // The balancer is notified of the list before the ends of the attempts that it withdraws.
        self.events.push_back(Event::EndpointList { kind, entries });
        self.withdraw_from_unready();
        self.endpoints.forget_removed();
    }
}

impl Control {
    /// Applies the list that the configuration holds.
    pub(super) fn apply_cached_list(&self, list: &EndpointList) {
        self.state_mut().apply_list(list, ListUpdate::Cached);
        self.dispatch([]);
    }

    fn apply_watched_list(&self, list: &EndpointList, generation: u64) {
        // A watch that was replaced may have more to deliver; its versions are another discovery's.
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

    fn heartbeat(&self, generation: u64) {
        if self.state().watch.is_current(generation) {
            self.dispatch([Event::Heartbeat]);
        }
    }

    /// Runs a watch until it ends, and opens the next one where the balancer does not poll.
    async fn follow_watch(self, request: WatchRequest) {
        let WatchRequest {
            generation,
            discovery,
            since,
            timeouts,
        } = request;
        let on_event = |event| match event {
            WatchEvent::List(list) => self.apply_watched_list(&list, generation),
            WatchEvent::Heartbeat => self.heartbeat(generation),
        };
        let end = discovery::watch(discovery, since, timeouts, on_event).await;
        if !self.state().watch.is_current(generation) {
            return;
        }
        let kind = self.state_mut().watch.ended(&end);
        self.dispatch([Event::EndpointList {
            kind,
            entries: Vec::new(),
        }]);
        if let Some(pause) = timeouts.reopen_delay {
            sleep(pause.saturating_sub(end.open_for.unwrap_or_default())).await;
            self.state_mut().subscribe(&self);
        }
    }
}
