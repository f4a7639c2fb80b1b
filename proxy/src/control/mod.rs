//! Drives the decision module: turns what happens on the sockets into its events, in one order and on one
//! clock, and carries out its actions. It decides nothing itself.

pub mod endpoint_ids;
pub(crate) mod endpoints;
pub(crate) mod in_flight;

use crate::body::BodyMemory;
use crate::config::Config;
use crate::control::endpoint_ids::EndpointIds;
use crate::control::endpoints::{settled, Endpoint, EndpointProcess};
use crate::control::in_flight::{
    ended, ForwardedRequest, InFlightAttempt, InFlightRequest, Reply, RequestDescriptor,
};
use crate::discovery::{self, EndpointList, ListedState, WatchEvent};
use crate::invariants::{AnswerKind, AttemptTarget, RequestPolicy, RequestRecord};
use crate::metrics::{EndpointCloseReason, Metrics, RequestEnd, RequestTracker};
use crate::task::{spawn, ScopedTask};
use crate::upstream::idle_timeout::IdleTimeoutEstimate;
use crate::upstream::{self, AttemptEnd, Connection, ExchangeContext};
use crate::write_guard::WriteGuard;
use balancer::{
    Action, Balancer, CellId, ClassId, DiscoveryMode, EndpointEntry, EndpointId, Event, FailureReason,
    Idempotency, ListUpdate, Micros, Outcome, RequestId,
};
use hyper::header::HeaderValue;
use hyper::StatusCode;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::sync::{oneshot, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep_until, Instant};

/// Share of the time for which hosts keep an idle connection, after which it is no longer used.
const IDLE_PART: f64 = 0.9;
/// How often idle connections are looked through.
const SWEEP: Duration = Duration::from_secs(1);
/// How many sweeps pass between two lines of figures in the log.
const SWEEPS_A_LINE: u32 = 10;

/// The proxy's clock: it counts from Unix time at the start, so that start times of hosts can be told in it,
/// and never goes back, whatever is done to the system's clock.
#[derive(Clone, Copy, Debug)]
struct Clock {
    start: Instant,
    origin: Micros,
}

impl Clock {
    fn new() -> Clock {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), origin: unix.as_micros() as Micros }
    }

    fn at(&self, instant: Instant) -> Micros {
        self.origin + instant.saturating_duration_since(self.start).as_micros() as Micros
    }
}

/// When a process that was told to stop does so.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownSchedule {
    /// From here on it refuses requests that come whole.
    pub refuse_from: Instant,
    /// By this time every request has its answer, or the answer's beginning.
    pub end: Instant,
}

/// The end of an attempt that was not written whole as its client has left: no sign of the host's.
fn left_behind(sending: AttemptContext<'_>) -> Option<AttemptEnd> {
    let outcome =
        if sending.write_guard.bytes_written() == 0 { Outcome::NeverSent } else { Outcome::Cancelled };
    sending.forward.client.has_disconnected().then(|| AttemptEnd::without_response(outcome))
}

/// What an attempt sends where, and until when it waits.
#[derive(Clone, Copy)]
struct AttemptContext<'a> {
    to: EndpointProcess,
    forward: &'a ForwardedRequest,
    until: Instant,
    write_guard: &'a WriteGuard,
}

struct ControlState {
    clock: Clock,
    config: Rc<Config>,
    balancer: Balancer,
    events: VecDeque<Event>,
    requests: BTreeMap<RequestId, InFlightRequest>,
    next_request: u64,
    endpoints: HashMap<EndpointId, Endpoint>,
    endpoint_ids: EndpointIds,
    /// What use shows of how long idle connections hold.
    idle: IdleTimeoutEstimate,
    seq: Option<u64>,
    listed: bool,
    /// A list was waited for long enough: clients are taken without one.
    unlisted: bool,
    watch: Option<ScopedTask>,
    /// Number of the present watch: what an earlier one still has to say no longer counts.
    watches: u64,
    /// The last call to discovery brought no watch.
    watch_lost: bool,
    /// The last watch that was open had hardly been.
    watch_was_brief: bool,
    /// One reference for each open connection to a host, and this one.
    slots: Rc<()>,
    /// When the module wants to be woken next, and what tells the one timer of a change.
    wake: Option<Instant>,
    woken: Rc<Notify>,
    /// Ids of the calls that are open: no second one may have one of them.
    open: HashSet<HeaderValue>,
    metrics: Metrics,
    memory: BodyMemory,
    /// The listener takes connections.
    accepting: bool,
    /// Set when the process is to end; what tells of it.
    stop: Option<ShutdownSchedule>,
    stopped: Rc<Notify>,
    /// Told of each list.
    news: Rc<Notify>,
}

