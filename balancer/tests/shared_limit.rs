//! Tests of the concurrency limit that all endpoints share if there are so many balancers that the
//! part of an endpoint's limit for each would be below one request. The tests use 100 to 1000
//! balancers.

mod common;
use balancer::*;
use common::*;

#[test]
fn one_overload_at_most_halves_the_shared_limit() {
    let mut proxy = one_of_100_balancers();
    raise_shared_limit(&mut proxy);
    let in_flight = request_burst(&mut proxy, 40);
    let before = in_flight.len();
    assert!(
        before >= 30,
        "the limit of a busy balancer does not grow to its load: {before} requests"
    );
    serve_forwarded(&mut proxy, in_flight, 400 * MS);
    proxy.advance(300 * MS);
    let after = request_burst(&mut proxy, 40).len();
    assert!(
        (before / 2 - 2..before).contains(&after),
        "{after} of {before} requests are forwarded after one overload"
    );
}

/// Sends `steps` requests, one every 5 ms, and serves each after `response_time` of its id. Returns
/// how many were forwarded.
fn serve_stream(proxy: &mut Proxy, steps: u64, response_time: impl Fn(u64) -> Micros) -> usize {
    let mut responses_due = std::collections::BTreeMap::new();
    let mut forwarded_count = 0;
    for step in 0..steps + 200 {
        proxy.now += 5 * MS;
        let mut actions = proxy.handle(Event::Timer);
        let late = responses_due.split_off(&(proxy.now, RequestId(u64::MAX)));
        for ((_, request), elapsed) in std::mem::replace(&mut responses_due, late) {
            actions.extend(proxy.end_attempt(request, 0, Outcome::Served, elapsed));
        }
        if step < steps {
            actions.extend(proxy.request().1);
        }
        for (request, _) in forwarded(&actions) {
            forwarded_count += 1;
            responses_due.insert(
                (proxy.now + response_time(request.0), request),
                response_time(request.0),
            );
        }
    }
    forwarded_count
}

#[test]
fn fast_first_responses_do_not_make_typical_responses_look_late() {
    let mut proxy = one_of_100_balancers();
    // Every second request takes twenty times longer, so a response after that time is typical.
    let response_time = |request: u64| {
        if request.is_multiple_of(2) {
            10 * MS
        } else {
            200 * MS
        }
    };
    serve_stream(&mut proxy, 1_000, response_time);
    let forwarded_count = serve_stream(&mut proxy, 1_000, response_time);
    assert!(
        forwarded_count > 900,
        "only {forwarded_count} of 1000 requests were forwarded although no response is late"
    );
}

#[test]
fn rejections_by_draining_endpoints_do_not_cut_the_shared_limit() {
    let mut proxy = one_of_100_balancers();
    raise_shared_limit(&mut proxy);
    // Half of the endpoints drain, which the endpoint list does not show yet.
    let in_flight: Vec<(RequestId, EndpointId)> = (0..40)
        .flat_map(|_| forwarded(&proxy.request().1))
        .collect();
    let before = in_flight.len();
    let mut in_flight: Vec<(RequestId, u32, EndpointId)> = in_flight
        .into_iter()
        .map(|(request, to)| (request, 0, to))
        .collect();
    while let Some((request, attempt, to)) = in_flight.pop() {
        let outcome = if to.0 <= 30 {
            Outcome::Rejected
        } else {
            Outcome::Served
        };
        proxy.now += MS;
        let next = forwarded(&proxy.end_attempt(request, attempt, outcome, MS));
        in_flight.extend(
            next.iter()
                .map(|(id, to)| (*id, if *id == request { attempt + 1 } else { 0 }, *to)),
        );
    }
    proxy.advance(3_000 * MS);
    let after = request_burst(&mut proxy, 40).len();
    assert!(
        after + 4 >= before,
        "{after} of {before} requests are forwarded after rejections although no response was late"
    );
}

#[test]
fn six_late_responses_of_forty_do_not_cut_the_shared_limit() {
    let mut proxy = one_of_100_balancers();
    raise_shared_limit(&mut proxy);
    let before = request_burst(&mut proxy, 40);
    let (late, rest) = before.split_at(6);
    serve_forwarded(&mut proxy, rest.to_vec(), 40 * MS);
    serve_forwarded(&mut proxy, late.to_vec(), 300 * MS);
    proxy.advance(300 * MS);
    let after = request_burst(&mut proxy, 40).len();
    assert!(
        after >= before.len(),
        "{after} of {} requests are forwarded after six late responses",
        before.len()
    );
}

/// Returns one of 300 balancers with 200 endpoints, whose requests are all of one class with this
/// latency objective.
fn one_of_300_balancers(latency_objective: Micros) -> Proxy {
    let mut settings = Settings {
        balancer_count: 300,
        ..settings(Idempotency::Idempotent)
    };
    settings.classes[0].latency_objective = latency_objective;
    Proxy::new(settings, 200)
}

/// During a release most balancers may start at the same time, so each must start with a low limit.
#[test]
fn a_new_balancer_starts_with_a_small_burst_and_doubles_it_within_two_seconds() {
    let mut proxy = one_of_300_balancers(500 * MS);
    let in_flight = request_burst(&mut proxy, 40);
    let first = in_flight.len();
    assert!(
        (2..=4).contains(&first),
        "{first} requests are forwarded at the same time"
    );
    serve_forwarded(&mut proxy, in_flight, 40 * MS);
    for _ in 0..10 {
        let in_flight = request_burst(&mut proxy, 40);
        serve_forwarded(&mut proxy, in_flight, 40 * MS);
        proxy.advance(100 * MS);
    }
    let later = request_burst(&mut proxy, 40).len();
    assert!(
        later >= 2 * first,
        "{later} requests at the same time after two seconds, {first} at first"
    );
}

