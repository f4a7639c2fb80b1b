//! The mechanism of the design, each part by itself.

mod common;
use balancer::*;
use common::*;
use std::collections::BTreeMap;

/// Fills a single server's first budget (1 step x 1 call with seven balancers) and leaves the call out.
fn full_server(idempotency: Idempotency) -> (Proxy, RequestId) {
    let mut proxy = Proxy::new(settings(idempotency), 1);
    let (first, actions) = proxy.request();
    assert_eq!(sent(&actions).len(), 1);
    (proxy, first)
}

#[test]
fn a_call_at_a_full_budget_passes_as_the_one_trial_and_the_next_waits() {
    let (mut proxy, _) = full_server(Idempotency::NonIdempotent);
    let (trial, actions) = proxy.request();
    assert_eq!(sent(&actions), [(trial, EndpointId(1))]);
    let (_, actions) = proxy.request();
    assert!(sent(&actions).is_empty(), "one trial at a time");
}

#[test]
fn a_served_trial_adds_one_step() {
    let (mut proxy, _) = full_server(Idempotency::NonIdempotent);
    let (trial, _) = proxy.request();
    let (a, b) = (proxy.request().0, proxy.request().0);
    proxy.now += 50 * MS;
    let actions = proxy.end(trial, 1, Outcome::Served, 50 * MS);
    assert!(sent(&actions).is_empty(), "an attempt that was never made has no outcome");
    let actions = proxy.end(trial, 0, Outcome::Served, 50 * MS);
    // Two steps of one call each, one in use: the first that waits goes, and no trial before the step has shown
    // what it does.
    assert_eq!(sent(&actions), [(a, EndpointId(1))]);
    proxy.now += 100 * MS;
    proxy.end(a, 0, Outcome::Served, 100 * MS);
    proxy.now += 100 * MS;
    proxy.end(b, 0, Outcome::Served, 100 * MS);
    proxy.wait(300 * MS);
    let (c, d, e) = (proxy.request().0, proxy.request().0, proxy.request().0);
    let went: Vec<RequestId> = sent(&proxy.actions).into_iter().map(|s| s.0).collect();
    assert!(went.ends_with(&[b, c, d]) && !went.contains(&e), "then one is the next trial: {went:?}");
}

/// Lets calls come until one is sent; tells after how long, and which.
fn until_trial(proxy: &mut Proxy) -> (Micros, RequestId) {
    let began = proxy.now;
    loop {
        proxy.now += 5 * MS;
        let mut actions = proxy.event(Event::Timer);
        actions.extend(proxy.request().1);
        if let Some(&(request, _)) = sent(&actions).first() {
            return (proxy.now - began, request);
        }
        assert!(proxy.now < began + 5_000 * MS, "no trial");
    }
}

#[test]
fn a_failed_trial_doubles_the_backoff_up_to_a_cap_and_a_served_one_resets_it() {
    let (mut proxy, _) = full_server(Idempotency::NonIdempotent);
    let mut trial = proxy.request().0;
    let mut spans = Vec::new();
    for _ in 0..6 {
        proxy.end(trial, 0, Outcome::Error, MS);
        let (span, next) = until_trial(&mut proxy);
        spans.push(span / MS);
        trial = next;
    }
    for (span, wanted) in spans.iter().zip([125, 250, 500, 1_000, 2_000, 2_000]) {
        assert!(span.abs_diff(wanted) <= 10, "{spans:?}");
    }
    let mut out = sent(&proxy.end(trial, 0, Outcome::Served, MS));
    while let Some((request, _)) = out.pop() {
        out.extend(sent(&proxy.end(request, 0, Outcome::Served, MS)));
    }
    proxy.wait(1_000 * MS);
    for _ in 0..12 {
        proxy.serve(MS);
    }
    let mut next = trial;
    while let Some(&(request, _)) = sent(&proxy.request().1).first() {
        next = request;
    }
    assert_ne!(next, trial, "the last that went, at a full budget, is the next trial");
    proxy.end(next, 0, Outcome::Error, MS);
    assert!(until_trial(&mut proxy).0.abs_diff(125 * MS) <= 10 * MS);
}

#[test]
fn waiting_calls_go_out_in_the_order_of_arrival() {
    let (mut proxy, first) = full_server(Idempotency::NonIdempotent);
    let trial = proxy.request().0;
    let waiting: Vec<RequestId> = (0..4).map(|_| proxy.request().0).collect();
    let mut order = Vec::new();
    for request in [first, trial] {
        proxy.now += 20 * MS;
        order.extend(sent(&proxy.end(request, 0, Outcome::Served, 20 * MS)).into_iter().map(|s| s.0));
    }
    assert!(order.len() >= 2);
    assert_eq!(order[..], waiting[..order.len()]);
}

