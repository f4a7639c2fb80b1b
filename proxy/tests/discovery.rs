//! How the proxy opens watches of the endpoint list, and replaces those that fail.

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
        wait_until("the watch is open", || {
            discovery.watch_requests.borrow().len() == 1
        })
        .await;
        // A watch may deliver a list in several chunks, with empty lines before it.
        let line = endpoint_list(
            42,
            true,
            &[endpoint_entry("s-9", endpoint.address, "Ready")],
        );
        let (first, second) = line.split_at(20);
        discovery.push(&chunk("")).await;
        discovery
            .push(&format!("{:x}\r\n{first}\r\n", first.len()))
            .await;
        discovery.push(&chunk(second)).await;
        while client.exchange(HEALTH_REQUEST).await.status() != 200 {}
        assert_eq!(
            client.exchange(&request("unsafe", "", "")).await.status(),
            200
        );
    });
}

/// A watch that ends, is rejected or delivers a list that can't be parsed has failed. The next one
/// asks for changes since the version of the current list.
#[test]
fn a_watch_that_fails_is_reopened_from_the_current_version() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let rejection = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_owned();
        let full = format!(
            "{WATCH_HEAD}{}",
            chunk(&endpoint_list(
                50,
                true,
                &[endpoint_entry("s-9", endpoint.address, "Ready")]
            ))
        );
        let bad = format!("{WATCH_HEAD}{}", chunk("{\"seq\":"));
        let unknown_state = format!(
            "{WATCH_HEAD}{}",
            chunk(&endpoint_list(
                51,
                false,
                &[endpoint_entry("s-9", endpoint.address, "Dancing")]
            ))
        );
        let ended = format!("{WATCH_HEAD}0\r\n\r\n");
        let discovery = TestDiscovery::start([
            rejection,
            format!("{full}0\r\n\r\n"),
            bad,
            unknown_state,
            ended,
        ])
        .await;
        let proxy = Proxy::start_with(&discovery, &[], WITHOUT_ENDPOINTS).await;
        wait_until("six watches were requested", || {
            discovery.watch_requests.borrow().len() == 6
        })
        .await;
        let requests = discovery.watch_requests.borrow().clone();
        let versions: Vec<&str> = requests
            .iter()
            .filter_map(|line| line.strip_prefix("GET /catalog/members?follow=1&since="))
            .filter_map(|rest| rest.strip_suffix(" HTTP/1.1"))
            .collect();
        assert_eq!(
            versions,
            ["41", "41", "50", "50", "50", "50"],
            "{requests:?}"
        );
        assert_eq!(
            proxy
                .client()
                .await
                .exchange(&request("unsafe", "", ""))
                .await
                .status(),
            200
        );
    });
}

/// A watch whose server no longer responds gets no heartbeats, and has failed after 2.5 s without
/// data. A change that it misses counts as notified 6 s after the last data. The next watch must
/// deliver the change by then, even if two requests for a watch fail before: its request must be
/// sent within 4.5 s, so that 1.5 s remain for the response.
#[test]
fn a_silent_watch_is_replaced_before_a_missed_change_counts_as_notified() {
    run_test(async {
        let partial_responses = [
            "",
            "HTTP/1.1 200 OK\r\nTransfer-Enc",
            WATCH_HEAD,
            &format!("{WATCH_HEAD}9\r\n{{\"seq\":1"),
        ];
        let cases = ["ask", "push"].into_iter().flat_map(|mode| {
            partial_responses.map(|partial_response| (mode, partial_response.to_owned()))
        });
        let cases: Vec<_> = cases
            .map(|(mode, partial_response)| {
                spawn_local(silent_watch_is_replaced(mode, partial_response))
            })
            .collect();
        for case in cases {
            case.await.expect("the case failed");
        }
    });
}

async fn silent_watch_is_replaced(mode: &str, partial_response: String) {
    let rejection = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_owned();
    let responses = [
        partial_response.clone(),
        rejection.clone(),
        rejection,
        WATCH_HEAD.to_owned(),
    ];
    let discovery = TestDiscovery::start(responses).await;
    let _proxy = Proxy::start_with(&discovery, &[], |config| {
        WITHOUT_ENDPOINTS(config);
        config["settings"]["discovery"] = mode.into();
    })
    .await;
    wait_until("the first watch is requested", || {
        discovery.watch_requests.borrow().len() == 1
    })
    .await;
    let silent_since = Instant::now();
    wait_until("the fourth watch is requested", || {
        discovery.watch_requests.borrow().len() == 4
    })
    .await;
    assert!(
        silent_since.elapsed() < Duration::from_millis(4_500),
        "{mode}, {partial_response:?}"
    );
}

