//! Long odd-but-legal event sequences; the rules are checked on every action.

mod common;
use balancer::*;
use common::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Default)]
struct RequestRecord {
    attempts: Vec<(EndpointId, Option<Outcome>, Micros)>,
    ended: bool,
    deadline: Micros,
    class: usize,
}

#[test]
fn every_action_of_random_event_sequences_keeps_the_rules() {
    for seed in 0..12 {
        random_sequence(seed);
    }
}

fn random_sequence(seed: u64) {
    let mut random = Pcg32::seed_from_u64(seed);
    let mut below = move |n: u64| u64::from(random.next_u32()) % n;
    let kinds = [
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
        Idempotency::Keyed { scope: DeduplicationScope::Cell, window: 300 * MS },
        Idempotency::Keyed { scope: DeduplicationScope::All, window: 300 * MS },
    ];
    let mut settings = settings(Idempotency::Idempotent);
    settings.classes =
        kinds.iter().map(|&idempotency| Class { idempotency, ..settings.classes[0] }).collect();
    settings.limits.hedging = seed.is_multiple_of(2);
    settings.limits.max_attempts = 4;
    settings.balancer_count = 1 + below(5) as u32;
    settings.discovery.mode = if seed.is_multiple_of(3) { DiscoveryMode::Poll } else { DiscoveryMode::Push };
    let (hedging, classes) = (settings.limits.hedging, settings.classes.clone());
    let mut proxy = Proxy::new(settings, 0);
    let mut requests: BTreeMap<RequestId, RequestRecord> = BTreeMap::new();
    let mut list: BTreeMap<EndpointId, EndpointState> = BTreeMap::new();
    let mut known: BTreeSet<EndpointId> = BTreeSet::new();
    for step in 0..4_000_u64 {
        proxy.now += below(8) * MS;
        let open: Vec<(RequestId, usize)> = requests
            .iter()
            .flat_map(|(&id, c)| {
                (0..c.attempts.len()).filter(|&a| c.attempts[a].1.is_none()).map(move |a| (id, a))
            })
            .collect();
        let actions = match below(10) {
            0..=3 => {
                let class = below(4) as usize;
                let (id, actions) = proxy.request_of_class(class);
                let deadline = proxy.now + 1_200 * MS;
                requests.insert(id, RequestRecord { deadline, class, ..RequestRecord::default() });
                actions
            }
            4..=7 if !open.is_empty() => {
                let (id, attempt) = open[below(open.len() as u64) as usize];
                let outcome = match below(12) {
                    0 => Outcome::Error,
                    1 => Outcome::Rejected,
                    2 => Outcome::ConnectFailed,
                    3 => Outcome::Reset,
                    4 => Outcome::Unknown,
                    _ => Outcome::Served,
                };
                let seen = requests.get_mut(&id).expect("it is open");
                seen.attempts[attempt].1 = Some(outcome);
                let elapsed = proxy.now - seen.attempts[attempt].2;
                seen.ended |= outcome == Outcome::Served;
                proxy.end_attempt(id, attempt as u32, outcome, elapsed)
            }
            8 if step % 7 == 0 => {
                let endpoint = EndpointId(below(8) as u32);
                let state = [
                    EndpointState::Ready,
                    EndpointState::Ready,
                    EndpointState::Draining,
                    EndpointState::Removed,
                ][below(4) as usize];
                let started_at = if below(4) > 0 { 0 } else { proxy.now };
                known.insert(endpoint);
                list.insert(endpoint, state);
                let cell = CellId(endpoint.0 % 2);
                proxy.update_list(
                    ListUpdate::Delta,
                    vec![EndpointEntry { endpoint, state, started_at, cell, ..EndpointEntry::default() }],
                )
            }
            8 if step % 31 == 0 => proxy.update_list(ListUpdate::PollFailed, vec![]),
            _ => {
                // Deadlines first, as the proxy's clock would have them.
                let mut all = Vec::new();
                let due: Vec<RequestId> = requests
                    .iter()
                    .filter(|(_, c)| !c.ended && c.deadline <= proxy.now)
                    .map(|c| *c.0)
                    .collect();
                for id in due {
                    let outs: Vec<usize> = (0..requests[&id].attempts.len())
                        .filter(|&a| requests[&id].attempts[a].1.is_none())
                        .collect();
                    for attempt in outs {
                        let seen = requests.get_mut(&id).expect("known");
                        seen.attempts[attempt].1 = Some(Outcome::TimedOut);
                        let elapsed = proxy.now - seen.attempts[attempt].2;
                        let actions = proxy.end_attempt(id, attempt as u32, Outcome::TimedOut, elapsed);
                        check(&actions, &mut requests, &list, &known, &classes, hedging, proxy.now);
                    }
                }
                all.extend(proxy.handle(Event::Timer));
                all
            }
        };
        check(&actions, &mut requests, &list, &known, &classes, hedging, proxy.now);
    }
    // All are answered in the end.
    for _ in 0..3 {
        proxy.now += 700 * MS;
        let actions = proxy.handle(Event::Timer);
        check(&actions, &mut requests, &list, &known, &classes, hedging, proxy.now);
        let open: Vec<RequestId> = requests.iter().filter(|c| !c.1.ended).map(|c| *c.0).collect();
        for id in open {
            for attempt in 0..requests[&id].attempts.len() {
                if requests[&id].attempts[attempt].1.is_none() {
                    requests.get_mut(&id).expect("known").attempts[attempt].1 = Some(Outcome::TimedOut);
                    let actions = proxy.end_attempt(id, attempt as u32, Outcome::TimedOut, 700 * MS);
                    check(&actions, &mut requests, &list, &known, &classes, hedging, proxy.now);
                }
            }
        }
    }
    let lost: Vec<_> = requests.iter().filter(|c| !c.1.ended).map(|c| *c.0).collect();
    assert!(lost.is_empty(), "seed {seed}: never ended {lost:?}");
    let forwarded = requests.values().filter(|c| !c.attempts.is_empty()).count();
    assert!(forwarded > 100, "seed {seed}: a sequence with too few requests, {forwarded} requests sent");
}

