//! A model of many balancers and of endpoints that queue, reject and slow down, in virtual time.

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
/// The zone that is partitioned from `PARTITION_AT` to `RETURN_AT`, and the one that is lost from
/// `LOSS_AT` to `RETURN_AT`.
const PARTITIONED_ZONE: u32 = 2;
const LOST_ZONE: u32 = 1;
const ZONES: u32 = 4;
const PARTITION_AT: Micros = LOAD_START + 4_500 * MS;
const LOSS_AT: Micros = LOAD_START + 5 * SECOND;
const REMOVAL_LISTED_AT: Micros = LOAD_START + 7 * SECOND;
const RETURN_AT: Micros = LOAD_START + 11 * SECOND;
const LOAD_END: Micros = LOAD_START + 22 * SECOND;
/// Endpoints that warm up: their capacity at first, and until they are warm.
const INITIAL_CAPACITY: f64 = 0.4;
const SLOW_START_DURATION: Micros = 6 * SECOND;
/// By class: objective, deadline, and mean work at a core of speed 1, in microseconds.
const LATENCY_OBJECTIVE: [Micros; 2] = [500 * MS, 1_000 * MS];
const DEADLINE: [Micros; 2] = [1_200 * MS, 5_000 * MS];
const WORK: [f64; 2] = [80e3, 130e3];
const MAX_CLIENT_ATTEMPTS: u32 = 4;
const CONNECT_TIMEOUT: Micros = 250 * MS;
/// An endpoint slows down after so many requests per core for so long, by this factor, until it has
/// had so few for some time.
const OVERLOAD_PER_CORE: f64 = 2.5;
const OVERLOAD_DURATION: Micros = 1_700 * MS;
const SLOWDOWN_FACTOR: f64 = 3.0;
const RECOVERY_PER_CORE: f64 = 0.3 * OVERLOAD_PER_CORE;
const RECOVERY_DURATION: Micros = 4 * SECOND;

/// An attempt: of which balancer, which request, and its number.
type AttemptKey = (usize, u64, u32);

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    /// A client sends a request or retries.
    ClientRequest(usize),
    /// An attempt reaches its endpoint, ends with an outcome, or has lasted for as long as its
    /// client waits.
    Arrival(AttemptKey),
    Response(AttemptKey, Outcome),
    Deadline(AttemptKey),
    /// Work may be done at an endpoint; a balancer's timer fires. Both only if nothing newer was
    /// set.
    Work(usize, u64),
    Timer(usize, u64),
    Partition(bool),
    LoseZone,
    ListRemoval,
    ZoneReturns,
}

struct UserRequest {
    balancer: usize,
    class: usize,
    began: Micros,
    attempts: u32,
    ended: bool,
}

struct Request {
    user_request: usize,
    /// Until when its client waits.
    until: Micros,
    /// Where its attempts were sent.
    to: Vec<usize>,
}

pub(crate) struct Fleet {
    now: Micros,
    next: BinaryHeap<Reverse<(Micros, u64, Step)>>,
    number: u64,
    random: Pcg32,
    endpoints: Vec<Endpoint>,
    balancers: Vec<Balancer>,
    timers: Vec<u64>,
    user_requests: Vec<UserRequest>,
    requests: HashMap<(usize, u64), Request>,
    /// Open connections: of which balancer, to which endpoint.
    connections: HashSet<(usize, usize)>,
    is_partitioned: bool,
    /// By second: requests, those served in time, and connections opened.
    pub(crate) seconds: Vec<[u32; 3]>,
}

impl Fleet {
    /// From 0 to 1.
    fn unit(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }

    fn at(&mut self, when: Micros, what: Step) {
        self.number += 1;
        self.next.push(Reverse((when, self.number, what)));
    }

    fn count(&mut self, at: Micros, what: usize) {
        self.seconds[((at - LOAD_START) / SECOND) as usize][what] += 1;
    }

    fn reaches(&self, balancer: usize, endpoint: usize) -> bool {
        let (from, to) = (balancer as u32 % ZONES, self.endpoints[endpoint].zone);
        let crosses = from != to && (from == PARTITIONED_ZONE || to == PARTITIONED_ZONE);
        self.endpoints[endpoint].up && !(self.is_partitioned && crosses)
    }

    fn list(&self, which: impl Fn(&Endpoint) -> bool, state: EndpointState) -> Vec<EndpointEntry> {
        let all = (1..).zip(&self.endpoints).filter(|(_, endpoint)| which(endpoint));
        let entry = |(id, endpoint): (u32, &Endpoint)| EndpointEntry {
            endpoint: EndpointId(id),
            state,
            zone: ZoneId(endpoint.zone),
            started_at: endpoint.started_at,
            ..EndpointEntry::default()
        };
        all.map(entry).collect()
    }

