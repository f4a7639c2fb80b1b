//! Tests of zones whose connections fail.

mod common;
use balancer::*;
use common::*;

#[test]
fn a_partitioned_zone_is_avoided_before_each_of_its_endpoints_has_failed() {
    let zoned = |i| EndpointEntry {
        zone: ZoneId(i % 2),
        ..ready(i)
    };
    let mut proxy = Proxy::new(
        Settings {
            balancer_count: 1_000,
            ..settings(Idempotency::Idempotent)
        },
        0,
    );
    proxy.update_list(ListUpdate::Full, (1..=40).map(zoned).collect());
    let mut failed_connections = 0;
    for _ in 0..40 {
        proxy.now += 100 * MS;
        let (request, actions) = proxy.request();
        let mut target = forwarded(&actions).first().map(|&(_, endpoint)| endpoint);
        for attempt in 0..5 {
            let Some(endpoint) = target else { break };
            let is_partitioned = endpoint.0 % 2 == 1;
            failed_connections += u32::from(is_partitioned);
            proxy.now += 20 * MS;
            let outcome = if is_partitioned {
                Outcome::ConnectFailed
            } else {
                Outcome::Served
            };
            target = forwarded(&proxy.end_attempt(request, attempt, outcome, 20 * MS))
                .iter()
                .find(|(forwarded, _)| *forwarded == request)
                .map(|&(_, endpoint)| endpoint);
        }
    }
    assert!(
        failed_connections < 16,
        "{failed_connections} connections failed before the zone with 20 endpoints was avoided"
    );
}

/// Returns the proxy of one of 100 balancers, with a raised shared limit. Half of its 60 endpoints
/// are in a zone to which connections have failed, and which the balancer already avoids.
fn proxy_after_losing_a_zone() -> Proxy {
    let mut proxy = one_of_100_balancers();
    proxy.update_list(
        ListUpdate::Full,
        (1..=60)
            .map(|id| EndpointEntry {
                zone: ZoneId(id % 2),
                ..ready(id)
            })
            .collect(),
    );
    raise_shared_limit(&mut proxy);
    let mut in_flight: Vec<(RequestId, u32, EndpointId)> = (0..40)
        .flat_map(|_| forwarded(&proxy.request().1))
        .map(|(request, endpoint)| (request, 0, endpoint))
        .collect();
    proxy.now += 40 * MS;
    // Attempts end in reverse order, so that a retry ends right after the attempt before it.
    while let Some((request, attempt, endpoint)) = in_flight.pop() {
        let outcome = if endpoint.0 % 2 == 0 {
            Outcome::Served
        } else {
            Outcome::ConnectFailed
        };
        let next = forwarded(&proxy.end_attempt(request, attempt, outcome, 40 * MS));
        in_flight.extend(
            next.iter().map(|(id, endpoint)| {
                (*id, if *id == request { attempt + 1 } else { 0 }, *endpoint)
            }),
        );
    }
    proxy
}

#[test]
fn removing_the_endpoints_of_a_lost_zone_from_the_list_does_not_cut_the_shared_limit() {
    let mut proxy = proxy_after_losing_a_zone();
    let in_flight = request_burst(&mut proxy, 30);
    let before = in_flight.len();
    serve_forwarded(&mut proxy, in_flight, 40 * MS);
    let remaining = (1..=30).map(|id| EndpointEntry {
        zone: ZoneId(0),
        ..ready(2 * id)
    });
    proxy.update_list(ListUpdate::Full, remaining.collect());
    let after = request_burst(&mut proxy, 30).len();
    assert!(
        after >= before && before > 8,
        "{after} of {before} requests are forwarded although no serving endpoint has left"
    );
}

#[test]
fn a_lost_zone_gets_one_trial_request_at_a_time() {
    let mut proxy = proxy_after_losing_a_zone();
    let mut trial_times = Vec::new();
    for _ in 0..600 {
        proxy.now += 10 * MS;
        let (request, actions) = proxy.request();
        for (_, endpoint) in forwarded(&actions) {
            if endpoint.0 % 2 == 0 {
                proxy.end_attempt(request, 0, Outcome::Served, MS);
            } else {
                // Connections to the zone are not refused but time out.
                trial_times.push(proxy.now);
            }
        }
    }
    assert!(!trial_times.is_empty(), "the zone is never tried again");
    assert!(
        trial_times
            .windows(2)
            .all(|pair| pair[1] - pair[0] >= 100 * MS),
        "trials of the zone less than 100 ms apart: {trial_times:?}"
    );
}