fn check(
    actions: &[Action],
    requests: &mut BTreeMap<RequestId, RequestRecord>,
    list: &BTreeMap<EndpointId, EndpointState>,
    known: &BTreeSet<EndpointId>,
    classes: &[Class],
    hedging: bool,
    now: Micros,
) {
    for action in actions {
        match *action {
            Action::Forward { request, endpoint, .. } => {
                let seen = requests.get_mut(&request).expect("a request that arrived");
                assert!(!seen.ended, "sent after its end");
                assert!(
                    known.contains(&endpoint) && list[&endpoint] == EndpointState::Ready,
                    "sent to one that is not ready"
                );
                assert!(seen.attempts.len() < 4, "more attempts than allowed");
                let out = seen.attempts.iter().filter(|a| a.1.is_none()).count();
                assert!(out == 0 || hedging && out == 1);
                let first = seen.attempts.iter().find(|a| a.1.is_none_or(|o| !o.never_ran()));
                match (classes[seen.class].idempotency, first) {
                    (Idempotency::NonIdempotent, Some(_)) => panic!("a non-idempotent request was retried"),
                    (Idempotency::Keyed { scope, window }, Some(first)) => {
                        assert!(
                            scope == DeduplicationScope::All || first.0 .0 % 2 == endpoint.0 % 2,
                            "left its cell"
                        );
                        assert!(now <= first.2 + window, "left its window");
                    }
                    _ => {}
                }
                seen.attempts.push((endpoint, None, now));
            }
            Action::Reject { request, .. } => {
                let seen = requests.get_mut(&request).expect("a request that arrived");
                assert!(!std::mem::replace(&mut seen.ended, true), "ended twice");
                let never_executed = seen.attempts.iter().all(|a| a.1.is_some_and(Outcome::never_ran));
                let is_repeatable = matches!(
                    classes[seen.class].idempotency,
                    Idempotency::Idempotent | Idempotency::Keyed { scope: DeduplicationScope::All, .. }
                );
                assert!(never_executed || is_repeatable, "rejected though it may have been executed");
            }
            Action::Fail { request, .. } => {
                let seen = requests.get_mut(&request).expect("a request that arrived");
                assert!(!std::mem::replace(&mut seen.ended, true), "ended twice");
            }
            Action::CancelAttempt { request, attempt } => {
                assert!((attempt as usize) < requests[&request].attempts.len(), "no such attempt")
            }
            _ => {}
        }
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 5);
        for i in 0..300 {
            proxy.serve_request((i % 17) * MS);
        }
        proxy.actions
    };
    assert_eq!(run(), run());
}

#[test]
fn odd_input_causes_no_panic() {
    let mut odd = settings(Idempotency::Idempotent);
    odd.balancer_count = 0;
    odd.limits.max_attempts = 0;
    odd.tenants = vec![Tenant { quota: 0.0 }];
    odd.slow_start = SlowStart { initial_capacity: 0.0, duration: 0, overload_multiple: 0.0 };
    odd.discovery = Discovery { mode: DiscoveryMode::Push, max_poll_interval: 0, notification_deadline: 0 };
    let empty = Settings { classes: vec![], ..odd.clone() };
    for settings in [odd, empty] {
        let mut proxy = Proxy::new(settings, 2);
        let times = [0, 1, u64::MAX / 2];
        for (i, &time_left) in times.iter().chain(&[u64::MAX]).enumerate() {
            let class = ClassId(if i % 2 == 0 { 0 } else { usize::MAX });
            let request = RequestId(1_000 + i as u64);
            let tenant = Some(TenantId(i));
            let event = Event::RequestReceived {
                request,
                class,
                tenant,
                time_left,
                client_retry: true,
                non_replayable: false,
            };
            proxy.handle(event.clone());
            proxy.handle(event);
            for attempt in [0, 0, 7] {
                proxy.end_attempt(request, attempt, Outcome::Unknown, u64::MAX);
            }
        }
        proxy.end_attempt(RequestId(99), 0, Outcome::Served, 0);
        proxy.handle(Event::RequestCancelled { request: RequestId(99) });
        proxy.handle(Event::ResponseStarted { request: RequestId(99), attempt: 3 });
        let load = LoadReport { in_flight: Some(f64::NAN), queued: Some(-1.0), cpu_utilization: None };
        proxy.handle(Event::HealthChecked { endpoint: EndpointId(9), outcome: Outcome::Served, load });
        proxy.update_list(ListUpdate::Full, vec![]);
        proxy.now = u64::MAX - 10;
        proxy.update_list(ListUpdate::Delta, vec![EndpointEntry { started_at: u64::MAX, ..ready(1) }]);
        let (request, _) = proxy.request();
        proxy.advance(5);
        proxy.handle(Event::RequestCancelled { request });
    }
}
