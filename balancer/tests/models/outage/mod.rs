//! A model in virtual time of many balancers and of endpoints that queue, reject and slow down.

mod attempts;
mod endpoint;
mod setup;

use balancer::*;
use endpoint::Endpoint;
use rand_core::RngCore;
use rand_pcg::Pcg32;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const LOAD_START: Micros = 100 * SECOND;
/// Zone that is partitioned from the others from `PARTITION_AT` to `RETURN_AT`.
const PARTITIONED_ZONE: u32 = 2;
/// Zone whose endpoints are down from `LOSS_AT` to `RETURN_AT`.
const LOST_ZONE: u32 = 1;
const ZONES: u32 = 4;
const PARTITION_AT: Micros = LOAD_START + 4_500 * MS;
const LOSS_AT: Micros = LOAD_START + 5 * SECOND;
const REMOVAL_LISTED_AT: Micros = LOAD_START + 7 * SECOND;
const RETURN_AT: Micros = LOAD_START + 11 * SECOND;
const LOAD_END: Micros = LOAD_START + 22 * SECOND;
/// Capacity of an endpoint that has just started, as a fraction of its full capacity.
const INITIAL_CAPACITY: f64 = 0.4;
/// Time until an endpoint that has started has its full capacity.
const SLOW_START_DURATION: Micros = 6 * SECOND;
/// Latency objective and deadline by class.
const LATENCY_OBJECTIVE: [Micros; 2] = [500 * MS, 1_000 * MS];
const DEADLINE: [Micros; 2] = [1_200 * MS, 5_000 * MS];
/// Mean work of a request by class, in microseconds on a core of speed 1.
const WORK: [f64; 2] = [80e3, 130e3];
const MAX_CLIENT_TRIES: u32 = 4;
const CONNECT_TIMEOUT: Micros = 250 * MS;
/// An endpoint becomes slower by `SLOWDOWN_FACTOR` after it had more than `OVERLOAD_PER_CORE`
/// requests per core for `OVERLOAD_DURATION`, until it had fewer than `RECOVERY_PER_CORE` for
/// `RECOVERY_DURATION`.
const OVERLOAD_PER_CORE: f64 = 2.5;
const OVERLOAD_DURATION: Micros = 1_700 * MS;
const SLOWDOWN_FACTOR: f64 = 3.0;
const RECOVERY_PER_CORE: f64 = 0.3 * OVERLOAD_PER_CORE;
const RECOVERY_DURATION: Micros = 4 * SECOND;

/// Index of the number of requests in the counts of a second.
const REQUESTS: usize = 0;
/// Index of the number of requests served within their latency objective.
const SERVED_IN_TIME: usize = 1;
/// Index of the number of connections opened.
pub(crate) const CONNECTIONS_OPENED: usize = 2;

/// Identifies an attempt by its balancer, its request and its number.
type AttemptKey = (usize, u64, u32);

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ModelEvent {
    /// A client sends a user's request, for the first time or again.
    ClientRequest(usize),
    /// An attempt reaches its endpoint.
    Arrival(AttemptKey),
    /// An attempt ends with an outcome.
    Response(AttemptKey, Outcome),
    /// The client of an attempt stops waiting.
    Deadline(AttemptKey),
    /// Attempts may have been completed at an endpoint. The event is ignored if a later one has
    /// been scheduled for the endpoint.
    Work(usize, u64),
    /// A balancer's timer fires. The event is ignored if the balancer has set its timer again.
    Timer(usize, u64),
    Partition(bool),
    LoseZone,
    ListRemoval,
    ZoneReturns,
}

/// A request of a user. Its client sends it to the balancer again, as another `Request`, if it was
/// not served.
struct UserRequest {
    balancer: usize,
    class: usize,
    sent_at: Micros,
    /// Number of its `Request`s that have ended.
    tries: u32,
    has_ended: bool,
}

/// A request as the balancer sees it: one try of a client to have a user's request served.
struct Request {
    user_request: usize,
    /// When its client stops waiting.
    deadline: Micros,
    /// Endpoints that its attempts were sent to.
    endpoints: Vec<usize>,
}

pub(crate) struct Fleet {
    now: Micros,
    events: BinaryHeap<Reverse<(Micros, u64, ModelEvent)>>,
    sequence_number: u64,
    random: Pcg32,
    endpoints: Vec<Endpoint>,
    balancers: Vec<Balancer>,
    timers: Vec<u64>,
    user_requests: Vec<UserRequest>,
    requests: HashMap<(usize, u64), Request>,
    /// Open connections, by balancer and endpoint.
    connections: HashSet<(usize, usize)>,
    is_partitioned: bool,
    /// For each second, the counts at [`REQUESTS`], [`SERVED_IN_TIME`] and [`CONNECTIONS_OPENED`].
    pub(crate) counts_per_second: Vec<[u32; 3]>,
}

impl Fleet {
    /// A random number from 0 to below 1.
    fn random_unit(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }

    fn schedule(&mut self, at: Micros, event: ModelEvent) {
        self.sequence_number += 1;
        self.events.push(Reverse((at, self.sequence_number, event)));
    }

