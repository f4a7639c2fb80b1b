//! Tests of the estimated start of endpoints if the wall clock of the proxy or of an endpoint is
//! wrong.

mod common;
use balancer::*;
use common::*;

const HOUR: Micros = 3_600 * SECOND;
const WARM_COUNT: u32 = 3;
const NEW_ENDPOINT: EndpointId = EndpointId(WARM_COUNT + 1);

/// Returns a proxy that has sent requests to warm endpoints and has then been notified of a new
/// endpoint with this start time.
fn proxy_with_new_endpoint(started_at: impl Fn(Micros) -> Micros) -> Proxy {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), WARM_COUNT);
    proxy.now += 2 * HOUR;
    proxy.update_list(ListUpdate::Full, (1..=WARM_COUNT).map(ready).collect());
    for _ in 0..40 {
        proxy.serve_request(50 * MS);
    }
    let started_at = started_at(proxy.now);
    proxy.update_list(
        ListUpdate::Delta,
        vec![EndpointEntry {
            started_at,
            ..ready(NEW_ENDPOINT.0)
        }],
    );
    proxy
}

/// Serves requests for `time`. Returns the fraction of them that were forwarded to the new
/// endpoint.
fn fraction_to_new(proxy: &mut Proxy, time: Micros) -> f64 {
    let (end, mut requests, mut to_new) = (proxy.now + time, 0, 0);
    while proxy.now < end {
        requests += 1;
        to_new += u32::from(proxy.serve_request(50 * MS) == Some(NEW_ENDPOINT));
    }
    f64::from(to_new) / f64::from(requests)
}

/// If the proxy's wall clock is an hour behind, a new endpoint seems to start in an hour. It must
/// be warm after the normal duration nevertheless.
#[test]
fn an_endpoint_with_a_start_time_in_the_future_is_warm_after_the_normal_duration() {
    let duration = Settings::default().slow_start.duration;
    for ahead in [0, SECOND, HOUR] {
        let mut proxy = proxy_with_new_endpoint(|now| now + ahead);
        fraction_to_new(&mut proxy, duration);
        let fraction = fraction_to_new(&mut proxy, 10 * SECOND);
        assert!(
            fraction > 0.5 / f64::from(WARM_COUNT + 1),
            "{fraction} of the requests with a start time {ahead} us ahead"
        );
    }
}

/// If the proxy's wall clock is an hour ahead, an endpoint that has just started seems to have run
/// for an hour. Since it was not in the previous list, it must warm up like an endpoint with the
/// correct start time.
#[test]
fn a_new_endpoint_with_a_start_time_long_ago_is_not_treated_as_warm() {
    let expected_fraction =
        fraction_to_new(&mut proxy_with_new_endpoint(|now| now - SECOND), 2 * SECOND);
    for behind in [10 * SECOND, 60 * SECOND, HOUR] {
        let fraction =
            fraction_to_new(&mut proxy_with_new_endpoint(|now| now - behind), 2 * SECOND);
        assert!(
            fraction <= expected_fraction + 0.1,
            "{fraction} of the requests with a start time {behind} us behind, \
             {expected_fraction} with the correct one"
        );
    }
}

/// A changed start time, even an earlier one, means that the endpoint has a new process, which must
/// warm up.
#[test]
fn an_endpoint_whose_start_time_changes_to_an_earlier_one_warms_up_again() {
    let mut proxy = proxy_with_new_endpoint(|now| now - SECOND);
    fraction_to_new(
        &mut proxy,
        Settings::default().slow_start.duration + 10 * SECOND,
    );
    let started_at = proxy.now - HOUR;
    proxy.handle(Event::Heartbeat);
    proxy.update_list(
        ListUpdate::Delta,
        vec![EndpointEntry {
            started_at,
            ..ready(NEW_ENDPOINT.0)
        }],
    );
    let fraction = fraction_to_new(&mut proxy, 5 * SECOND);
    assert!(
        fraction < 0.5 / f64::from(WARM_COUNT + 1),
        "{fraction} of the requests go to the restarted endpoint"
    );
}

/// An endpoint that leaves the list for a short time and returns with the same start time has not
/// restarted, and must not warm up again.
#[test]
fn an_endpoint_that_returns_to_the_list_with_the_same_start_time_stays_warm() {
    let mut proxy = proxy_with_new_endpoint(|now| now - SECOND);
    let started_at = proxy.now - SECOND;
    fraction_to_new(&mut proxy, Settings::default().slow_start.duration);
    proxy.update_list(
        ListUpdate::Delta,
        vec![EndpointEntry {
            state: EndpointState::Removed,
            ..ready(NEW_ENDPOINT.0)
        }],
    );
    fraction_to_new(&mut proxy, 10 * SECOND);
    proxy.handle(Event::Heartbeat);
    proxy.update_list(
        ListUpdate::Delta,
        vec![EndpointEntry {
            started_at,
            ..ready(NEW_ENDPOINT.0)
        }],
    );
    let fraction = fraction_to_new(&mut proxy, 10 * SECOND);
    assert!(
        fraction > 0.5 / f64::from(WARM_COUNT + 1),
        "{fraction} of the requests go to the endpoint that returned"
    );
}

/// In the first list the differences between the start times show which endpoints warm up: with the
/// clock an hour behind, endpoints that started long before the newest one must count as warm.
#[test]
fn with_the_clock_behind_only_the_newest_endpoint_of_the_first_list_warms_up() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 0);
    // `Proxy::new` delivers a list, so its balancer is replaced by one that has not received any.
    proxy.balancer = Balancer::new(7, settings(Idempotency::Idempotent));
    proxy.now += 2 * HOUR;
    let listed_start = |age: Micros| proxy.now + HOUR - age;
    let old = |endpoint| EndpointEntry {
        started_at: listed_start(600 * SECOND),
        ..ready(endpoint)
    };
    let newest = EndpointEntry {
        started_at: listed_start(SECOND),
        ..ready(NEW_ENDPOINT.0)
    };
    proxy.update_list(
        ListUpdate::Full,
        (1..=WARM_COUNT).map(old).chain([newest]).collect(),
    );
    let fraction = fraction_to_new(&mut proxy, 2 * SECOND);
    assert!(
        fraction < 0.5 / f64::from(WARM_COUNT + 1),
        "{fraction} of the requests go to the newest endpoint"
    );
    assert!(
        !forwarded(&proxy.request().1).is_empty(),
        "no request is forwarded although the other endpoints are warm"
    );
}
