//! The endpoint list as a watch delivers it.

mod common;

use common::*;
use std::slice::from_ref;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;

const WITHOUT_ENDPOINTS: fn(&mut serde_json::Value) =
    |config| config["known"]["hosts"] = serde_json::json!([]);

#[test]
fn a_proxy_is_ready_only_once_it_has_an_endpoint_list() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let discovery = TestDiscovery::without_updates().await;
        let proxy = Proxy::start_with(&discovery, &[], WITHOUT_ENDPOINTS).await;
        let mut client = proxy.client().await;
        assert_eq!(client.exchange(HEALTH_REQUEST).await.status(), 503);
        wait_until("the watch is open", || discovery.watch_requests.borrow().len() == 1).await;
        // In two pieces and with an empty line before it, as a watch may deliver it.
        let line = list(42, true, &[entry("s-9", endpoint.address, "Ready")]);
        let (first, second) = line.split_at(20);
        discovery.push(&chunk("")).await;
        discovery.push(&format!("{:x}\r\n{first}\r\n", first.len())).await;
        discovery.push(&chunk(second)).await;
        while client.exchange(HEALTH_REQUEST).await.status() != 200 {}
        assert_eq!(client.exchange(&request("unsafe", "", "")).await.status(), 200);
    });
}

/// A watch that ends, is rejected, or delivers what can't be parsed has failed; the next one
/// begins at the version of the current list.
#[test]
fn a_watch_that_fails_is_reopened_from_the_current_version() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let rejection = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_owned();
        let full =
            format!("{WATCH_HEAD}{}", chunk(&list(50, true, &[entry("s-9", endpoint.address, "Ready")])));
        let bad = format!("{WATCH_HEAD}{}", chunk("{\"seq\":"));
        let unknown_state =
            format!("{WATCH_HEAD}{}", chunk(&list(51, false, &[entry("s-9", endpoint.address, "Dancing")])));
        let ended = format!("{WATCH_HEAD}0\r\n\r\n");
        let discovery =
            TestDiscovery::start([rejection, format!("{full}0\r\n\r\n"), bad, unknown_state, ended]).await;
        let proxy = Proxy::start_with(&discovery, &[], WITHOUT_ENDPOINTS).await;
        wait_until("six watches", || discovery.watch_requests.borrow().len() == 6).await;
        let requests = discovery.watch_requests.borrow().clone();
        let versions: Vec<&str> = requests
            .iter()
            .filter_map(|line| line.strip_prefix("GET /catalog/members?follow=1&since="))
            .filter_map(|rest| rest.strip_suffix(" HTTP/1.1"))
            .collect();
        assert_eq!(versions, ["41", "41", "50", "50", "50", "50"], "{requests:?}");
        assert_eq!(proxy.client().await.exchange(&request("unsafe", "", "")).await.status(), 200);
    });
}

/// A watch whose machine has vanished stays silent: without heartbeats it has failed. A change
/// that it misses counts as notified 6 s after it fell silent, and the next watch has to deliver
/// it by then, also where two requests for it fail.
#[test]
fn a_silent_watch_is_replaced_in_time() {
    run_test(async {
        let beginnings =
            ["", "HTTP/1.1 200 OK\r\nTransfer-Enc", WATCH_HEAD, &format!("{WATCH_HEAD}9\r\n{{\"seq\":1")];
        let cases =
            ["ask", "push"].into_iter().flat_map(|mode| beginnings.map(|begun| (mode, begun.to_owned())));
        let cases: Vec<_> =
            cases.map(|(mode, begun)| spawn_local(silent_watch_is_replaced(mode, begun))).collect();
        for case in cases {
            case.await.expect("replaced in time");
        }
    });
}

async fn silent_watch_is_replaced(mode: &str, begun: String) {
    let rejection = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n".to_owned();
    let responses = [begun.clone(), rejection.clone(), rejection, WATCH_HEAD.to_owned()];
    let discovery = TestDiscovery::start(responses).await;
    let _proxy = Proxy::start_with(&discovery, &[], |config| {
        WITHOUT_ENDPOINTS(config);
        config["settings"]["discovery"] = mode.into();
    })
    .await;
    wait_until("the first watch", || discovery.watch_requests.borrow().len() == 1).await;
    let silent = Instant::now();
    wait_until("the fourth watch", || discovery.watch_requests.borrow().len() == 4).await;
    assert!(silent.elapsed() < Duration::from_millis(4_500), "{mode}, {begun:?}");
}