/// The driver, shared by the tasks of one thread. No method waits, and none is called from within another.
#[derive(Clone)]
pub struct Control(Rc<RefCell<ControlState>>);

/// A call that waits for its answer. Dropped before that, it tells the module that the client has gone.
pub struct PendingReply {
    driver: Control,
    request: RequestId,
    reply: oneshot::Receiver<Reply>,
    taken: Option<RequestTracker>,
}

impl PendingReply {
    /// The call's final answer.
    pub async fn reply(&mut self) -> Reply {
        // The sender is only ever dropped with the call, after an answer or with the process.
        let mut reply = (&mut self.reply).await.unwrap_or(Reply::Failed);
        if let Some(taken) = self.taken.take() {
            match &mut reply {
                Reply::Served(answer) => answer.body_mut().track(taken),
                Reply::Rejected(_) => taken.end(RequestEnd::Rejected),
                Reply::Failed => taken.end(RequestEnd::Failed),
            }
        }
        reply
    }
}

impl PendingReply {
    /// The request has come whole: its client waits for so long from now.
    pub fn uploaded(&mut self, left: Duration) {
        self.taken.iter_mut().for_each(RequestTracker::set_whole);
        self.driver.uploaded(self.request, left);
    }
}

impl Drop for PendingReply {
    fn drop(&mut self) {
        self.driver.gone(self.request);
    }
}

impl Control {
    /// Starts the module with what the configuration holds.
    pub fn start(config: Rc<Config>) -> Control {
        let driver = ControlState {
            clock: Clock::new(),
            balancer: Balancer::new(config.seed, config.settings.clone()),
            events: VecDeque::new(),
            requests: BTreeMap::new(),
            next_request: 0,
            endpoints: HashMap::new(),
            endpoint_ids: EndpointIds::default(),
            idle: IdleTimeoutEstimate::default(),
            // Set before the start: the module subscribes at once, from the version of the list it gets next.
            seq: config.known.as_ref().map(|known| known.version),
            listed: false,
            unlisted: false,
            watch: None,
            watches: 0,
            watch_lost: false,
            watch_was_brief: false,
            slots: Rc::default(),
            wake: None,
            woken: Rc::default(),
            open: HashSet::new(),
            metrics: Metrics::new(config.classes.len()),
            memory: BodyMemory::new(config.bodies),
            accepting: false,
            stop: None,
            stopped: Rc::default(),
            news: Rc::default(),
            config: config.clone(),
        };
        let handle = Control(Rc::new(RefCell::new(driver)));
        handle.run([Event::Start]);
        if let Some(known) = config.known.clone() {
            handle.members(known, None);
        }
        if config.settings.discovery.mode == DiscoveryMode::Push {
            handle.0.borrow_mut().subscribe(&handle);
        }
        spawn_local(handle.clone().timer());
        let sweeper = handle.clone();
        spawn_local(async move {
            for sweep in 1_u32.. {
                tokio::time::sleep(SWEEP).await;
                sweeper.0.borrow_mut().sweep();
                if sweep % SWEEPS_A_LINE == 0 {
                    sweeper.log_counts();
                }
            }
        });
        handle
    }

    /// Whether a list of hosts is in hand, or is waited for no longer.
    pub fn is_ready(&self) -> bool {
        let driver = self.0.borrow();
        driver.listed || driver.unlisted
    }

    /// Takes clients without a list.
    pub fn wait_no_longer(&self) {
        self.0.borrow_mut().unlisted = true;
    }

    /// Room for bodies.
    pub fn memory(&self) -> BodyMemory {
        self.0.borrow().memory.clone()
    }

    /// The configuration.
    pub fn config(&self) -> Rc<Config> {
        self.0.borrow().config.clone()
    }

    /// Goes on under a new configuration. Its discovery is watched at once, from the version of the list in hand.
    pub fn reload(&self, config: Config) {
        let mut driver = self.0.borrow_mut();
        let (config, differs) = driver.config.renewed(config);
        let moved = config.discovery != driver.config.discovery;
        let left = if differs { "; what else changed takes a restart" } else { "" };
        crate::log::line(&format!("configuration read again, discovery at {}{left}", config.discovery));
        driver.config = Rc::new(config);
        if !moved {
            return;
        }
        // What the old one still says, or how a call to it ends, no longer counts.
        driver.watches += 1;
        driver.watch = None;
        if driver.config.settings.discovery.mode == DiscoveryMode::Push {
            return driver.subscribe(self);
        }
        drop(driver);
        // The module says when, as after any watch that is lost: what else it had planned would break off this call.
        self.run([Event::EndpointList { kind: ListUpdate::WatchLost, entries: Vec::new() }]);
    }

