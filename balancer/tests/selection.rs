//! Which endpoint a request is sent to, and the subset of the endpoints.

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

/// How many of 400 requests, one at a time, are forwarded to endpoint 2, by how (and after how
/// long) each endpoint ends them.
fn requests_to_second(
    entries: Vec<EndpointEntry>,
    end: impl Fn(EndpointId) -> (Outcome, Micros),
) -> usize {
    let limits = Limits {
        max_attempts: 1,
        ..Settings::default().limits
    };
    // A hundred balancers: an endpoint's first limit is far below one request.
    let mut proxy = Proxy::new(
        Settings {
            balancer_count: 100,
            limits,
            ..settings(Idempotency::NonIdempotent)
        },
        2,
    );
    proxy.update_list(ListUpdate::Full, entries);
    let mut second = 0;
    for _ in 0..400 {
        proxy.now += 100 * MS;
        let (request, actions) = proxy.request();
        let Some(&(_, endpoint)) = forwarded(&actions).first() else {
            continue;
        };
        second += usize::from(endpoint == EndpointId(2));
        let (outcome, elapsed) = end(endpoint);
        proxy.now += elapsed;
        proxy.end_attempt(request, 0, outcome, elapsed);
    }
    second
}

#[test]
fn ties_go_to_the_endpoint_with_less_recent_busy_time() {
    let two = || vec![ready(1), ready(2)];
    let slow_first = |s| {
        (
            Outcome::Served,
            if s == EndpointId(1) {
                200 * MS
            } else {
                40 * MS
            },
        )
    };
    assert!(
        requests_to_second(two(), slow_first) > 300,
        "five times as fast: five requests to one"
    );
    let alike = requests_to_second(two(), |_| (Outcome::Served, 40 * MS));
    assert!((180..=220).contains(&alike), "{alike}");
}

#[test]
fn ties_go_by_weight_and_fast_errors_count_as_the_latency_objective() {
    let sized = vec![
        ready(1),
        EndpointEntry {
            weight: 2.0,
            ..ready(2)
        },
    ];
    let double = requests_to_second(sized, |_| (Outcome::Served, 40 * MS));
    assert!(
        (250..=290).contains(&double),
        "two thirds to the endpoint of twice the weight: {double}"
    );
    // Invalid weights count as 1.
    let two = || vec![ready(1), ready(2)];
    let odd = vec![
        EndpointEntry {
            weight: f64::NAN,
            ..ready(1)
        },
        EndpointEntry {
            weight: -3.0,
            ..ready(2)
        },
    ];
    let alike = requests_to_second(odd, |_| (Outcome::Served, 40 * MS));
    assert!((180..=220).contains(&alike), "{alike}");
    let full = |s| {
        if s == EndpointId(1) {
            (Outcome::Rejected, MS)
        } else {
            (Outcome::Served, 40 * MS)
        }
    };
    let shunned = requests_to_second(two(), full);
    assert!(
        shunned > 300,
        "a fast rejection is not a fast response: {shunned}"
    );
}

/// Requests to another zone cost more and take longer: of two endpoints with as many requests the
/// local one is selected, also where the other was faster.
#[test]
fn ties_go_to_the_balancers_own_zone() {
    let (near, far) = (ZoneId(1), ZoneId(2));
    let mut proxy = Proxy::new(
        Settings {
            zone: Some(near),
            ..settings(Idempotency::NonIdempotent)
        },
        0,
    );
    let zoned = |id, zone| EndpointEntry { zone, ..ready(id) };
    proxy.update_list(ListUpdate::Full, vec![zoned(1, far), zoned(2, near)]);
    for _ in 0..20 {
        assert_eq!(proxy.serve_request(40 * MS), Some(EndpointId(2)));
    }
    assert_eq!(forwarded(&proxy.request().1)[0].1, EndpointId(2));
    assert_eq!(
        forwarded(&proxy.request().1)[0].1,
        EndpointId(1),
        "it has fewer"
    );
}

#[test]
fn a_choice_of_a_full_endpoint_is_redrawn_among_those_with_capacity() {
    // One of twenty has capacity: two random choices alone would rarely find it, and a trial would
    // be needed.
    let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 20);
    let endpoints: std::collections::BTreeSet<EndpointId> = (0..20)
        .map(|_| forwarded(&proxy.request().1)[0].1)
        .collect();
    assert_eq!(
        endpoints.len(),
        20,
        "every limit is used before any is exceeded"
    );
}

#[test]
fn subsets_cover_the_endpoints_evenly_over_all_balancers() {
    let mut subsets: BTreeMap<EndpointId, u32> = BTreeMap::new();
    for balancer_index in 0..100 {
        let mut proxy = balancer_of(100, balancer_index, 50);
        let mut used = std::collections::BTreeSet::new();
        for _ in 0..60 {
            proxy.now += 500 * MS;
            used.extend(proxy.serve_request(20 * MS));
        }
        assert_eq!(
            used.len(),
            8,
            "few endpoints, each used often: connections stay open"
        );
        used.into_iter()
            .for_each(|s| *subsets.entry(s).or_default() += 1);
    }
    assert_eq!(subsets.len(), 50);
    assert!(
        subsets.values().all(|n| *n == 16),
        "100 subsets of 8 over 50 endpoints: {subsets:?}"
    );
}

#[test]
fn a_subset_moves_past_endpoints_that_are_down() {
    let mut proxy = Proxy::new(
        Settings {
            balancer_count: 100,
            ..settings(Idempotency::Idempotent)
        },
        50,
    );
    proxy.update_list(
        ListUpdate::Full,
        (1..=50).filter(|i| *i > 8).map(ready).collect(),
    );
    assert!(
        (0..20).all(|_| (proxy.advance(500 * MS), proxy.serve_request(20 * MS))
            .1
            .is_some_and(|s| s.0 > 8))
    );
}

#[test]
fn ties_under_a_shared_limit_leave_a_local_zone_that_is_slower() {
    let (near, far) = (ZoneId(1), ZoneId(2));
    let settings = Settings {
        balancer_count: 100,
        zone: Some(near),
        ..settings(Idempotency::Idempotent)
    };
    let mut proxy = Proxy::new(settings, 0);
    let zoned = |id, zone| EndpointEntry { zone, ..ready(id) };
    proxy.update_list(ListUpdate::Full, vec![zoned(1, near), zoned(2, far)]);
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
        "three times as fast, three of four requests: {remote} of 400"
    );
}

/// Requests differ in their work far more than endpoints in their speed: a few responses each are
/// chance.
#[test]
fn a_slower_endpoint_is_recognised_by_more_than_its_last_few_responses() {
    let (mut slow, mut all) = (0, 0);
    for balancer_index in 0..100 {
        let mut proxy = balancer_of(100, balancer_index, 60);
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
        "{slow} of {all} requests went to the half that is twice as slow"
    );
}
