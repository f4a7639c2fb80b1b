//! Connections to endpoints: reused, closed, withdrawn.

mod common;

use common::*;
use std::slice::from_ref;
use std::time::{Duration, Instant};

/// A connection costs an endpoint many times a request's overhead. It must be idle again before
/// the outcome is reported: else the request that the outcome admits opens another.
#[test]
fn sequential_requests_share_one_connection() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served"), reject(), ok("served")]).await;
        let proxy = Proxy::start(from_ref(&endpoint)).await;
        let mut client = proxy.client().await;
        for _ in 0..20 {
            client.exchange(&request("keyed", "", "body")).await;
        }
        assert_eq!(endpoint.opened_connections.get(), 1);
    });
}

/// That the endpoint has closed an idle connection is no failure of the next request: nothing is
/// written on it.
#[test]
fn a_connection_closed_by_its_endpoint_is_not_reused() {
    run_test(async {
        let last = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        let endpoint = TestEndpoint::start([ScriptedResponse::WriteAndClose(last.to_owned())]).await;
        let proxy = Proxy::start(from_ref(&endpoint)).await;
        let mut client = proxy.client().await;
        for count in 1..=5 {
            assert_eq!(client.exchange(&request("unsafe", "", "")).await.status(), 200);
            wait_until("the endpoint has closed the connection", || endpoint.open_connections.get() == 0)
                .await;
            assert_eq!(endpoint.request_count(), count);
        }
    });
}

/// An endpoint may close an idle connection just as a request is written to it. An idempotent
/// request is retried at once, at the same endpoint, which is not at fault.
#[test]
fn a_reused_connection_that_breaks_does_not_eject_its_endpoint() {
    run_test(async {
        let endpoint =
            TestEndpoint::start([ok("one"), ScriptedResponse::WriteAndClose(String::new()), ok("three")])
                .await;
        let proxy = Proxy::start(from_ref(&endpoint)).await;
        let mut client = proxy.client().await;
        assert_eq!(client.exchange(&request("keyed", "", "")).await.body, b"one");
        assert_eq!(client.exchange(&request("keyed", "", "")).await.body, b"three");
        assert_eq!((endpoint.request_count(), endpoint.opened_connections.get()), (3, 2));
    });
}

/// More bytes than belong to a response make its connection useless; a later request must not get
/// them.
#[test]
fn bytes_behind_a_response_are_discarded() {
    run_test(async {
        let double = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirstHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
        let endpoint = TestEndpoint::start([ScriptedResponse::Write(double.to_owned()), ok("right")]).await;
        let proxy = Proxy::start(from_ref(&endpoint)).await;
        let mut client = proxy.client().await;
        assert_eq!(client.exchange(&request("unsafe", "", "")).await.body, b"first");
        wait_until("the connection is closed", || endpoint.open_connections.get() == 0).await;
        assert_eq!(client.exchange(&request("unsafe", "", "")).await.body, b"right");
    });
}

/// A second response may arrive some milliseconds behind the first: until then the connection
/// carries no other request, which would get it.
#[test]
fn a_connection_settles_before_its_next_request() {
    run_test(async {
        let (endpoint, listener) = manual_endpoint().await;
        let proxy = Proxy::start(from_ref(&endpoint)).await;
        let mut client = proxy.client().await;
        client.send(&request("unsafe", "", "")).await;
        let mut connection = MessageReader::new(listener.accept().await.expect("the proxy connects").0);
        connection.message().await.expect("a request");
        let first = ok_response("first");
        let responded = Instant::now();
        connection.send(&first).await;
        assert_eq!(client.message().await.expect("a response").body, b"first");
        client.send(&request("unsafe", "", "")).await;
        connection.message().await.expect("the next request on the same connection");
        assert!(responded.elapsed() >= Duration::from_millis(10));
    });
}

/// Informational responses (1xx) are skipped, and the final response is forwarded.
#[test]
fn informational_responses_are_skipped() {
    run_test(async {
        let early = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n";
        let final_response = ok_response("served");
        let endpoint =
            TestEndpoint::start([ScriptedResponse::Write(format!("{early}{final_response}"))]).await;
        let proxy = Proxy::start(from_ref(&endpoint)).await;
        let mut client = proxy.client().await;
        for _ in 0..3 {
            assert_eq!(client.exchange(&request("unsafe", "", "")).await.body, b"served");
        }
        assert_eq!(endpoint.opened_connections.get(), 1);
    });
}

