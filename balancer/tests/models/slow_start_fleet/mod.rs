//! A model in virtual time of many balancers and their endpoints, some of which warm up.

mod faults;
mod load;
mod setup;

use crate::common::{MS, SECOND};
use balancer::*;
use rand_core::RngCore;
use rand_pcg::Pcg32;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// Time of the first request.
const BEGIN: Micros = 100 * SECOND;
/// Time at which new endpoints start.
pub(crate) const START: Micros = BEGIN + 2 * SECOND;
pub(crate) const SLOW_START_DURATION: Micros = 8 * SECOND;
const INITIAL_CAPACITY: f64 = 0.1;
const OVERLOAD_MULTIPLE: f64 = 4.0;
/// Time after which an overloaded new endpoint fails.
const OVERLOAD_WINDOW: Micros = 2 * SECOND;
/// Time of a request of mean work on one core of a warm endpoint of mean speed.
const MEAN_WORK_US: f64 = 50_000.0;
/// Cores of an endpoint.
const CORES: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Restart {
    No,
    /// Each balancer is killed twice during slow start; its next process knows nothing but the
    /// endpoint list.
    Killed,
    /// The old process of each balancer takes requests together with the new one for two seconds.
    Upgraded,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    pub(crate) balancer_count: u32,
    /// Number of warm endpoints.
    pub(crate) warm: u32,
    /// Number of new endpoints.
    pub(crate) warming: u32,
    /// New endpoints have ids of endpoints that were warm before.
    pub(crate) returning: bool,
    /// Balancers are notified by a full list, with new endpoints first, instead of a delta.
    pub(crate) full_list: bool,
    /// Rate of requests during slow start, as a multiple of the rate before.
    pub(crate) burst: f64,
    /// Balancers get different shares of the requests.
    pub(crate) uneven: bool,
    pub(crate) restart: Restart,
    /// Time over which the balancers are notified of new endpoints.
    pub(crate) spread: Micros,
    /// Fraction of the warm endpoints' capacity that is used before new ones start.
    pub(crate) utilization: f64,
    /// Speed of new endpoints once they are warm, relative to the mean.
    pub(crate) speed: f64,
    /// When the model stops.
    pub(crate) until: Micros,
    /// Weight of warm endpoints in the endpoint list; that of new ones is 1.
    pub(crate) weight: f64,
    /// Maximum number of requests queued at an endpoint, which rejects further ones.
    pub(crate) queued: usize,
}

/// One endpoint joins while the rate of requests triples.
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

/// An attempt and its outcome.
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
    /// An endpoint has done the work of an attempt.
    WorkDone(usize, AttemptEnd),
    Ended(AttemptEnd),
    /// New endpoints start.
    Start,
    /// A balancer is notified of the new endpoints.
    Notify(usize),
    /// A balancer gets a new process.
    Replace(usize),
    /// The old process of a balancer takes no more requests.
    Retire(usize),
}

/// A process of an endpoint.
struct Process {
    started_at: Micros,
    speed: f64,
    busy: usize,
    queued: VecDeque<(f64, AttemptEnd)>,
    /// For each request: when it arrived, its work relative to the mean, and whether its sender had
    /// been notified of the new endpoints.
    sent: Vec<(Micros, f64, bool)>,
    served: f64,
}

/// A process of a balancer.
struct Node {
    balancer: Balancer,
    is_notified: bool,
    alive: bool,
    /// For each request: when its client stops waiting, its work, and the number of its attempts.
    requests: BTreeMap<u64, (Micros, f64, u32)>,
}

pub(crate) struct Fleet {
    scenario: Scenario,
    random: Pcg32,
    now: Micros,
    next: BinaryHeap<Reverse<(Micros, u64, Step)>>,
    number: u64,
    processes: Vec<Process>,
    /// Index of the current process by endpoint id.
    at: BTreeMap<u32, usize>,
    nodes: Vec<Node>,
    /// For each balancer, the processes that take requests.
    slots: Vec<Vec<usize>>,
    /// Relative rate of requests of each balancer.
    weights: Vec<f64>,
    /// Whether the new endpoints have started.
    begun: bool,
}

