//! Tests of the selection of the endpoint for a request, and of the subset of endpoints that a
//! balancer uses.

mod common;
use balancer::*;
use common::*;
use std::collections::BTreeMap;

#[test]
fn the_less_loaded_of_two_endpoints_is_selected() {
    let mut proxy = Proxy::new(
        Settings {
            balancer_count: 1,
            ..settings(Idempotency::NonIdempotent)
        },
        2,
    );
    let mut load: BTreeMap<EndpointId, u32> = BTreeMap::new();
    for _ in 0..10 {
        let endpoint = forwarded(&proxy.request().1)[0].1;
        *load.entry(endpoint).or_default() += 1;
    }
    assert_eq!(load[&EndpointId(1)], 5);
    assert_eq!(load[&EndpointId(2)], 5);
}

/// Sends 400 requests one at a time. `outcome_at` returns the outcome and the duration of a request
/// at an endpoint. Returns how many were forwarded to endpoint 2.
fn requests_to_endpoint_2(
    entries: Vec<EndpointEntry>,
    outcome_at: impl Fn(EndpointId) -> (Outcome, Micros),
) -> usize {
    let limits = Limits {
        max_attempts: 1,
        ..Settings::default().limits
    };
    // With 100 balancers the initial limit of each endpoint would be far below one request, so the
    // endpoints share one limit.
    let mut proxy = Proxy::new(
        Settings {
            balancer_count: 100,
            limits,
            ..settings(Idempotency::NonIdempotent)
        },
        2,
    );
    proxy.update_list(ListUpdate::Full, entries);
    let mut to_endpoint_2 = 0;
    for _ in 0..400 {
        proxy.now += 100 * MS;
        let (request, actions) = proxy.request();
        let Some(&(_, endpoint)) = forwarded(&actions).first() else {
            continue;
        };
        to_endpoint_2 += usize::from(endpoint == EndpointId(2));
        let (outcome, elapsed) = outcome_at(endpoint);
        proxy.now += elapsed;
        proxy.end_attempt(request, 0, outcome, elapsed);
    }
    to_endpoint_2
}

#[test]
fn ties_go_to_the_endpoint_with_less_recent_busy_time() {
    let both_ready = || vec![ready(1), ready(2)];
    let slow_endpoint_1 = |endpoint| {
        (
            Outcome::Served,
            if endpoint == EndpointId(1) {
                200 * MS
            } else {
                40 * MS
            },
        )
    };
    assert!(
        requests_to_endpoint_2(both_ready(), slow_endpoint_1) > 300,
        "endpoint 2 is five times as fast and should get five of six requests"
    );
    let to_endpoint_2 = requests_to_endpoint_2(both_ready(), |_| (Outcome::Served, 40 * MS));
    assert!(
        (180..=220).contains(&to_endpoint_2),
        "equally fast endpoints should get half of 400 requests: {to_endpoint_2}"
    );
}

#[test]
fn ties_go_by_weight_and_fast_rejections_do_not_attract_requests() {
    let weighted = vec![
        ready(1),
        EndpointEntry {
            weight: 2.0,
            ..ready(2)
        },
    ];
    let to_heavier = requests_to_endpoint_2(weighted, |_| (Outcome::Served, 40 * MS));
    assert!(
        (250..=290).contains(&to_heavier),
        "the endpoint with twice the weight should get two thirds of 400 requests: {to_heavier}"
    );
    // Invalid weights count as 1.
    let both_ready = || vec![ready(1), ready(2)];
    let invalid_weights = vec![
        EndpointEntry {
            weight: f64::NAN,
            ..ready(1)
        },
        EndpointEntry {
            weight: -3.0,
            ..ready(2)
        },
    ];
    let to_endpoint_2 = requests_to_endpoint_2(invalid_weights, |_| (Outcome::Served, 40 * MS));
    assert!(
        (180..=220).contains(&to_endpoint_2),
        "invalid weights should count as equal: {to_endpoint_2} of 400 requests"
    );
    let rejecting_endpoint_1 = |endpoint| {
        if endpoint == EndpointId(1) {
            (Outcome::Rejected, MS)
        } else {
            (Outcome::Served, 40 * MS)
        }
    };
    let to_serving = requests_to_endpoint_2(both_ready(), rejecting_endpoint_1);
    assert!(
        to_serving > 300,
        "fast rejections attracted requests: only {to_serving} of 400 went to the other endpoint"
    );
}

/// Requests to another zone cost more and take longer. Of two endpoints with equally many requests
/// in flight the local one is selected, even if its latency pressure is higher.
#[test]
fn ties_go_to_the_balancers_own_zone_even_if_its_latency_pressure_is_higher() {
    let (own_zone, other_zone) = (ZoneId(1), ZoneId(2));
    let mut proxy = Proxy::new(
        Settings {
            zone: Some(own_zone),
            ..settings(Idempotency::NonIdempotent)
        },
        0,
    );
    let in_zone = |id, zone| EndpointEntry { zone, ..ready(id) };
    proxy.update_list(
        ListUpdate::Full,
        vec![in_zone(1, other_zone), in_zone(2, own_zone)],
    );
    for _ in 0..20 {
        assert_eq!(proxy.serve_request(40 * MS), Some(EndpointId(2)));
    }
    assert_eq!(forwarded(&proxy.request().1)[0].1, EndpointId(2));
    assert_eq!(
        forwarded(&proxy.request().1)[0].1,
        EndpointId(1),
        "the other zone's endpoint has fewer requests in flight"
    );
}

