//! How long ago a server started, where the proxy's wall clock or the server's cannot be relied on.

mod common;
use balancer::*;
use common::*;

const SECOND: Micros = 1_000 * MS;
const HOUR: Micros = 3_600 * SECOND;
const WARM: u32 = 3;
const NEW: EndpointId = EndpointId(WARM + 1);

/// A proxy that has had calls for a while at warm servers and then hears of a new one with this start time.
fn hears_of_a_new_server(started_at: impl Fn(Micros) -> Micros) -> Proxy {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), WARM);
    proxy.now += 2 * HOUR;
    proxy.list(ListUpdate::Full, (1..=WARM).map(ready).collect());
    for _ in 0..40 {
        proxy.serve(50 * MS);
    }
    let started_at = started_at(proxy.now);
    proxy.list(ListUpdate::Delta, vec![EndpointEntry { started_at, ..ready(NEW.0) }]);
    proxy
}

/// How many of the calls in this time go to the new server.
fn share_of_new(proxy: &mut Proxy, time: Micros) -> f64 {
    let (end, mut requests, mut to_new) = (proxy.now + time, 0, 0);
    while proxy.now < end {
        requests += 1;
        to_new += u32::from(proxy.serve(50 * MS) == Some(NEW));
    }
    f64::from(to_new) / f64::from(requests)
}

/// With the proxy's wall clock an hour back each replaced server seems to start in an hour. It is warm after the usual time
/// all the same.
#[test]
fn a_server_that_seems_to_start_in_the_future_becomes_warm() {
    let duration = Settings::default().slow_start.duration;
    for ahead in [0, SECOND, HOUR] {
        let mut proxy = hears_of_a_new_server(|now| now + ahead);
        share_of_new(&mut proxy, duration);
        let share = share_of_new(&mut proxy, 10 * SECOND);
        assert!(share > 0.5 / f64::from(WARM + 1), "{share} of the calls, {ahead} us ahead");
    }
}
/// With the proxy's wall clock an hour ahead a server that has just started seems to have run for long. It is new in a list
/// that follows another, so it is as cold as one whose start time is right.
#[test]
fn a_server_that_is_new_in_the_list_is_cold_whatever_its_start_time_says() {
    let right = share_of_new(&mut hears_of_a_new_server(|now| now - SECOND), 2 * SECOND);
    for behind in [10 * SECOND, 60 * SECOND, HOUR] {
        let share = share_of_new(&mut hears_of_a_new_server(|now| now - behind), 2 * SECOND);
        assert!(
            share <= right + 0.1,
            "{share} of the calls, {behind} us behind, {right} with the right time"
        );
    }
}

/// A start time that changes, also to an earlier one, is that of another process: it is cold.
#[test]
fn a_start_time_that_goes_back_is_that_of_another_process() {
    let mut proxy = hears_of_a_new_server(|now| now - SECOND);
    share_of_new(&mut proxy, Settings::default().slow_start.duration + 10 * SECOND);
    let started_at = proxy.now - HOUR;
    proxy.event(Event::Heartbeat);
    proxy.list(ListUpdate::Delta, vec![EndpointEntry { started_at, ..ready(NEW.0) }]);
    let share = share_of_new(&mut proxy, 5 * SECOND);
    assert!(share < 0.5 / f64::from(WARM + 1), "{share} of the calls");
}

/// A server that leaves the list for a moment and comes back with its start time is as warm as it was.
#[test]
fn a_server_that_comes_back_to_the_list_is_not_cold() {
    let mut proxy = hears_of_a_new_server(|now| now - SECOND);
    let started_at = proxy.now - SECOND;
    share_of_new(&mut proxy, Settings::default().slow_start.duration);
    proxy.list(ListUpdate::Delta, vec![EndpointEntry { state: EndpointState::Removed, ..ready(NEW.0) }]);
    share_of_new(&mut proxy, 10 * SECOND);
    proxy.event(Event::Heartbeat);
    proxy.list(ListUpdate::Delta, vec![EndpointEntry { started_at, ..ready(NEW.0) }]);
    let share = share_of_new(&mut proxy, 10 * SECOND);
    assert!(share > 0.5 / f64::from(WARM + 1), "{share} of the calls");
}

/// Of a first list the stamps beside each other tell which servers are cold: with the clock an hour back those that started
/// long before the newest are warm all the same.
#[test]
fn in_a_first_list_with_the_clock_back_only_the_newest_is_cold() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 0);
    // One that has had no list yet.
    proxy.balancer = Balancer::new(7, settings(Idempotency::Idempotent));
    proxy.now += 2 * HOUR;
    let seems = |age: Micros| proxy.now + HOUR - age;
    let old = |endpoint| EndpointEntry { started_at: seems(600 * SECOND), ..ready(endpoint) };
    let newest = EndpointEntry { started_at: seems(SECOND), ..ready(NEW.0) };
    proxy.list(ListUpdate::Full, (1..=WARM).map(old).chain([newest]).collect());
    let share = share_of_new(&mut proxy, 2 * SECOND);
    assert!(share < 0.5 / f64::from(WARM + 1), "{share} of the calls go to the newest");
    assert!(!sent(&proxy.request().1).is_empty(), "the others are warm");
}