    fn count(&mut self, at: Micros, counter: usize) {
        self.counts_per_second[((at - LOAD_START) / SECOND) as usize][counter] += 1;
    }

    /// Whether a balancer can connect to an endpoint.
    fn can_connect(&self, balancer: usize, endpoint: usize) -> bool {
        let (from, to) = (balancer as u32 % ZONES, self.endpoints[endpoint].zone);
        let crosses = from != to && (from == PARTITIONED_ZONE || to == PARTITIONED_ZONE);
        self.endpoints[endpoint].is_up && !(self.is_partitioned && crosses)
    }

    fn list_entries(
        &self,
        filter: impl Fn(&Endpoint) -> bool,
        state: EndpointState,
    ) -> Vec<EndpointEntry> {
        let all = (1..)
            .zip(&self.endpoints)
            .filter(|(_, endpoint)| filter(endpoint));
        let entry = |(id, endpoint): (u32, &Endpoint)| EndpointEntry {
            endpoint: EndpointId(id),
            state,
            zone: ZoneId(endpoint.zone),
            started_at: endpoint.started_at,
            ..EndpointEntry::default()
        };
        all.map(entry).collect()
    }

    fn notify_all_of_lost_zone(&mut self, state: EndpointState) {
        let entries = self.list_entries(|endpoint| endpoint.zone == LOST_ZONE, state);
        for balancer in 0..self.balancers.len() {
            let entries = entries.clone();
            self.handle_event(
                balancer,
                Event::EndpointList {
                    kind: ListUpdate::Delta,
                    entries,
                },
            );
        }
    }

    fn handle_event(&mut self, balancer: usize, event: Event) {
        let mut actions = Vec::new();
        self.balancers[balancer].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Forward {
                    request, endpoint, ..
                } => self.send_attempt(balancer, request.0, endpoint.0 as usize - 1),
                Action::Reject { request, .. } | Action::Fail { request, .. } => {
                    self.end_request(balancer, request.0, false)
                }
                Action::SetTimer { after } => {
                    self.timers[balancer] += 1;
                    self.schedule(
                        self.now + after,
                        ModelEvent::Timer(balancer, self.timers[balancer]),
                    );
                }
                _ => {}
            }
        }
    }

    fn process(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::ClientRequest(index) if !self.user_requests[index].has_ended => {
                self.send_client_request(index)
            }
            ModelEvent::ClientRequest(_) => {}
            ModelEvent::Arrival(attempt) => self.arrive_at_endpoint(attempt),
            ModelEvent::Response(attempt, outcome) if self.is_in_flight(attempt) => {
                if outcome == Outcome::Served {
                    self.end_request(attempt.0, attempt.1, true);
                }
                self.report_outcome(attempt, outcome, outcome == Outcome::Served);
            }
            ModelEvent::Deadline(attempt) if self.is_in_flight(attempt) => {
                self.end_request(attempt.0, attempt.1, false);
                self.report_outcome(attempt, Outcome::TimedOut, true);
            }
            ModelEvent::Response(..) | ModelEvent::Deadline(_) => {}
            ModelEvent::Work(index, completion_number)
                if self.endpoints[index].completion_number == completion_number
                    && self.endpoints[index].is_up =>
            {
                self.finish_work(index);
            }
            ModelEvent::Timer(balancer, number) if self.timers[balancer] == number => {
                self.handle_event(balancer, Event::Timer);
            }
            ModelEvent::Work(..) | ModelEvent::Timer(..) => {}
            ModelEvent::Partition(is_partitioned) => self.is_partitioned = is_partitioned,
            ModelEvent::LoseZone => self.lose_zone(),
            ModelEvent::ListRemoval => self.notify_all_of_lost_zone(EndpointState::Removed),
            ModelEvent::ZoneReturns => self.return_zone(),
        }
    }

    fn lose_zone(&mut self) {
        for endpoint in self
            .endpoints
            .iter_mut()
            .filter(|endpoint| endpoint.zone == LOST_ZONE)
        {
            endpoint.is_up = false;
            endpoint.executing.clear();
            endpoint.queued.clear();
        }
    }

    fn return_zone(&mut self) {
        for endpoint in self
            .endpoints
            .iter_mut()
            .filter(|endpoint| endpoint.zone == LOST_ZONE)
        {
            endpoint.is_up = true;
            endpoint.started_at = self.now;
            endpoint.updated_at = self.now;
            endpoint.is_slowed_down = false;
        }
        self.notify_all_of_lost_zone(EndpointState::Ready);
    }

    pub(crate) fn run(mut self) -> Fleet {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at >= LOAD_END + SECOND {
                break;
            }
            self.now = at;
            self.process(event);
        }
        self
    }

    /// Fraction of the requests of a range of seconds that were served within their objective.
    pub(crate) fn fraction_in_time(&self, from: usize, to: usize) -> f64 {
        let sum = |counter: usize| {
            self.counts_per_second[from..to]
                .iter()
                .map(|counts| counts[counter])
                .sum::<u32>()
        };
        f64::from(sum(SERVED_IN_TIME)) / f64::from(sum(REQUESTS))
    }
}