    /// Writes the figures so far to the log.
    pub fn log_counts(&self) {
        let figures = self.figures();
        let driver = self.0.borrow();
        let idle: usize = driver.endpoints.values().map(|h| h.idle.len()).sum();
        let (keep, open) = (driver.keep(), Rc::strong_count(&driver.slots) - 1);
        let metrics = driver.metrics.get();
        crate::log::line(&format!(
            "{open} connections ({idle} idle, kept for {keep:?}), {figures}, {metrics}"
        ));
    }

    /// Takes a request in. `None`: its id is open already; hosts would take the two for one.
    pub fn request(&self, ask: RequestDescriptor, forward: ForwardedRequest) -> Option<PendingReply> {
        let RequestDescriptor { id, class, tenant, deadline, client_retry } = ask;
        let mut driver = self.0.borrow_mut();
        if !driver.open.insert(id.clone()) {
            return None;
        }
        let non_replayable = forward.payload.upload().is_some();
        let taken = driver.metrics.take(class, !non_replayable);
        driver.next_request += 1;
        let request = RequestId(driver.next_request);
        let (sender, reply) = oneshot::channel();
        let deadline = driver.latest(deadline);
        let time_left = deadline.saturating_duration_since(Instant::now()).as_micros() as Micros;
        let (forward, attempts) = (Rc::new(forward), Vec::new());
        let policy = driver.policy(class);
        let record = RequestRecord::new(
            driver.metrics.clone(),
            id.clone(),
            policy,
            (!non_replayable).then_some(deadline),
        );
        let reply_to = Some(sender);
        driver
            .requests
            .insert(request, InFlightRequest { id, forward, deadline, record, reply: reply_to, attempts });
        drop(driver);
        self.run([Event::RequestReceived {
            request,
            class,
            tenant,
            time_left,
            client_retry,
            non_replayable,
        }]);
        Some(PendingReply { driver: self.clone(), request, reply, taken: Some(taken) })
    }

    fn uploaded(&self, id: RequestId, left: Duration) {
        let mut driver = self.0.borrow_mut();
        let deadline = driver.latest(Instant::now() + left);
        let Some(request) = driver.requests.get_mut(&id) else { return };
        request.deadline = deadline;
        request.record.whole(deadline);
        request.attempts.iter_mut().flatten().for_each(|attempt| attempt.sent = Instant::now());
        let time_left = deadline.saturating_duration_since(Instant::now()).as_micros() as Micros;
        drop(driver);
        self.run([Event::RequestCompleted { request: id, time_left }]);
    }

    fn gone(&self, id: RequestId) {
        let mut driver = self.0.borrow_mut();
        let left = driver
            .requests
            .get_mut(&id)
            .and_then(|request| request.reply.take().map(|_| request.record.clone()));
        if let Some(record) = left {
            record.left();
            driver.events.push_back(Event::RequestCancelled { request: id });
            driver.tidy(id);
            drop(driver);
            self.run([]);
        }
    }

    /// Takes a list in, from a watch or (`None`) the configuration: hosts that it does not name ready get nothing
    /// more that is not yet on its way.
    fn members(&self, list: EndpointList, watch: Option<u64>) {
        let mut driver = self.0.borrow_mut();
        // A watch that was replaced may have more lines at hand; their versions are another discovery's.
        if watch.is_some_and(|watch| watch != driver.watches) {
            return;
        }
        let cached = watch.is_none();
        driver.listed |= !cached || !list.endpoints.is_empty();
        driver.seq = Some(list.version);
        driver.news.notify_one();
        let kind = match list.is_full {
            _ if cached => ListUpdate::Cached,
            true => ListUpdate::Full,
            false => ListUpdate::Delta,
        };
        if kind != ListUpdate::Delta {
            driver.endpoints.values_mut().for_each(|endpoint| endpoint.state = ListedState::Removed);
        }
        let told =
            |endpoint: &Endpoint| endpoint.target.drain_status.listed(endpoint.state == ListedState::Ready);
        let mut entries = Vec::with_capacity(list.endpoints.len());
        for entry in &list.endpoints {
            let endpoint_id = driver.intern(entry);
            let state = entry.state.into();
            let (zone, cell) = (balancer_settings::zone(&entry.zone), CellId(entry.cell));
            let started_at = entry.started_at_ms.saturating_mul(1_000);
            entries.push(EndpointEntry {
                endpoint: endpoint_id,
                state,
                zone,
                cell,
                started_at,
                weight: entry.weight,
            });
        }
        driver.endpoints.values().for_each(told);
        // The module hears of the list before it hears of what the list undoes.
        driver.events.push_back(Event::EndpointList { kind, entries });
        driver.withdraw();
        driver.endpoints.retain(|_, endpoint| endpoint.state != ListedState::Removed);
        let ControlState { endpoint_ids, endpoints, .. } = &mut *driver;
        endpoint_ids.retain(|endpoint_id| endpoints.contains_key(&endpoint_id));
        drop(driver);
        self.run([]);
    }

