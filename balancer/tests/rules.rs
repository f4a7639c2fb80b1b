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

#[test]
fn second_copies_go_out_only_where_allowed_and_their_losers_are_called_off() {
    for (idempotency, allowed, copies) in [
        (Idempotency::Idempotent, true, 1),
        (Idempotency::Idempotent, false, 0),
        (Idempotency::NonIdempotent, true, 0),
    ] {
        let mut settings = settings(idempotency);
        settings.limits.hedging = allowed;
        let mut proxy = Proxy::new(settings, 3);
        for _ in 0..20 {
            proxy.serve(40 * MS);
        }
        let (request, actions) = proxy.request();
        let home = sent(&actions)[0].1;
        let actions = proxy.wait(430 * MS);
        let copy = sent(&actions);
        assert_eq!(copy.len(), copies);
        if copies == 1 {
            assert_ne!(copy[0].1, home);
            let actions = proxy.end(request, 1, Outcome::Served, 30 * MS);
            assert!(actions.contains(&Action::CancelAttempt { request, attempt: 0 }));
        }
    }
}

#[test]
fn a_stream_is_bound_to_its_attempt() {
    let mut settings = settings(Idempotency::Idempotent);
    settings.limits.hedging = true;
    let mut proxy = Proxy::new(settings, 3);
    let (request, _) = proxy.request();
    proxy.event(Event::ResponseStarted { request, attempt: 0 });
    assert!(sent(&proxy.wait(450 * MS)).is_empty(), "no second copy");
    let actions = proxy.end(request, 0, Outcome::Reset, 450 * MS);
    assert!(sent(&actions).is_empty());
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

/// Sends within six seconds to a server beside two or three warm ones, when it started just now and ends attempts with `outcome`.
fn sends_to_cold(outcome: Outcome, restart: bool) -> usize {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 3);
    for _ in 0..200 {
        proxy.serve(10 * MS);
    }
    let id = if restart { 1 } else { 4 };
    proxy.list(ListUpdate::Delta, vec![EndpointEntry { started_at: proxy.now, ..ready(id) }]);
    let mut count = 0;
    for _ in 0..600 {
        let (request, actions) = proxy.request();
        let mut last = sent(&actions).first().map(|s| s.1);
        proxy.now += 10 * MS;
        let mut attempt = 0;
        while let Some(endpoint) = last {
            let cold = endpoint == EndpointId(id);
            count += usize::from(cold);
            let end = if cold { outcome } else { Outcome::Served };
            let actions = proxy.end(request, attempt, end, 10 * MS);
            last = sent(&actions).iter().find(|s| s.0 == request).map(|s| s.1);
            attempt += 1;
        }
    }
    count
}

#[test]
fn a_cold_server_gets_its_part_also_when_it_refuses_or_fails_fast_and_after_a_restart() {
    for outcome in [Outcome::Served, Outcome::Rejected, Outcome::Error, Outcome::ConnectFailed] {
        for restart in [false, true] {
            let count = sends_to_cold(outcome, restart);
            // A warm server's part of 600 calls is 150 to 200; this one has a tenth to a third of its capacity.
            assert!((1..=60).contains(&count), "{outcome:?} {restart}: {count}");
        }
    }
}

/// How often a cold server is used for 200 answers, beside one warm server and `leaving` ones that drain.
fn sends_to_cold_beside(leaving: u32) -> usize {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 1 + leaving);
    let out: Vec<(RequestId, EndpointId)> = (0..=leaving).flat_map(|_| sent(&proxy.request().1)).collect();
    let drain = |s: u32| EndpointEntry { state: EndpointState::Draining, ..ready(s) };
    proxy.list(ListUpdate::Delta, (2..=1 + leaving).map(drain).collect());
    for (request, _) in out.iter().filter(|request| request.1 == EndpointId(1)) {
        proxy.end(*request, 0, Outcome::Served, 10 * MS);
    }
    proxy.list(ListUpdate::Delta, vec![EndpointEntry { started_at: proxy.now, ..ready(99) }]);
    (0..200).filter(|_| proxy.serve(10 * MS) == Some(EndpointId(99))).count()
}

