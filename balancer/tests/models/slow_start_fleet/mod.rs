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
const LOAD_START: Micros = 100 * SECOND;
/// Time at which new endpoints start.
pub(crate) const NEW_ENDPOINTS_START: Micros = LOAD_START + 2 * SECOND;
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
    /// Each balancer is killed twice during slow start; its next process starts with the endpoint
    /// list and without any other state.
    Killed,
    /// The old process of each balancer takes requests together with the new one for two seconds.
    Upgraded,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    pub(crate) balancer_count: u32,
    /// Number of warm endpoints.
    pub(crate) warm_count: u32,
    /// Number of new endpoints.
    pub(crate) new_count: u32,
    /// New endpoints have ids of endpoints that were warm before.
    pub(crate) reuses_ids: bool,
    /// Balancers are notified by a full list, with new endpoints first, instead of a delta.
    pub(crate) notified_by_full_list: bool,
    /// Rate of requests during slow start, as a multiple of the rate before.
    pub(crate) burst_factor: f64,
    /// Balancers get different shares of the requests.
    pub(crate) is_load_uneven: bool,
    pub(crate) restart: Restart,
    /// Time over which the balancers are notified of new endpoints.
    pub(crate) notification_spread: Micros,
    /// Fraction of the warm endpoints' capacity that is used before new ones start.
    pub(crate) utilization: f64,
    /// Speed of new endpoints once they are warm, relative to the mean.
    pub(crate) new_endpoint_speed: f64,
    /// When the model stops.
    pub(crate) end_at: Micros,
    /// Weight of warm endpoints in the endpoint list; that of new ones is 1.
    pub(crate) warm_endpoint_weight: f64,
    /// Maximum number of requests queued at an endpoint, which rejects further ones.
    pub(crate) max_queued: usize,
}

/// One endpoint joins while the rate of requests triples.
pub(crate) const BURST: Scenario = Scenario {
    balancer_count: 1,
    warm_count: 100,
    new_count: 1,
    reuses_ids: false,
    notified_by_full_list: false,
    burst_factor: 3.0,
    is_load_uneven: false,
    restart: Restart::No,
    notification_spread: 500 * MS,
    utilization: 0.5,
    new_endpoint_speed: 1.0,
    end_at: NEW_ENDPOINTS_START + SLOW_START_DURATION,
    warm_endpoint_weight: 1.0,
    max_queued: 3,
};