/// Capacity of an endpoint as a fraction of its full capacity.
fn warm_up(started_at: Micros, now: Micros) -> f64 {
    if started_at == 0 || now >= started_at + SLOW_START_DURATION {
        return 1.0;
    }
    INITIAL_CAPACITY
        + (1.0 - INITIAL_CAPACITY) * now.saturating_sub(started_at) as f64
            / SLOW_START_DURATION as f64
}

impl Fleet {
    /// A random number from 0 to below 1.
    fn unit(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / 4_294_967_296.0
    }

    /// A random time from 0 to below `span`.
    fn within(&mut self, span: Micros) -> Micros {
        (self.unit() * span as f64) as Micros
    }

    fn later(&mut self, at: Micros, what: Step) {
        self.number += 1;
        self.next.push(Reverse((at, self.number, what)));
    }

    fn event(&mut self, node: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node]
            .balancer
            .handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Forward {
                    request, endpoint, ..
                } => self.send(node, request.0, endpoint.0),
                Action::SetTimer { after } => self.later(self.now + after, Step::Timer(node)),
                Action::Reject { request, .. } | Action::Fail { request, .. } => {
                    self.nodes[node].requests.remove(&request.0);
                }
                Action::CancelAttempt { request, attempt } => {
                    let (request, sent, outcome) = (request.0, self.now, Outcome::Cancelled);
                    self.later(
                        sent,
                        Step::Ended(AttemptEnd {
                            node,
                            request,
                            attempt,
                            outcome,
                            sent,
                        }),
                    );
                }
                Action::CheckHealth { .. } | Action::Subscribe | Action::Log(_) => {}
            }
        }
    }

    fn send(&mut self, node: usize, request: u64, endpoint: u32) {
        let is_notified = self.nodes[node].is_notified;
        let open = self.nodes[node]
            .requests
            .get_mut(&request)
            .expect("an attempt is only sent for a request in flight");
        let (deadline, work, attempt) = (open.0, open.1, open.2);
        open.2 += 1;
        let (process, sent) = (self.at[&endpoint], self.now);
        let end = AttemptEnd {
            node,
            request,
            attempt,
            outcome: Outcome::Served,
            sent,
        };
        self.later(
            deadline,
            Step::Ended(AttemptEnd {
                outcome: Outcome::TimedOut,
                ..end
            }),
        );
        self.processes[process].sent.push((sent, work, is_notified));
        if self.processes[process].queued.len() < self.scenario.queued {
            self.processes[process].queued.push_back((work, end));
            self.work(process);
        } else {
            self.later(
                sent + MS,
                Step::Ended(AttemptEnd {
                    outcome: Outcome::Rejected,
                    ..end
                }),
            );
        }
    }

    /// Starts queued work on idle cores.
    fn work(&mut self, process: usize) {
        let now = self.now;
        let at = &mut self.processes[process];
        while at.busy < CORES {
            let Some((work, end)) = at.queued.pop_front() else {
                return;
            };
            at.busy += 1;
            at.served += work;
            let time = work * MEAN_WORK_US / at.speed / warm_up(at.started_at, now);
            self.number += 1;
            self.next.push(Reverse((
                now + time as Micros,
                self.number,
                Step::WorkDone(process, end),
            )));
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
            Event::AttemptEnded {
                request,
                attempt,
                outcome,
                elapsed,
                request_finished,
                load,
            },
        );
    }

    /// Random time until the next request of all balancers, at the current rate.
    fn gap(&mut self) -> Micros {
        let scenario = self.scenario;
        let there = scenario.warm
            + if scenario.returning {
                scenario.warming
            } else {
                0
            };
        let burst = if self.now >= START {
            scenario.burst
        } else {
            1.0
        };
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
        // One request in five needs nine times the work of the others: 3.46 and 0.385 times the
        // mean.
        let work = if self.unit() < 0.2 { 3.46 } else { 0.385 };
        self.number += 1;
        let request = self.number;
        self.nodes[node]
            .requests
            .insert(request, (self.now + 1_200 * MS, work, 0));
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
                    // Its remaining requests still run to their end.
                    self.slots[slot].remove(0);
                }
            }
        }
        self
    }
}