/// Idle connections are closed before the endpoint closes them: a request that crosses the
/// endpoint's close is lost.
#[test]
fn an_idle_connection_is_closed_before_its_endpoint_closes_it() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let proxy =
            Proxy::start_with(&TestDiscovery::without_updates().await, from_ref(&endpoint), |config| {
                config["settings"]["limits"]["conn_idle_us"] = 2_000_000.into();
            })
            .await;
        assert_eq!(proxy.client().await.exchange(&request("free", "", "")).await.status(), 200);
        wait_until("it is closed", || endpoint.open_connections.get() == 0).await;
    });
}

/// Nor is one reused that is past its idle timeout and not yet closed: a periodic check would
/// leave a gap.
#[test]
fn a_connection_past_its_idle_timeout_is_not_reused() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let proxy =
            Proxy::start_with(&TestDiscovery::without_updates().await, from_ref(&endpoint), |config| {
                config["settings"]["limits"]["conn_idle_us"] = 0.into();
            })
            .await;
        let mut client = proxy.client().await;
        for _ in 0..3 {
            assert_eq!(client.exchange(&request("free", "", "")).await.status(), 200);
        }
        assert_eq!(endpoint.opened_connections.get(), 3);
    });
}

/// An attempt counts when it is written. One that still waits for its connection when the proxy is
/// notified that its endpoint is draining must not be written there later; it goes to another
/// endpoint at once.
#[test]
fn an_unwritten_attempt_is_withdrawn_when_its_endpoint_drains() {
    run_test(async {
        let (stuck, _full, listener) = endpoint_with_full_backlog().await;
        let other = TestEndpoint::start([ok("served")]).await;
        let discovery = TestDiscovery::without_updates().await;
        let proxy = Proxy::start_with(&discovery, from_ref(&stuck), |config| {
            config["settings"]["limits"]["connect_timeout_us"] = 20_000_000.into();
        })
        .await;
        let mut client = proxy.client().await;
        client.send(&request("unsafe", "", "")).await;
        wait_until("the watch is open", || discovery.watch_requests.borrow().len() == 1).await;
        // Sent later and answered: the proxy has read the request before.
        assert_eq!(proxy.client().await.exchange(HEALTH_REQUEST).await.status(), 200);
        let endpoints = [entry("s-0", stuck.address, "Terminating"), entry("s-1", other.address, "Ready")];
        discovery.push(&chunk(&list(42, false, &endpoints))).await;
        assert_eq!(client.message().await.expect("a response").status(), 200);
        assert_eq!(other.request_count(), 1);
        drop(listener);
    });
}

/// A withdrawn attempt is reported as never run: it must not be written by a task that already has
/// it.
#[test]
fn an_attempt_withdrawn_before_its_task_runs_is_not_written() {
    run_test(async {
        let (leaving, other) =
            (TestEndpoint::start([ok("leaving")]).await, TestEndpoint::start([ok("other")]).await);
        let discovery = TestDiscovery::without_updates().await;
        let proxy = Proxy::start_with(&discovery, from_ref(&leaving), |_| ()).await;
        let mut client = proxy.client().await;
        assert_eq!(client.exchange(&request("unsafe", "", "")).await.body, b"leaving");
        wait_until("the watch is open", || discovery.watch_requests.borrow().len() == 1).await;
        let endpoints = [entry("s-0", leaving.address, "Terminating"), entry("s-1", other.address, "Ready")];
        let list = chunk(&list(42, false, &endpoints));
        // Both arrive in one turn of the proxy's loop, the request first: it is given to its
        // connection's task, which runs only after the list.
        client.send(&request("unsafe", "", "")).await;
        discovery.push(&list).await;
        assert_eq!(client.message().await.expect("a response").body, b"other");
        assert_eq!((leaving.request_count(), other.request_count()), (1, 1));
    });
}

/// A connection breaks once the request is fully written: it may have run. A request whose class
/// forbids it is not retried, and its client is not advised to retry; others are retried at once.
#[test]
fn a_request_that_may_have_run_is_retried_only_if_its_class_allows() {
    run_test(async {
        for reused in [0, 1] {
            for (class, status) in [("free", 200), ("keyed", 200), ("unsafe", 502)] {
                let before = vec![ok("before"); reused];
                let breaking = TestEndpoint::start(
                    before.into_iter().chain([ScriptedResponse::WriteAndClose(String::new())]),
                )
                .await;
                let endpoints = [breaking, TestEndpoint::start([ok("good")]).await];
                let proxy = Proxy::start(&endpoints).await;
                let mut client = proxy.client().await;
                let response = loop {
                    let served_before = endpoints[1].request_count();
                    let response = client.exchange(&request(class, "", "")).await;
                    if endpoints[0].request_count() > reused {
                        let retries = endpoints[0].request_count() - reused - 1
                            + endpoints[1].request_count()
                            - served_before;
                        assert_eq!(retries, usize::from(status == 200), "{class}, {reused}");
                        break response;
                    }
                };
                assert_eq!(response.status(), status, "{class}, {reused}");
            }
        }
    });
}