/// A proxy of a pushed list with a drain grace of 2 s and one endpoint.
async fn start_with_pushed_list(discovery: &TestDiscovery, endpoint: &TestEndpoint) -> Proxy {
    Proxy::start_with(discovery, from_ref(endpoint), |config| {
        config["settings"]["discovery"] = "push".into();
        config["settings"]["invariants"]["drain_grace_us"] = 2_000_000.into();
    })
    .await
}

/// What the agent has counts as notified whether or not a watch is open: one that was reset is
/// reopened at once, and retried while the agent is unreachable, each time in less than the drain
/// grace.
#[test]
fn a_watch_of_a_pushed_list_is_reopened_within_the_drain_grace() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let draining = format!(
            "{WATCH_HEAD}{}",
            chunk(&list(42, false, &[entry("s-0", endpoint.address, "Terminating")]))
        );
        let silence = String::new();
        let discovery = TestDiscovery::start([WATCH_HEAD.to_owned(), draining]).await;
        let proxy = start_with_pushed_list(&discovery, &endpoint).await;
        let mut client = proxy.client().await;
        assert_eq!(client.exchange(&request("free", "", "")).await.status(), 200);
        let reset = Instant::now();
        discovery.reset();
        wait_until("its idle connection is closed", || endpoint.open_connections.get() == 0).await;
        assert!(reset.elapsed() < Duration::from_millis(500), "at once");

        let draining = list(42, true, &[entry("s-0", endpoint.address, "Terminating")]);
        let responses =
            [silence.clone(), silence.clone(), silence, format!("{WATCH_HEAD}{}", chunk(&draining))];
        let discovery = TestDiscovery::start(responses).await;
        let _proxy = start_with_pushed_list(&discovery, &endpoint).await;
        let mut last = Instant::now();
        for number in 1..=4 {
            wait_until("one more request", || discovery.watch_requests.borrow().len() == number).await;
            assert!(last.elapsed() < Duration::from_millis(1_200), "request {number}");
            last = Instant::now();
        }
    });
}

/// A watch that ends as soon as it is open, or delivers what is no list, is not reopened without a
/// delay (0.1 s here).
#[test]
fn a_watch_that_ends_at_once_is_reopened_with_a_delay() {
    run_test(async {
        for response in [format!("{WATCH_HEAD}0\r\n\r\n"), format!("{WATCH_HEAD}{}", chunk("no list"))] {
            let discovery = TestDiscovery::start(vec![response; 20]).await;
            let endpoint = TestEndpoint::start([ok("served")]).await;
            let start = Instant::now();
            let _proxy = start_with_pushed_list(&discovery, &endpoint).await;
            wait_until("five requests", || discovery.watch_requests.borrow().len() >= 5).await;
            assert!(start.elapsed() >= Duration::from_millis(400));
        }
    });
}

/// Lists may be indented, over several lines.
#[test]
fn an_indented_list_is_parsed() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let flat = list(42, true, &[entry("s-9", endpoint.address, "Ready")]);
        let value: serde_json::Value = serde_json::from_str(&flat).expect("an object");
        let indented = serde_json::to_string_pretty(&value).expect("text");
        let discovery = TestDiscovery::without_updates().await;
        let proxy = Proxy::start_with(&discovery, &[], WITHOUT_ENDPOINTS).await;
        wait_until("the watch is open", || discovery.watch_requests.borrow().len() == 1).await;
        let lines: String = indented.lines().map(chunk).collect();
        discovery.push(&lines).await;
        let mut client = proxy.client().await;
        while client.exchange(HEALTH_REQUEST).await.status() != 200 {}
        assert_eq!(client.exchange(&request("unsafe", "", "")).await.status(), 200);
    });
}

/// A removed endpoint gets nothing more, and idle connections to it are closed; an endpoint at its
/// address under another name is another endpoint.
#[test]
fn a_removed_endpoint_gets_no_requests() {
    run_test(async {
        let (old, new) = (TestEndpoint::start([ok("old")]).await, TestEndpoint::start([ok("new")]).await);
        let discovery = TestDiscovery::without_updates().await;
        let proxy = Proxy::start_with(&discovery, from_ref(&old), |_| ()).await;
        let mut client = proxy.client().await;
        assert_eq!(client.exchange(&request("unsafe", "", "")).await.body, b"old");
        let endpoints = [entry("s-0", old.address, "Gone"), entry("s-1", new.address, "Ready")];
        discovery.push(&chunk(&list(42, false, &endpoints))).await;
        wait_until("its idle connection is closed", || old.open_connections.get() == 0).await;
        for _ in 0..5 {
            assert_eq!(client.exchange(&request("unsafe", "", "")).await.body, b"new");
        }
        discovery.push(&chunk(&list(43, true, &[entry("s-2", old.address, "Ready")]))).await;
        wait_until("a full list replaces the one before", || new.open_connections.get() == 0).await;
        assert_eq!(client.exchange(&request("unsafe", "", "")).await.body, b"old");
    });
}