/// Servers that only finish what they hold give few answers, and none once it is done: counted among those that
/// share the answers out, they left cold servers idle while the warm ones were full.
#[test]
fn a_cold_servers_part_is_reckoned_among_the_servers_in_service() {
    let (alone, beside) = (sends_to_cold_beside(0), sends_to_cold_beside(9));
    assert!(alone >= 5 && beside * 2 >= alone, "{alone} alone, {beside} beside nine that drain");
}

// Failures that were met.

#[test]
fn fast_errors_set_a_server_aside_though_it_looks_idle() {
    let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 4);
    let mut errors = 0;
    for _ in 0..200 {
        let (request, actions) = proxy.request();
        let bad = sent(&actions)[0].1 == EndpointId(1);
        errors += usize::from(bad);
        proxy.now += 2 * MS;
        proxy.end(request, 0, if bad { Outcome::Error } else { Outcome::Served }, 2 * MS);
    }
    assert!(errors <= 4, "{errors}");
}

/// Requests that any server finds unusable say nothing of the servers: a bad client must not set good ones aside.
#[test]
fn unusable_requests_set_no_server_aside_and_do_not_go_again() {
    for idempotency in [Idempotency::NonIdempotent, Idempotency::Idempotent] {
        let mut proxy = Proxy::new(settings(idempotency), 4);
        for _ in 0..100 {
            let (request, actions) = proxy.request();
            assert_eq!(sent(&actions).len(), 1);
            proxy.now += 2 * MS;
            let actions = proxy.end(request, 0, Outcome::Invalid, 2 * MS);
            assert!(failed(&actions, request) && sent(&actions).is_empty(), "{actions:?}");
        }
        let aside = |action: &Action| matches!(action, Action::Log(LogEvent::EndpointEjected(_)));
        assert!(!proxy.actions.iter().any(aside));
    }
}

/// Connections break now and then at any server. One that breaks must not set aside a server that answers others,
/// and a kept one that was closed earlier says nothing of its server at all.
#[test]
fn connections_that_break_now_and_then_set_no_server_aside() {
    for (outcome, every) in [(Outcome::Reset, 12), (Outcome::Stale, 3)] {
        let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 4);
        let mut counts = [0; 5];
        for _ in 0..400 {
            let (request, actions) = proxy.request();
            let count = &mut counts[sent(&actions)[0].1 .0 as usize];
            *count += 1;
            let end = if *count % every == 0 { outcome } else { Outcome::Served };
            proxy.now += 2 * MS;
            let actions = proxy.end(request, 0, end, 2 * MS);
            assert_eq!(failed(&actions, request), end == outcome, "it may have run: it is not sent again");
        }
        let aside = |action: &Action| matches!(action, Action::Log(LogEvent::EndpointEjected(_)));
        assert!(!proxy.actions.iter().any(aside), "{outcome:?}");
    }
}

/// Spoilt answers come from any server now and then: two close together are no reason to leave one out, but a
/// server that spoils most must not draw calls by being quick.
#[test]
fn a_server_is_set_aside_for_many_spoilt_answers_not_for_two() {
    for (every, least, most) in [(10, 8, 400), (1, 1, 8)] {
        let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 4);
        let (mut spoilt, mut at) = (0, 0);
        for _ in 0..400 {
            let (request, actions) = proxy.request();
            let mut end = Outcome::Served;
            if sent(&actions)[0].1 == EndpointId(1) {
                at += 1;
                // Two in a row, and then good ones.
                if at % (2 * every) < 2 {
                    (spoilt, end) = (spoilt + 1, Outcome::Unknown);
                }
            }
            proxy.now += 2 * MS;
            proxy.end(request, 0, end, 2 * MS);
        }
        assert!((least..=most).contains(&spoilt), "every {every}: {spoilt} of {at}");
    }
}