/// An overload is caused by all balancers together, and most of them receive few responses. If this
/// balancer cut its limit only after thirty responses, that would take four seconds, in which the
/// overload would last.
#[test]
fn a_balancer_with_few_requests_cuts_its_limit_within_two_seconds_of_an_overload() {
    let mut proxy = one_of_300_balancers(500 * MS);
    raise_shared_limit(&mut proxy);
    let in_flight = request_burst(&mut proxy, 40);
    let before = in_flight.len();
    serve_forwarded(&mut proxy, in_flight, 40 * MS);
    proxy.advance(300 * MS);
    let mut in_flight = std::collections::VecDeque::new();
    for _ in 0..14 {
        in_flight.extend(request_burst(&mut proxy, 1));
        proxy.now += 100 * MS;
        if in_flight.len() == 2 {
            let oldest = in_flight.pop_front().expect("two requests are in flight");
            proxy.end_attempt(oldest, 0, Outcome::Served, 200 * MS);
        }
    }
    serve_forwarded(&mut proxy, in_flight.into(), 100 * MS);
    proxy.advance(300 * MS);
    let after = request_burst(&mut proxy, 40).len();
    assert!(
        4 * after <= 3 * before,
        "{after} of {before} requests are forwarded after two seconds of late responses"
    );
}

/// The responses of endpoints whose two cores are nearly 60 % busy take up to 1.5 times as long as
/// those of idle ones. With a tight objective this must not count as an overload.
#[test]
fn a_tight_latency_objective_does_not_make_busy_endpoints_look_overloaded() {
    let mut proxy = one_of_300_balancers(100 * MS);
    let idle_response_time = |request: u64| (35 + 5 * (request % 5)) * MS;
    serve_stream(&mut proxy, 1_000, idle_response_time);
    let busy_response_time = |request: u64| (50 + 5 * (request % 5)) * MS;
    let forwarded_count = serve_stream(&mut proxy, 1_000, busy_response_time);
    assert!(
        forwarded_count > 900,
        "only {forwarded_count} of 1000 requests were forwarded"
    );
}

/// If only a few requests time out, single endpoints do not respond while the others are not
/// overloaded, so the limit that all endpoints share must not be cut.
#[test]
fn four_timeouts_of_forty_requests_do_not_cut_the_shared_limit() {
    let mut proxy = one_of_100_balancers();
    raise_shared_limit(&mut proxy);
    let in_flight = request_burst(&mut proxy, 40);
    let before = in_flight.len();
    let (lost, rest) = in_flight.split_at(4);
    serve_forwarded(&mut proxy, rest.to_vec(), 40 * MS);
    proxy.now += 1_100 * MS;
    for &request in lost {
        proxy.end_attempt(request, 0, Outcome::TimedOut, 1_140 * MS);
    }
    proxy.advance(300 * MS);
    let after = request_burst(&mut proxy, 40).len();
    assert!(
        after >= before,
        "{after} of {before} requests are forwarded after four timeouts"
    );
}

/// Returns one of a thousand balancers, and its requests in flight: a burst of three, which reaches
/// the shared limit, and one trial.
fn one_of_1000_balancers() -> (Proxy, Vec<RequestId>) {
    let mut proxy = Proxy::new(
        Settings {
            balancer_count: 1_000,
            ..settings(Idempotency::Idempotent)
        },
        20,
    );
    let in_flight: Vec<RequestId> = (0..4).map(|_| proxy.request().0).collect();
    assert_eq!(
        forwarded(&proxy.actions).len(),
        4,
        "expected a burst of three requests and one trial"
    );
    (proxy, in_flight)
}

#[test]
fn a_shared_limit_bounds_requests_to_all_endpoints_and_allows_one_trial_at_a_time() {
    let (mut proxy, in_flight) = one_of_1000_balancers();
    let (queued, actions) = proxy.request();
    assert!(
        forwarded(&actions).is_empty(),
        "a request to an idle endpoint exceeds the shared limit while a trial is in flight"
    );
    proxy.now += 50 * MS;
    let actions = proxy.end_attempt(in_flight[3], 0, Outcome::Served, 50 * MS);
    assert_eq!(
        forwarded(&actions).first().map(|&(request, _)| request),
        Some(queued),
        "the queued request is not forwarded after the trial was served"
    );
}

#[test]
fn a_failed_trial_of_the_shared_limit_backs_off_from_all_endpoints() {
    let (mut proxy, in_flight) = one_of_1000_balancers();
    proxy.now += 400 * MS;
    let actions = proxy.end_attempt(in_flight[3], 0, Outcome::TimedOut, 400 * MS);
    assert!(
        forwarded(&actions)
            .iter()
            .all(|(request, _)| *request == in_flight[3]),
        "a request other than the trial's own retry is forwarded"
    );
    assert!(
        forwarded(&proxy.request().1).is_empty(),
        "a request is forwarded during the backoff of the shared limit"
    );
}

#[test]
fn slow_responses_of_several_endpoints_cut_the_shared_limit() {
    let requests = |elapsed: Micros| {
        let mut proxy = Proxy::new(
            Settings {
                balancer_count: 1_000,
                ..settings(Idempotency::Idempotent)
            },
            20,
        );
        (0..20).for_each(|_| drop((proxy.serve_request(40 * MS), proxy.advance(1_000 * MS))));
        (0..20).for_each(|_| drop((proxy.serve_request(elapsed), proxy.advance(1_000 * MS))));
        (0..20)
            .filter(|_| {
                (proxy.advance(100 * MS), proxy.serve_request(elapsed))
                    .1
                    .is_some()
            })
            .count()
    };
    assert!(
        requests(40 * MS) > requests(450 * MS),
        "slow responses of several endpoints don't cut the shared limit"
    );
}
