//! Drives the decision module: turns what happens on the sockets into its events, in one order and on one
//! clock, and carries out its actions. It decides nothing itself.

use crate::attempt::Meter;
use crate::body::Memory;
use crate::calls::{ended, Ask, Attempt, Call, Forward, Reply};
use crate::config::Config;
use crate::counters::{Counters, Ending, HostClose, Taken};
use crate::discovery::{self, Health, List, News};
use crate::hosts::{settled, Host, Process};
use crate::idle::Idle;
use crate::rules::{Allowance, Answered, RequestRecord, Target};
use crate::server_ids::ServerIds;
use crate::upstream::{self, Connection, End, Terms};
use balancer::{
    Action, Balancer, CallId, CellId, ClassId, Entry, Event, ListKind, Micros, Outcome, Reason, Repeat,
    ServerId, State,
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
pub struct Stop {
    /// From here on it refuses requests that come whole.
    pub refuse_from: Instant,
    /// By this time every request has its answer, or the answer's beginning.
    pub end: Instant,
}

/// The end of an attempt that was not written whole as its client has left: no sign of the host's.
fn left_behind(sending: Sending<'_>) -> Option<End> {
    let outcome = if sending.meter.written() == 0 { Outcome::NotSent } else { Outcome::CalledOff };
    sending.forward.client.has_left().then(|| End::without_answer(outcome))
}

/// What an attempt sends where, and until when it waits.
#[derive(Clone, Copy)]
struct Sending<'a> {
    to: Process,
    forward: &'a Forward,
    until: Instant,
    meter: &'a Meter,
}

struct Driver {
    clock: Clock,
    config: Rc<Config>,
    balancer: Balancer,
    events: VecDeque<Event>,
    calls: BTreeMap<CallId, Call>,
    next_call: u64,
    hosts: HashMap<ServerId, Host>,
    server_ids: ServerIds,
    /// What use shows of how long idle connections hold.
    idle: Idle,
    seq: Option<u64>,
    listed: bool,
    /// A list was waited for long enough: clients are taken without one.
    unlisted: bool,
    watch: Option<upstream::Task>,
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
    counters: Counters,
    memory: Memory,
    /// The listener takes connections.
    accepting: bool,
    /// Set when the process is to end; what tells of it.
    stop: Option<Stop>,
    stopped: Rc<Notify>,
    /// Told of each list.
    news: Rc<Notify>,
}

/// The driver, shared by the tasks of one thread. No method waits, and none is called from within another.
#[derive(Clone)]
pub struct Handle(Rc<RefCell<Driver>>);

/// A call that waits for its answer. Dropped before that, it tells the module that the client has gone.
pub struct Waiting {
    driver: Handle,
    call: CallId,
    reply: oneshot::Receiver<Reply>,
    taken: Option<Taken>,
}

impl Waiting {
    /// The call's final answer.
    pub async fn reply(&mut self) -> Reply {
        // The sender is only ever dropped with the call, after an answer or with the process.
        let mut reply = (&mut self.reply).await.unwrap_or(Reply::Failed);
        if let Some(taken) = self.taken.take() {
            match &mut reply {
                Reply::Served(answer) => answer.body_mut().ends(taken),
                Reply::Refused(_) => taken.end(Ending::Rejected),
                Reply::Failed => taken.end(Ending::Failed),
            }
        }
        reply
    }
}

impl Waiting {
    /// The request has come whole: its client waits for so long from now.
    pub fn uploaded(&mut self, left: Duration) {
        self.taken.iter_mut().for_each(Taken::set_whole);
        self.driver.uploaded(self.call, left);
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.driver.gone(self.call);
    }
}