#[test]
fn one_good_answer_does_not_bring_back_a_server_that_fails_most() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 4);
    let mut to_bad = 0;
    for round in 0..400 {
        let (request, actions) = proxy.request();
        let mut at = sent(&actions).first().map(|s| s.1);
        proxy.now += 5 * MS;
        let mut attempt = 0;
        while let Some(endpoint) = at {
            let bad = endpoint == EndpointId(1);
            to_bad += usize::from(bad);
            let end = if bad && to_bad % 3 != 0 { Outcome::Error } else { Outcome::Served };
            at = sent(&proxy.end(request, attempt, end, 5 * MS)).iter().find(|s| s.0 == request).map(|s| s.1);
            attempt += 1;
        }
        assert!(round < 400);
    }
    assert!(to_bad <= 40, "a healthy one would get 100 or more: {to_bad}");
}

#[test]
fn most_of_the_fleet_is_never_set_aside() {
    let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 6);
    for _ in 0..100 {
        let (request, actions) = proxy.request();
        assert_eq!(sent(&actions).len(), 1, "half of the fleet still takes calls");
        proxy.now += 2 * MS;
        proxy.end(request, 0, Outcome::Error, 2 * MS);
    }
}

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
fn a_lost_subscription_is_asked_for_again_with_a_pause() {
    let mut proxy = Proxy::new(Settings { discovery: polled(), ..settings(Idempotency::Idempotent) }, 2);
    assert!(proxy.actions.contains(&Action::Subscribe), "at the start");
    let actions = proxy.list(ListUpdate::PollFailed, vec![]);
    assert!(!actions.contains(&Action::Subscribe), "not at once");
    let after =
        actions.iter().find_map(|a| if let Action::SetTimer { after } = a { Some(*after) } else { None });
    assert!(proxy.wait(after.expect("a timer")).contains(&Action::Subscribe));
    assert_eq!(proxy.serve(MS).map(|s| s.0 <= 2), Some(true), "the old list stands");
    let mut push = Proxy::new(settings(Idempotency::Idempotent), 1);
    push.list(ListUpdate::PollFailed, vec![]);
    push.wait(60_000 * MS);
    assert!(!push.actions.contains(&Action::Subscribe), "only where the list must be asked for");
}

#[test]
fn a_server_that_refuses_as_full_is_left_alone_for_a_usual_answer_time() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 2);
    for _ in 0..30 {
        proxy.serve(40 * MS);
    }
    let mut to_full = 0;
    for _ in 0..20 {
        // Two ms a round: 40 ms in all, one usual time.
        let (request, actions) = proxy.request();
        let mut at = sent(&actions).first().map(|s| s.1);
        proxy.now += 2 * MS;
        let mut attempt = 0;
        while let Some(endpoint) = at {
            let full = endpoint == EndpointId(1);
            to_full += usize::from(full);
            let end = if full { Outcome::Rejected } else { Outcome::Served };
            at = sent(&proxy.end(request, attempt, end, 2 * MS)).iter().find(|s| s.0 == request).map(|s| s.1);
            attempt += 1;
        }
    }
    assert!(to_full <= 2, "{to_full}");
}

/// A proxy of a thousand, whose servers share one budget, of which a burst of three and the trial are out.
fn thin() -> (Proxy, Vec<RequestId>) {
    let mut proxy = Proxy::new(Settings { balancer_count: 1_000, ..settings(Idempotency::Idempotent) }, 20);
    let out: Vec<RequestId> = (0..4).map(|_| proxy.request().0).collect();
    assert_eq!(sent(&proxy.actions).len(), 4, "three at once, and one as the trial");
    (proxy, out)
}

#[test]
fn of_a_thousand_balancers_each_has_one_budget_for_all_servers_and_one_trial_at_a_time() {
    let (mut proxy, out) = thin();
    let (held, actions) = proxy.request();
    assert!(sent(&actions).is_empty(), "sixteen servers are idle, but the budget is used and the trial out");
    proxy.now += 50 * MS;
    let actions = proxy.end(out[3], 0, Outcome::Served, 50 * MS);
    assert_eq!(sent(&actions).first().map(|s| s.0), Some(held), "the trial was served: the next may pass");
}

#[test]
fn a_failed_trial_of_the_shared_budget_backs_off_from_all_servers() {
    let (mut proxy, out) = thin();
    proxy.now += 400 * MS;
    let actions = proxy.end(out[3], 0, Outcome::TimedOut, 400 * MS);
    assert!(sent(&actions).iter().all(|s| s.0 == out[3]), "no call of another client is passed");
    assert!(sent(&proxy.request().1).is_empty(), "the backoff holds back calls to every server");
}