    fn notify_all(&mut self, state: EndpointState) {
        let entries = self.list(|endpoint| endpoint.zone == LOST_ZONE, state);
        for balancer in 0..self.balancers.len() {
            let entries = entries.clone();
            self.notify(balancer, Event::EndpointList { kind: ListUpdate::Delta, entries });
        }
    }

    fn notify(&mut self, balancer: usize, event: Event) {
        let mut actions = Vec::new();
        self.balancers[balancer].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Forward { request, endpoint, .. } => {
                    self.send(balancer, request.0, endpoint.0 as usize - 1)
                }
                Action::Reject { request, .. } | Action::Fail { request, .. } => {
                    self.end(balancer, request.0, false)
                }
                Action::SetTimer { after } => {
                    self.timers[balancer] += 1;
                    self.at(self.now + after, Step::Timer(balancer, self.timers[balancer]));
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, balancer: usize, id: u64, endpoint: usize) {
        let Some(request) = self.requests.get_mut(&(balancer, id)) else { return };
        request.to.push(endpoint);
        let (attempt, until) = ((balancer, id, request.to.len() as u32 - 1), request.until);
        let is_connected = self.connections.contains(&(balancer, endpoint));
        if self.reaches(balancer, endpoint) {
            if self.connections.insert((balancer, endpoint)) {
                self.count(self.now, 2);
            }
            self.at(self.now + MS, Step::Arrival(attempt));
            self.at(until, Step::Deadline(attempt));
        } else if is_connected {
            // Open connections fall silent.
            self.connections.remove(&(balancer, endpoint));
            self.at(until, Step::Deadline(attempt));
        } else {
            self.at((self.now + CONNECT_TIMEOUT).min(until), Step::Response(attempt, Outcome::ConnectFailed));
        }
    }

    /// The end of a client's attempt: it is served, or retries.
    fn end(&mut self, balancer: usize, id: u64, served: bool) {
        let Some(request) = self.requests.remove(&(balancer, id)) else { return };
        let place = request.user_request;
        let again = 25 * MS + (self.unit() * 100e3) as Micros;
        let user_request = &mut self.user_requests[place];
        let (class, began) = (user_request.class, user_request.began);
        user_request.attempts += 1;
        user_request.ended = served;
        if served && self.now <= began + LATENCY_OBJECTIVE[class] {
            self.count(began, 1);
        } else if !served
            && self.user_requests[place].attempts < MAX_CLIENT_ATTEMPTS
            && self.now < began + DEADLINE[class]
        {
            self.at(self.now + again, Step::ClientRequest(place));
        }
    }

    fn outcome(
        &mut self,
        (balancer, request, attempt): AttemptKey,
        outcome: Outcome,
        request_finished: bool,
    ) {
        let (request, elapsed, load) = (RequestId(request), 0, LoadReport::default());
        self.notify(
            balancer,
            Event::AttemptEnded { request, attempt, outcome, elapsed, request_finished, load },
        );
    }

    /// Whether an attempt is the last of its request, which has not ended.
    fn is_out(&self, (balancer, request, attempt): AttemptKey) -> bool {
        self.requests
            .get(&(balancer, request))
            .is_some_and(|request| request.to.len() == attempt as usize + 1)
    }

    fn send_client_request(&mut self, place: usize) {
        let &UserRequest { balancer, class, began, attempts, .. } = &self.user_requests[place];
        if attempts == 0 {
            self.count(began, 0);
        }
        self.number += 1;
        let (request, class_id) = (self.number, ClassId(class));
        let time_left = (began + DEADLINE[class]).saturating_sub(self.now).min(DEADLINE[class] / 2).max(1);
        let until = self.now + time_left;
        self.requests.insert((balancer, request), Request { user_request: place, until, to: Vec::new() });
        let (request, tenant, client_retry, non_replayable) = (RequestId(request), None, attempts > 0, false);
        let class = class_id;
        self.notify(
            balancer,
            Event::RequestReceived { request, class, tenant, time_left, client_retry, non_replayable },
        );
    }

    fn arrive(&mut self, attempt: AttemptKey) {
        if !self.is_out(attempt) {
            return;
        }
        let request = &self.requests[&(attempt.0, attempt.1)];
        let (endpoint, class) =
            (request.to[attempt.2 as usize], self.user_requests[request.user_request].class);
        // From nothing to twice the mean, mostly near it.
        let work = WORK[class] * (0..4).map(|_| self.unit()).sum::<f64>() / 2.0;
        if !self.reaches(attempt.0, endpoint) {
            return;
        }
        let half = self.unit() < 0.5;
        let (now, host) = (self.now, &mut self.endpoints[endpoint]);
        if host.is_failing && half {
            return self.at(now + 2 * MS, Step::Response(attempt, Outcome::Error));
        }
        host.advance(now);
        if host.request_count() as f64 >= 6.0 * host.cores {
            return self.at(now + MS, Step::Response(attempt, Outcome::Rejected));
        }
        host.waiting.push_back((work, attempt));
        self.start_queued_work(endpoint);
    }

    /// Starts queued work, up to four requests per core, and sets when the next is done.
    fn start_queued_work(&mut self, place: usize) {
        let (now, endpoint) = (self.now, &mut self.endpoints[place]);
        while (endpoint.work.len() as f64) < 4.0 * endpoint.cores {
            let Some(work) = endpoint.waiting.pop_front() else { break };
            endpoint.work.push(work);
        }
        endpoint.turn += 1;
        let (turn, rate) = (endpoint.turn, endpoint.rate(now));
        if let Some(least) = endpoint.work.iter().map(|work| work.0).min_by(f64::total_cmp) {
            // Its rate changes as it warms up.
            let wait = ((least / rate).max(0.0) as Micros + 1).min(100 * MS);
            self.at(now + wait, Step::Work(place, turn));
        }
    }

    fn step(&mut self, what: Step) {
        match what {
            Step::ClientRequest(place) if !self.user_requests[place].ended => self.send_client_request(place),
            Step::ClientRequest(_) => {}
            Step::Arrival(attempt) => self.arrive(attempt),
            Step::Response(attempt, outcome) if self.is_out(attempt) => {
                if outcome == Outcome::Served {
                    self.end(attempt.0, attempt.1, true);
                }
                self.outcome(attempt, outcome, outcome == Outcome::Served);
            }
            Step::Deadline(attempt) if self.is_out(attempt) => {
                self.end(attempt.0, attempt.1, false);
                self.outcome(attempt, Outcome::TimedOut, true);
            }
            Step::Response(..) | Step::Deadline(_) => {}
            Step::Work(place, turn) if self.endpoints[place].turn == turn && self.endpoints[place].up => {
                let (now, endpoint) = (self.now, &mut self.endpoints[place]);
                endpoint.advance(now);
                let done: Vec<AttemptKey> =
                    endpoint.work.iter().filter(|w| w.0 <= 0.5).map(|w| w.1).collect();
                endpoint.work.retain(|work| work.0 > 0.5);
                // It works on for clients that have disconnected as well.
                done.into_iter()
                    .for_each(|attempt| self.at(now + MS, Step::Response(attempt, Outcome::Served)));
                self.start_queued_work(place);
            }
            Step::Timer(balancer, number) if self.timers[balancer] == number => {
                self.notify(balancer, Event::Timer);
            }
            Step::Work(..) | Step::Timer(..) => {}
            Step::Partition(is_partitioned) => self.is_partitioned = is_partitioned,
            Step::LoseZone => {
                for endpoint in self.endpoints.iter_mut().filter(|endpoint| endpoint.zone == LOST_ZONE) {
                    endpoint.up = false;
                    endpoint.work.clear();
                    endpoint.waiting.clear();
                }
            }
            Step::ListRemoval => self.notify_all(EndpointState::Removed),
            Step::ZoneReturns => {
                let now = self.now;
                for endpoint in self.endpoints.iter_mut().filter(|endpoint| endpoint.zone == LOST_ZONE) {
                    (endpoint.up, endpoint.started_at, endpoint.at, endpoint.slow) = (true, now, now, false);
                }
                self.notify_all(EndpointState::Ready);
            }
        }
    }

    pub(crate) fn run(mut self) -> Fleet {
        while let Some(Reverse((when, _, what))) = self.next.pop() {
            if when >= LOAD_END + SECOND {
                break;
            }
            self.now = when;
            self.step(what);
        }
        self
    }

    /// The fraction of the requests of some seconds that were served in time.
    pub(crate) fn in_time(&self, from: usize, to: usize) -> f64 {
        let sum = |what: usize| self.seconds[from..to].iter().map(|second| second[what]).sum::<u32>();
        f64::from(sum(1)) / f64::from(sum(0))
    }
}