impl Handle {
    /// Starts the module with what the configuration holds.
    pub fn start(config: Rc<Config>) -> Handle {
        let driver = Driver {
            clock: Clock::new(),
            balancer: Balancer::new(config.seed, config.settings.clone()),
            events: VecDeque::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            hosts: HashMap::new(),
            server_ids: ServerIds::default(),
            idle: Idle::default(),
            // Set before the start: the module subscribes at once, from the version of the list it gets next.
            seq: config.known.as_ref().map(|known| known.seq),
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
            counters: Counters::new(config.classes.len()),
            memory: Memory::new(config.bodies),
            accepting: false,
            stop: None,
            stopped: Rc::default(),
            news: Rc::default(),
            config: config.clone(),
        };
        let handle = Handle(Rc::new(RefCell::new(driver)));
        handle.run([Event::Start]);
        if let Some(known) = config.known.clone() {
            handle.members(known, None);
        }
        if !config.settings.ask {
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
    pub fn memory(&self) -> Memory {
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
        if !driver.config.settings.ask {
            return driver.subscribe(self);
        }
        drop(driver);
        // The module says when, as after any watch that is lost: what else it had planned would break off this call.
        self.run([Event::Members { kind: ListKind::Lost, entries: Vec::new() }]);
    }

    /// Writes the figures so far to the log.
    pub fn log_counts(&self) {
        let figures = self.figures();
        let driver = self.0.borrow();
        let idle: usize = driver.hosts.values().map(|h| h.idle.len()).sum();
        let (keep, open) = (driver.keep(), Rc::strong_count(&driver.slots) - 1);
        let counters = driver.counters.get();
        crate::log::line(&format!(
            "{open} connections ({idle} idle, kept for {keep:?}), {figures}, {counters}"
        ));
    }

    /// Takes a request in. `None`: its id is open already; hosts would take the two for one.
    pub fn request(&self, ask: Ask, forward: Forward) -> Option<Waiting> {
        let Ask { id, class, tenant, deadline, resent } = ask;
        let mut driver = self.0.borrow_mut();
        if !driver.open.insert(id.clone()) {
            return None;
        }
        let once = forward.payload.upload().is_some();
        let taken = driver.counters.take(class, !once);
        driver.next_call += 1;
        let call = CallId(driver.next_call);
        let (sender, reply) = oneshot::channel();
        let deadline = driver.latest(deadline);
        let time_left = deadline.saturating_duration_since(Instant::now()).as_micros() as Micros;
        let (forward, attempts) = (Rc::new(forward), Vec::new());
        let allowance = driver.allowance(class);
        let record =
            RequestRecord::new(driver.counters.clone(), id.clone(), allowance, (!once).then_some(deadline));
        let reply_to = Some(sender);
        driver.calls.insert(call, Call { id, forward, deadline, record, reply: reply_to, attempts });
        drop(driver);
        self.run([Event::Request { call, class, tenant, time_left, resent, once }]);
        Some(Waiting { driver: self.clone(), call, reply, taken: Some(taken) })
    }

    fn uploaded(&self, id: CallId, left: Duration) {
        let mut driver = self.0.borrow_mut();
        let deadline = driver.latest(Instant::now() + left);
        let Some(call) = driver.calls.get_mut(&id) else { return };
        call.deadline = deadline;
        call.record.whole(deadline);
        call.attempts.iter_mut().flatten().for_each(|attempt| attempt.sent = Instant::now());
        let time_left = deadline.saturating_duration_since(Instant::now()).as_micros() as Micros;
        drop(driver);
        self.run([Event::Uploaded { call: id, time_left }]);
    }

    fn gone(&self, id: CallId) {
        let mut driver = self.0.borrow_mut();
        let left = driver.calls.get_mut(&id).and_then(|call| call.reply.take().map(|_| call.record.clone()));
        if let Some(record) = left {
            record.left();
            driver.events.push_back(Event::Gone { call: id });
            driver.tidy(id);
            drop(driver);
            self.run([]);
        }
    }

    /// Takes a list in, from a watch or (`None`) the configuration: hosts that it does not name ready get nothing
    /// more that is not yet on its way.
    fn members(&self, list: List, watch: Option<u64>) {
        let mut driver = self.0.borrow_mut();
        // A watch that was replaced may have more lines at hand; their versions are another discovery's.
        if watch.is_some_and(|watch| watch != driver.watches) {
            return;
        }
        let cached = watch.is_none();
        driver.listed |= !cached || !list.hosts.is_empty();
        driver.seq = Some(list.seq);
        driver.news.notify_one();
        let kind = match list.whole {
            _ if cached => ListKind::Cached,
            true => ListKind::Full,
            false => ListKind::Delta,
        };
        if kind != ListKind::Delta {
            driver.hosts.values_mut().for_each(|host| host.health = Health::Gone);
        }
        let told = |host: &Host| host.target.standing.listed(host.health == Health::Ready);
        let mut entries = Vec::with_capacity(list.hosts.len());
        for entry in &list.hosts {
            let server = driver.intern(entry);
            let state = match entry.health {
                Health::Ready => State::Ready,
                Health::Terminating => State::Draining,
                Health::Gone => State::Gone,
            };
            let (zone, cell) = (balancer_settings::zone(&entry.site), CellId(entry.block));
            let started = entry.born_ms.saturating_mul(1_000);
            entries.push(Entry { server, state, zone, cell, started, weight: entry.share });
        }
        driver.hosts.values().for_each(told);
        // The module hears of the list before it hears of what the list undoes.
        driver.events.push_back(Event::Members { kind, entries });
        driver.withdraw();
        driver.hosts.retain(|_, host| host.health != Health::Gone);
        let Driver { server_ids, hosts, .. } = &mut *driver;
        server_ids.retain(|server| hosts.contains_key(&server));
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
    async fn attempt(&self, sending: Sending<'_>, kept: Option<(Instant, Connection)>) -> End {
        let Sending { forward, until, meter, .. } = sending;
        let upload = forward.payload.upload();
        let expired = async {
            match upload.map(|upload| upload.ended()) {
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
                Outcome::NoConnection if meter.is_late() => End::without_answer(Outcome::NotSent),
                _ => end,
            },
            () = meter.closed() => End::without_answer(Outcome::NotSent),
            () = expired => match meter.is_whole() {
                true => End::without_answer(Outcome::TimedOut),
                false if upload.is_some_and(|upload| upload.is_spent()) => End::without_answer(Outcome::CutShort),
                false => End::without_answer(Outcome::NoConnection),
            },
        };
        // What the client did is no sign of the host's.
        match upload.and_then(|upload| upload.end()) {
            Some(Err(_)) => End::without_answer(Outcome::CalledOff),
            _ => end,
        }
    }

    async fn exchange(&self, sending: Sending<'_>, kept: Option<(Instant, Connection)>) -> End {
        let Sending { to, forward, until, meter } = sending;
        let memory = self.0.borrow().memory.clone();
        let terms = || {
            let handle = self.clone();
            let back = Box::new(move |connection| handle.give_back(to, connection));
            Terms { payload: &forward.payload, meter, memory: &memory, back }
        };
        if let Some((since, connection)) = settled(kept).await {
            let idle = since.elapsed();
            let end = upstream::exchange(connection, forward.request(until, meter), terms()).await;
            if let Some(end) = end.is_none().then(|| left_behind(sending)).flatten() {
                return end;
            }
            let broken = end.as_ref().is_none_or(|end| end.outcome == Outcome::Stale);
            self.counters().count().broken_reuse += u64::from(broken);
            self.0.borrow_mut().idle.used(idle, broken);
            if let Some(end) = end {
                return end;
            }
            meter.restart();
        }
        // A part that a kept connection took is lost with it: what is written now is the beginning, and nothing new may
        // begin at a host that was told to be leaving since.
        if meter.is_late() || !self.0.borrow().takes(to) {
            return End::without_answer(Outcome::NotSent);
        }
        // It has not been written whole yet, so this is no second sending.
        let Some(slot) = self.0.borrow_mut().slot() else {
            return End::without_answer(Outcome::NotSent);
        };
        let limit = self.config().connect_timeout;
        let opened = Connection::open(to.address, limit, slot).await;
        self.counters().count().opened += u64::from(opened.is_ok());
        self.counters().count().open_failed += u64::from(opened.is_err());
        let end = match opened {
            Ok(connection) => {
                let end = upstream::exchange(connection, forward.request(until, meter), terms()).await;
                end.or_else(|| left_behind(sending))
            }
            Err(error) if upstream::is_local(&error) => Some(End::without_answer(Outcome::NotSent)),
            Err(_) => None,
        };
        end.unwrap_or_else(|| End::without_answer(Outcome::NoConnection))
    }

    /// Keeps the connection of a large answer that has been passed on.
    fn give_back(&self, to: Process, connection: Connection) {
        let handle = self.clone();
        spawn_local(async move {
            if let Some(connection) = connection.settled().await {
                handle.0.borrow_mut().keep_idle(to, connection);
            }
        });
    }

    /// Counts a request that was turned away with this status, unseen by the module.
    pub fn count_unusable(&self, status: StatusCode) {
        self.counters().count().unusable(status);
    }

    /// The figures.
    pub fn counters(&self) -> Counters {
        self.0.borrow().counters.clone()
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
    pub fn stop(&self, stop: Stop) {
        let mut driver = self.0.borrow_mut();
        driver.stop = Some(stop);
        driver.calls.values_mut().for_each(|call| call.deadline = call.deadline.min(stop.end));
        driver.stopped.notify_waiters();
        drop(driver);
        let time_left = stop.end.saturating_duration_since(Instant::now()).as_micros() as Micros;
        self.run([Event::Ending { time_left }]);
    }

    /// Returns when requests that are not whole are no longer waited for: long answers to them might be cut off.
    pub async fn closed(&self) {
        sleep_until(self.stopped().await.refuse_from).await;
    }

    /// Returns once the process is to end.
    async fn stopped(&self) -> Stop {
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
        self.counters().take(class, true).end(Ending::Rejected);
        Reply::Refused(Duration::ZERO)
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
        let ready = driver.hosts.values().filter(|host| host.health == Health::Ready).count();
        let avoided = driver.balancer.avoided(driver.clock.at(Instant::now()));
        let (members, finishing) = (driver.hosts.len(), driver.hosts.len() - ready);
        let figures = driver.counters.get();
        figures.to_json(&driver.config.classes, members, avoided + finishing)
    }

    fn finish(&self, id: CallId, attempt: u32, mut end: End) {
        let mut driver = self.0.borrow_mut();
        let Some(call) = driver.calls.get_mut(&id) else { return };
        let Some(out) = call.attempts.get_mut(attempt as usize).and_then(Option::take) else { return };
        out.meter.ended(end.outcome);
        if let Some(reply) = end.answer.take().and_then(|answer| Some((call.reply.take()?, answer))) {
            call.record.answered(Answered::Served);
            // A client that has just gone has no use for it.
            let _ = reply.0.send(Reply::Served(reply.1));
        }
        let (elapsed, closed) = (call.took(out.sent), call.reply.is_none());
        let (outcome, load) = (end.outcome, end.load);
        driver.events.push_back(Event::Outcome { call: id, attempt, outcome, elapsed, closed, load });
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
            if let Event::Outcome { outcome, .. } = event {
                driver.counters.count().outcome(outcome);
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

impl Driver {
    fn carry_out(&mut self, handle: &Handle, action: Action) {
        match action {
            Action::Send { call, server, within } => {
                self.send(handle, call, server, within.map(Duration::from_micros));
            }
            Action::Refuse { call, retry_after, reason } => {
                self.give_up(call, reason, Reply::Refused(Duration::from_micros(retry_after)));
            }
            Action::Fail { call, reason } => self.give_up(call, reason, Reply::Failed),
            Action::Cancel { call, attempt } => self.cancel(call, attempt),
            Action::Wake { after } => {
                self.wake = Some(Instant::now() + Duration::from_micros(after));
                self.woken.notify_one();
            }
            Action::Subscribe => self.subscribe(handle),
            Action::Log { text } => crate::log::line(&text),
            // The module asks for none where the settings allow none, and this program has none to offer.
            Action::Probe { .. } => {}
        }
    }

    fn send(&mut self, handle: &Handle, id: CallId, server: ServerId, within: Option<Duration>) {
        let (now, keep) = (Instant::now(), self.keep());
        let Some(call) = self.calls.get_mut(&id) else { return };
        // Its client's end may have been told of and its connection's task not have come to its turn yet.
        if call.forward.client.is_left() && call.reply.take().is_some() {
            call.record.left();
            call.forward.client.close();
            self.events.push_back(Event::Gone { call: id });
        }
        let attempt = call.attempts.len() as u32;
        let until = call.deadline;
        let host = self.hosts.get_mut(&server).filter(|host| host.health == Health::Ready);
        let Some(host) = host.filter(|_| call.reply.is_some() && (now < until || !call.is_whole())) else {
            call.attempts.push(None);
            let closed = call.reply.is_none();
            self.events.push_back(ended(id, attempt, Outcome::NotSent, Duration::ZERO, closed));
            return self.tidy(id);
        };
        let begin_before = within.map(|within| now + within);
        let record = call.record.attempt(host.target.clone());
        let meter = Meter::new(&self.counters, &call.forward.client, begin_before, record);
        let forward = call.forward.clone();
        let to = Process { server, address: host.dial, born_ms: host.born_ms };
        // A request must not cross its host's close: old ones and those closed meanwhile are passed over.
        host.close_idle(&self.counters, HostClose::Idle, |(since, _)| since.elapsed() < keep);
        host.close_idle(&self.counters, HostClose::Used, |(_, connection)| connection.is_ready());
        let kept = host.take_idle();
        let task = {
            let (handle, meter) = (handle.clone(), meter.clone());
            upstream::spawn(async move {
                let sending = Sending { to, forward: &forward, until, meter: &meter };
                let end = handle.attempt(sending, kept).await;
                handle.finish(id, attempt, end);
            })
        };
        self.counters.count().attempts += 1;
        if let Some(call) = self.calls.get_mut(&id) {
            call.attempts.push(Some(Attempt { to, sent: now, meter, _task: task }));
        }
    }

    /// Calls an attempt off: its connection closes.
    fn cancel(&mut self, id: CallId, attempt: u32) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some(out) = call.attempts.get_mut(attempt as usize).and_then(Option::take) else { return };
        out.meter.bar();
        out.meter.ended(Outcome::CalledOff);
        let closed = call.reply.is_none();
        self.events.push_back(ended(id, attempt, Outcome::CalledOff, out.sent.elapsed(), closed));
        self.tidy(id);
    }

    /// Answers a call that the module has given up.
    fn give_up(&mut self, id: CallId, reason: Reason, reply: Reply) {
        let call = self.calls.get_mut(&id);
        if let Some((record, sender)) = call.and_then(|call| Some((&call.record, call.reply.take()?))) {
            self.counters.count().given_up(reason);
            record.given_up(reason);
            record.answered(if matches!(reply, Reply::Failed) {
                Answered::Failed
            } else {
                Answered::Refused
            });
            // A client that has just gone has no use for it.
            let _ = sender.send(reply);
        }
        self.tidy(id);
    }

    /// What is left of a call that is over: nothing more is sent for it, and it is forgotten once none of its
    /// attempts is out.
    fn tidy(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id).filter(|call| call.reply.is_none()) else { return };
        call.cut_off(id, &mut self.events);
        if call.attempts.iter().all(Option::is_none) {
            if let Some(call) = self.calls.remove(&id) {
                self.open.remove(&call.id);
            }
        }
    }

    /// What may be done for a request of a class.
    fn allowance(&self, class: ClassId) -> Allowance {
        let settings = &self.config.settings;
        let repeat = settings.classes.get(class.0).map_or(Repeat::SingleShot, |class| class.repeat);
        let attempts = settings.limits.max_attempts as usize;
        let (copies, drain_grace) = (settings.limits.second_copies, self.config.drain_grace);
        Allowance { repeat, attempts, copies, drain_grace }
    }

    /// A deadline, or the end of the process if that comes first.
    fn latest(&self, deadline: Instant) -> Instant {
        self.stop.map_or(deadline, |stop| deadline.min(stop.end))
    }

    fn subscribe(&mut self, handle: &Handle) {
        let (handle, discovery, since) = (handle.clone(), self.config.discovery, self.seq);
        let patience = self.config.watch_patience();
        self.watches += 1;
        let watch = self.watches;
        // The task of the last watch, if there is one, ends here.
        self.watch = Some(upstream::spawn(async move {
            let news = |news| match news {
                News::List(list) => handle.members(list, Some(watch)),
                News::Heartbeat => handle.heartbeat(watch),
            };
            let ended = discovery::watch(discovery, since, patience, news).await;
            if handle.0.borrow().watches != watch {
                return;
            }
            let kind = handle.0.borrow_mut().note_lost(&ended);
            handle.run([Event::Members { kind, entries: Vec::new() }]);
            // Where the list is pushed the module never asks for it.
            if let Some(pause) = patience.pause {
                tokio::time::sleep(pause.saturating_sub(ended.lasted.unwrap_or_default())).await;
                handle.0.borrow_mut().subscribe(&handle);
            }
        }));
    }

    /// Logs why a watch ended, and of calls that fail one after the other the first. Tells whether it was lost, so that the
    /// next one is opened soon, or with a pause where one after the other ends as soon as it is open.
    fn note_lost(&mut self, ended: &discovery::Ended) -> ListKind {
        if ended.lasted.is_some() || !self.watch_lost {
            crate::log::line(&format!("discovery: {}", ended.reason));
        }
        self.watch_lost = ended.lasted.is_none();
        let brief_again = ended.was_brief() && self.watch_was_brief;
        self.watch_was_brief = ended.was_brief() || self.watch_was_brief && self.watch_lost;
        match ended.lasted {
            Some(_) if brief_again => ListKind::BrokenAgain,
            Some(_) => ListKind::Lost,
            None => ListKind::Failed,
        }
    }

    /// The number of a host. What is idle there is of no use once it moves or starts again.
    fn intern(&mut self, entry: &discovery::Host) -> ServerId {
        let server = self.server_ids.get(&entry.host, |id| {
            // The module's lines name servers by number alone.
            crate::log::line(&format!("server {} is {} at {}", id.0, entry.host, entry.dial));
        });
        let host = self.hosts.entry(server).or_insert_with(|| Host {
            dial: entry.dial,
            born_ms: entry.born_ms,
            health: entry.health,
            target: Target::default(),
            idle: Vec::new(),
        });
        if (host.dial, host.born_ms) != (entry.dial, entry.born_ms) {
            (host.dial, host.born_ms) = (entry.dial, entry.born_ms);
            host.close_idle(&self.counters, HostClose::Leaving, |_| false);
            // What is meant for the process before may no longer begin.
            std::mem::take(&mut host.target.standing).listed(false);
        }
        host.health = entry.health;
        (host.target.zone, host.target.cell) = (balancer_settings::zone(&entry.site), CellId(entry.block));
        server
    }

    /// Takes back what is not yet written to hosts that are not ready, or no longer there, and closes what is
    /// idle: a send counts when it is written, not when it was decided.
    fn withdraw(&mut self) {
        self.hosts
            .values_mut()
            .filter(|host| host.health != Health::Ready)
            .for_each(|host| host.close_idle(&self.counters, HostClose::Leaving, |_| false));
        let Driver { calls, hosts, events, .. } = self;
        for (&id, call) in calls {
            call.withdraw(id, events, |out| {
                !hosts.get(&out.to.server).is_some_and(|host| host.takes(out.to))
            });
        }
    }

    /// Whether something new may be written to this process.
    fn takes(&self, to: Process) -> bool {
        self.hosts.get(&to.server).is_some_and(|host| host.takes(to))
    }

    /// Keeps a connection for the next request to its host, if there may be one.
    fn keep_idle(&mut self, to: Process, connection: Connection) {
        if let Some(host) = self.hosts.get_mut(&to.server).filter(|host| host.takes(to)) {
            host.idle.push((Instant::now(), connection));
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
        let oldest = self.hosts.values_mut().filter(|host| !host.idle.is_empty());
        let Some(host) = oldest.min_by_key(|host| host.idle[0].0) else { return false };
        drop(host.idle.remove(0));
        self.counters.count().closed_to_hosts(HostClose::Room, 1);
        true
    }

    /// How long a connection may have stood idle and still be used.
    fn keep(&self) -> Duration {
        let told = self.config.conn_idle.mul_f64(IDLE_PART);
        self.idle.limit().map_or(told, |limit| limit.min(told))
    }

    /// Closes connections that have stood idle for nearly as long as they hold.
    fn sweep(&mut self) {
        self.idle.fade();
        let keep = self.keep();
        for host in self.hosts.values_mut() {
            host.close_idle(&self.counters, HostClose::Idle, |(since, _)| since.elapsed() < keep);
        }
    }
}
