//! Tests of an endpoint's concurrency limit: trials raise it, rejections and latency pressure cut
//! it.

mod common;
use balancer::*;
use common::*;

/// Returns a proxy whose only endpoint is at its initial limit, and the request that is in flight
/// there. With the seven balancers of `settings` the initial limit is one request.
fn proxy_at_its_limit(idempotency: Idempotency) -> (Proxy, RequestId) {
    let mut proxy = Proxy::new(settings(idempotency), 1);
    let (first, actions) = proxy.request();
    assert_eq!(forwarded(&actions).len(), 1);
    (proxy, first)
}

#[test]
fn only_one_request_exceeds_the_limit_as_a_trial_and_the_next_is_queued() {
    let (mut proxy, _) = proxy_at_its_limit(Idempotency::NonIdempotent);
    let (trial, actions) = proxy.request();
    assert_eq!(forwarded(&actions), [(trial, EndpointId(1))]);
    let (_, actions) = proxy.request();
    assert!(
        forwarded(&actions).is_empty(),
        "a second trial is sent while the first is in flight"
    );
}

#[test]
fn a_served_trial_raises_the_limit_by_one_step() {
    let (mut proxy, _) = proxy_at_its_limit(Idempotency::NonIdempotent);
    let (trial, _) = proxy.request();
    let (first_queued, second_queued) = (proxy.request().0, proxy.request().0);
    proxy.now += 50 * MS;
    let actions = proxy.end_attempt(trial, 1, Outcome::Served, 50 * MS);
    assert!(
        forwarded(&actions).is_empty(),
        "the outcome of an attempt that was never made has an effect"
    );
    let actions = proxy.end_attempt(trial, 0, Outcome::Served, 50 * MS);
    // The limit is two steps of one request each, one of them in use: the first queued request is
    // forwarded, and there is no trial before the effect of the new step is known.
    assert_eq!(forwarded(&actions), [(first_queued, EndpointId(1))]);
    proxy.now += 100 * MS;
    proxy.end_attempt(first_queued, 0, Outcome::Served, 100 * MS);
    proxy.now += 100 * MS;
    proxy.end_attempt(second_queued, 0, Outcome::Served, 100 * MS);
    proxy.advance(300 * MS);
    let (within_limit, next_trial, last_queued) =
        (proxy.request().0, proxy.request().0, proxy.request().0);
    let sent: Vec<RequestId> = forwarded(&proxy.actions)
        .into_iter()
        .map(|(request, _)| request)
        .collect();
    assert!(
        sent.ends_with(&[second_queued, within_limit, next_trial]) && !sent.contains(&last_queued),
        "expected the limit to be reached again and one more request as a trial: {sent:?}"
    );
}

/// Sends a request every 5 ms until one is forwarded. Returns the time that this took, and the
/// forwarded request.
fn run_until_forwarded(proxy: &mut Proxy) -> (Micros, RequestId) {
    let started_at = proxy.now;
    loop {
        proxy.now += 5 * MS;
        let mut actions = proxy.handle(Event::Timer);
        actions.extend(proxy.request().1);
        if let Some(&(request, _)) = forwarded(&actions).first() {
            return (proxy.now - started_at, request);
        }
        assert!(proxy.now < started_at + 5_000 * MS, "no trial within 5 s");
    }
}

#[test]
fn failed_trials_double_the_backoff_up_to_a_maximum_and_a_served_trial_resets_it() {
    let (mut proxy, _) = proxy_at_its_limit(Idempotency::NonIdempotent);
    let mut trial = proxy.request().0;
    let mut backoffs = Vec::new();
    for _ in 0..6 {
        proxy.end_attempt(trial, 0, Outcome::Error, MS);
        let (backoff, next) = run_until_forwarded(&mut proxy);
        backoffs.push(backoff / MS);
        trial = next;
    }
    for (backoff, expected) in backoffs.iter().zip([125, 250, 500, 1_000, 2_000, 2_000]) {
        assert!(backoff.abs_diff(expected) <= 10, "{backoffs:?}");
    }
    let mut in_flight = forwarded(&proxy.end_attempt(trial, 0, Outcome::Served, MS));
    while let Some((request, _)) = in_flight.pop() {
        in_flight.extend(forwarded(&proxy.end_attempt(
            request,
            0,
            Outcome::Served,
            MS,
        )));
    }
    proxy.advance(1_000 * MS);
    for _ in 0..12 {
        proxy.serve_request(MS);
    }
    let mut next = trial;
    while let Some(&(request, _)) = forwarded(&proxy.request().1).first() {
        next = request;
    }
    assert_ne!(
        next, trial,
        "no request was sent as the next trial at the limit"
    );
    proxy.end_attempt(next, 0, Outcome::Error, MS);
    assert!(run_until_forwarded(&mut proxy).0.abs_diff(125 * MS) <= 10 * MS);
}

#[test]
fn queued_requests_are_forwarded_in_order_of_arrival() {
    let (mut proxy, first) = proxy_at_its_limit(Idempotency::NonIdempotent);
    let trial = proxy.request().0;
    let queued: Vec<RequestId> = (0..4).map(|_| proxy.request().0).collect();
    let mut order = Vec::new();
    for request in [first, trial] {
        proxy.now += 20 * MS;
        order.extend(
            forwarded(&proxy.end_attempt(request, 0, Outcome::Served, 20 * MS))
                .into_iter()
                .map(|(request, _)| request),
        );
    }
    assert!(order.len() >= 2);
    assert_eq!(order[..], queued[..order.len()]);
}