/// Starts a proxy in push mode with a drain grace of 2 s and one endpoint.
async fn start_in_push_mode(discovery: &TestDiscovery, endpoint: &TestEndpoint) -> Proxy {
    Proxy::start_with(discovery, from_ref(endpoint), |config| {
        config["settings"]["discovery"] = "push".into();
        config["settings"]["invariants"]["drain_grace_us"] = 2_000_000.into();
    })
    .await
}

/// In push mode an agent on the same machine sends the endpoint lists, and a change counts as
/// notified when the agent has it, whether or not a watch is open.
/// A watch that was reset is reopened at once, and retried while the agent is unreachable, each
/// time in less than the drain grace.
#[test]
fn a_lost_watch_in_push_mode_is_reopened_within_the_drain_grace() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let draining = format!(
            "{WATCH_HEAD}{}",
            chunk(&endpoint_list(
                42,
                false,
                &[endpoint_entry("s-0", endpoint.address, "Terminating")]
            ))
        );
        let no_response = String::new();
        let discovery = TestDiscovery::start([WATCH_HEAD.to_owned(), draining]).await;
        let proxy = start_in_push_mode(&discovery, &endpoint).await;
        let mut client = proxy.client().await;
        assert_eq!(
            client.exchange(&request("free", "", "")).await.status(),
            200
        );
        let reset_at = Instant::now();
        discovery.reset();
        wait_until(
            "the idle connection to the draining endpoint is closed",
            || endpoint.open_connection_count.get() == 0,
        )
        .await;
        assert!(
            reset_at.elapsed() < Duration::from_millis(500),
            "the watch must be reopened at once"
        );

        let draining = endpoint_list(
            42,
            true,
            &[endpoint_entry("s-0", endpoint.address, "Terminating")],
        );
        let responses = [
            no_response.clone(),
            no_response.clone(),
            no_response,
            format!("{WATCH_HEAD}{}", chunk(&draining)),
        ];
        let discovery = TestDiscovery::start(responses).await;
        let _proxy = start_in_push_mode(&discovery, &endpoint).await;
        let mut last_request_at = Instant::now();
        for number in 1..=4 {
            wait_until("the next watch is requested", || {
                discovery.watch_requests.borrow().len() == number
            })
            .await;
            assert!(
                last_request_at.elapsed() < Duration::from_millis(1_200),
                "request {number} for a watch came too late"
            );
            last_request_at = Instant::now();
        }
    });
}

/// A watch that ends as soon as it is open, or delivers something other than a list, is reopened
/// only after a delay (0.1 s here).
#[test]
fn a_watch_that_ends_or_fails_at_once_is_reopened_only_after_a_delay() {
    run_test(async {
        for response in [
            format!("{WATCH_HEAD}0\r\n\r\n"),
            format!("{WATCH_HEAD}{}", chunk("no list")),
        ] {
            let discovery = TestDiscovery::start(vec![response; 20]).await;
            let endpoint = TestEndpoint::start([ok("served")]).await;
            let start = Instant::now();
            let _proxy = start_in_push_mode(&discovery, &endpoint).await;
            wait_until("five watches were requested", || {
                discovery.watch_requests.borrow().len() >= 5
            })
            .await;
            assert!(start.elapsed() >= Duration::from_millis(400));
        }
    });
}

/// In push mode the balancer never polls; the proxy must still watch its agent.
#[test]
fn a_watch_is_opened_in_push_mode_too() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let list = endpoint_list(
            42,
            true,
            &[endpoint_entry("s-9", endpoint.address, "Ready")],
        );
        let discovery = TestDiscovery::start([
            "HTTP/1.1 503 Service Unavailable\r\n\r\n".to_owned(),
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
        assert_eq!(
            client.exchange(&request("unsafe", "", "")).await.status(),
            200
        );
    });
}
