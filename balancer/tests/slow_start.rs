//! Tests of how many requests an endpoint gets during slow start.

mod common;
use balancer::*;
use common::*;

/// Returns how many of 600 requests in six seconds are sent to an endpoint that has just started,
/// next to two or three warm ones. It ends its attempts with `outcome`. If `restart`, it is one of
/// three warm endpoints that has restarted.
fn requests_to_new_endpoint(outcome: Outcome, restart: bool) -> usize {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 3);
    for _ in 0..200 {
        proxy.serve_request(10 * MS);
    }
    let id = if restart { 1 } else { 4 };
    proxy.update_list(
        ListUpdate::Delta,
        vec![EndpointEntry {
            started_at: proxy.now,
            ..ready(id)
        }],
    );
    let mut count = 0;
    for _ in 0..600 {
        let (request, actions) = proxy.request();
        proxy.now += 10 * MS;
        proxy.end_attempts(request, &actions, 10 * MS, 0, |endpoint| {
            let is_new = endpoint == EndpointId(id);
            count += usize::from(is_new);
            if is_new {
                outcome
            } else {
                Outcome::Served
            }
        });
    }
    count
}

#[test]
fn a_new_or_restarted_endpoint_gets_a_limited_part_of_requests_whatever_their_outcome() {
    for outcome in [
        Outcome::Served,
        Outcome::Rejected,
        Outcome::Error,
        Outcome::ConnectFailed,
    ] {
        for restart in [false, true] {
            let count = requests_to_new_endpoint(outcome, restart);
            // A warm endpoint gets 150 to 200 of 600 requests; the new one has a tenth to a third
            // of a warm one's capacity.
            assert!(
                (1..=60).contains(&count),
                "{count} requests with outcome {outcome:?}, restart: {restart}"
            );
        }
    }
}

/// Returns how many of 200 requests are sent to a new endpoint, next to one warm endpoint and
/// `draining_count` draining ones.
fn requests_to_new_endpoint_beside(draining_count: u32) -> usize {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 1 + draining_count);
    let in_flight: Vec<(RequestId, EndpointId)> = (0..=draining_count)
        .flat_map(|_| forwarded(&proxy.request().1))
        .collect();
    let draining = |id: u32| EndpointEntry {
        state: EndpointState::Draining,
        ..ready(id)
    };
    proxy.update_list(
        ListUpdate::Delta,
        (2..=1 + draining_count).map(draining).collect(),
    );
    for (request, _) in in_flight
        .iter()
        .filter(|request| request.1 == EndpointId(1))
    {
        proxy.end_attempt(*request, 0, Outcome::Served, 10 * MS);
    }
    proxy.update_list(
        ListUpdate::Delta,
        vec![EndpointEntry {
            started_at: proxy.now,
            ..ready(99)
        }],
    );
    (0..200)
        .filter(|_| proxy.serve_request(10 * MS) == Some(EndpointId(99)))
        .count()
}

/// For each request that is served a new endpoint gets its capacity, as a fraction of the capacity
/// of the endpoints in service, as credit. Draining endpoints serve few requests and then none. If
/// they were counted as in service, new endpoints would get too little credit and stay idle while
/// the warm ones are full.
#[test]
fn draining_endpoints_do_not_reduce_the_slow_start_credit_of_a_new_endpoint() {
    let (without_draining, with_draining) = (
        requests_to_new_endpoint_beside(0),
        requests_to_new_endpoint_beside(9),
    );
    assert!(
        without_draining >= 5 && with_draining * 2 >= without_draining,
        "{without_draining} requests without draining endpoints, {with_draining} with nine"
    );
}

/// Each balancer limits its own requests to a new endpoint; a thousand of them together must not
/// exceed its capacity.
#[test]
fn a_thousand_balancers_together_stay_within_a_new_endpoints_capacity() {
    let (mut to_new, mut total) = (0, 0);
    for balancer_index in 0..1_000 {
        let mut proxy = proxy_with_peers(1_000, balancer_index, 20);
        (0..3).for_each(|_| drop((proxy.advance(500 * MS), proxy.serve_request(40 * MS))));
        let started_at = proxy.now;
        proxy.update_list(
            ListUpdate::Delta,
            vec![EndpointEntry {
                started_at,
                ..ready(21)
            }],
        );
        for _ in 0..4 {
            proxy.advance(500 * MS);
            total += 1;
            to_new += usize::from(proxy.serve_request(40 * MS) == Some(EndpointId(21)));
        }
    }
    // In the first two seconds a new endpoint has a tenth to a fifth of its capacity; each warm one
    // serves a twentieth of the requests.
    assert!(
        to_new * 20 <= total / 5,
        "{to_new} of {total} requests go to the new endpoint"
    );
}

/// Six in ten endpoints have just been replaced. If credit depended only on the number of
/// endpoints, the new ones would stay idle while the others are full.
#[test]
fn new_endpoints_serve_their_part_if_most_endpoints_are_new() {
    let (mut to_new, mut total) = (0, 0);
    for balancer_index in 0..100 {
        let mut proxy = proxy_with_peers(100, balancer_index, 60);
        // A third of slow start has passed: the new endpoints have at least four tenths of their
        // capacity.
        let started_at = proxy.now;
        proxy.now += 6_667 * MS;
        let replaced = (1..=60).map(|id| EndpointEntry {
            started_at: if id % 5 < 3 { started_at } else { 0 },
            ..ready(id)
        });
        proxy.update_list(ListUpdate::Full, replaced.collect());
        for _ in 0..400 {
            proxy.now += MS;
            total += 1;
            to_new += usize::from(
                proxy
                    .serve_request(MS)
                    .is_some_and(|endpoint| endpoint.0 % 5 < 3),
            );
        }
    }
    // 24 warm endpoints and 36 with 0.4 of their capacity: the new ones have a third of the total
    // capacity.
    assert!(
        (total / 5..total / 2).contains(&to_new),
        "{to_new} of {total} requests go to the new endpoints"
    );
}
