//! Long random sequences of valid events. Every action is checked: requests are sent only to ready
//! endpoints and no more often than allowed, are retried after they may have been executed only if
//! their idempotency allows it, and end exactly once.

mod common;
use balancer::*;
use common::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet};

const MAX_ATTEMPTS: u32 = 4;
const CLIENT_TIMEOUT: Micros = 1_200 * MS;

struct AttemptRecord {
    endpoint: EndpointId,
    outcome: Option<Outcome>,
    sent_at: Micros,
}

#[derive(Default)]
struct RequestRecord {
    attempts: Vec<AttemptRecord>,
    ended: bool,
    deadline: Micros,
    class: usize,
}

impl RequestRecord {
    /// Numbers of the attempts that are in flight.
    fn in_flight(&self) -> Vec<usize> {
        (0..self.attempts.len())
            .filter(|&number| self.attempts[number].outcome.is_none())
            .collect()
    }
}

/// A random sequence of events, with the state that its actions are checked against.
struct Sequence {
    seed: u64,
    random: Pcg32,
    proxy: Proxy,
    classes: Vec<Class>,
    hedging: bool,
    requests: BTreeMap<RequestId, RequestRecord>,
    list: BTreeMap<EndpointId, EndpointState>,
    ever_listed: BTreeSet<EndpointId>,
}

fn below(random: &mut Pcg32, bound: u64) -> u64 {
    u64::from(random.next_u32()) % bound
}

impl Sequence {
    fn new(seed: u64) -> Sequence {
        let mut random = Pcg32::seed_from_u64(seed);
        let kinds = [
            Idempotency::Idempotent,
            Idempotency::NonIdempotent,
            Idempotency::Keyed {
                scope: DeduplicationScope::Cell,
                window: 300 * MS,
            },
            Idempotency::Keyed {
                scope: DeduplicationScope::All,
                window: 300 * MS,
            },
        ];
        let mut settings = settings(Idempotency::Idempotent);
        settings.classes = kinds
            .iter()
            .map(|&idempotency| Class {
                idempotency,
                ..settings.classes[0]
            })
            .collect();
        settings.limits.hedging = seed.is_multiple_of(2);
        settings.limits.max_attempts = MAX_ATTEMPTS;
        settings.balancer_count = 1 + below(&mut random, 5) as u32;
        let is_polled = seed.is_multiple_of(3);
        settings.discovery.mode = if is_polled {
            DiscoveryMode::Poll
        } else {
            DiscoveryMode::Push
        };
        Sequence {
            seed,
            random,
            classes: settings.classes.clone(),
            hedging: settings.limits.hedging,
            proxy: Proxy::new(settings, 0),
            requests: BTreeMap::new(),
            list: BTreeMap::new(),
            ever_listed: BTreeSet::new(),
        }
    }

    fn below(&mut self, bound: u64) -> u64 {
        below(&mut self.random, bound)
    }

    fn run(&mut self) {
        for step in 0..4_000_u64 {
            self.proxy.now += self.below(8) * MS;
            let in_flight: Vec<(RequestId, usize)> = self
                .requests
                .iter()
                .flat_map(|(&id, request)| request.in_flight().into_iter().map(move |n| (id, n)))
                .collect();
            let actions = match self.below(10) {
                0..=3 => self.receive_request(),
                4..=7 if !in_flight.is_empty() => self.end_some_attempt(&in_flight),
                8 if step % 7 == 0 => self.change_list(),
                8 if step % 31 == 0 => self.proxy.update_list(ListUpdate::PollFailed, vec![]),
                _ => {
                    // A proxy reports attempts that have timed out before it reports its timer.
                    self.end_late_attempts();
                    self.proxy.handle(Event::Timer)
                }
            };
            self.check(&actions);
        }
    }

    fn receive_request(&mut self) -> Vec<Action> {
        let class = self.below(4) as usize;
        let (id, actions) = self.proxy.request_of_class(class);
        let deadline = self.proxy.now + CLIENT_TIMEOUT;
        self.requests.insert(
            id,
            RequestRecord {
                deadline,
                class,
                ..RequestRecord::default()
            },
        );
        actions
    }