#[test]
fn strain_seen_anywhere_lowers_the_shared_budget() {
    let requests = |elapsed: Micros| {
        let mut proxy =
            Proxy::new(Settings { balancer_count: 1_000, ..settings(Idempotency::Idempotent) }, 20);
        (0..20).for_each(|_| drop((proxy.serve(40 * MS), proxy.wait(1_000 * MS))));
        (0..20).for_each(|_| drop((proxy.serve(elapsed), proxy.wait(1_000 * MS))));
        (0..20).filter(|_| (proxy.wait(100 * MS), proxy.serve(elapsed)).1.is_some()).count()
    };
    assert!(requests(40 * MS) > requests(450 * MS), "slow answers of several servers hold calls back");
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

#[test]
fn a_strained_server_gets_no_trials() {
    let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 1);
    for _ in 0..10 {
        proxy.serve(40 * MS);
    }
    for _ in 0..30 {
        proxy.serve(400 * MS);
        proxy.wait(600 * MS);
    }
    assert_eq!(sent(&proxy.request().1).len(), 1);
    assert!((0..5).all(|_| sent(&proxy.request().1).is_empty()), "a second call at once would be a trial");
}

#[test]
fn time_outs_of_a_server_that_answers_others_do_not_set_it_aside() {
    let mut proxy = Proxy::new(Settings { balancer_count: 1, ..settings(Idempotency::NonIdempotent) }, 3);
    let mut log = Vec::new();
    for _ in 0..30 {
        // Of the calls at each server the first is answered and the others time out.
        let requests: Vec<(RequestId, Vec<Action>)> = (0..9).map(|_| proxy.request()).collect();
        let at = |i: usize| sent(&requests[i].1).first().map(|s| s.1);
        let first = |i: usize| (0..i).all(|j| at(j) != at(i));
        proxy.now += 100 * MS;
        for i in (0..9).filter(|&i| at(i).is_some() && first(i)) {
            proxy.end(requests[i].0, 0, Outcome::Served, 100 * MS);
        }
        proxy.now += 400 * MS;
        for i in (0..9).filter(|&i| at(i).is_some() && !first(i)) {
            log.extend(proxy.end(requests[i].0, 0, Outcome::TimedOut, 500 * MS));
        }
        proxy.wait(600 * MS);
    }
    let failures = log.iter().filter(|a| matches!(a, Action::Fail { .. })).count();
    assert!(failures > 20, "too few timed out to tell: {failures}");
    let aside = log.iter().filter(|a| matches!(a, Action::Log(LogEvent::EndpointEjected(_)))).count();
    assert_eq!(aside, 0, "slow, not gone");
}

/// Answers of 40 ms with the given report; then: does a second call at once pass the full budget as a trial?
fn trial_after(load: LoadReport) -> bool {
    let mut proxy = Proxy::new(Settings { balancer_count: 12, ..settings(Idempotency::NonIdempotent) }, 1);
    for _ in 0..40 {
        let (request, _) = proxy.request();
        proxy.now += 40 * MS;
        let (outcome, elapsed) = (Outcome::Served, 40 * MS);
        proxy.event(Event::AttemptEnded {
            request,
            attempt: 0,
            outcome,
            elapsed,
            request_finished: true,
            load,
        });
        proxy.wait(100 * MS);
    }
    assert_eq!(sent(&proxy.request().1).len(), 1, "the budget's own call");
    sent(&proxy.request().1).len() == 1
}

#[test]
fn reported_queues_and_busy_cores_strain_a_server_that_still_answers_fast() {
    let busy = |b| LoadReport { cpu_utilization: Some(b), ..LoadReport::default() };
    let queue = |w| LoadReport { in_flight: Some(10.0), queued: Some(w), ..LoadReport::default() };
    assert!(trial_after(LoadReport::default()) && trial_after(busy(0.5)) && trial_after(queue(1.0)));
    assert!(!trial_after(busy(1.0)), "cores that are all busy");
    assert!(!trial_after(queue(5.5)), "more waiting than in work");
}

