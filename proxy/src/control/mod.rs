//! The control plane: passes events to the balancer one at a time, each with the time of the same
//! clock, and carries out the balancer's actions. Only the balancer decides when an attempt starts
//! and at which endpoint.
//!
//! This file has the state, the event loop and the dispatch of actions. Each part of the state is
//! owned by a type in its own module, which does not depend on this file: `clock`,
//! `connection_pool`, `deadline_timer`, `endpoints`, `in_flight`, `late_calls`, `shutdown`, `watch`. The
//! operations on these parts are in `attempt`, `attempt_lifecycle`, `background`, `endpoint_list`,
//! `metrics_report`, `reload` and `request_lifecycle`, which extend [`Control`] and its state.

mod attempt;
mod attempt_lifecycle;
mod background;
mod clock;
mod connection_pool;
mod deadline_timer;
pub mod endpoint_ids;
mod endpoint_list;
mod endpoints;
mod in_flight;
mod late_calls;
mod metrics_report;
mod reload;
pub mod request;
mod request_lifecycle;
mod shutdown;
mod watch;

pub use request_lifecycle::PendingReply;
pub use shutdown::ShutdownSchedule;

use crate::config::Config;
use crate::control::clock::{micros_until, Clock};
use crate::control::connection_pool::ConnectionPool;
use crate::control::deadline_timer::DeadlineTimer;
use crate::control::endpoints::Endpoints;
use crate::control::in_flight::InFlightRequests;
use crate::control::request::Reply;
use crate::control::shutdown::ShutdownState;
use crate::control::watch::WatchState;
use crate::log;
use crate::memory::{MemoryAccount, MemoryManager, MemoryReservation, Need};
use crate::metrics::Metrics;
use crate::upstream::ConnectionPermit;
use balancer::{Action, Balancer, DiscoveryMode, Event};
use hyper::StatusCode;
use std::cell::{Ref, RefCell, RefMut};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::yield_now;

struct ControlState {
    clock: Clock,
    config: Rc<Config>,
    balancer: Balancer,
    /// Events that the balancer has not handled yet.
    events: VecDeque<Event>,
    requests: InFlightRequests,
    endpoints: Endpoints,
    pool: ConnectionPool,
    watch: WatchState,
    timer: DeadlineTimer,
    shutdown: ShutdownState,
    metrics: Metrics,
    memory: MemoryManager,
    /// The memory of the endpoint list.
    list_memory: Option<MemoryReservation>,
    /// Whether the listener accepts connections.
    is_accepting: bool,
}

/// A handle to the control plane, shared by the tasks of one thread. No method holds a borrow of
/// the state across an `await`, and no method is called while a borrow is held.
#[derive(Clone)]
pub struct Control(Rc<RefCell<ControlState>>);

impl ControlState {
    fn new(config: Rc<Config>) -> ControlState {
        let metrics = Metrics::new(config.classes.len());
        ControlState {
            clock: Clock::new(),
            balancer: Balancer::new(config.seed, config.settings.clone()),
            events: VecDeque::new(),
            requests: InFlightRequests::default(),
            endpoints: Endpoints::default(),
            pool: ConnectionPool::new(metrics.clone()),
            watch: WatchState::default(),
            timer: DeadlineTimer::default(),
            shutdown: ShutdownState::default(),
            metrics,
            memory: MemoryManager::new(
                MemoryAccount::new(config.memory_limits()),
                config.max_transfers(),
            ),
            list_memory: None,
            is_accepting: false,
            config,
        }
    }

    /// Carries out an action. Events that result immediately are appended to the queue.
    fn apply(&mut self, control: &Control, action: Action) {
        match action {
            Action::Forward {
                request,
                endpoint,
                start_within,
            } => {
                let start_within = start_within.map(Duration::from_micros);
                self.start_attempt(control, request, endpoint, start_within);
            }
            Action::Reject {
                request,
                retry_after,
                reason,
            } => {
                let reply = Reply::Rejected(Duration::from_micros(retry_after));
                self.reply_without_response(request, reason, reply);
            }
            Action::Fail { request, reason } => {
                self.reply_without_response(request, reason, Reply::Failed)
            }
            Action::CancelAttempt { request, attempt } => self.cancel_attempt(request, attempt),
            Action::SetTimer { after } => self.timer.set(Duration::from_micros(after)),
            // A late call may have opened a watch since the balancer planned to poll.
            Action::Subscribe if self.watch.is_open() => {}
            Action::Subscribe => self.subscribe(control),
            Action::Log(event) => log::line(&event.to_string()),
            // The endpoints offer no health checks, and the settings do not enable them.
            Action::CheckHealth { .. } => {}
        }
    }

    /// Reserves a file descriptor and memory for a connection to an endpoint, until the permit is
    /// dropped.
    fn reserve_connection(&mut self) -> Option<ConnectionPermit> {
        let max_open = self.config.max_endpoint_connections();
        self.pool.reserve(max_open, self.memory.account())
    }

    /// What is missing for a connection to an endpoint that could not be reserved.
    fn connection_need(&self) -> Need {
        if self.pool.open_count() >= self.config.max_endpoint_connections() {
            Need::EndpointConnection
        } else {
            Need::Memory
        }
    }

