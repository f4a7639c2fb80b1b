//! Tests of the ejection and readmission of endpoints.

mod common;
use balancer::*;
use common::*;

#[test]
fn a_connection_failure_ejects_an_endpoint_until_a_single_trial_after_its_backoff_is_served() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 2);
    let (request, actions) = proxy.request();
    let ejected = forwarded(&actions)[0].1;
    proxy.now += MS;
    let other = forwarded(&proxy.end_attempt(request, 0, Outcome::ConnectFailed, MS))[0].1;
    assert_ne!(ejected, other);
    proxy.now += MS;
    proxy.end_attempt(request, 1, Outcome::Served, MS);
    for _ in 0..5 {
        assert_eq!(
            proxy.serve_request(MS),
            Some(other),
            "an ejected endpoint gets a request during its backoff"
        );
    }
    proxy.now += 200 * MS;
    let (trial, actions) = proxy.request();
    assert_eq!(forwarded(&actions), [(trial, ejected)]);
    let (second, actions) = proxy.request();
    assert_eq!(
        forwarded(&actions)[0].1,
        other,
        "a second request is sent to the ejected endpoint during its trial"
    );
    proxy.end_attempt(second, 0, Outcome::Served, MS);
    proxy.now += MS;
    proxy.end_attempt(trial, 0, Outcome::Served, MS);
    let mut used_endpoints: Vec<EndpointId> =
        (0..12).filter_map(|_| proxy.serve_request(MS)).collect();
    used_endpoints.sort();
    used_endpoints.dedup();
    assert_eq!(
        used_endpoints.len(),
        2,
        "the ejected endpoint is not readmitted after a served trial"
    );
}

#[test]
fn requests_are_rejected_with_a_retry_after_time_if_every_endpoint_is_ejected() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 2);
    // A reset removes the only step of the endpoint's limit and ejects it. At most one of two
    // endpoints may be ejected, so the list is reduced to the ejected one.
    let (request, actions) = proxy.request();
    let ejected = forwarded(&actions)[0].1;
    proxy.now += MS;
    proxy.end_attempt(request, 0, Outcome::Reset, MS);
    proxy.update_list(ListUpdate::Full, vec![ready(ejected.0)]);
    let (request, actions) = proxy.request();
    let retry_after = actions.iter().find_map(|action| match action {
        Action::Reject {
            request: id,
            retry_after,
            ..
        } if *id == request => Some(*retry_after),
        _ => None,
    });
    assert!(
        retry_after.is_some_and(|after| after > 0),
        "expected a rejection with a retry-after time: {actions:?}"
    );
}

/// The number of unavailable endpoints, which operators see, must include an ejected endpoint until
/// its backoff has ended.
#[test]
fn an_ejected_endpoint_counts_as_unavailable_until_a_trial_is_allowed() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 4);
    assert_eq!(proxy.balancer.unavailable_count(proxy.now), 0);
    for _ in 0..60 {
        let (request, actions) = proxy.request();
        for (attempt, (_, endpoint)) in (0..).zip(forwarded(&actions)) {
            let outcome = if endpoint == EndpointId(1) {
                Outcome::Error
            } else {
                Outcome::Served
            };
            proxy.now += 10 * MS;
            proxy.end_attempt(request, attempt, outcome, 10 * MS);
        }
        if proxy.balancer.unavailable_count(proxy.now) == 1 {
            proxy.now += 1_000 * MS;
            assert_eq!(proxy.balancer.unavailable_count(proxy.now), 0);
            return;
        }
    }
    panic!("the failing endpoint is never ejected");
}

#[test]
fn an_endpoint_with_fast_errors_is_ejected_although_it_looks_idle() {
    let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 4);
    let mut errors = 0;
    for _ in 0..200 {
        let (request, actions) = proxy.request();
        let is_failing = forwarded(&actions)[0].1 == EndpointId(1);
        errors += usize::from(is_failing);
        proxy.now += 2 * MS;
        proxy.end_attempt(
            request,
            0,
            if is_failing {
                Outcome::Error
            } else {
                Outcome::Served
            },
            2 * MS,
        );
    }
    assert!(errors <= 4, "{errors} of 200 requests failed");
}