/// How many balancers' calls a cold server gets per thousand answers of warm ones, from a thousand balancers.
#[test]
fn a_thousand_balancers_together_stay_under_a_cold_servers_share() {
    let (mut cold, mut all) = (0, 0);
    for balancer_index in 0..1_000 {
        let mut proxy = Proxy::new(
            Settings { balancer_count: 1_000, balancer_index, ..settings(Idempotency::Idempotent) },
            20,
        );
        (0..3).for_each(|_| drop((proxy.wait(500 * MS), proxy.serve(40 * MS))));
        let started_at = proxy.now;
        proxy.list(ListUpdate::Delta, vec![EndpointEntry { started_at, ..ready(21) }]);
        for _ in 0..4 {
            proxy.wait(500 * MS);
            all += 1;
            cold += usize::from(proxy.serve(40 * MS) == Some(EndpointId(21)));
        }
    }
    // Two seconds after its start it has a tenth to a fifth of its capacity; each warm one carries a twentieth.
    assert!(cold * 20 <= all / 5, "{cold} of {all}");
}

#[test]
fn a_restarted_server_is_not_judged_by_its_last_process() {
    let mut proxy = Proxy::new(Settings { balancer_count: 1, ..settings(Idempotency::Idempotent) }, 1);
    let requests: Vec<RequestId> = (0..6).map(|_| proxy.request().0).collect();
    let started_at = proxy.now;
    proxy.list(ListUpdate::Delta, vec![EndpointEntry { started_at, ..ready(1) }]);
    for request in requests {
        proxy.end(request, 0, Outcome::Reset, 5 * MS);
    }
    let aside = |a: &Action| matches!(a, Action::Log(LogEvent::EndpointEjected(_)));
    assert!(!proxy.actions.iter().any(aside), "the new process has failed nothing");
}

#[test]
fn a_zone_that_is_cut_off_is_passed_over_as_a_whole() {
    let zoned = |i| EndpointEntry { zone: ZoneId(i % 2), ..ready(i) };
    let mut proxy = Proxy::new(Settings { balancer_count: 1_000, ..settings(Idempotency::Idempotent) }, 0);
    proxy.list(ListUpdate::Full, (1..=40).map(zoned).collect());
    let mut lost = 0;
    for _ in 0..40 {
        proxy.now += 100 * MS;
        let (request, actions) = proxy.request();
        let mut at = sent(&actions).first().map(|s| s.1);
        for attempt in 0..5 {
            let Some(endpoint) = at else { break };
            let cut = endpoint.0 % 2 == 1;
            lost += u32::from(cut);
            proxy.now += 20 * MS;
            let end = if cut { Outcome::ConnectFailed } else { Outcome::Served };
            at =
                sent(&proxy.end(request, attempt, end, 20 * MS)).iter().find(|s| s.0 == request).map(|s| s.1);
        }
    }
    assert!(lost < 16, "twenty servers out of reach must not each be found out: {lost}");
}

#[test]
fn a_server_that_fails_is_tried_by_a_part_of_the_usual_calls_however_slowly_they_come() {
    // A call a second, so that most come past a backoff by time: a thousand such balancers would give it no rest.
    let limits = Limits { max_attempts: 1, ..Settings::default().limits };
    let mut proxy =
        Proxy::new(Settings { balancer_count: 1_000, limits, ..settings(Idempotency::Idempotent) }, 8);
    let mut tried = 0;
    for _ in 0..200 {
        proxy.now += 1_000 * MS;
        let (request, actions) = proxy.request();
        let Some(&(_, endpoint)) = sent(&actions).first() else { continue };
        let bad = endpoint == EndpointId(1);
        tried += u32::from(bad);
        proxy.now += 20 * MS;
        proxy.end(request, 0, if bad { Outcome::Rejected } else { Outcome::Served }, 20 * MS);
    }
    assert!(tried < 25, "an eighth of 200 is its usual part: {tried}");
}