/// An attempt and its outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptEnd {
    balancer_process: usize,
    request: u64,
    attempt: u32,
    outcome: Outcome,
    sent_at: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ModelEvent {
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
struct EndpointProcess {
    started_at: Micros,
    speed: f64,
    busy: usize,
    queued: VecDeque<(f64, AttemptEnd)>,
    /// For each request: when it arrived, its work relative to the mean, and whether its sender had
    /// been notified of the new endpoints.
    received_requests: Vec<(Micros, f64, bool)>,
    /// Work of the attempts that were started, relative to the mean. Nothing reads it.
    served_work: f64,
}

/// A process of a balancer.
struct BalancerProcess {
    balancer: Balancer,
    is_notified: bool,
    is_alive: bool,
    /// For each request: when its client stops waiting, its work, and the number of its attempts.
    requests: BTreeMap<u64, (Micros, f64, u32)>,
}

pub(crate) struct Fleet {
    scenario: Scenario,
    random: Pcg32,
    now: Micros,
    events: BinaryHeap<Reverse<(Micros, u64, ModelEvent)>>,
    sequence_number: u64,
    endpoint_processes: Vec<EndpointProcess>,
    /// Index of the current process by endpoint id.
    process_by_endpoint: BTreeMap<u32, usize>,
    balancer_processes: Vec<BalancerProcess>,
    /// For each balancer, the processes that take requests.
    active_processes: Vec<Vec<usize>>,
    /// Relative rate of requests of each balancer.
    weights: Vec<f64>,
    /// Whether the new endpoints have started.
    new_endpoints_started: bool,
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
    fn random_unit(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / 4_294_967_296.0
    }

    /// A random time from 0 to below `span`.
    fn random_duration(&mut self, span: Micros) -> Micros {
        (self.random_unit() * span as f64) as Micros
    }

    fn schedule(&mut self, at: Micros, event: ModelEvent) {
        self.sequence_number += 1;
        self.events.push(Reverse((at, self.sequence_number, event)));
    }

    fn handle_event(&mut self, balancer_process: usize, event: Event) {
        let mut actions = Vec::new();
        self.balancer_processes[balancer_process]
            .balancer
            .handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Forward {
                    request, endpoint, ..
                } => self.send(balancer_process, request.0, endpoint.0),
                Action::SetTimer { after } => {
                    self.schedule(self.now + after, ModelEvent::Timer(balancer_process))
                }
                Action::Reject { request, .. } | Action::Fail { request, .. } => {
                    self.balancer_processes[balancer_process]
                        .requests
                        .remove(&request.0);
                }
                Action::CancelAttempt { request, attempt } => {
                    let (request, sent_at, outcome) = (request.0, self.now, Outcome::Cancelled);
                    self.schedule(
                        sent_at,
                        ModelEvent::Ended(AttemptEnd {
                            balancer_process,
                            request,
                            attempt,
                            outcome,
                            sent_at,
                        }),
                    );
                }
                Action::CheckHealth { .. } | Action::Subscribe | Action::Log(_) => {}
            }
        }
    }

    fn send(&mut self, balancer_process: usize, request: u64, endpoint: u32) {
        let is_notified = self.balancer_processes[balancer_process].is_notified;
        let request_state = self.balancer_processes[balancer_process]
            .requests
            .get_mut(&request)
            .expect("an attempt is only sent for a request in flight");
        let (deadline, work, attempt) = (request_state.0, request_state.1, request_state.2);
        request_state.2 += 1;
        let (process, sent_at) = (self.process_by_endpoint[&endpoint], self.now);
        let end = AttemptEnd {
            balancer_process,
            request,
            attempt,
            outcome: Outcome::Served,
            sent_at,
        };
        self.schedule(
            deadline,
            ModelEvent::Ended(AttemptEnd {
                outcome: Outcome::TimedOut,
                ..end
            }),
        );
        self.endpoint_processes[process]
            .received_requests
            .push((sent_at, work, is_notified));
        if self.endpoint_processes[process].queued.len() < self.scenario.max_queued {
            self.endpoint_processes[process]
                .queued
                .push_back((work, end));
            self.start_queued_work(process);
        } else {
            self.schedule(
                sent_at + MS,
                ModelEvent::Ended(AttemptEnd {
                    outcome: Outcome::Rejected,
                    ..end
                }),
            );
        }
    }

    /// Starts queued work on idle cores.
    fn start_queued_work(&mut self, process: usize) {
        let now = self.now;
        let endpoint = &mut self.endpoint_processes[process];
        while endpoint.busy < CORES {
            let Some((work, end)) = endpoint.queued.pop_front() else {
                return;
            };
            endpoint.busy += 1;
            endpoint.served_work += work;
            let time = work * MEAN_WORK_US / endpoint.speed / warm_up(endpoint.started_at, now);
            self.sequence_number += 1;
            self.events.push(Reverse((
                now + time as Micros,
                self.sequence_number,
                ModelEvent::WorkDone(process, end),
            )));
        }
    }

    fn end_attempt(&mut self, end: AttemptEnd) {
        if !self.balancer_processes[end.balancer_process].is_alive {
            return;
        }
        let (request, attempt, outcome) = (RequestId(end.request), end.attempt, end.outcome);
        let (elapsed, request_finished) = (self.now - end.sent_at, outcome == Outcome::Served);
        if request_finished {
            self.balancer_processes[end.balancer_process]
                .requests
                .remove(&end.request);
        }
        let load = LoadReport::default();
        self.handle_event(
            end.balancer_process,
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
    fn time_to_next_request(&mut self) -> Micros {
        let scenario = self.scenario;
        let endpoint_count = scenario.warm_count
            + if scenario.reuses_ids {
                scenario.new_count
            } else {
                0
            };
        let burst_factor = if self.now >= NEW_ENDPOINTS_START {
            scenario.burst_factor
        } else {
            1.0
        };
        let rate = scenario.utilization * burst_factor * f64::from(endpoint_count) * CORES as f64
            / MEAN_WORK_US;
        (-(1.0 - self.random_unit()).ln() / rate) as Micros
    }

    fn receive_request(&mut self) {
        let gap = self.time_to_next_request();
        self.schedule(self.now + gap, ModelEvent::RequestArrives);
        let mut draw = self.random_unit() * self.weights.iter().sum::<f64>();
        let balancer_index = self.weights.iter().position(|weight| {
            draw -= weight;
            draw < 0.0
        });
        let processes = &self.active_processes[balancer_index.unwrap_or(0)];
        let balancer_process = processes[self.sequence_number as usize % processes.len()];
        // One request in five needs nine times the work of the others: 3.46 and 0.385 times the
        // mean.
        let work = if self.random_unit() < 0.2 {
            3.46
        } else {
            0.385
        };
        self.sequence_number += 1;
        let request = self.sequence_number;
        self.balancer_processes[balancer_process]
            .requests
            .insert(request, (self.now + 1_200 * MS, work, 0));
        let (class, time_left) = (ClassId(0), 1_200 * MS);
        let request = RequestId(request);
        self.handle_event(
            balancer_process,
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
        let gap = self.time_to_next_request();
        self.schedule(self.now + gap, ModelEvent::RequestArrives);
        self.schedule(NEW_ENDPOINTS_START, ModelEvent::Start);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at >= self.scenario.end_at {
                break;
            }
            self.now = at;
            match event {
                ModelEvent::RequestArrives => self.receive_request(),
                ModelEvent::Timer(balancer_process)
                    if self.balancer_processes[balancer_process].is_alive =>
                {
                    self.handle_event(balancer_process, Event::Timer)
                }
                ModelEvent::Timer(_) => {}
                ModelEvent::WorkDone(process, end) => {
                    self.endpoint_processes[process].busy -= 1;
                    self.start_queued_work(process);
                    self.end_attempt(end);
                }
                ModelEvent::Ended(end) => self.end_attempt(end),
                ModelEvent::Start => self.start_new_endpoints(),
                ModelEvent::Notify(balancer_process) => {
                    self.notify_of_new_endpoints(balancer_process)
                }
                ModelEvent::Replace(balancer_index) => self.replace_balancer(balancer_index),
                ModelEvent::Retire(balancer_index) => {
                    // Its remaining requests still run to their end.
                    self.active_processes[balancer_index].remove(0);
                }
            }
        }
        self
    }
}