    /// A watch tells that nothing has changed.
    fn heartbeat(&self, watch: u64) {
        if watch == self.0.borrow().watches {
            self.run([Event::Heartbeat]);
        }
    }

    /// One attempt, from its connection to its outcome. It is over at its deadline whatever happens, unless its answer
    /// has begun to be passed on.
    async fn attempt(&self, sending: AttemptContext<'_>, kept: Option<(Instant, Connection)>) -> AttemptEnd {
        let AttemptContext { forward, until, write_guard, .. } = sending;
        let upload = forward.payload.upload();
        let expired = async {
            match upload.map(|upload| upload.finished()) {
                None => sleep_until(until).await,
                Some(ended) => match ended.await {
                    Ok(whole) => {
                        let deadline = self.0.borrow().latest(whole + forward.budget);
                        sleep_until(deadline).await;
                    }
                    Err(_) => std::future::pending().await,
                },
            }
        };
        let expired = async {
            tokio::select! {
                () = expired => {}
                () = async { sleep_until(self.stopped().await.end).await } => {}
            }
        };
        let end = tokio::select! {
            // An answer that is there in the last instant is passed on.
            biased;
            end = self.exchange(sending, kept) => match end.outcome {
                Outcome::ConnectFailed if write_guard.is_start_window_closed() => {
                    AttemptEnd::without_response(Outcome::NeverSent)
                }
                _ => end,
            },
            () = write_guard.start_window_closed() => AttemptEnd::without_response(Outcome::NeverSent),
            () = expired => match write_guard.is_fully_written() {
                true => AttemptEnd::without_response(Outcome::TimedOut),
                false if upload.is_some_and(|upload| upload.is_consumed()) => AttemptEnd::without_response(Outcome::Truncated),
                false => AttemptEnd::without_response(Outcome::ConnectFailed),
            },
        };
        // What the client did is no sign of the host's.
        match upload.and_then(|upload| upload.result()) {
            Some(Err(_)) => AttemptEnd::without_response(Outcome::Cancelled),
            _ => end,
        }
    }

    async fn exchange(&self, sending: AttemptContext<'_>, kept: Option<(Instant, Connection)>) -> AttemptEnd {
        let AttemptContext { to, forward, until, write_guard } = sending;
        let memory = self.0.borrow().memory.clone();
        let terms = || {
            let handle = self.clone();
            let return_connection = Box::new(move |connection| handle.give_back(to, connection));
            ExchangeContext {
                request_body: &forward.payload,
                write_guard,
                memory: &memory,
                return_connection,
            }
        };
        if let Some((since, connection)) = settled(kept).await {
            let idle = since.elapsed();
            let end = upstream::exchange(connection, forward.request(until, write_guard), terms()).await;
            if let Some(end) = end.is_none().then(|| left_behind(sending)).flatten() {
                return end;
            }
            let broken = end.as_ref().is_none_or(|end| end.outcome == Outcome::Stale);
            self.metrics().count().broken_reuse += u64::from(broken);
            self.0.borrow_mut().idle.record_reuse(idle, broken);
            if let Some(end) = end {
                return end;
            }
            write_guard.reset_written();
        }
        // A part that a kept connection took is lost with it: what is written now is the beginning, and nothing new may
        // begin at a host that was told to be leaving since.
        if write_guard.is_start_window_closed() || !self.0.borrow().takes(to) {
            return AttemptEnd::without_response(Outcome::NeverSent);
        }
        // It has not been written whole yet, so this is no second sending.
        let Some(slot) = self.0.borrow_mut().slot() else {
            return AttemptEnd::without_response(Outcome::NeverSent);
        };
        let limit = self.config().connect_timeout;
        let opened = Connection::open(to.address, limit, slot).await;
        self.metrics().count().opened += u64::from(opened.is_ok());
        self.metrics().count().open_failed += u64::from(opened.is_err());
        let end = match opened {
            Ok(connection) => {
                let end = upstream::exchange(connection, forward.request(until, write_guard), terms()).await;
                end.or_else(|| left_behind(sending))
            }
            Err(error) if upstream::is_local(&error) => {
                Some(AttemptEnd::without_response(Outcome::NeverSent))
            }
            Err(_) => None,
        };
        end.unwrap_or_else(|| AttemptEnd::without_response(Outcome::ConnectFailed))
    }