#[test]
fn a_full_endpoint_is_not_selected_while_another_has_capacity() {
    // When only one of 20 endpoints has capacity left, two random choices alone would rarely find
    // it and the request would exceed another's limit as a trial.
    let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 20);
    let endpoints: std::collections::BTreeSet<EndpointId> = (0..20)
        .map(|_| forwarded(&proxy.request().1)[0].1)
        .collect();
    assert_eq!(
        endpoints.len(),
        20,
        "an endpoint was sent a second request while another had none"
    );
}

#[test]
fn the_subsets_of_all_balancers_cover_the_endpoints_evenly() {
    let mut subset_counts: BTreeMap<EndpointId, u32> = BTreeMap::new();
    for balancer_index in 0..100 {
        let mut proxy = proxy_with_peers(100, balancer_index, 50);
        let mut used = std::collections::BTreeSet::new();
        for _ in 0..60 {
            proxy.now += 500 * MS;
            used.extend(proxy.serve_request(20 * MS));
        }
        assert_eq!(
            used.len(),
            8,
            "each balancer should use the minimum subset, so that its connections stay open"
        );
        used.into_iter()
            .for_each(|endpoint| *subset_counts.entry(endpoint).or_default() += 1);
    }
    assert_eq!(subset_counts.len(), 50);
    assert!(
        subset_counts.values().all(|n| *n == 16),
        "100 subsets of 8 should use each of 50 endpoints 16 times: {subset_counts:?}"
    );
}

#[test]
fn a_subset_skips_endpoints_that_have_left_the_list() {
    let mut proxy = Proxy::new(
        Settings {
            balancer_count: 100,
            ..settings(Idempotency::Idempotent)
        },
        50,
    );
    proxy.update_list(
        ListUpdate::Full,
        (1..=50).filter(|id| *id > 8).map(ready).collect(),
    );
    assert!(
        (0..20).all(|_| (proxy.advance(500 * MS), proxy.serve_request(20 * MS))
            .1
            .is_some_and(|endpoint| endpoint.0 > 8))
    );
}

#[test]
fn ties_under_a_shared_limit_favour_faster_endpoints_over_the_own_zone() {
    let (own_zone, other_zone) = (ZoneId(1), ZoneId(2));
    let settings = Settings {
        balancer_count: 100,
        zone: Some(own_zone),
        ..settings(Idempotency::Idempotent)
    };
    let mut proxy = Proxy::new(settings, 0);
    let in_zone = |id, zone| EndpointEntry { zone, ..ready(id) };
    proxy.update_list(
        ListUpdate::Full,
        vec![in_zone(1, own_zone), in_zone(2, other_zone)],
    );
    let mut remote = 0;
    for _ in 0..400 {
        proxy.now += 100 * MS;
        let (request, actions) = proxy.request();
        let endpoint = forwarded(&actions)[0].1;
        let elapsed = if endpoint == EndpointId(1) {
            120 * MS
        } else {
            40 * MS
        };
        remote += usize::from(endpoint == EndpointId(2));
        proxy.now += elapsed;
        proxy.end_attempt(request, 0, Outcome::Served, elapsed);
    }
    assert!(
        (250..350).contains(&remote),
        "three times as fast, the remote endpoint should get 3 of 4 requests: {remote} of 400"
    );
}

/// Requests differ in their work far more than endpoints in their speed, so the latencies of a few
/// responses don't tell which endpoint is slower.
#[test]
fn slower_endpoints_get_fewer_requests_although_single_latencies_vary_more() {
    let (mut slow, mut all) = (0, 0);
    for balancer_index in 0..100 {
        let mut proxy = proxy_with_peers(100, balancer_index, 60);
        for step in 0..200_u64 {
            let (request, actions) = proxy.request();
            let is_slow = forwarded(&actions)[0].1 .0.is_multiple_of(2);
            // Every fifth request takes ten times as long as others.
            let work = if (step * 7 + u64::from(balancer_index)) % 5 == 0 {
                100 * MS
            } else {
                10 * MS
            };
            let elapsed = if is_slow { 2 * work } else { work };
            proxy.now += elapsed;
            proxy.end_attempt(request, 0, Outcome::Served, elapsed);
            if step >= 100 {
                (slow, all) = (slow + usize::from(is_slow), all + 1);
            }
        }
    }
    assert!(
        slow * 5 < all * 2,
        "{slow} of {all} requests went to the endpoints that are half as fast"
    );
}