/// Nothing is sent for a request that has ended, also where the settings do not allow cancelling
/// attempts: one that still waits for its connection must not be written once that opens.
#[test]
fn an_unwritten_attempt_is_withdrawn_when_its_request_ends() {
    run_test(async {
        let (stuck, full, listener) = endpoint_with_full_backlog().await;
        let proxy = Proxy::start_with(&TestDiscovery::without_updates().await, from_ref(&stuck), |config| {
            config["settings"]["limits"]["connect_timeout_us"] = 20_000_000.into();
            config["settings"]["limits"]["cancel"] = false.into();
        })
        .await;
        let mut client = proxy.client().await;
        client.send(&request("unsafe", "", "the first")).await;
        assert_eq!(proxy.client().await.exchange(HEALTH_REQUEST).await.status(), 200);
        drop(client);
        let mut client = proxy.client().await;
        client.send(&request("unsafe", "", "the second")).await;
        assert_eq!(proxy.client().await.exchange(HEALTH_REQUEST).await.status(), 200);
        // From here on connections open, the first one's before the second's.
        let endpoint = TestEndpoint::on_listener(listener, [ok("served")]);
        drop(full);
        assert_eq!(client.message().await.expect("a response").status(), 200);
        let bodies: Vec<_> = endpoint.requests.borrow().iter().map(|message| message.body.clone()).collect();
        assert_eq!(bodies, [b"the second"]);
    });
}

/// An endpoint that has moved gets nothing at its old address, where another may listen by now.
#[test]
fn an_endpoint_that_moved_gets_requests_at_its_new_address() {
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
        assert_eq!(client.exchange(&request("unsafe", "", "")).await.body, b"old");
        discovery.push(&chunk(&list(42, false, &[entry("s-0", new.address, "Ready")]))).await;
        wait_until("its idle connection closes", || old.open_connections.get() == 1).await;
        assert_eq!(client.exchange(&request("unsafe", "", "")).await.body, b"new");
        old.release.notify_one();
        assert_eq!(busy.message().await.expect("a response").body, b"released");
        wait_until("its last connection closes", || old.open_connections.get() == 0).await;
        assert_eq!(client.exchange(&request("unsafe", "", "")).await.body, b"new");
    });
}

/// A connection that does not open in time proves that the request never ran: it may go to another
/// endpoint.
#[test]
fn the_time_to_open_a_connection_is_bounded() {
    run_test(async {
        let (stuck, _full, _listener) = endpoint_with_full_backlog().await;
        let other = TestEndpoint::start([ok("served")]).await;
        let proxy =
            Proxy::start_with(&TestDiscovery::without_updates().await, &[stuck, other.clone()], |config| {
                config["settings"]["limits"]["connect_timeout_us"] = 50_000.into();
            })
            .await;
        let mut client = proxy.client().await;
        for _ in 0..6 {
            assert_eq!(client.exchange(&request("unsafe", "", "")).await.status(), 200);
        }
        assert_eq!(other.request_count(), 6);
    });
}

/// The limit on sockets holds for endpoints too: a request beyond it ends, and no descriptor is
/// opened for it.
#[test]
fn connections_to_endpoints_stay_under_the_limit() {
    run_test(async {
        let mut endpoints = Vec::new();
        for _ in 0..24 {
            endpoints.push(TestEndpoint::start([ok("served")]).await);
        }
        let proxy = Proxy::start_with(&TestDiscovery::without_updates().await, &endpoints, |config| {
            config["limits"]["sockets"] = 64.into();
        })
        .await;
        let mut client = proxy.client().await;
        for _ in 0..200 {
            assert_eq!(client.exchange(&request("free", "", "")).await.status(), 200);
            let open: usize = endpoints.iter().map(|endpoint| endpoint.open_connections.get()).sum();
            assert!(open <= 13, "{open}: 12, and one whose close has not arrived");
        }
    });
}