    /// Keeps the connection of a large answer that has been passed on.
    fn give_back(&self, to: EndpointProcess, connection: Connection) {
        let handle = self.clone();
        spawn_local(async move {
            if let Some(connection) = connection.into_reusable().await {
                handle.0.borrow_mut().keep_idle(to, connection);
            }
        });
    }

    /// Counts a request that was turned away with this status, unseen by the module.
    pub fn count_unusable(&self, status: StatusCode) {
        self.metrics().count().unusable(status);
    }

    /// The figures.
    pub fn metrics(&self) -> Metrics {
        self.0.borrow().metrics.clone()
    }

    /// Returns once there is a list of hosts.
    pub async fn listed(&self) {
        let news = self.0.borrow().news.clone();
        while !self.0.borrow().listed {
            news.notified().await;
        }
    }

    /// Shares the limits with so many processes of the program, this one included. What is idle beyond this one's
    /// part is closed.
    pub fn share(&self, processes: usize) {
        let mut driver = self.0.borrow_mut();
        driver.config = Rc::new(Config { processes, ..Config::clone(&driver.config) });
        while Rc::strong_count(&driver.slots) > driver.config.connections_to_hosts() && driver.close_oldest()
        {
        }
    }

    /// The process is to end.
    pub fn stop(&self, stop: ShutdownSchedule) {
        let mut driver = self.0.borrow_mut();
        driver.stop = Some(stop);
        driver.requests.values_mut().for_each(|request| request.deadline = request.deadline.min(stop.end));
        driver.stopped.notify_waiters();
        drop(driver);
        let time_left = stop.end.saturating_duration_since(Instant::now()).as_micros() as Micros;
        self.run([Event::ShutdownStarted { time_left }]);
    }

    /// Returns when requests that are not whole are no longer waited for: long answers to them might be cut off.
    pub async fn closed(&self) {
        sleep_until(self.stopped().await.refuse_from).await;
    }

    /// Returns once the process is to end.
    async fn stopped(&self) -> ShutdownSchedule {
        let stopped = self.0.borrow().stopped.clone();
        loop {
            let notified = stopped.notified();
            let stop = self.0.borrow().stop;
            match stop {
                Some(stop) => return stop,
                None => notified.await,
            }
        }
    }

    /// Refuses a request that the module was not told of, or knows as one whose client has gone.
    pub fn refuse(&self, class: ClassId) -> Reply {
        self.metrics().take(class, true).end(RequestEnd::Rejected);
        Reply::Rejected(Duration::ZERO)
    }

    /// Notes whether the listener takes connections.
    pub fn set_accepting(&self, accepting: bool) {
        self.0.borrow_mut().accepting = accepting;
    }

    /// Whether this process takes clients: it listens and has a list of hosts.
    pub fn takes_clients(&self) -> bool {
        let driver = self.0.borrow();
        driver.accepting && driver.listed
    }

    /// The figures so far, as operators read them.
    pub fn figures(&self) -> serde_json::Value {
        let driver = self.0.borrow();
        // A host that finishes its work gets no more by the list's own word, whatever the module makes of it.
        let ready = driver.endpoints.values().filter(|endpoint| endpoint.state == ListedState::Ready).count();
        let avoided = driver.balancer.avoided(driver.clock.at(Instant::now()));
        let (members, finishing) = (driver.endpoints.len(), driver.endpoints.len() - ready);
        let figures = driver.metrics.get();
        figures.to_json(&driver.config.classes, members, avoided + finishing)
    }