#[test]
fn the_less_loaded_of_two_is_chosen() {
    let mut proxy = Proxy::new(Settings { balancer_count: 1, ..settings(Idempotency::NonIdempotent) }, 2);
    let mut load: BTreeMap<EndpointId, u32> = BTreeMap::new();
    for _ in 0..10 {
        let endpoint = sent(&proxy.request().1)[0].1;
        *load.entry(endpoint).or_default() += 1;
    }
    assert_eq!(load[&EndpointId(1)], 5);
    assert_eq!(load[&EndpointId(2)], 5);
}

/// Of 400 single calls, how many went to server 2, by how long (and how) each server ends them.
fn second_of_two(entries: Vec<EndpointEntry>, end: impl Fn(EndpointId) -> (Outcome, Micros)) -> usize {
    let limits = Limits { max_attempts: 1, ..Settings::default().limits };
    // A hundred balancers: a server's first budget is far under a call.
    let mut proxy =
        Proxy::new(Settings { balancer_count: 100, limits, ..settings(Idempotency::NonIdempotent) }, 2);
    proxy.list(ListUpdate::Full, entries);
    let mut second = 0;
    for _ in 0..400 {
        proxy.now += 100 * MS;
        let (request, actions) = proxy.request();
        let Some(&(_, endpoint)) = sent(&actions).first() else { continue };
        second += usize::from(endpoint == EndpointId(2));
        let (outcome, elapsed) = end(endpoint);
        proxy.now += elapsed;
        proxy.end(request, 0, outcome, elapsed);
    }
    second
}

#[test]
fn ties_go_to_the_server_where_calls_lately_spent_less_time() {
    let two = || vec![ready(1), ready(2)];
    let slow_first = |s| (Outcome::Served, if s == EndpointId(1) { 200 * MS } else { 40 * MS });
    assert!(second_of_two(two(), slow_first) > 300, "five times as fast: five calls to one");
    let alike = second_of_two(two(), |_| (Outcome::Served, 40 * MS));
    assert!((180..=220).contains(&alike), "{alike}");
}

#[test]
fn ties_go_by_the_listed_size_and_quick_errors_count_as_a_whole_aim() {
    let sized = vec![ready(1), EndpointEntry { weight: 2.0, ..ready(2) }];
    let double = second_of_two(sized, |_| (Outcome::Served, 40 * MS));
    assert!((250..=290).contains(&double), "two thirds to the server of twice the size: {double}");
    // Odd sizes count as 1.
    let two = || vec![ready(1), ready(2)];
    let odd =
        vec![EndpointEntry { weight: f64::NAN, ..ready(1) }, EndpointEntry { weight: -3.0, ..ready(2) }];
    let alike = second_of_two(odd, |_| (Outcome::Served, 40 * MS));
    assert!((180..=220).contains(&alike), "{alike}");
    let full = |s| if s == EndpointId(1) { (Outcome::Rejected, MS) } else { (Outcome::Served, 40 * MS) };
    let shunned = second_of_two(two(), full);
    assert!(shunned > 300, "a quick refusal is not a quick answer: {shunned}");
}

/// Calls to another zone cost more and take longer: of two servers with as many calls, the near one is taken, also
/// where the other answered faster.
#[test]
fn ties_go_to_the_balancers_own_zone() {
    let (near, far) = (ZoneId(1), ZoneId(2));
    let mut proxy = Proxy::new(Settings { zone: Some(near), ..settings(Idempotency::NonIdempotent) }, 0);
    let zoned = |id, zone| EndpointEntry { zone, ..ready(id) };
    proxy.list(ListUpdate::Full, vec![zoned(1, far), zoned(2, near)]);
    for _ in 0..20 {
        assert_eq!(proxy.serve(40 * MS), Some(EndpointId(2)));
    }
    assert_eq!(sent(&proxy.request().1)[0].1, EndpointId(2));
    assert_eq!(sent(&proxy.request().1)[0].1, EndpointId(1), "it has fewer");
}

#[test]
fn a_pick_at_full_budget_is_redrawn_among_servers_under_budget() {
    // One of twenty has room: two random choices alone would rarely meet it, and a trial would be needed.
    let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 20);
    let endpoints: std::collections::BTreeSet<EndpointId> =
        (0..20).map(|_| sent(&proxy.request().1)[0].1).collect();
    assert_eq!(endpoints.len(), 20, "every budget is used before any is passed");
}