/// Any endpoint answers an invalid request with an error: a faulty client must not cause the
/// ejection of healthy endpoints.
#[test]
fn invalid_requests_eject_no_endpoint_and_are_not_retried() {
    for idempotency in [Idempotency::NonIdempotent, Idempotency::Idempotent] {
        let mut proxy = Proxy::new(settings(idempotency), 4);
        for _ in 0..100 {
            let (request, actions) = proxy.request();
            assert_eq!(forwarded(&actions).len(), 1);
            proxy.now += 2 * MS;
            let actions = proxy.end_attempt(request, 0, Outcome::Invalid, 2 * MS);
            assert!(
                is_failed(&actions, request) && forwarded(&actions).is_empty(),
                "expected the request to fail without a retry: {actions:?}"
            );
        }
        assert!(
            !proxy.actions.iter().any(is_ejection),
            "an endpoint was ejected for {idempotency:?} requests that are invalid"
        );
    }
}

/// Connections break occasionally at any endpoint. One broken connection must not eject an endpoint
/// that serves other requests, and an idle connection that the endpoint had closed must not count
/// as a failure at all.
#[test]
fn occasional_broken_or_stale_connections_eject_no_endpoint() {
    for (outcome, failure_interval) in [(Outcome::Reset, 12), (Outcome::Stale, 3)] {
        let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 4);
        let mut counts = [0; 5];
        for _ in 0..400 {
            let (request, actions) = proxy.request();
            let count = &mut counts[forwarded(&actions)[0].1 .0 as usize];
            *count += 1;
            let attempt_outcome = if *count % failure_interval == 0 {
                outcome
            } else {
                Outcome::Served
            };
            proxy.now += 2 * MS;
            let actions = proxy.end_attempt(request, 0, attempt_outcome, 2 * MS);
            assert_eq!(
                is_failed(&actions, request),
                attempt_outcome == outcome,
                "a request that may have been executed must fail without a retry"
            );
        }
        assert!(
            !proxy.actions.iter().any(is_ejection),
            "an endpoint was ejected for occasional {outcome:?}"
        );
    }
}

/// Malformed responses occur occasionally at any endpoint, and two in a row must not eject it. An
/// endpoint whose responses are mostly malformed must not attract requests by being fast.
#[test]
fn an_endpoint_is_ejected_for_many_malformed_responses_but_not_for_two_in_a_row() {
    for (malformed_interval, min_malformed, max_malformed) in [(10, 8, 400), (1, 1, 8)] {
        let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 4);
        let (mut malformed_count, mut response_count) = (0, 0);
        for _ in 0..400 {
            let (request, actions) = proxy.request();
            let mut attempt_outcome = Outcome::Served;
            if forwarded(&actions)[0].1 == EndpointId(1) {
                response_count += 1;
                // Two in a row, and then valid ones.
                if response_count % (2 * malformed_interval) < 2 {
                    (malformed_count, attempt_outcome) = (malformed_count + 1, Outcome::Unknown);
                }
            }
            proxy.now += 2 * MS;
            proxy.end_attempt(request, 0, attempt_outcome, 2 * MS);
        }
        assert!(
            (min_malformed..=max_malformed).contains(&malformed_count),
            "one in {malformed_interval}: {malformed_count} of {response_count} responses were \
             malformed"
        );
    }
}

#[test]
fn one_served_trial_does_not_readmit_an_endpoint_that_fails_most_requests() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 4);
    let mut attempts_at_failing = 0;
    for round in 0..400 {
        let (request, actions) = proxy.request();
        proxy.now += 5 * MS;
        proxy.end_attempts(request, &actions, 5 * MS, 0, |endpoint| {
            let is_failing = endpoint == EndpointId(1);
            attempts_at_failing += usize::from(is_failing);
            if is_failing && attempts_at_failing % 3 != 0 {
                Outcome::Error
            } else {
                Outcome::Served
            }
        });
        assert!(round < 400);
    }
    assert!(
        attempts_at_failing <= 40,
        "{attempts_at_failing} attempts at the failing endpoint; \
         a healthy one would get 100 or more"
    );
}

#[test]
fn at_most_half_of_the_endpoints_are_ejected() {
    let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 6);
    for _ in 0..100 {
        let (request, actions) = proxy.request();
        assert_eq!(
            forwarded(&actions).len(),
            1,
            "no endpoint takes requests although at most half of them may be ejected"
        );
        proxy.now += 2 * MS;
        proxy.end_attempt(request, 0, Outcome::Error, 2 * MS);
    }
}

