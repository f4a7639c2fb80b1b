//! The state that all tasks of a run share: the ledger, the endpoint list, the endpoint processes,
//! the deliveries of the list to the proxies, and the random number generator.

use crate::config::RunConfig;
use crate::endpoint::{EndpointHealth, EndpointProcess};
use crate::endpoint_list::EndpointList;
use crate::ledger::{AttemptRecord, Ledger, RequestRecord, Rule};
use crate::notification::Notifications;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

#[cfg(test)]
mod tests;

/// Tolerance of the drain grace, for delays of the loopback and of this program.
const DRAIN_SLACK: Duration = Duration::from_millis(100);

#[derive(Debug)]
struct Inner {
    random: Pcg64Mcg,
    ledger: Ledger,
    list: EndpointList,
    list_version: watch::Sender<u64>,
    processes: Vec<EndpointProcess>,
    last_process_number: u64,
    last_request_id: u64,
    /// Indexed by the proxy's number.
    notifications: Vec<Notifications>,
}

/// The shared state of a run. Clones refer to the same state.
#[derive(Clone, Debug)]
pub(crate) struct SharedState {
    config: Rc<RunConfig>,
    inner: Rc<RefCell<Inner>>,
}

impl SharedState {
    /// Creates the state of a run without endpoints.
    pub(crate) fn new(seed: u64, config: RunConfig) -> SharedState {
        let inner = Inner {
            random: Pcg64Mcg::seed_from_u64(seed),
            ledger: Ledger::new(Instant::now(), &config),
            list: EndpointList::default(),
            list_version: watch::channel(0).0,
            processes: Vec::new(),
            last_process_number: 0,
            last_request_id: 0,
            notifications: vec![Notifications::default(); config.proxy_count],
        };
        SharedState {
            config: Rc::new(config),
            inner: Rc::new(RefCell::new(inner)),
        }
    }

    /// Returns the parameters of the run.
    pub(crate) fn config(&self) -> &RunConfig {
        &self.config
    }

    /// Draws from the run's random number generator.
    pub(crate) fn draw<T>(&self, draw: impl FnOnce(&mut Pcg64Mcg) -> T) -> T {
        draw(&mut self.inner.borrow_mut().random)
    }

    /// Draws a boolean that is true with this probability.
    pub(crate) fn draw_bool(&self, probability: f64) -> bool {
        self.draw(|random| random.gen_bool(probability))
    }

    /// Draws a duration of at least `min_s` and less than `max_s` seconds, uniformly.
    pub(crate) fn draw_seconds(&self, min_s: f64, max_s: f64) -> Duration {
        Duration::from_secs_f64(self.draw(|random| random.gen_range(min_s..max_s)))
    }

    /// Draws a duration of at least `min` and less than `max` milliseconds, uniformly.
    pub(crate) fn draw_millis(&self, min: u64, max: u64) -> Duration {
        Duration::from_millis(self.draw(|random| random.gen_range(min..max)))
    }

    /// Draws from the exponential distribution with this mean, in seconds.
    pub(crate) fn draw_exponential_s(&self, mean_s: f64) -> f64 {
        -mean_s * self.draw(|random| random.gen::<f64>().max(1e-6)).ln()
    }

    /// Calls `access` with the ledger.
    pub(crate) fn with_ledger<T>(&self, access: impl FnOnce(&mut Ledger) -> T) -> T {
        access(&mut self.inner.borrow_mut().ledger)
    }

    /// Records a new request and returns its id.
    pub(crate) fn add_request(&self, request: RequestRecord) -> u64 {
        let mut state = self.inner.borrow_mut();
        state.last_request_id += 1;
        let id = state.last_request_id;
        state.ledger.requests.insert(id, request);
        id
    }

    /// Reads the record of a request; `None` if there is none.
    pub(crate) fn read_request<T>(
        &self,
        id: u64,
        read: impl FnOnce(&RequestRecord) -> T,
    ) -> Option<T> {
        self.with_ledger(|ledger| ledger.requests.get(&id).map(read))
    }

    /// Updates the record of a request, if there is one.
    pub(crate) fn update_request(&self, id: u64, update: impl FnOnce(&mut RequestRecord)) {
        self.with_ledger(|ledger| {
            if let Some(request) = ledger.requests.get_mut(&id) {
                update(request);
            }
        });
    }

    /// Logs a fault or a change of state of a proxy, an endpoint or an agent.
    pub(crate) fn log_event(&self, description: String) {
        self.with_ledger(|ledger| ledger.log_event(description));
    }

    /// Records a violation of a rule at the current time.
    pub(crate) fn record_violation(&self, rule: Rule, description: String) {
        self.with_ledger(|ledger| ledger.record_violation(rule, description));
    }