/// A copy is a guess, a failed attempt a fact: on a day of broken connections, copies for calls that were merely slow
/// had spent what would have saved those whose only attempt was lost.
#[test]
fn second_copies_leave_credit_for_calls_whose_attempt_failed() {
    let mut config = settings(Idempotency::Idempotent);
    config.limits.hedging = true;
    let mut proxy = Proxy::new(config, 6);
    for _ in 0..20 {
        proxy.serve(40 * MS);
    }
    let mut copies = 0;
    for _ in 0..60 {
        let (request, _) = proxy.request();
        let copied = !sent(&proxy.wait(490 * MS)).is_empty();
        copies += usize::from(copied);
        if copied {
            proxy.end(request, 1, Outcome::Served, 10 * MS);
            proxy.end(request, 0, Outcome::Cancelled, 490 * MS);
        } else {
            proxy.event(Event::RequestCancelled { request });
            proxy.end(request, 0, Outcome::Cancelled, 490 * MS);
        }
    }
    assert!(copies >= 10, "{copies}");
    for _ in 0..3 {
        let (request, _) = proxy.request();
        let again = proxy.end(request, 0, Outcome::Reset, 10 * MS);
        assert_eq!(sent(&again).len(), 1, "{again:?}");
        proxy.end(request, 1, Outcome::Served, 10 * MS);
    }
}

/// Where answer times are spread, a call that takes twice the mean is nothing unusual: a copy of it would be work that
/// the servers do for nothing.
#[test]
fn a_call_within_its_classs_usual_spread_gets_no_second_copy() {
    let mut config = settings(Idempotency::Idempotent);
    config.limits.hedging = true;
    let mut proxy = Proxy::new(config, 6);
    for _ in 0..40 {
        for elapsed in [60 * MS, 60 * MS, 60 * MS, 60 * MS, 400 * MS] {
            proxy.serve(elapsed);
        }
    }
    proxy.request();
    for _ in 0..12 {
        let actions = proxy.wait(30 * MS);
        assert!(sent(&actions).is_empty(), "one in five takes 400 ms");
    }
}

/// Clients may leave less time than answers take. Their time-outs come back whatever the servers do.
#[test]
fn time_outs_of_hurried_clients_set_no_server_aside() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 4);
    for _ in 0..40 {
        proxy.serve(100 * MS);
    }
    for id in 1_000..1_200 {
        let (request, time_left) = (RequestId(id), 30 * MS);
        let event = Event::RequestReceived {
            request,
            class: ClassId(0),
            tenant: None,
            time_left,
            client_retry: false,
            non_replayable: false,
        };
        let out = !sent(&proxy.event(event)).is_empty();
        proxy.now += time_left;
        if out {
            proxy.end(request, 0, Outcome::TimedOut, time_left);
        }
    }
    let aside = |a: &&Action| matches!(a, Action::Log(LogEvent::EndpointEjected(_)));
    assert_eq!(proxy.actions.iter().find(aside), None);
}

/// A server may turn one class away and serve the others. Taken for a full one, it was set aside for all.
#[test]
fn a_server_that_turns_one_class_away_keeps_the_others_calls() {
    let mut config = settings(Idempotency::Idempotent);
    config.classes = vec![config.classes[0]; 2];
    let mut proxy = Proxy::new(config, 4);
    let mut count = [0, 0];
    for turn in 0..400 {
        let class = turn % 2;
        let (request, actions) = proxy.call_of(class);
        let mut last = sent(&actions).first().map(|s| s.1);
        let mut attempt = 0;
        while let Some(endpoint) = last {
            let odd = endpoint == EndpointId(1);
            count[class] += usize::from(odd);
            proxy.now += 10 * MS;
            let outcome = if odd && class == 1 { Outcome::Rejected } else { Outcome::Served };
            let actions = proxy.end(request, attempt, outcome, 10 * MS);
            last = sent(&actions).iter().find(|s| s.0 == request).map(|s| s.1);
            attempt += 1;
        }
    }
    let aside = |a: &&Action| matches!(a, Action::Log(LogEvent::EndpointEjected(_)));
    assert_eq!(proxy.actions.iter().find(aside), None);
    assert!(count[0] >= 25 && count[1] <= 10, "of 200 calls each: {count:?}");
}