    fn end_some_attempt(&mut self, in_flight: &[(RequestId, usize)]) -> Vec<Action> {
        let (id, number) = in_flight[self.below(in_flight.len() as u64) as usize];
        let outcome = match self.below(12) {
            0 => Outcome::Error,
            1 => Outcome::Rejected,
            2 => Outcome::ConnectFailed,
            3 => Outcome::Reset,
            4 => Outcome::Unknown,
            _ => Outcome::Served,
        };
        self.end_attempt(id, number, outcome)
    }

    fn end_attempt(&mut self, id: RequestId, number: usize, outcome: Outcome) -> Vec<Action> {
        let request = self.requests.get_mut(&id).expect("a known request");
        request.attempts[number].outcome = Some(outcome);
        request.ended |= outcome == Outcome::Served;
        let elapsed = self.proxy.now - request.attempts[number].sent_at;
        self.proxy.end_attempt(id, number as u32, outcome, elapsed)
    }

    fn change_list(&mut self) -> Vec<Action> {
        let endpoint = EndpointId(self.below(8) as u32);
        let states = [
            EndpointState::Ready,
            EndpointState::Ready,
            EndpointState::Draining,
            EndpointState::Removed,
        ];
        let state = states[self.below(4) as usize];
        let started_at = if self.below(4) > 0 { 0 } else { self.proxy.now };
        self.ever_listed.insert(endpoint);
        self.list.insert(endpoint, state);
        let cell = CellId(endpoint.0 % 2);
        let entry = EndpointEntry {
            endpoint,
            state,
            started_at,
            cell,
            ..EndpointEntry::default()
        };
        self.proxy.update_list(ListUpdate::Delta, vec![entry])
    }

    fn end_late_attempts(&mut self) {
        let now = self.proxy.now;
        let is_late = |request: &RequestRecord| !request.ended && request.deadline <= now;
        let late = self.requests.iter().filter(|(_, request)| is_late(request));
        let late: Vec<RequestId> = late.map(|(&id, _)| id).collect();
        for id in late {
            for number in self.requests[&id].in_flight() {
                let actions = self.end_attempt(id, number, Outcome::TimedOut);
                self.check(&actions);
            }
        }
    }

    fn open_requests(&self) -> Vec<RequestId> {
        let open = self.requests.iter().filter(|(_, request)| !request.ended);
        open.map(|(&id, _)| id).collect()
    }

    /// Advances the clock beyond all deadlines, ends the remaining attempts as timed out and checks
    /// that all requests have ended.
    fn finish(&mut self, seed: u64) {
        for _ in 0..3 {
            self.proxy.now += 700 * MS;
            let actions = self.proxy.handle(Event::Timer);
            self.check(&actions);
            for id in self.open_requests() {
                for number in 0..self.requests[&id].attempts.len() {
                    let attempt = &mut self
                        .requests
                        .get_mut(&id)
                        .expect("a known request")
                        .attempts[number];
                    if attempt.outcome.is_none() {
                        attempt.outcome = Some(Outcome::TimedOut);
                        let outcome = Outcome::TimedOut;
                        let actions = self.proxy.end_attempt(id, number as u32, outcome, 700 * MS);
                        self.check(&actions);
                    }
                }
            }
        }
        let never_ended = self.open_requests();
        assert!(
            never_ended.is_empty(),
            "seed {seed}: requests that never ended: {never_ended:?}"
        );
        let forwarded = self
            .requests
            .values()
            .filter(|request| !request.attempts.is_empty())
            .count();
        assert!(
            forwarded > 100,
            "seed {seed}: only {forwarded} requests were forwarded, too few for a meaningful check"
        );
    }

