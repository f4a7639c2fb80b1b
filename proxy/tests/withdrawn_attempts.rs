//! Attempts that are withdrawn before they are written, and retries of requests that may have run.

mod common;

use common::*;
use std::slice::from_ref;

/// A draining endpoint must not get new requests; what counts is when an attempt is written, not
/// when its endpoint was chosen. An attempt that still waits for its connection when the proxy is
/// notified of the drain must not be written there later; the request must go to another endpoint
/// at once.
#[test]
fn an_unwritten_attempt_is_withdrawn_when_its_endpoint_drains() {
    run_test(async {
        let (full_endpoint, _backlog, listener) = endpoint_with_full_backlog().await;
        let other = TestEndpoint::start([ok("served")]).await;
        let discovery = TestDiscovery::without_updates().await;
        let proxy = Proxy::start_with(&discovery, from_ref(&full_endpoint), |config| {
            config["settings"]["limits"]["connect_timeout_us"] = 20_000_000.into();
        })
        .await;
        let mut client = proxy.client().await;
        client.send(&request("unsafe", "", "")).await;
        wait_until("the watch is open", || {
            discovery.watch_requests.borrow().len() == 1
        })
        .await;
        // A health request sent later has a response, so the proxy has read the first request.
        assert_eq!(
            proxy.client().await.exchange(HEALTH_REQUEST).await.status(),
            200
        );
        let endpoints = [
            endpoint_entry("s-0", full_endpoint.address, "Terminating"),
            endpoint_entry("s-1", other.address, "Ready"),
        ];
        discovery
            .push(&chunk(&endpoint_list(42, false, &endpoints)))
            .await;
        assert_eq!(client.receive().await.expect("no response").status(), 200);
        assert_eq!(other.request_count(), 1);
        drop(listener);
    });
}

/// A withdrawn attempt is reported as never run, so the connection's task must not write it, even
/// if the attempt was handed to the task before.
#[test]
fn an_attempt_withdrawn_before_its_task_runs_is_not_written() {
    run_test(async {
        let (draining_endpoint, other) = (
            TestEndpoint::start([ok("draining")]).await,
            TestEndpoint::start([ok("other")]).await,
        );
        let discovery = TestDiscovery::without_updates().await;
        let proxy = Proxy::start_with(&discovery, from_ref(&draining_endpoint), |_| ()).await;
        let mut client = proxy.client().await;
        assert_eq!(
            client.exchange(&request("unsafe", "", "")).await.body,
            b"draining"
        );
        wait_until("the watch is open", || {
            discovery.watch_requests.borrow().len() == 1
        })
        .await;
        let endpoints = [
            endpoint_entry("s-0", draining_endpoint.address, "Terminating"),
            endpoint_entry("s-1", other.address, "Ready"),
        ];
        let list = chunk(&endpoint_list(42, false, &endpoints));
        // Both arrive before the proxy runs again, the request first. Its attempt is handed to the
        // connection's task, which runs only after the list has been applied.
        client.send(&request("unsafe", "", "")).await;
        discovery.push(&list).await;
        assert_eq!(client.receive().await.expect("no response").body, b"other");
        assert_eq!(
            (draining_endpoint.request_count(), other.request_count()),
            (1, 1)
        );
    });
}

