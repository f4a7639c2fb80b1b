//! When timeouts eject an endpoint.

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
    let mut log = Vec::new();
    for _ in 0..30 {
        // Of the requests at each endpoint the first is served and the others time out.
        let requests: Vec<(RequestId, Vec<Action>)> = (0..9).map(|_| proxy.request()).collect();
        let at = |i: usize| forwarded(&requests[i].1).first().map(|s| s.1);
        let first = |i: usize| (0..i).all(|j| at(j) != at(i));
        proxy.now += 100 * MS;
        for i in (0..9).filter(|&i| at(i).is_some() && first(i)) {
            proxy.end_attempt(requests[i].0, 0, Outcome::Served, 100 * MS);
        }
        proxy.now += 400 * MS;
        for i in (0..9).filter(|&i| at(i).is_some() && !first(i)) {
            log.extend(proxy.end_attempt(requests[i].0, 0, Outcome::TimedOut, 500 * MS));
        }
        proxy.advance(600 * MS);
    }
    let failures = log
        .iter()
        .filter(|a| matches!(a, Action::Fail { .. }))
        .count();
    assert!(failures > 20, "too few timed out to tell: {failures}");
    let ejections = log.iter().filter(|action| is_ejection(action)).count();
    assert_eq!(ejections, 0, "ejected although it served other requests");
}

/// Clients may wait for less time than responses usually take. Their requests time out at healthy
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
        let out = !forwarded(&proxy.handle(event)).is_empty();
        proxy.now += time_left;
        if out {
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
    // Once the client waits for less time than some responses take, once for long.
    for late in [200 * MS, 600 * MS] {
        let settings = Settings {
            balancer_count: 100,
            ..settings(Idempotency::Idempotent)
        };
        let mut proxy = Proxy::new(settings, 24);
        for _ in 0..20 {
            let out = request_burst(&mut proxy, 40);
            serve_forwarded(&mut proxy, out, 40 * MS);
            proxy.advance(300 * MS);
        }
        let out: Vec<(RequestId, EndpointId)> = (0..40)
            .flat_map(|_| forwarded(&proxy.request().1))
            .collect();
        let (lost, overloaded) = out[0];
        let mut next = Vec::new();
        proxy.now += 40 * MS;
        for (request, _) in &out[1..] {
            next.extend(forwarded(&proxy.end_attempt(
                *request,
                0,
                Outcome::Served,
                40 * MS,
            )));
        }
        serve_forwarded(
            &mut proxy,
            next.into_iter().map(|(request, _)| request).collect(),
            40 * MS,
        );
        proxy.now += late;
        proxy.end_request(lost, Outcome::TimedOut, late, LoadReport::default());
        let to: Vec<(RequestId, EndpointId)> = (0..40)
            .flat_map(|_| forwarded(&proxy.request().1))
            .collect();
        assert!(
            to.len() >= 20,
            "all other endpoints have capacity, but only {} requests were forwarded",
            to.len()
        );
        assert!(
            to.iter().all(|(_, endpoint)| *endpoint != overloaded),
            "the endpoint was used again after a timeout of {late} us"
        );
    }
}

/// A quarter of the endpoints do not respond. Of the requests of all balancers together, only a
/// small part may be sent to them as trials.
#[test]
fn all_balancers_together_send_few_requests_to_endpoints_that_do_not_respond() {
    let (mut lost, mut all) = (0, 0);
    for balancer_index in 0..100 {
        let mut proxy = balancer_of(100, balancer_index, 60);
        for step in 0..300 {
            let (request, actions) = proxy.request();
            let Some(&(_, endpoint)) = forwarded(&actions).first() else {
                proxy.handle(Event::RequestCancelled { request });
                continue;
            };
            let hangs = endpoint.0 % 4 == 0;
            let (outcome, elapsed) = if hangs {
                (Outcome::TimedOut, 200 * MS)
            } else {
                (Outcome::Served, 20 * MS)
            };
            proxy.now += elapsed;
            proxy.end_request(request, outcome, elapsed, LoadReport::default());
            if step >= 100 {
                (lost, all) = (lost + usize::from(hangs), all + 1);
            }
        }
    }
    assert!(
        lost * 20 < all,
        "{lost} of {all} requests went to endpoints that do not respond"
    );
}
