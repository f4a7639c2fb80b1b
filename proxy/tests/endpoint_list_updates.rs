//! How the proxy applies a new endpoint list.

mod common;

use common::*;
use std::slice::from_ref;

const WITHOUT_ENDPOINTS: fn(&mut serde_json::Value) =
    |config| config["known"]["hosts"] = serde_json::json!([]);

/// The JSON of a list may be indented and span several lines.
#[test]
fn an_indented_list_is_parsed() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let flat = endpoint_list(
            42,
            true,
            &[endpoint_entry("s-9", endpoint.address, "Ready")],
        );
        let value: serde_json::Value = serde_json::from_str(&flat).expect("the list is not JSON");
        let indented = serde_json::to_string_pretty(&value).expect("cannot serialize the list");
        let discovery = TestDiscovery::without_updates().await;
        let proxy = Proxy::start_with(&discovery, &[], WITHOUT_ENDPOINTS).await;
        wait_until("the watch is open", || {
            discovery.watch_requests.borrow().len() == 1
        })
        .await;
        let lines: String = indented.lines().map(chunk).collect();
        discovery.push(&lines).await;
        let mut client = proxy.client().await;
        while client.exchange(HEALTH_REQUEST).await.status() != 200 {}
        assert_eq!(
            client.exchange(&request("unsafe", "", "")).await.status(),
            200
        );
    });
}

/// A removed endpoint gets no more requests, and idle connections to it are closed. An endpoint at
/// the same address under another name is another endpoint.
#[test]
fn a_removed_endpoint_gets_no_requests() {
    run_test(async {
        let (old, new) = (
            TestEndpoint::start([ok("old")]).await,
            TestEndpoint::start([ok("new")]).await,
        );
        let discovery = TestDiscovery::without_updates().await;
        let proxy = Proxy::start_with(&discovery, from_ref(&old), |_| ()).await;
        let mut client = proxy.client().await;
        assert_eq!(
            client.exchange(&request("unsafe", "", "")).await.body,
            b"old"
        );
        let endpoints = [
            endpoint_entry("s-0", old.address, "Gone"),
            endpoint_entry("s-1", new.address, "Ready"),
        ];
        discovery
            .push(&chunk(&endpoint_list(42, false, &endpoints)))
            .await;
        wait_until("the idle connection to the endpoint is closed", || {
            old.open_connection_count.get() == 0
        })
        .await;
        for _ in 0..5 {
            assert_eq!(
                client.exchange(&request("unsafe", "", "")).await.body,
                b"new"
            );
        }
        discovery
            .push(&chunk(&endpoint_list(
                43,
                true,
                &[endpoint_entry("s-2", old.address, "Ready")],
            )))
            .await;
        wait_until("the full list has replaced the previous one", || {
            new.open_connection_count.get() == 0
        })
        .await;
        assert_eq!(
            client.exchange(&request("unsafe", "", "")).await.body,
            b"old"
        );
    });
}

/// A draining endpoint that becomes ready again gets requests again. If one list has both states of
/// an endpoint, the last one applies.
#[test]
fn an_endpoint_that_is_ready_again_gets_requests_again() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let discovery = TestDiscovery::without_updates().await;
        let proxy = Proxy::start_with(&discovery, from_ref(&endpoint), |_| ()).await;
        let mut client = proxy.client().await;
        wait_until("the watch is open", || {
            discovery.watch_requests.borrow().len() == 1
        })
        .await;
        let entries = |states: &[&str]| -> Vec<_> {
            states
                .iter()
                .map(|state| endpoint_entry("s-0", endpoint.address, state))
                .collect()
        };
        let drained = "the idle connection to the endpoint is closed";
        assert_eq!(
            client.exchange(&request("unsafe", "", "")).await.status(),
            200
        );
        discovery
            .push(&chunk(&endpoint_list(
                42,
                false,
                &entries(&["Terminating"]),
            )))
            .await;
        wait_until(drained, || endpoint.open_connection_count.get() == 0).await;
        discovery
            .push(&chunk(&endpoint_list(43, false, &entries(&["Ready"]))))
            .await;
        assert_eq!(
            client.exchange(&request("unsafe", "", "")).await.status(),
            200
        );
        discovery
            .push(&chunk(&endpoint_list(
                44,
                false,
                &entries(&["Terminating", "Ready"]),
            )))
            .await;
        assert_eq!(
            client.exchange(&request("unsafe", "", "")).await.status(),
            200
        );
        discovery
            .push(&chunk(&endpoint_list(
                45,
                false,
                &entries(&["Ready", "Terminating"]),
            )))
            .await;
        wait_until(drained, || endpoint.open_connection_count.get() == 0).await;
    });
}

/// The numbers of proxies and endpoints grow with the fleet; 2,000 of each must be supported.
#[test]
fn two_thousand_proxies_and_endpoints_are_supported() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let discovery = TestDiscovery::without_updates().await;
        let proxy = Proxy::start_with(&discovery, &[], |config| {
            WITHOUT_ENDPOINTS(config);
            config["settings"]["balancers"] = 2_000.into();
            config["settings"]["me"] = 1_999.into();
            config["peers"] = (1..=2_000)
                .map(|port| format!("127.0.0.1:{port}"))
                .collect();
        })
        .await;
        let entries: Vec<_> = (0..2_000)
            .map(|number| endpoint_entry(&format!("s-{number}"), endpoint.address, "Ready"))
            .collect();
        wait_until("the watch is open", || {
            discovery.watch_requests.borrow().len() == 1
        })
        .await;
        discovery
            .push(&chunk(&endpoint_list(42, true, &entries)))
            .await;
        let mut client = proxy.client().await;
        while client.exchange(HEALTH_REQUEST).await.status() != 200 {}
        for _ in 0..20 {
            assert_eq!(
                client.exchange(&request("unsafe", "", "")).await.status(),
                200
            );
        }
        // The list removes all endpoints but the last at once.
        let removed: Vec<_> = (0..1_999)
            .map(|number| endpoint_entry(&format!("s-{number}"), endpoint.address, "Gone"))
            .collect();
        discovery
            .push(&chunk(&endpoint_list(43, false, &removed)))
            .await;
        for _ in 0..20 {
            assert_eq!(
                client.exchange(&request("unsafe", "", "")).await.status(),
                200
            );
        }
    });
}