/// How many calls a fresh server is sent at once, of which the last is a trial, after seven that it served but for
/// one that ended so.
fn room_after(outcome: Outcome) -> usize {
    let limits = Limits { max_attempts: 1, ..Settings::default().limits };
    let mut proxy =
        Proxy::new(Settings { balancer_count: 1, limits, ..settings(Idempotency::NonIdempotent) }, 1);
    let requests: Vec<RequestId> = (0..7).map(|_| proxy.request().0).collect();
    assert_eq!(sent(&proxy.actions).len(), 7, "what one balancer starts with");
    proxy.now += 5 * MS;
    proxy.end(requests[0], 0, outcome, 5 * MS);
    for request in &requests[1..] {
        proxy.end(*request, 0, Outcome::Served, 5 * MS);
    }
    proxy.wait(1_000 * MS);
    (0..20).filter(|_| !sent(&proxy.request().1).is_empty()).count()
}

#[test]
fn a_refusal_as_full_lowers_the_concurrency() {
    assert_eq!(room_after(Outcome::Served), 8);
    assert_eq!(room_after(Outcome::Rejected), 7, "four fifths of seven, and a trial");
}

/// Sends calls until one waits, and has all of them served after 40 ms; tells how many went at once.
fn fill(proxy: &mut Proxy) -> usize {
    let mut requests = vec![proxy.request()];
    while !sent(&requests[requests.len() - 1].1).is_empty() {
        requests.push(proxy.request());
    }
    proxy.now += 40 * MS;
    for (request, _) in &requests {
        proxy.end(*request, 0, Outcome::Served, 40 * MS);
    }
    let (waiting, _) = requests[requests.len() - 1];
    proxy.event(Event::RequestCancelled { request: waiting });
    proxy.wait(300 * MS);
    requests.len() - 1
}

#[test]
fn steps_end_at_the_clamp_so_that_as_many_connection_failures_take_them() {
    let limits = Limits { max_attempts: 1, ..Settings::default().limits };
    let mut proxy = Proxy::new(Settings { limits, ..settings(Idempotency::NonIdempotent) }, 1);
    let grown: Vec<usize> = (0..30).map(|_| fill(&mut proxy)).collect();
    assert!(grown[29] > 13, "at the clamp the concurrency grows instead: {grown:?}");
    for _ in 0..9 {
        let (request, actions) = proxy.request();
        assert_eq!(sent(&actions).len(), 1);
        proxy.end(request, 0, Outcome::ConnectFailed, MS);
        for _ in 0..8 {
            proxy.serve(40 * MS);
        }
    }
    let left = fill(&mut proxy);
    assert!(left <= 3, "one step of ten is left, and a trial: {left} after {grown:?}");
}

#[test]
fn connection_failures_take_the_last_step_and_the_server_is_skipped_in_backoff_then_tried_by_one_call() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 2);
    let (request, actions) = proxy.request();
    let broken = sent(&actions)[0].1;
    proxy.now += MS;
    let other = sent(&proxy.end(request, 0, Outcome::ConnectFailed, MS))[0].1;
    assert_ne!(broken, other);
    proxy.now += MS;
    proxy.end(request, 1, Outcome::Served, MS);
    for _ in 0..5 {
        assert_eq!(proxy.serve(MS), Some(other), "skipped in backoff");
    }
    proxy.now += 200 * MS;
    let (trial, actions) = proxy.request();
    assert_eq!(sent(&actions), [(trial, broken)]);
    let (second, actions) = proxy.request();
    assert_eq!(sent(&actions)[0].1, other, "one call only");
    proxy.end(second, 0, Outcome::Served, MS);
    proxy.now += MS;
    proxy.end(trial, 0, Outcome::Served, MS);
    let mut used: Vec<EndpointId> = (0..12).filter_map(|_| proxy.serve(MS)).collect();
    used.sort();
    used.dedup();
    assert_eq!(used.len(), 2, "taken back");
}

#[test]
fn with_every_server_at_zero_steps_calls_are_refused_with_advice() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 2);
    // A reset takes a step each; half of two may be set aside, so the list is cut to the broken one.
    let (request, actions) = proxy.request();
    let broken = sent(&actions)[0].1;
    proxy.now += MS;
    proxy.end(request, 0, Outcome::Reset, MS);
    proxy.list(ListUpdate::Full, vec![ready(broken.0)]);
    let (request, actions) = proxy.request();
    let advice = actions.iter().find_map(|a| match a {
        Action::Reject { request: id, retry_after, .. } if *id == request => Some(*retry_after),
        _ => None,
    });
    assert!(advice.is_some_and(|a| a > 0), "{actions:?}");
}