/// Ends one of seven requests with `outcome` and serves the other six. Then returns how many
/// requests the endpoint is sent at the same time, including one as a trial.
fn requests_sent_after(outcome: Outcome) -> usize {
    let limits = Limits {
        max_attempts: 1,
        ..Settings::default().limits
    };
    let mut proxy = Proxy::new(
        Settings {
            balancer_count: 1,
            limits,
            ..settings(Idempotency::NonIdempotent)
        },
        1,
    );
    let requests: Vec<RequestId> = (0..7).map(|_| proxy.request().0).collect();
    assert_eq!(
        forwarded(&proxy.actions).len(),
        7,
        "the initial limit of a single balancer should allow seven requests at the same time"
    );
    proxy.now += 5 * MS;
    proxy.end_attempt(requests[0], 0, outcome, 5 * MS);
    for request in &requests[1..] {
        proxy.end_attempt(*request, 0, Outcome::Served, 5 * MS);
    }
    proxy.advance(1_000 * MS);
    (0..20)
        .filter(|_| !forwarded(&proxy.request().1).is_empty())
        .count()
}

#[test]
fn a_rejection_cuts_the_limit_of_the_endpoint() {
    assert_eq!(requests_sent_after(Outcome::Served), 8);
    assert_eq!(
        requests_sent_after(Outcome::Rejected),
        7,
        "the limit is cut to four fifths of seven; expected six requests and a trial"
    );
}

/// Sends requests until one is queued, and serves those that were forwarded after 40 ms. Returns
/// how many were forwarded at the same time.
fn fill_limit(proxy: &mut Proxy) -> usize {
    let mut requests = vec![proxy.request()];
    while !forwarded(&requests[requests.len() - 1].1).is_empty() {
        requests.push(proxy.request());
    }
    proxy.now += 40 * MS;
    for (request, _) in &requests {
        proxy.end_attempt(*request, 0, Outcome::Served, 40 * MS);
    }
    let (queued, _) = requests[requests.len() - 1];
    proxy.handle(Event::RequestCancelled { request: queued });
    proxy.advance(300 * MS);
    requests.len() - 1
}

#[test]
fn steps_are_limited_to_ten_so_that_nine_connection_failures_leave_one() {
    let limits = Limits {
        max_attempts: 1,
        ..Settings::default().limits
    };
    let mut proxy = Proxy::new(
        Settings {
            limits,
            ..settings(Idempotency::NonIdempotent)
        },
        1,
    );
    let limits: Vec<usize> = (0..30).map(|_| fill_limit(&mut proxy)).collect();
    assert!(
        limits[29] > 13,
        "expected larger steps after the maximum number of steps: {limits:?}"
    );
    for _ in 0..9 {
        let (request, actions) = proxy.request();
        assert_eq!(forwarded(&actions).len(), 1);
        proxy.end_attempt(request, 0, Outcome::ConnectFailed, MS);
        for _ in 0..8 {
            proxy.serve_request(40 * MS);
        }
    }
    let limit_left = fill_limit(&mut proxy);
    assert!(
        limit_left <= 3,
        "expected one step of ten and a trial to be left: {limit_left} after {limits:?}"
    );
}

#[test]
fn an_endpoint_with_latency_pressure_gets_no_trials() {
    let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 1);
    for _ in 0..10 {
        proxy.serve_request(40 * MS);
    }
    for _ in 0..30 {
        proxy.serve_request(400 * MS);
        proxy.advance(600 * MS);
    }
    assert_eq!(forwarded(&proxy.request().1).len(), 1);
    assert!(
        (0..5).all(|_| forwarded(&proxy.request().1).is_empty()),
        "a trial is sent in spite of latency pressure"
    );
}

/// Serves 40 requests one at a time, each in 40 ms and with the given load report. Returns whether
/// a second request is then sent beyond the limit as a trial while the first is in flight.
fn trial_follows(load: LoadReport) -> bool {
    let mut proxy = Proxy::new(
        Settings {
            balancer_count: 12,
            ..settings(Idempotency::NonIdempotent)
        },
        1,
    );
    for _ in 0..40 {
        let (request, _) = proxy.request();
        proxy.now += 40 * MS;
        proxy.end_only_attempt(request, Outcome::Served, 40 * MS, load);
        proxy.advance(100 * MS);
    }
    assert_eq!(
        forwarded(&proxy.request().1).len(),
        1,
        "the limit does not allow one request"
    );
    forwarded(&proxy.request().1).len() == 1
}

#[test]
fn reported_queues_and_busy_cores_prevent_trials_even_if_responses_are_fast() {
    let busy_cores = |utilization| LoadReport {
        cpu_utilization: Some(utilization),
        ..LoadReport::default()
    };
    let queued_requests = |queued| LoadReport {
        in_flight: Some(10.0),
        queued: Some(queued),
        ..LoadReport::default()
    };
    assert!(
        trial_follows(LoadReport::default())
            && trial_follows(busy_cores(0.5))
            && trial_follows(queued_requests(1.0))
    );
    assert!(
        !trial_follows(busy_cores(1.0)),
        "a trial is sent although all cores are busy"
    );
    assert!(
        !trial_follows(queued_requests(5.5)),
        "a trial is sent although more requests are queued than executed"
    );
}