    /// Closes idle connections that have expired. Called once a second.
    fn sweep(&mut self) {
        self.pool.sweep(self.config.connection_idle_timeout);
    }
}

impl Control {
    /// Starts the balancer with the settings and the cached endpoint list of the configuration.
    pub fn start(config: Rc<Config>) -> Control {
        let control = Control(Rc::new(RefCell::new(ControlState::new(config.clone()))));
        // Set before `Event::Start`: the balancer may subscribe in response to it, and the watch
        // then continues from this version.
        let cached_version = config.cached_list.as_ref().map(|list| list.version);
        control.state_mut().watch.version = cached_version;
        control.dispatch([Event::Start]);
        if let Some(cached_list) = &config.cached_list {
            control.apply_cached_list(cached_list);
        }
        if config.settings.discovery.mode == DiscoveryMode::Push {
            control.state_mut().subscribe(&control);
        }
        control.register_reclaimer();
        control.spawn_background_tasks();
        control
    }

    /// Lets idle connections to endpoints be closed when memory runs out.
    fn register_reclaimer(&self) {
        let state = Rc::downgrade(&self.0);
        self.memory().add_reclaimer(move |need| {
            let Some(state) = state.upgrade() else {
                return false;
            };
            need == Need::Memory && state.borrow_mut().pool.evict_oldest()
        });
    }

    fn state(&self) -> Ref<'_, ControlState> {
        self.0.borrow()
    }

    fn state_mut(&self) -> RefMut<'_, ControlState> {
        self.0.borrow_mut()
    }

    /// Reserves a connection, and makes room for one if necessary by closing that of a slow client.
    async fn reserve_connection(&self) -> Option<ConnectionPermit> {
        loop {
            let permit = self.state_mut().reserve_connection();
            if permit.is_some() {
                return permit;
            }
            let need = self.state().connection_need();
            if !self.memory().reclaim(need) {
                return None;
            }
            // What was given up is free when the tasks that held it are dropped.
            yield_now().await;
        }
    }

    /// The event loop: appends these events to the queue, and lets the balancer handle queued
    /// events, including those that result from its actions, until none is left.
    fn dispatch(&self, events: impl IntoIterator<Item = Event>) {
        let mut state = self.state_mut();
        state.events.extend(events);
        let mut actions = Vec::new();
        while let Some(event) = state.events.pop_front() {
            if let Event::AttemptEnded { outcome, .. } = event {
                state.metrics.counters_mut().attempt_ended(outcome);
            }
            let now = state.clock.now();
            state.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                state.apply(self, action);
            }
        }
    }

    /// The configuration that is currently in force.
    pub fn config(&self) -> Rc<Config> {
        self.state().config.clone()
    }

    /// The metrics of this process.
    pub fn metrics(&self) -> Metrics {
        self.state().metrics.clone()
    }

    /// The account of the memory that peers can make the process hold.
    pub fn memory(&self) -> MemoryManager {
        self.state().memory.clone()
    }

    /// Counts a request that was answered with this status and never reached the balancer.
    pub fn count_invalid_request(&self, status: StatusCode) {
        self.metrics().counters_mut().request_invalid(status);
    }

    /// Records whether the listener accepts connections.
    pub fn set_accepting(&self, is_accepting: bool) {
        self.state_mut().is_accepting = is_accepting;
    }

    /// Whether an endpoint list has been received, or the process counts as ready without one.
    pub fn is_ready(&self) -> bool {
        let state = self.state();
        state.watch.has_list || state.watch.is_ready_without_list
    }

    /// Whether this process serves clients: it accepts connections and has an endpoint list.
    pub fn is_serving(&self) -> bool {
        let state = self.state();
        state.is_accepting && state.watch.has_list
    }

    /// From now on the process counts as ready even if no endpoint list has been received.
    pub fn set_ready_without_list(&self) {
        self.state_mut().watch.is_ready_without_list = true;
    }

    /// Waits until an endpoint list has been received.
    pub async fn wait_for_list(&self) {
        let list_received = self.state().watch.list_received.clone();
        while !self.state().watch.has_list {
            list_received.notified().await;
        }
    }

    /// Begins the graceful shutdown: limits the deadlines of all requests and notifies the
    /// balancer.
    pub fn begin_shutdown(&self, schedule: ShutdownSchedule) {
        let mut state = self.state_mut();
        state.requests.limit_deadlines(schedule.end);
        state.shutdown.begin(schedule);
        drop(state);
        let time_left = micros_until(schedule.end);
        self.dispatch([Event::ShutdownStarted { time_left }]);
    }

    /// Whether the graceful shutdown has reached its end.
    pub fn has_shutdown_ended(&self) -> bool {
        self.state().shutdown.has_ended()
    }

    /// Waits until the graceful shutdown rejects requests whose last byte arrives from then on.
    pub async fn wait_for_request_cutoff(&self) {
        let shutdown = self.state().shutdown.clone();
        shutdown.wait_for_request_cutoff().await;
    }
}