    fn finish(&self, id: RequestId, attempt: u32, mut end: AttemptEnd) {
        let mut driver = self.0.borrow_mut();
        let Some(request) = driver.requests.get_mut(&id) else { return };
        let Some(out) = request.attempts.get_mut(attempt as usize).and_then(Option::take) else { return };
        out.write_guard.finish(end.outcome);
        if let Some(reply) = end.response.take().and_then(|answer| Some((request.reply.take()?, answer))) {
            request.record.answered(AnswerKind::Served);
            // A client that has just gone has no use for it.
            let _ = reply.0.send(Reply::Served(reply.1));
        }
        let (elapsed, request_finished) = (request.took(out.sent), request.reply.is_none());
        let (outcome, load) = (end.outcome, end.load);
        driver.events.push_back(Event::AttemptEnded {
            request: id,
            attempt,
            outcome,
            elapsed,
            request_finished,
            load,
        });
        driver.tidy(id);
        // Back before the outcome is told: else the call that it lets go would open another.
        if let Some(connection) = end.connection {
            driver.keep_idle(out.to, connection);
        }
        drop(driver);
        self.run([]);
        // Dropped last: this may be the very task of the attempt.
        drop(out);
    }

    /// Feeds events to the module, and those that its actions lead to at once.
    fn run(&self, events: impl IntoIterator<Item = Event>) {
        let mut driver = self.0.borrow_mut();
        driver.events.extend(events);
        let mut actions = Vec::new();
        while let Some(event) = driver.events.pop_front() {
            if let Event::AttemptEnded { outcome, .. } = event {
                driver.metrics.count().outcome(outcome);
            }
            let now = driver.clock.at(Instant::now());
            driver.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                driver.carry_out(self, action);
            }
        }
    }

    /// The one timer of the module.
    async fn timer(self) {
        let woken = self.0.borrow().woken.clone();
        loop {
            let wake = self.0.borrow().wake;
            let due = async {
                match wake {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = due => {
                    self.0.borrow_mut().wake = None;
                    self.run([Event::Timer]);
                }
                () = woken.notified() => {}
            }
        }
    }
}

impl ControlState {
    fn carry_out(&mut self, handle: &Control, action: Action) {
        match action {
            Action::Forward { request, endpoint: endpoint_id, start_within } => {
                self.send(handle, request, endpoint_id, start_within.map(Duration::from_micros));
            }
            Action::Reject { request, retry_after, reason } => {
                self.give_up(request, reason, Reply::Rejected(Duration::from_micros(retry_after)));
            }
            Action::Fail { request, reason } => self.give_up(request, reason, Reply::Failed),
            Action::CancelAttempt { request, attempt } => self.cancel(request, attempt),
            Action::SetTimer { after } => {
                self.wake = Some(Instant::now() + Duration::from_micros(after));
                self.woken.notify_one();
            }
            Action::Subscribe => self.subscribe(handle),
            Action::Log(event) => crate::log::line(&event.to_string()),
            // The module asks for none where the settings allow none, and this program has none to offer.
            Action::CheckHealth { .. } => {}
        }
    }