#[test]
fn a_thin_balancer_keeps_to_a_window_of_servers_that_is_even_over_all_balancers() {
    let mut windows: BTreeMap<EndpointId, u32> = BTreeMap::new();
    for balancer_index in 0..100 {
        let mut proxy = Proxy::new(
            Settings { balancer_count: 100, balancer_index, ..settings(Idempotency::Idempotent) },
            50,
        );
        let mut met = std::collections::BTreeSet::new();
        for _ in 0..60 {
            proxy.now += 500 * MS;
            met.extend(proxy.serve(20 * MS));
        }
        assert_eq!(met.len(), 8, "few servers, each met often: connections stay open");
        met.into_iter().for_each(|s| *windows.entry(s).or_default() += 1);
    }
    assert_eq!(windows.len(), 50);
    assert!(windows.values().all(|n| *n == 16), "100 windows of 8 over 50 servers: {windows:?}");
}

#[test]
fn a_window_moves_past_servers_that_are_down() {
    let mut proxy = Proxy::new(Settings { balancer_count: 100, ..settings(Idempotency::Idempotent) }, 50);
    proxy.list(ListUpdate::Full, (1..=50).filter(|i| *i > 8).map(ready).collect());
    assert!((0..20).all(|_| (proxy.wait(500 * MS), proxy.serve(20 * MS)).1.is_some_and(|s| s.0 > 8)));
}

/// Operators are told of servers that get nothing now: one that is set aside, until its backoff is over.
#[test]
fn a_server_set_aside_is_avoided_until_it_may_be_tried() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 4);
    assert_eq!(proxy.balancer.avoided(proxy.now), 0);
    for _ in 0..60 {
        let (request, actions) = proxy.request();
        for (attempt, (_, endpoint)) in (0..).zip(sent(&actions)) {
            let outcome = if endpoint == EndpointId(1) { Outcome::Error } else { Outcome::Served };
            proxy.now += 10 * MS;
            proxy.end(request, attempt, outcome, 10 * MS);
        }
        if proxy.balancer.avoided(proxy.now) == 1 {
            proxy.now += 1_000 * MS;
            assert_eq!(proxy.balancer.avoided(proxy.now), 0);
            return;
        }
    }
    panic!("the failing server is never set aside");
}

fn streaming(proxy: &mut Proxy, request: u64) -> Vec<Action> {
    let (request, class) = (RequestId(1_000 + request), ClassId(0));
    let request = Event::RequestReceived {
        request,
        class,
        tenant: None,
        time_left: 1_200 * MS,
        client_retry: false,
        non_replayable: true,
    };
    proxy.event(request)
}

/// A server has no work with a call that is still coming: it fills no budget, and its time begins when it is whole.
#[test]
fn a_call_that_is_still_coming_takes_no_place() {
    let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 1);
    for request in 0..4 {
        assert_eq!(sent(&streaming(&mut proxy, request)).len(), 1);
    }
    proxy.now += 10_000 * MS;
    assert!(proxy.event(Event::Timer).is_empty(), "its client does not wait yet");
    // One whole call fills the budget, one more passes as the trial, and the next waits.
    proxy.event(Event::RequestCompleted { request: RequestId(1_000), time_left: 1_200 * MS });
    let (trial, actions) = proxy.request();
    assert_eq!(sent(&actions), [(trial, EndpointId(1))]);
    let (held, actions) = proxy.request();
    assert!(sent(&actions).is_empty());
    proxy.now += 50 * MS;
    assert!(sent(&proxy.end(RequestId(1_000), 0, Outcome::Served, 50 * MS)).is_empty(), "the trial is out");
    assert_eq!(sent(&proxy.end(trial, 0, Outcome::Served, 50 * MS)), [(held, EndpointId(1))]);
}

/// What can be sent once goes again only while nothing of it was written; cut short, it never ran and is refused.
#[test]
fn a_call_that_can_be_sent_once_goes_again_only_unspent() {
    for (outcome, again) in [(Outcome::ConnectFailed, true), (Outcome::Truncated, false)] {
        let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 3);
        streaming(&mut proxy, 0);
        let actions = proxy.end(RequestId(1_000), 0, outcome, 0);
        assert_eq!(sent(&actions).len(), usize::from(again), "{outcome:?}");
        assert_eq!(refused(&actions, RequestId(1_000)), !again, "{outcome:?}");
    }
    // The same outcome lets a call go again whose body is at hand.
    let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 3);
    let (request, _) = proxy.request();
    assert_eq!(sent(&proxy.end(request, 0, Outcome::Truncated, 0)).len(), 1);
}