/// A request may have run if its connection breaks after it was completely written. If its class
/// forbids retries, it must not be retried and its client must get a 502, which does not advise a
/// retry; otherwise it must be retried at once.
#[test]
fn a_request_that_may_have_run_is_retried_only_if_its_class_allows() {
    run_test(async {
        for requests_before in [0, 1] {
            for (class, status) in [("free", 200), ("keyed", 200), ("unsafe", 502)] {
                let earlier_responses = vec![ok("before"); requests_before];
                let breaking = TestEndpoint::start(
                    earlier_responses
                        .into_iter()
                        .chain([ScriptedResponse::WriteAndClose(String::new())]),
                )
                .await;
                let endpoints = [breaking, TestEndpoint::start([ok("good")]).await];
                let proxy = Proxy::start(&endpoints).await;
                let mut client = proxy.client().await;
                let response = loop {
                    let served_before = endpoints[1].request_count();
                    let response = client.exchange(&request(class, "", "")).await;
                    if endpoints[0].request_count() > requests_before {
                        let retries = endpoints[0].request_count() - requests_before - 1
                            + endpoints[1].request_count()
                            - served_before;
                        assert_eq!(
                            retries,
                            usize::from(status == 200),
                            "{class}, requests before: {requests_before}"
                        );
                        break response;
                    }
                };
                assert_eq!(
                    response.status(),
                    status,
                    "{class}, requests before: {requests_before}"
                );
            }
        }
    });
}

/// An attempt that still waits for its connection when its client disconnects must not be written
/// once the connection opens, even if the settings do not allow attempts to be cancelled.
#[test]
fn an_unwritten_attempt_is_withdrawn_when_its_client_disconnects() {
    run_test(async {
        let (full_endpoint, backlog, listener) = endpoint_with_full_backlog().await;
        let proxy = Proxy::start_with(
            &TestDiscovery::without_updates().await,
            from_ref(&full_endpoint),
            |config| {
                config["settings"]["limits"]["connect_timeout_us"] = 20_000_000.into();
                config["settings"]["limits"]["cancel"] = false.into();
            },
        )
        .await;
        let mut client = proxy.client().await;
        client.send(&request("unsafe", "", "the first")).await;
        assert_eq!(
            proxy.client().await.exchange(HEALTH_REQUEST).await.status(),
            200
        );
        drop(client);
        let mut client = proxy.client().await;
        client.send(&request("unsafe", "", "the second")).await;
        assert_eq!(
            proxy.client().await.exchange(HEALTH_REQUEST).await.status(),
            200
        );
        // Both connections open now, that of the first request before that of the second.
        let endpoint = TestEndpoint::on_listener(listener, [ok("served")]);
        drop(backlog);
        assert_eq!(client.receive().await.expect("no response").status(), 200);
        let bodies: Vec<_> = endpoint
            .requests
            .borrow()
            .iter()
            .map(|message| message.body.clone())
            .collect();
        assert_eq!(bodies, [b"the second"]);
    });
}

/// An endpoint whose address has changed must get no new requests at the old one, where another
/// endpoint may listen now. Requests in flight there complete.
#[test]
fn an_endpoint_with_a_new_address_gets_new_requests_only_there() {
    run_test(async {
        let (old, new) = (
            TestEndpoint::start([ScriptedResponse::Stall, ok("old")]).await,
            TestEndpoint::start([ok("new")]).await,
        );
        let discovery = TestDiscovery::without_updates().await;
        let proxy = Proxy::start_with(&discovery, from_ref(&old), |_| ()).await;
        let (mut client, mut busy) = (proxy.client().await, proxy.client().await);
        busy.send(&request("unsafe", "", "")).await;
        wait_until("the endpoint has the request", || old.request_count() == 1).await;
        assert_eq!(
            client.exchange(&request("unsafe", "", "")).await.body,
            b"old"
        );
        discovery
            .push(&chunk(&endpoint_list(
                42,
                false,
                &[endpoint_entry("s-0", new.address, "Ready")],
            )))
            .await;
        wait_until("the idle connection to the old address is closed", || {
            old.open_connection_count.get() == 1
        })
        .await;
        assert_eq!(
            client.exchange(&request("unsafe", "", "")).await.body,
            b"new"
        );
        old.release.notify_one();
        assert_eq!(busy.receive().await.expect("no response").body, b"released");
        wait_until("the last connection to the old address is closed", || {
            old.open_connection_count.get() == 0
        })
        .await;
        assert_eq!(
            client.exchange(&request("unsafe", "", "")).await.body,
            b"new"
        );
    });
}