#[test]
fn after_a_rejection_an_endpoint_gets_no_requests_for_the_duration_of_a_typical_response() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 2);
    for _ in 0..30 {
        proxy.serve_request(40 * MS);
    }
    let mut attempts_at_rejecting = 0;
    for _ in 0..20 {
        // 20 requests of 2 ms each take 40 ms, as long as a typical response.
        let (request, actions) = proxy.request();
        proxy.now += 2 * MS;
        proxy.end_attempts(request, &actions, 2 * MS, 0, |endpoint| {
            let is_rejecting = endpoint == EndpointId(1);
            attempts_at_rejecting += usize::from(is_rejecting);
            if is_rejecting {
                Outcome::Rejected
            } else {
                Outcome::Served
            }
        });
    }
    assert!(
        attempts_at_rejecting <= 2,
        "{attempts_at_rejecting} attempts at the rejecting endpoint"
    );
}

#[test]
fn a_restarted_endpoint_is_not_ejected_for_failures_of_its_previous_process() {
    let mut proxy = Proxy::new(
        Settings {
            balancer_count: 1,
            ..settings(Idempotency::Idempotent)
        },
        1,
    );
    let requests: Vec<RequestId> = (0..6).map(|_| proxy.request().0).collect();
    let started_at = proxy.now;
    proxy.update_list(
        ListUpdate::Delta,
        vec![EndpointEntry {
            started_at,
            ..ready(1)
        }],
    );
    for request in requests {
        proxy.end_attempt(request, 0, Outcome::Reset, 5 * MS);
    }
    assert!(
        !proxy.actions.iter().any(is_ejection),
        "an endpoint was ejected for failures of its previous process"
    );
}

#[test]
fn a_rejecting_endpoint_gets_less_than_its_part_even_if_backoffs_end_between_two_requests() {
    // One request arrives per second, so a backoff of fixed duration would have ended before most
    // of them, and a thousand such balancers would keep sending requests to the endpoint.
    let limits = Limits {
        max_attempts: 1,
        ..Settings::default().limits
    };
    let mut proxy = Proxy::new(
        Settings {
            balancer_count: 1_000,
            limits,
            ..settings(Idempotency::Idempotent)
        },
        8,
    );
    let mut attempts_at_rejecting = 0;
    for _ in 0..200 {
        proxy.now += 1_000 * MS;
        let (request, actions) = proxy.request();
        let Some(&(_, endpoint)) = forwarded(&actions).first() else {
            continue;
        };
        let is_failing = endpoint == EndpointId(1);
        attempts_at_rejecting += u32::from(is_failing);
        proxy.now += 20 * MS;
        proxy.end_attempt(
            request,
            0,
            if is_failing {
                Outcome::Rejected
            } else {
                Outcome::Served
            },
            20 * MS,
        );
    }
    assert!(
        attempts_at_rejecting < 25,
        "{attempts_at_rejecting} of 200 requests went to the rejecting endpoint, \
         whose normal part is an eighth"
    );
}

/// An endpoint that rejects one class and serves the others is not full, and must not be ejected.
#[test]
fn an_endpoint_that_rejects_one_class_keeps_serving_the_others() {
    let mut config = settings(Idempotency::Idempotent);
    config.classes = vec![config.classes[0]; 2];
    let mut proxy = Proxy::new(config, 4);
    let mut count = [0, 0];
    for number in 0..400 {
        let class = number % 2;
        let (request, actions) = proxy.request_of_class(class);
        proxy.end_attempts(request, &actions, 10 * MS, 10 * MS, |endpoint| {
            let rejects_one_class = endpoint == EndpointId(1);
            count[class] += usize::from(rejects_one_class);
            if rejects_one_class && class == 1 {
                Outcome::Rejected
            } else {
                Outcome::Served
            }
        });
    }
    assert_eq!(
        proxy.actions.iter().find(|action| is_ejection(action)),
        None,
        "an endpoint was ejected for rejecting one class"
    );
    assert!(
        count[0] >= 25 && count[1] <= 10,
        "attempts at the endpoint by class, of 200 requests each: {count:?}"
    );
}
