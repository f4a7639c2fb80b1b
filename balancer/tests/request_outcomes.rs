//! The four rules, and the failures that were met: each test fails without the code that answers it.

mod common;
use balancer::*;
use common::*;

const CELL: Idempotency = Idempotency::Keyed { scope: DeduplicationScope::Cell, window: 400 * MS };

fn two_cells() -> Vec<EndpointEntry> {
    (1..=4).map(|i| EndpointEntry { cell: CellId(i % 2), zone: ZoneId(i % 2), ..ready(i) }).collect()
}

// No lost request.

#[test]
fn held_calls_are_ended_before_their_client_gives_up() {
    for idempotency in [Idempotency::Idempotent, Idempotency::NonIdempotent, CELL] {
        let mut proxy = Proxy::new(settings(idempotency), 0);
        let (request, mut actions) = proxy.request();
        assert!(sent(&actions).is_empty());
        while !refused(&actions, request) {
            let after =
                actions
                    .iter()
                    .find_map(|a| if let Action::SetTimer { after } = a { Some(*after) } else { None });
            actions = proxy.wait(after.expect("a timer for the held call"));
        }
        assert!(proxy.now < 1_000_000 + 1_200 * MS);
    }
}

#[test]
fn the_deadlines_own_no_answer_ends_the_call() {
    for (idempotency, may_refuse) in
        [(Idempotency::Idempotent, true), (Idempotency::NonIdempotent, false), (CELL, false)]
    {
        let mut proxy = Proxy::new(settings(idempotency), 1);
        let (request, _) = proxy.request();
        proxy.now += 1_200 * MS;
        let actions = proxy.end(request, 0, Outcome::TimedOut, 1_200 * MS);
        assert_eq!(refused(&actions, request), may_refuse);
        assert_eq!(failed(&actions, request), !may_refuse);
        assert!(sent(&proxy.request().1).iter().all(|s| s.0 != request));
    }
}

/// A proxy that ends takes its held calls with it: they get their answers before, whatever their clients' time.
#[test]
fn held_calls_are_ended_before_their_proxy_ends() {
    for late_weight_fraction in [0.0, 0.5] {
        let mut settings = settings(Idempotency::Idempotent);
        settings.classes[0] =
            Class { latency_objective: 1_100 * MS, late_weight_fraction, ..settings.classes[0] };
        let mut proxy = Proxy::new(settings, 0);
        let (request, _) = proxy.request();
        let mut actions = proxy.event(Event::ShutdownStarted { time_left: 100 * MS });
        while !refused(&actions, request) {
            let after =
                actions
                    .iter()
                    .find_map(|a| if let Action::SetTimer { after } = a { Some(*after) } else { None });
            actions = proxy.wait(after.expect("a timer for the held call"));
        }
        assert!(proxy.now < 1_000_000 + 100 * MS);
    }
}

// No duplicated effect.

const CODES: [Outcome; 8] = [
    Outcome::Error,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NeverSent,
    Outcome::Unknown,
];

#[test]
fn each_outcome_against_each_kind_of_call() {
    let guarded = |scope| Idempotency::Keyed { scope, window: 400 * MS };
    let kinds = [
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
        guarded(DeduplicationScope::All),
        guarded(DeduplicationScope::Zone),
        guarded(DeduplicationScope::Cell),
    ];
    for idempotency in kinds {
        for first in CODES {
            for second in CODES {
                let mut proxy = Proxy::new(settings(idempotency), 0);
                proxy.list(ListUpdate::Full, two_cells());
                let (request, actions) = proxy.request();
                let home = sent(&actions)[0].1;
                proxy.now += MS;
                let actions = proxy.end(request, 0, first, MS);
                let again = sent(&actions);
                let proven = first.never_ran();
                if idempotency == Idempotency::NonIdempotent && !proven {
                    assert!(again.is_empty() && failed(&actions, request), "{first:?}");
                    continue;
                }
                assert_eq!(again.len(), 1, "{idempotency:?} after {first:?}");
                let bound = matches!(
                    idempotency,
                    Idempotency::Keyed { scope: DeduplicationScope::Zone | DeduplicationScope::Cell, .. }
                );
                if bound && !proven {
                    assert_eq!(again[0].1 .0 % 2, home.0 % 2, "stays with its group");
                }
                // The second attempt's end, then the last chance gone: refused only where harmless.
                proxy.now += 450 * MS;
                let actions = proxy.end(request, 1, second, MS);
                let harmless = match idempotency {
                    Idempotency::Idempotent | Idempotency::Keyed { scope: DeduplicationScope::All, .. } => {
                        true
                    }
                    _ => proven && second.never_ran(),
                };
                assert!(sent(&actions).is_empty(), "too late to be in time");
                assert_eq!(refused(&actions, request), harmless, "{idempotency:?} {first:?} {second:?}");
                assert_eq!(failed(&actions, request), !harmless);
            }
        }
    }
}

