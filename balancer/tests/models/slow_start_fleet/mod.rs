//! A model of many balancers and their endpoints, some of which warm up, in virtual time.

use crate::common::{ready, settings, MS};
use balancer::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

pub(crate) const SECOND: Micros = 1_000 * MS;
/// Requests arrive from here on, and new endpoints start.
const BEGIN: Micros = 100 * SECOND;
pub(crate) const START: Micros = BEGIN + 2 * SECOND;
pub(crate) const SLOW_START_DURATION: Micros = 8 * SECOND;
const INITIAL_CAPACITY: f64 = 0.1;
const OVERLOAD_MULTIPLE: f64 = 4.0;
/// Time in which an overloaded new endpoint fails.
const OVERLOAD_WINDOW: Micros = 2 * SECOND;
/// Work of the mean request on one warm core of an endpoint of mean speed; cores.
const MEAN_WORK_US: f64 = 50_000.0;
const CORES: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Restart {
    No,
    /// Killed twice during slow start; the next process knows only the list.
    Killed,
    /// The old process takes requests beside the new one for two seconds.
    Upgraded,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    pub(crate) balancer_count: u32,
    pub(crate) warm: u32,
    pub(crate) warming: u32,
    /// Returning under ids that had been warm.
    pub(crate) returning: bool,
    /// Notified by a full list, new endpoints first.
    pub(crate) full_list: bool,
    /// Requests during slow start, as a multiple of before.
    pub(crate) burst: f64,
    pub(crate) uneven: bool,
    pub(crate) restart: Restart,
    /// Over how long the list reaches the balancers.
    pub(crate) spread: Micros,
    /// Fraction of the warm endpoints' capacity that is used before.
    pub(crate) utilization: f64,
    /// Of new endpoints when they are warm, relative to the mean; until when the model runs.
    pub(crate) speed: f64,
    pub(crate) until: Micros,
    /// Weight of the warm ones in the list, relative to that of new ones.
    pub(crate) weight: f64,
    /// How many requests may be queued at an endpoint; it rejects others.
    pub(crate) queued: usize,
}

/// An endpoint joins while requests arrive three times as often.
pub(crate) const BURST: Scenario = Scenario {
    balancer_count: 1,
    warm: 100,
    warming: 1,
    returning: false,
    full_list: false,
    burst: 3.0,
    uneven: false,
    restart: Restart::No,
    spread: 500 * MS,
    utilization: 0.5,
    speed: 1.0,
    until: START + SLOW_START_DURATION,
    weight: 1.0,
    queued: 3,
};

/// An attempt, and how it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptEnd {
    node: usize,
    request: u64,
    attempt: u32,
    outcome: Outcome,
    sent: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    RequestArrives,
    Timer(usize),
    /// A process has done the work of an attempt.
    WorkDone(usize, AttemptEnd),
    Ended(AttemptEnd),
    /// New endpoints start.
    Start,
    /// A balancer is notified of them.
    Notify(usize),
    /// A balancer is restarted; its old process ends.
    Replace(usize),
    Retire(usize),
}

struct Process {
    started_at: Micros,
    speed: f64,
    busy: usize,
    queued: VecDeque<(f64, AttemptEnd)>,
    /// When each request arrived, how much of the mean request's work it is, and whether its sender
    /// had been notified of the start.
    sent: Vec<(Micros, f64, bool)>,
    served: f64,
}

struct Node {
    balancer: Balancer,
    is_notified: bool,
    alive: bool,
    /// Until when a client waits for each request, its work and its attempts.
    requests: BTreeMap<u64, (Micros, f64, u32)>,
}

pub(crate) struct Fleet {
    scenario: Scenario,
    random: Pcg32,
    now: Micros,
    next: BinaryHeap<Reverse<(Micros, u64, Step)>>,
    number: u64,
    processes: Vec<Process>,
    /// By endpoint id.
    at: BTreeMap<u32, usize>,
    nodes: Vec<Node>,
    /// The processes of each balancer that take requests.
    slots: Vec<Vec<usize>>,
    weights: Vec<f64>,
    begun: bool,
}