    fn send(
        &mut self,
        handle: &Control,
        id: RequestId,
        endpoint_id: EndpointId,
        start_within: Option<Duration>,
    ) {
        let (now, keep) = (Instant::now(), self.keep());
        let Some(request) = self.requests.get_mut(&id) else { return };
        // Its client's end may have been told of and its connection's task not have come to its turn yet.
        if request.forward.client.is_known_disconnected() && request.reply.take().is_some() {
            request.record.left();
            request.forward.client.close();
            self.events.push_back(Event::RequestCancelled { request: id });
        }
        let attempt = request.attempts.len() as u32;
        let until = request.deadline;
        let endpoint =
            self.endpoints.get_mut(&endpoint_id).filter(|endpoint| endpoint.state == ListedState::Ready);
        let Some(endpoint) =
            endpoint.filter(|_| request.reply.is_some() && (now < until || !request.is_whole()))
        else {
            request.attempts.push(None);
            let closed = request.reply.is_none();
            self.events.push_back(ended(id, attempt, Outcome::NeverSent, Duration::ZERO, closed));
            return self.tidy(id);
        };
        let begin_before = start_within.map(|start_within| now + start_within);
        let record = request.record.attempt(endpoint.target.clone());
        let write_guard =
            WriteGuard::new(&self.metrics, request.forward.client.client_presence(), begin_before, record);
        let forward = request.forward.clone();
        let to =
            EndpointProcess { endpoint_id, address: endpoint.address, started_at_ms: endpoint.started_at_ms };
        // A request must not cross its host's close: old ones and those closed meanwhile are passed over.
        endpoint.close_idle(&self.metrics, EndpointCloseReason::Idle, |(since, _)| since.elapsed() < keep);
        endpoint
            .close_idle(&self.metrics, EndpointCloseReason::Used, |(_, connection)| connection.is_ready());
        let kept = endpoint.take_idle();
        let task = {
            let (handle, write_guard) = (handle.clone(), write_guard.clone());
            spawn(async move {
                let sending = AttemptContext { to, forward: &forward, until, write_guard: &write_guard };
                let end = handle.attempt(sending, kept).await;
                handle.finish(id, attempt, end);
            })
        };
        self.metrics.count().attempts += 1;
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts.push(Some(InFlightAttempt { to, sent: now, write_guard, _task: task }));
        }
    }

    /// Calls an attempt off: its connection closes.
    fn cancel(&mut self, id: RequestId, attempt: u32) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(out) = request.attempts.get_mut(attempt as usize).and_then(Option::take) else { return };
        out.write_guard.withdraw();
        out.write_guard.finish(Outcome::Cancelled);
        let closed = request.reply.is_none();
        self.events.push_back(ended(id, attempt, Outcome::Cancelled, out.sent.elapsed(), closed));
        self.tidy(id);
    }

    /// Answers a call that the module has given up.
    fn give_up(&mut self, id: RequestId, reason: FailureReason, reply: Reply) {
        let request = self.requests.get_mut(&id);
        if let Some((record, sender)) =
            request.and_then(|request| Some((&request.record, request.reply.take()?)))
        {
            self.metrics.count().given_up(reason);
            record.given_up(reason);
            record.answered(if matches!(reply, Reply::Failed) {
                AnswerKind::Failed
            } else {
                AnswerKind::Rejected
            });
            // A client that has just gone has no use for it.
            let _ = sender.send(reply);
        }
        self.tidy(id);
    }

    /// What is left of a call that is over: nothing more is sent for it, and it is forgotten once none of its
    /// attempts is out.
    fn tidy(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| request.reply.is_none()) else {
            return;
        };
        request.cut_off(id, &mut self.events);
        if request.attempts.iter().all(Option::is_none) {
            if let Some(request) = self.requests.remove(&id) {
                self.open.remove(&request.id);
            }
        }
    }

    /// What may be done for a request of a class.
    fn policy(&self, class: ClassId) -> RequestPolicy {
        let settings = &self.config.settings;
        let idempotency =
            settings.classes.get(class.0).map_or(Idempotency::NonIdempotent, |class| class.idempotency);
        let attempts = settings.limits.max_attempts as usize;
        let (copies, drain_grace) = (settings.limits.hedging, self.config.drain_grace);
        RequestPolicy { idempotency, attempts, copies, drain_grace }
    }

    /// A deadline, or the end of the process if that comes first.
    fn latest(&self, deadline: Instant) -> Instant {
        self.stop.map_or(deadline, |stop| deadline.min(stop.end))
    }

    fn subscribe(&mut self, handle: &Control) {
        let (handle, discovery, since) = (handle.clone(), self.config.discovery, self.seq);
        let patience = self.config.watch_patience();
        self.watches += 1;
        let watch = self.watches;
        // The task of the last watch, if there is one, ends here.
        self.watch = Some(spawn(async move {
            let news = |news| match news {
                WatchEvent::List(list) => handle.members(list, Some(watch)),
                WatchEvent::Heartbeat => handle.heartbeat(watch),
            };
            let ended = discovery::watch(discovery, since, patience, news).await;
            if handle.0.borrow().watches != watch {
                return;
            }
            let kind = handle.0.borrow_mut().note_lost(&ended);
            handle.run([Event::EndpointList { kind, entries: Vec::new() }]);
            // Where the list is pushed the module never asks for it.
            if let Some(pause) = patience.reopen_delay {
                tokio::time::sleep(pause.saturating_sub(ended.open_for.unwrap_or_default())).await;
                handle.0.borrow_mut().subscribe(&handle);
            }
        }));
    }

    /// Logs why a watch ended, and of calls that fail one after the other the first. Tells whether it was lost, so that the
    /// next one is opened soon, or with a pause where one after the other ends as soon as it is open.
    fn note_lost(&mut self, ended: &discovery::WatchEnd) -> ListUpdate {
        if ended.open_for.is_some() || !self.watch_lost {
            crate::log::line(&format!("discovery: {}", ended.reason));
        }
        self.watch_lost = ended.open_for.is_none();
        let brief_again = ended.was_brief() && self.watch_was_brief;
        self.watch_was_brief = ended.was_brief() || self.watch_was_brief && self.watch_lost;
        match ended.open_for {
            Some(_) if brief_again => ListUpdate::WatchFlapping,
            Some(_) => ListUpdate::WatchLost,
            None => ListUpdate::PollFailed,
        }
    }

    /// The number of a host. What is idle there is of no use once it moves or starts again.
    fn intern(&mut self, entry: &discovery::ListedEndpoint) -> EndpointId {
        let endpoint_id = self.endpoint_ids.get(&entry.name, |id| {
            // The module's lines name servers by number alone.
            crate::log::line(&format!("endpoint {} is {} at {}", id.0, entry.name, entry.address));
        });
        let endpoint = self.endpoints.entry(endpoint_id).or_insert_with(|| Endpoint {
            address: entry.address,
            started_at_ms: entry.started_at_ms,
            state: entry.state,
            target: AttemptTarget::default(),
            idle: Vec::new(),
        });
        if (endpoint.address, endpoint.started_at_ms) != (entry.address, entry.started_at_ms) {
            (endpoint.address, endpoint.started_at_ms) = (entry.address, entry.started_at_ms);
            endpoint.close_idle(&self.metrics, EndpointCloseReason::Leaving, |_| false);
            // What is meant for the process before may no longer begin.
            std::mem::take(&mut endpoint.target.drain_status).listed(false);
        }
        endpoint.state = entry.state;
        (endpoint.target.zone, endpoint.target.cell) =
            (balancer_settings::zone(&entry.zone), CellId(entry.cell));
        endpoint_id
    }

    /// Takes back what is not yet written to hosts that are not ready, or no longer there, and closes what is
    /// idle: a send counts when it is written, not when it was decided.
    fn withdraw(&mut self) {
        self.endpoints
            .values_mut()
            .filter(|endpoint| endpoint.state != ListedState::Ready)
            .for_each(|endpoint| endpoint.close_idle(&self.metrics, EndpointCloseReason::Leaving, |_| false));
        let ControlState { requests, endpoints, events, .. } = self;
        for (&id, request) in requests {
            request.withdraw(id, events, |out| {
                !endpoints.get(&out.to.endpoint_id).is_some_and(|endpoint| endpoint.takes(out.to))
            });
        }
    }

    /// Whether something new may be written to this process.
    fn takes(&self, to: EndpointProcess) -> bool {
        self.endpoints.get(&to.endpoint_id).is_some_and(|endpoint| endpoint.takes(to))
    }

    /// Keeps a connection for the next request to its host, if there may be one.
    fn keep_idle(&mut self, to: EndpointProcess, connection: Connection) {
        if let Some(endpoint) = self.endpoints.get_mut(&to.endpoint_id).filter(|endpoint| endpoint.takes(to))
        {
            endpoint.idle.push((Instant::now(), connection));
        }
    }

    /// A place for one more connection to a host; the oldest idle one makes room when there is none.
    fn slot(&mut self) -> Option<Rc<()>> {
        if Rc::strong_count(&self.slots) > self.config.connections_to_hosts() {
            self.close_oldest().then_some(())?;
        }
        Some(self.slots.clone())
    }

    /// Closes the connection that has been idle for the longest; whether there was one.
    fn close_oldest(&mut self) -> bool {
        let oldest = self.endpoints.values_mut().filter(|endpoint| !endpoint.idle.is_empty());
        let Some(endpoint) = oldest.min_by_key(|endpoint| endpoint.idle[0].0) else { return false };
        drop(endpoint.idle.remove(0));
        self.metrics.count().closed_to_hosts(EndpointCloseReason::MemoryReservation, 1);
        true
    }

    /// How long a connection may have stood idle and still be used.
    fn keep(&self) -> Duration {
        let told = self.config.conn_idle.mul_f64(IDLE_PART);
        self.idle.limit().map_or(told, |limit| limit.min(told))
    }

    /// Closes connections that have stood idle for nearly as long as they hold.
    fn sweep(&mut self) {
        self.idle.decay();
        let keep = self.keep();
        for endpoint in self.endpoints.values_mut() {
            endpoint
                .close_idle(&self.metrics, EndpointCloseReason::Idle, |(since, _)| since.elapsed() < keep);
        }
    }
}