#[test]
fn a_guarded_call_does_not_go_again_after_its_window() {
    let mut proxy =
        Proxy::new(settings(Idempotency::Keyed { scope: DeduplicationScope::Cell, window: 100 * MS }), 4);
    let (request, _) = proxy.request();
    proxy.now += 100 * MS;
    let actions = proxy.end(request, 0, Outcome::Error, 100 * MS);
    assert!(sent(&actions).is_empty() && failed(&actions, request));
}

/// A repeat that waits for a place gets its final answer as soon as it can go nowhere any more.
#[test]
fn a_held_repeat_is_ended_with_its_window() {
    let window = 100 * MS;
    let mut proxy = Proxy::new(settings(Idempotency::Keyed { scope: DeduplicationScope::Cell, window }), 1);
    let (start, (request, _), (trial, more)) = (proxy.now, proxy.request(), proxy.request());
    assert_eq!(sent(&more).len(), 1, "it takes the place that the other will want back");
    proxy.now += 10 * MS;
    let mut actions = proxy.end(request, 0, Outcome::Error, 10 * MS);
    while !failed(&actions, request) {
        assert!(sent(&actions).is_empty());
        let after =
            actions.iter().find_map(|a| if let Action::SetTimer { after } = a { Some(*after) } else { None });
        actions = proxy.wait(after.expect("a timer for the held call"));
    }
    assert_eq!(proxy.now, start + window);
    assert!(sent(&proxy.end(trial, 0, Outcome::Served, window)).is_empty());
}

/// A repeat's connection may take long to come up: the window bounds its first byte, not its choice.
#[test]
fn a_repeat_is_told_what_is_left_of_its_window() {
    let scope = DeduplicationScope::Cell;
    let cases = [
        (Idempotency::Idempotent, None),
        (Idempotency::Keyed { scope, window: 100 * MS }, Some(70 * MS - 1_000)),
    ];
    for (idempotency, left) in cases {
        let mut proxy = Proxy::new(settings(idempotency), 4);
        let (request, actions) = proxy.request();
        let within = |actions: &[Action]| match actions.iter().find(|a| matches!(a, Action::Forward { .. })) {
            Some(Action::Forward { start_within, .. }) => *start_within,
            _ => panic!("it is not sent"),
        };
        assert_eq!(within(&actions), None, "the first of its attempts");
        proxy.now += 30 * MS;
        assert_eq!(within(&proxy.end(request, 0, Outcome::Error, 30 * MS)), left, "{idempotency:?}");
    }
}

// Safe drain.

#[test]
fn nothing_goes_to_a_draining_or_gone_server_also_after_a_cached_list() {
    for kind in [ListUpdate::Delta, ListUpdate::Full] {
        for state in [EndpointState::Draining, EndpointState::Removed] {
            let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 0);
            proxy.list(ListUpdate::Cached, vec![ready(1), ready(2)]);
            proxy.list(kind, vec![EndpointEntry { state, ..ready(1) }, ready(2)]);
            for _ in 0..50 {
                assert_eq!(proxy.serve(MS), Some(EndpointId(2)));
            }
        }
    }
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 2);
    proxy.list(ListUpdate::Full, vec![ready(2)]);
    for _ in 0..50 {
        assert_eq!(proxy.serve(MS), Some(EndpointId(2)), "what a full list leaves out is gone");
    }
}

// Safe fail-back.

// Failures that were met.

#[test]
fn the_hold_is_bounded_by_time_so_that_not_all_are_served_late() {
    let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 1);
    let mut early = 0;
    for _ in 0..60 {
        proxy.now += 10 * MS;
        let (request, actions) = proxy.request();
        early += usize::from(refused(&actions, request));
    }
    assert!(early > 20, "calls that would wait too long are refused as they come: {early}");
}

#[test]
fn alarms_do_not_beget_alarms_for_good() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 0);
    (0..50).for_each(|_| drop(proxy.request()));
    let mut due = std::collections::BinaryHeap::new();
    let (mut alarms, mut seen) = (0, 0);
    loop {
        for action in &proxy.actions[seen..] {
            if let Action::SetTimer { after } = action {
                due.push(std::cmp::Reverse(proxy.now + after));
            }
        }
        seen = proxy.actions.len();
        let Some(std::cmp::Reverse(at)) = due.pop() else { break };
        proxy.now = proxy.now.max(at);
        proxy.event(Event::Timer);
        alarms += 1;
        assert!(alarms < 1_000, "50 calls end within a second");
    }
}