fn warm_up(started_at: Micros, now: Micros) -> f64 {
    if started_at == 0 || now >= started_at + SLOW_START_DURATION {
        return 1.0;
    }
    INITIAL_CAPACITY
        + (1.0 - INITIAL_CAPACITY) * now.saturating_sub(started_at) as f64 / SLOW_START_DURATION as f64
}

impl Fleet {
    pub(crate) fn new(scenario: Scenario, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            scenario,
            random: Pcg32::seed_from_u64(seed),
            now: BEGIN,
            next: BinaryHeap::new(),
            number: 0,
            processes: Vec::new(),
            at: BTreeMap::new(),
            nodes: Vec::new(),
            slots: Vec::new(),
            weights: Vec::new(),
            begun: false,
        };
        let there = if scenario.returning { scenario.warming + scenario.warm } else { scenario.warm };
        for id in 0..there {
            // New endpoints have the lowest ids.
            fleet.boot(if scenario.returning { id } else { id + scenario.warming }, 0);
        }
        for slot in 0..scenario.balancer_count as usize {
            let weight = match slot % 6 {
                _ if !scenario.uneven => 1.0,
                0 => 4.0,
                1..=3 => 0.05,
                _ => 1.0,
            };
            fleet.weights.push(weight);
            let node = fleet.node(slot);
            fleet.slots.push(vec![node]);
        }
        fleet
    }

    fn unit(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / 4_294_967_296.0
    }

    fn within(&mut self, span: Micros) -> Micros {
        (self.unit() * span as f64) as Micros
    }

    fn later(&mut self, at: Micros, what: Step) {
        self.number += 1;
        self.next.push(Reverse((at, self.number, what)));
    }

    fn boot(&mut self, id: u32, started_at: Micros) {
        let speed = if started_at > 0 { self.scenario.speed } else { 0.7 + 0.6 * self.unit() };
        let (busy, queued, sent) = (0, VecDeque::new(), Vec::new());
        self.processes.push(Process { started_at, speed, busy, queued, sent, served: 0.0 });
        self.at.insert(id, self.processes.len() - 1);
    }

    fn entries(&self) -> Vec<EndpointEntry> {
        let entry = |(&id, &process): (&u32, &usize)| {
            let started_at = self.processes[process].started_at;
            let weight = if started_at > 0 { 1.0 } else { self.scenario.weight };
            EndpointEntry { started_at, weight, ..ready(id) }
        };
        self.at.iter().map(entry).collect()
    }

    /// A new process of a balancer, which knows the list of this moment.
    fn node(&mut self, slot: usize) -> usize {
        let settings = Settings {
            balancer_count: self.scenario.balancer_count,
            balancer_index: slot as u32,
            slow_start: SlowStart {
                initial_capacity: INITIAL_CAPACITY,
                duration: SLOW_START_DURATION,
                overload_multiple: OVERLOAD_MULTIPLE,
            },
            ..settings(Idempotency::Idempotent)
        };
        let balancer = Balancer::new(self.random.next_u64(), settings);
        self.nodes.push(Node { balancer, is_notified: self.begun, alive: true, requests: BTreeMap::new() });
        let node = self.nodes.len() - 1;
        self.event(node, Event::Start);
        let entries = self.entries();
        self.event(node, Event::EndpointList { kind: ListUpdate::Full, entries });
        node
    }

    fn event(&mut self, node: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node].balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Forward { request, endpoint, .. } => self.send(node, request.0, endpoint.0),
                Action::SetTimer { after } => self.later(self.now + after, Step::Timer(node)),
                Action::Reject { request, .. } | Action::Fail { request, .. } => {
                    self.nodes[node].requests.remove(&request.0);
                }
                Action::CancelAttempt { request, attempt } => {
                    let (request, sent, outcome) = (request.0, self.now, Outcome::Cancelled);
                    self.later(sent, Step::Ended(AttemptEnd { node, request, attempt, outcome, sent }));
                }
                Action::CheckHealth { .. } | Action::Subscribe | Action::Log(_) => {}
            }
        }
    }

    fn send(&mut self, node: usize, request: u64, endpoint: u32) {
        let is_notified = self.nodes[node].is_notified;
        let open = self.nodes[node].requests.get_mut(&request).expect("a request in flight");
        let (deadline, work, attempt) = (open.0, open.1, open.2);
        open.2 += 1;
        let (process, sent) = (self.at[&endpoint], self.now);
        let end = AttemptEnd { node, request, attempt, outcome: Outcome::Served, sent };
        self.later(deadline, Step::Ended(AttemptEnd { outcome: Outcome::TimedOut, ..end }));
        self.processes[process].sent.push((sent, work, is_notified));
        if self.processes[process].queued.len() < self.scenario.queued {
            self.processes[process].queued.push_back((work, end));
            self.work(process);
        } else {
            self.later(sent + MS, Step::Ended(AttemptEnd { outcome: Outcome::Rejected, ..end }));
        }
    }

    /// Idle cores take queued work.
    fn work(&mut self, process: usize) {
        let now = self.now;
        let at = &mut self.processes[process];
        while at.busy < CORES {
            let Some((work, end)) = at.queued.pop_front() else { return };
            at.busy += 1;
            at.served += work;
            let time = work * MEAN_WORK_US / at.speed / warm_up(at.started_at, now);
            self.number += 1;
            self.next.push(Reverse((now + time as Micros, self.number, Step::WorkDone(process, end))));
        }
    }

    fn ended(&mut self, end: AttemptEnd) {
        if !self.nodes[end.node].alive {
            return;
        }
        let (request, attempt, outcome) = (RequestId(end.request), end.attempt, end.outcome);
        let (elapsed, request_finished) = (self.now - end.sent, outcome == Outcome::Served);
        if request_finished {
            self.nodes[end.node].requests.remove(&end.request);
        }
        let load = LoadReport::default();
        self.event(
            end.node,
            Event::AttemptEnded { request, attempt, outcome, elapsed, request_finished, load },
        );
    }

    /// The time to the next request of all, at the present rate.
    fn gap(&mut self) -> Micros {
        let scenario = self.scenario;
        let there = scenario.warm + if scenario.returning { scenario.warming } else { 0 };
        let burst = if self.now >= START { scenario.burst } else { 1.0 };
        let rate = scenario.utilization * burst * f64::from(there) * CORES as f64 / MEAN_WORK_US;
        (-(1.0 - self.unit()).ln() / rate) as Micros
    }

    fn receive_request(&mut self) {
        let gap = self.gap();
        self.later(self.now + gap, Step::RequestArrives);
        let mut place = self.unit() * self.weights.iter().sum::<f64>();
        let slot = self.weights.iter().position(|w| {
            place -= w;
            place < 0.0
        });
        let taking = &self.slots[slot.unwrap_or(0)];
        let node = taking[self.number as usize % taking.len()];
        // One request in five is nine times the work of another: 0.385 and 3.46 of the mean.
        let work = if self.unit() < 0.2 { 3.46 } else { 0.385 };
        self.number += 1;
        let request = self.number;
        self.nodes[node].requests.insert(request, (self.now + 1_200 * MS, work, 0));
        let (class, time_left) = (ClassId(0), 1_200 * MS);
        let request = RequestId(request);
        self.event(
            node,
            Event::RequestReceived {
                request,
                class,
                tenant: None,
                time_left,
                client_retry: false,
                non_replayable: false,
            },
        );
    }

    fn start(&mut self) {
        let scenario = self.scenario;
        for id in 0..scenario.warming {
            let old = self.at.get(&id).copied();
            self.boot(id, self.now);
            // What the old process had queued is reset.
            if let Some(old) = old {
                let open: Vec<AttemptEnd> = self.processes[old].queued.drain(..).map(|w| w.1).collect();
                let sent = self.now;
                open.into_iter().for_each(|end| {
                    self.later(sent, Step::Ended(AttemptEnd { outcome: Outcome::Reset, ..end }))
                });
            }
        }
        self.begun = true;
        for slot in 0..self.slots.len() {
            let node = self.slots[slot][0];
            let at = self.now + self.within(scenario.spread);
            self.later(at, Step::Notify(node));
            for part in 0..2 {
                let at = self.now + part * 2 * SECOND + self.within(2 * SECOND);
                if scenario.restart == Restart::Killed || (scenario.restart == Restart::Upgraded && part == 0)
                {
                    self.later(at, Step::Replace(slot));
                }
            }
        }
    }

    fn notify(&mut self, node: usize) {
        if self.nodes[node].is_notified {
            return;
        }
        self.nodes[node].is_notified = true;
        let mut entries = self.entries();
        let mut kind = ListUpdate::Full;
        if !self.scenario.full_list {
            kind = ListUpdate::Delta;
            entries.retain(|e| e.started_at > 0);
        }
        self.event(node, Event::EndpointList { kind, entries });
    }

    fn replace(&mut self, slot: usize) {
        let old = self.slots[slot][0];
        let new = self.node(slot);
        if self.scenario.restart == Restart::Killed {
            self.nodes[old].alive = false;
            self.slots[slot] = vec![new];
        } else {
            self.slots[slot] = vec![old, new];
            self.later(self.now + 2 * SECOND, Step::Retire(slot));
        }
    }

    pub(crate) fn run(mut self) -> Fleet {
        let gap = self.gap();
        self.later(self.now + gap, Step::RequestArrives);
        self.later(START, Step::Start);
        while let Some(Reverse((at, _, what))) = self.next.pop() {
            if at >= self.scenario.until {
                break;
            }
            self.now = at;
            match what {
                Step::RequestArrives => self.receive_request(),
                Step::Timer(node) if self.nodes[node].alive => self.event(node, Event::Timer),
                Step::Timer(_) => {}
                Step::WorkDone(process, end) => {
                    self.processes[process].busy -= 1;
                    self.work(process);
                    self.ended(end);
                }
                Step::Ended(end) => self.ended(end),
                Step::Start => self.start(),
                Step::Notify(node) => self.notify(node),
                Step::Replace(slot) => self.replace(slot),
                Step::Retire(slot) => {
                    // The last of its requests end by themselves.
                    self.slots[slot].remove(0);
                }
            }
        }
        self
    }

    /// The most that one new endpoint was sent by balancers that had been notified, over what
    /// overloads it; and what all new endpoints were sent, over what they could do.
    pub(crate) fn load_and_use(&self) -> (f64, f64) {
        let (mut worst, mut given, mut could) = (0.0_f64, 0.0, 0.0);
        let rate = CORES as f64 / MEAN_WORK_US * self.scenario.speed;
        let played = self.scenario.until - START;
        for process in self.processes.iter().filter(|p| p.started_at > 0) {
            let (mut sum, mut first) = (0.0, 0);
            let sent: Vec<_> = process.sent.iter().filter(|s| s.2).collect();
            for &&(at, work, _) in &sent {
                sum += work;
                while sent[first].0 + OVERLOAD_WINDOW <= at {
                    sum -= sent[first].1;
                    first += 1;
                }
                // The least that it can do within the window.
                let present =
                    warm_up(process.started_at, at.saturating_sub(OVERLOAD_WINDOW).max(process.started_at));
                let allowed = OVERLOAD_MULTIPLE * present * rate * OVERLOAD_WINDOW as f64;
                worst = worst.max(sum / (allowed + 2.0 * allowed.sqrt() + 2.0));
            }
            given += sent.iter().map(|s| s.1).sum::<f64>();
            could += warm_up(START, START + played / 2) * rate * played as f64;
        }
        (worst, given / could)
    }
}