/// A draining endpoint that becomes ready again gets requests again, also where one list has both
/// of its states.
#[test]
fn an_endpoint_that_is_ready_again_gets_requests_again() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let discovery = TestDiscovery::without_updates().await;
        let proxy = Proxy::start_with(&discovery, from_ref(&endpoint), |_| ()).await;
        let mut client = proxy.client().await;
        wait_until("the watch is open", || discovery.watch_requests.borrow().len() == 1).await;
        let entries = |states: &[&str]| -> Vec<_> {
            states.iter().map(|state| entry("s-0", endpoint.address, state)).collect()
        };
        let drained = "its idle connection is closed";
        assert_eq!(client.exchange(&request("unsafe", "", "")).await.status(), 200);
        discovery.push(&chunk(&list(42, false, &entries(&["Terminating"])))).await;
        wait_until(drained, || endpoint.open_connections.get() == 0).await;
        discovery.push(&chunk(&list(43, false, &entries(&["Ready"])))).await;
        assert_eq!(client.exchange(&request("unsafe", "", "")).await.status(), 200);
        discovery.push(&chunk(&list(44, false, &entries(&["Terminating", "Ready"])))).await;
        assert_eq!(client.exchange(&request("unsafe", "", "")).await.status(), 200);
        discovery.push(&chunk(&list(45, false, &entries(&["Ready", "Terminating"])))).await;
        wait_until(drained, || endpoint.open_connections.get() == 0).await;
    });
}

/// Where lists are pushed the balancer never polls: the proxy watches its agent all the same.
#[test]
fn a_pushed_list_is_watched_too() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let list = list(42, true, &[entry("s-9", endpoint.address, "Ready")]);
        let discovery = TestDiscovery::start([
            "HTTP/1.1 503 No\r\n\r\n".to_owned(),
            format!("{WATCH_HEAD}{}", chunk(&list)),
        ])
        .await;
        let proxy = Proxy::start_with(&discovery, &[], |config| {
            WITHOUT_ENDPOINTS(config);
            config["settings"]["discovery"] = "push".into();
        })
        .await;
        let mut client = proxy.client().await;
        while client.exchange(HEALTH_REQUEST).await.status() != 200 {}
        assert_eq!(client.exchange(&request("unsafe", "", "")).await.status(), 200);
    });
}

/// Lists of proxies and endpoints are as long as the fleet is large.
#[test]
fn two_thousand_proxies_and_endpoints_are_no_limit() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let discovery = TestDiscovery::without_updates().await;
        let proxy = Proxy::start_with(&discovery, &[], |config| {
            WITHOUT_ENDPOINTS(config);
            config["settings"]["balancers"] = 2_000.into();
            config["settings"]["me"] = 1_999.into();
            config["peers"] = (1..=2_000).map(|port| format!("127.0.0.1:{port}")).collect();
        })
        .await;
        let entries: Vec<_> =
            (0..2_000).map(|number| entry(&format!("s-{number}"), endpoint.address, "Ready")).collect();
        wait_until("the watch is open", || discovery.watch_requests.borrow().len() == 1).await;
        discovery.push(&chunk(&list(42, true, &entries))).await;
        let mut client = proxy.client().await;
        while client.exchange(HEALTH_REQUEST).await.status() != 200 {}
        for _ in 0..20 {
            assert_eq!(client.exchange(&request("unsafe", "", "")).await.status(), 200);
        }
        // All but the last are removed at once.
        let removed: Vec<_> =
            (0..1_999).map(|number| entry(&format!("s-{number}"), endpoint.address, "Gone")).collect();
        discovery.push(&chunk(&list(43, false, &removed))).await;
        for _ in 0..20 {
            assert_eq!(client.exchange(&request("unsafe", "", "")).await.status(), 200);
        }
    });
}
