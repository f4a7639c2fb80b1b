//! Tests of which timeouts eject an endpoint, and of how many requests are sent to endpoints that
//! do not respond.

mod common;
use balancer::*;
use common::*;

#[test]
fn timeouts_do_not_eject_an_endpoint_that_serves_other_requests() {
    let mut proxy = Proxy::new(
        Settings {
            balancer_count: 1,
            ..settings(Idempotency::NonIdempotent)
        },
        3,
    );
    let mut timeout_actions = Vec::new();
    for _ in 0..30 {
        // Of the requests at each endpoint the first is served and the others time out.
        let requests: Vec<(RequestId, Vec<Action>)> = (0..9).map(|_| proxy.request()).collect();
        let endpoint_of = |i: usize| forwarded(&requests[i].1).first().map(|attempt| attempt.1);
        let is_first_at_endpoint = |i: usize| (0..i).all(|j| endpoint_of(j) != endpoint_of(i));
        proxy.now += 100 * MS;
        for i in (0..9).filter(|&i| endpoint_of(i).is_some() && is_first_at_endpoint(i)) {
            proxy.end_attempt(requests[i].0, 0, Outcome::Served, 100 * MS);
        }
        proxy.now += 400 * MS;
        for i in (0..9).filter(|&i| endpoint_of(i).is_some() && !is_first_at_endpoint(i)) {
            timeout_actions.extend(proxy.end_attempt(
                requests[i].0,
                0,
                Outcome::TimedOut,
                500 * MS,
            ));
        }
        proxy.advance(600 * MS);
    }
    let failures = timeout_actions
        .iter()
        .filter(|action| matches!(action, Action::Fail { .. }))
        .count();
    assert!(
        failures > 20,
        "only {failures} requests timed out, more than 20 are needed for a meaningful check"
    );
    let ejections = timeout_actions
        .iter()
        .filter(|action| is_ejection(action))
        .count();
    assert_eq!(
        ejections, 0,
        "endpoints were ejected for timeouts although they served other requests"
    );
}

/// If clients wait for less time than responses usually take, their requests time out at healthy
/// endpoints too.
#[test]
fn timeouts_of_clients_with_short_deadlines_eject_no_endpoint() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 4);
    for _ in 0..40 {
        proxy.serve_request(100 * MS);
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
        let is_forwarded = !forwarded(&proxy.handle(event)).is_empty();
        proxy.now += time_left;
        if is_forwarded {
            proxy.end_attempt(request, 0, Outcome::TimedOut, time_left);
        }
    }
    assert_eq!(
        proxy.actions.iter().find(|action| is_ejection(action)),
        None
    );
}

/// If each of 100 balancers ejected an endpoint only after a second timeout, their requests would
/// keep an overloaded endpoint overloaded.
#[test]
fn a_single_timeout_ejects_an_endpoint_under_a_shared_limit() {
    // The client waits for less than the latency objective of 500 ms, and for more.
    for timeout in [200 * MS, 600 * MS] {
        let settings = Settings {
            balancer_count: 100,
            ..settings(Idempotency::Idempotent)
        };
        let mut proxy = Proxy::new(settings, 24);
        for _ in 0..20 {
            let in_flight = request_burst(&mut proxy, 40);
            serve_forwarded(&mut proxy, in_flight, 40 * MS);
            proxy.advance(300 * MS);
        }
        let in_flight: Vec<(RequestId, EndpointId)> = (0..40)
            .flat_map(|_| forwarded(&proxy.request().1))
            .collect();
        let (timed_out, overloaded) = in_flight[0];
        let mut from_queue = Vec::new();
        proxy.now += 40 * MS;
        for (request, _) in &in_flight[1..] {
            from_queue.extend(forwarded(&proxy.end_attempt(
                *request,
                0,
                Outcome::Served,
                40 * MS,
            )));
        }
        serve_forwarded(
            &mut proxy,
            from_queue.into_iter().map(|(request, _)| request).collect(),
            40 * MS,
        );
        proxy.now += timeout;
        proxy.end_only_attempt(timed_out, Outcome::TimedOut, timeout, LoadReport::default());
        let forwarded_after: Vec<(RequestId, EndpointId)> = (0..40)
            .flat_map(|_| forwarded(&proxy.request().1))
            .collect();
        assert!(
            forwarded_after.len() >= 20,
            "all other endpoints have capacity, but only {} requests were forwarded",
            forwarded_after.len()
        );
        assert!(
            forwarded_after
                .iter()
                .all(|(_, endpoint)| *endpoint != overloaded),
            "the endpoint was used again after a timeout of {timeout} us"
        );
    }
}

/// A quarter of the endpoints do not respond. Less than a twentieth of the requests of all
/// balancers together may be sent to these endpoints, as trials.
#[test]
fn less_than_a_twentieth_of_all_requests_go_to_endpoints_that_do_not_respond() {
    let (mut timed_out, mut all) = (0, 0);
    for balancer_index in 0..100 {
        let mut proxy = proxy_with_peers(100, balancer_index, 60);
        for step in 0..300 {
            let (request, actions) = proxy.request();
            let Some(&(_, endpoint)) = forwarded(&actions).first() else {
                proxy.handle(Event::RequestCancelled { request });
                continue;
            };
            let is_unresponsive = endpoint.0 % 4 == 0;
            let (outcome, elapsed) = if is_unresponsive {
                (Outcome::TimedOut, 200 * MS)
            } else {
                (Outcome::Served, 20 * MS)
            };
            proxy.now += elapsed;
            proxy.end_only_attempt(request, outcome, elapsed, LoadReport::default());
            if step >= 100 {
                (timed_out, all) = (timed_out + usize::from(is_unresponsive), all + 1);
            }
        }
    }
    assert!(
        timed_out * 20 < all,
        "{timed_out} of {all} requests went to endpoints that do not respond"
    );
}