    fn check(&mut self, actions: &[Action]) {
        for action in actions {
            match *action {
                Action::Forward {
                    request, endpoint, ..
                } => self.check_attempt(request, endpoint),
                Action::Reject { request, .. } => self.check_rejection(request),
                Action::Fail { request, .. } => {
                    let record = self
                        .requests
                        .get_mut(&request)
                        .expect("a request that arrived");
                    assert!(
                        !std::mem::replace(&mut record.ended, true),
                        "seed {}: {request:?} failed after it had ended",
                        self.seed
                    );
                }
                Action::CancelAttempt { request, attempt } => {
                    let count = self.requests[&request].attempts.len();
                    assert!(
                        (attempt as usize) < count,
                        "seed {}: attempt {attempt} of {request:?} was cancelled, but there are \
                         only {count}",
                        self.seed
                    );
                }
                _ => {}
            }
        }
    }

    fn check_attempt(&mut self, id: RequestId, endpoint: EndpointId) {
        let request = self.requests.get_mut(&id).expect("a request that arrived");
        let seed = self.seed;
        assert!(
            !request.ended,
            "seed {seed}: {id:?} was forwarded after it had ended"
        );
        assert!(
            self.ever_listed.contains(&endpoint) && self.list[&endpoint] == EndpointState::Ready,
            "seed {seed}: {id:?} was forwarded to {endpoint:?}, which is not ready"
        );
        assert!(
            request.attempts.len() < MAX_ATTEMPTS as usize,
            "seed {seed}: {id:?} had more than {MAX_ATTEMPTS} attempts"
        );
        let in_flight = request.in_flight().len();
        assert!(
            in_flight == 0 || self.hedging && in_flight == 1,
            "seed {seed}: {id:?} was forwarded with {in_flight} attempts in flight, hedging: {}",
            self.hedging
        );
        let may_have_been_executed = |attempt: &&AttemptRecord| {
            attempt
                .outcome
                .is_none_or(|outcome| !outcome.was_not_executed())
        };
        let first = request.attempts.iter().find(may_have_been_executed);
        match (self.classes[request.class].idempotency, first) {
            (Idempotency::NonIdempotent, Some(_)) => panic!(
                "seed {seed}: {id:?} is not idempotent and was retried although it may have been \
                 executed"
            ),
            (Idempotency::Keyed { scope, window }, Some(first)) => {
                let is_same_cell = first.endpoint.0 % 2 == endpoint.0 % 2;
                assert!(
                    scope == DeduplicationScope::All || is_same_cell,
                    "seed {seed}: {id:?} was retried outside its cell"
                );
                assert!(
                    self.proxy.now <= first.sent_at + window,
                    "seed {seed}: {id:?} was retried {} us after the first attempt that may have \
                     been executed, allowed {window}",
                    self.proxy.now - first.sent_at
                );
            }
            _ => {}
        }
        request.attempts.push(AttemptRecord {
            endpoint,
            outcome: None,
            sent_at: self.proxy.now,
        });
    }

    fn check_rejection(&mut self, id: RequestId) {
        let request = self.requests.get_mut(&id).expect("a request that arrived");
        assert!(
            !std::mem::replace(&mut request.ended, true),
            "seed {}: {id:?} was rejected after it had ended",
            self.seed
        );
        let mut attempts = request.attempts.iter();
        let never_executed =
            attempts.all(|attempt| attempt.outcome.is_some_and(Outcome::was_not_executed));
        let is_repeatable = matches!(
            self.classes[request.class].idempotency,
            Idempotency::Idempotent
                | Idempotency::Keyed {
                    scope: DeduplicationScope::All,
                    ..
                }
        );
        assert!(
            never_executed || is_repeatable,
            "seed {}: {id:?} was rejected although it may have been executed and must not be \
             repeated",
            self.seed
        );
    }
}

#[test]
fn every_action_of_a_random_event_sequence_is_allowed() {
    for seed in 0..12 {
        let mut sequence = Sequence::new(seed);
        sequence.run();
        sequence.finish(seed);
    }
}

#[test]
fn the_same_seed_and_events_give_the_same_actions() {
    let run = || {
        let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 5);
        for i in 0..300 {
            proxy.serve_request((i % 17) * MS);
        }
        proxy.actions
    };
    assert_eq!(run(), run());
}