    /// Updates the record of an attempt, if there is one.
    pub(crate) fn update_attempt(
        &self,
        id: u64,
        index: usize,
        update: impl FnOnce(&mut AttemptRecord),
    ) {
        self.with_ledger(|ledger| ledger.update_attempt(id, index, update));
    }

    /// Records an attempt that arrived at an endpoint, and checks it against its request and the
    /// endpoint's drain and slow start. Returns its index among the request's attempts, or `None`
    /// if no client has sent the request.
    pub(crate) fn record_attempt(
        &self,
        id: u64,
        attempt: AttemptRecord,
        advertised_timeout: Option<Duration>,
        body: &[u8],
    ) -> Option<usize> {
        let AttemptRecord {
            process,
            first_byte_at,
            complete_at,
            ..
        } = attempt;
        let index = self
            .with_ledger(|ledger| ledger.record_attempt(id, attempt, advertised_timeout, body))?;
        let proxy = self.read_request(id, |request| request.proxy)?;
        self.check_drain(id, proxy, process, first_byte_at);
        if complete_at.is_some() {
            self.check_slow_start(process, first_byte_at);
        }
        Some(index)
    }

    fn check_drain(&self, request: u64, proxy: usize, process: u64, first_byte_at: Instant) {
        let Some(notified) = self.drain_notified_at(proxy, process) else {
            return;
        };
        let allowed = self.config.drain_grace + DRAIN_SLACK;
        if first_byte_at <= notified + allowed {
            return;
        }
        let since_notification = first_byte_at - notified;
        let disruptions =
            self.with_notifications(proxy, |notifications| notifications.disruptions().clone());
        let description = format!(
            "request {request:016x} sent to draining endpoint process {process} by proxy {proxy}, \
             {since_notification:?} after the proxy counted as notified, allowed {allowed:?}; \
             {disruptions:?}"
        );
        self.record_violation(Rule::Drain, description);
    }

    fn drain_notified_at(&self, proxy: usize, process: u64) -> Option<Instant> {
        let state = self.inner.borrow();
        let change = state.list.draining_since(process)?;
        state.notifications[proxy].notified_at(change, self.config.discovery)
    }

    fn check_slow_start(&self, process: u64, at: Instant) {
        let overload = self.with_processes(|processes| {
            let process = processes.iter_mut().find(|known| known.number == process)?;
            let overload = process.record_arrival(at, &self.config)?;
            Some((process.name.clone(), overload))
        });
        if let Some((name, overload)) = overload {
            let description = format!(
                "endpoint process {process} of {name}, {:?} after its start, got {} requests \
                 within {:?}, allowed {:.1}",
                overload.age, overload.received, self.config.overload_duration, overload.allowed
            );
            self.record_violation(Rule::SlowStart, description);
        }
    }

    /// Calls `read` with the endpoint list.
    pub(crate) fn with_list<T>(&self, read: impl FnOnce(&EndpointList) -> T) -> T {
        read(&self.inner.borrow().list)
    }

    /// Changes the health of a process in the endpoint list, and wakes the agents.
    pub(crate) fn set_listed_health(&self, process: u64, health: EndpointHealth) {
        let mut state = self.inner.borrow_mut();
        let Inner {
            list,
            processes,
            list_version,
            ..
        } = &mut *state;
        if let Some(process) = processes.iter().find(|known| known.number == process) {
            list.set_health(process, health);
        }
        // This fails only while there are no watches, which need no wake-up.
        let _ = list_version.send(list.version());
    }

    /// Returns a receiver of the endpoint list's versions.
    pub(crate) fn subscribe_to_list_versions(&self) -> watch::Receiver<u64> {
        self.inner.borrow().list_version.subscribe()
    }

    /// Calls `access` with the notifications of a proxy.
    pub(crate) fn with_notifications<T>(
        &self,
        proxy: usize,
        access: impl FnOnce(&mut Notifications) -> T,
    ) -> T {
        access(&mut self.inner.borrow_mut().notifications[proxy])
    }

    /// Returns a number for a new endpoint process.
    pub(crate) fn next_process_number(&self) -> u64 {
        let mut state = self.inner.borrow_mut();
        state.last_process_number += 1;
        state.last_process_number
    }

    /// Adds an endpoint process and lists it as ready.
    pub(crate) fn add_endpoint(&self, process: EndpointProcess) {
        let number = process.number;
        self.with_processes(|processes| processes.push(process));
        self.set_listed_health(number, EndpointHealth::Ready);
    }

    /// Calls `access` with the endpoint processes.
    pub(crate) fn with_processes<T>(
        &self,
        access: impl FnOnce(&mut Vec<EndpointProcess>) -> T,
    ) -> T {
        access(&mut self.inner.borrow_mut().processes)
    }
}
