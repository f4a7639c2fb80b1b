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
        let endpoint =
            TestEndpoint::start([ScriptedResponse::WriteAndClose(last.to_owned())]).await;
        let proxy = Proxy::start(from_ref(&endpoint)).await;
        let mut client = proxy.client().await;
        for count in 1..=5 {
            assert_eq!(
                client.exchange(&request("unsafe", "", "")).await.status(),
                200
            );
            wait_until("the endpoint has closed the connection", || {
                endpoint.open_connections.get() == 0
            })
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
        let endpoint = TestEndpoint::start([
            ok("one"),
            ScriptedResponse::WriteAndClose(String::new()),
            ok("three"),
        ])
        .await;
        let proxy = Proxy::start(from_ref(&endpoint)).await;
        let mut client = proxy.client().await;
        assert_eq!(
            client.exchange(&request("keyed", "", "")).await.body,
            b"one"
        );
        assert_eq!(
            client.exchange(&request("keyed", "", "")).await.body,
            b"three"
        );
        assert_eq!(
            (endpoint.request_count(), endpoint.opened_connections.get()),
            (3, 2)
        );
    });
}

/// More bytes than belong to a response make its connection useless; a later request must not get
/// them.
#[test]
fn bytes_behind_a_response_are_discarded() {
    run_test(async {
        let double = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirstHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
        let endpoint =
            TestEndpoint::start([ScriptedResponse::Write(double.to_owned()), ok("right")]).await;
        let proxy = Proxy::start(from_ref(&endpoint)).await;
        let mut client = proxy.client().await;
        assert_eq!(
            client.exchange(&request("unsafe", "", "")).await.body,
            b"first"
        );
        wait_until("the connection is closed", || {
            endpoint.open_connections.get() == 0
        })
        .await;
        assert_eq!(
            client.exchange(&request("unsafe", "", "")).await.body,
            b"right"
        );
    });
}

/// A second response may arrive some milliseconds behind the first: until then the connection
/// carries no other request, which would get it.
#[test]
fn a_connection_stays_idle_before_its_next_request() {
    run_test(async {
        let (endpoint, listener) = manual_endpoint().await;
        let proxy = Proxy::start(from_ref(&endpoint)).await;
        let mut client = proxy.client().await;
        client.send(&request("unsafe", "", "")).await;
        let mut connection =
            MessageReader::new(listener.accept().await.expect("the proxy connects").0);
        connection.message().await.expect("a request");
        let first = ok_response("first");
        let responded = Instant::now();
        connection.send(&first).await;
        assert_eq!(client.message().await.expect("a response").body, b"first");
        client.send(&request("unsafe", "", "")).await;
        connection
            .message()
            .await
            .expect("the next request on the same connection");
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
            TestEndpoint::start([ScriptedResponse::Write(format!("{early}{final_response}"))])
                .await;
        let proxy = Proxy::start(from_ref(&endpoint)).await;
        let mut client = proxy.client().await;
        for _ in 0..3 {
            assert_eq!(
                client.exchange(&request("unsafe", "", "")).await.body,
                b"served"
            );
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
        let proxy = Proxy::start_with(
            &TestDiscovery::without_updates().await,
            from_ref(&endpoint),
            |config| {
                config["settings"]["limits"]["conn_idle_us"] = 2_000_000.into();
            },
        )
        .await;
        assert_eq!(
            proxy
                .client()
                .await
                .exchange(&request("free", "", ""))
                .await
                .status(),
            200
        );
        wait_until("it is closed", || endpoint.open_connections.get() == 0).await;
    });
}

/// Nor is one reused that is past its idle timeout and not yet closed: a periodic check would
/// leave a gap.
#[test]
fn a_connection_past_its_idle_timeout_is_not_reused() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let proxy = Proxy::start_with(
            &TestDiscovery::without_updates().await,
            from_ref(&endpoint),
            |config| {
                config["settings"]["limits"]["conn_idle_us"] = 0.into();
            },
        )
        .await;
        let mut client = proxy.client().await;
        for _ in 0..3 {
            assert_eq!(
                client.exchange(&request("free", "", "")).await.status(),
                200
            );
        }
        assert_eq!(endpoint.opened_connections.get(), 3);
    });
}

/// A connection that does not open in time proves that the request never ran: it may go to another
/// endpoint.
#[test]
fn the_time_to_open_a_connection_is_bounded() {
    run_test(async {
        let (stuck, _full, _listener) = endpoint_with_full_backlog().await;
        let other = TestEndpoint::start([ok("served")]).await;
        let proxy = Proxy::start_with(
            &TestDiscovery::without_updates().await,
            &[stuck, other.clone()],
            |config| {
                config["settings"]["limits"]["connect_timeout_us"] = 50_000.into();
            },
        )
        .await;
        let mut client = proxy.client().await;
        for _ in 0..6 {
            assert_eq!(
                client.exchange(&request("unsafe", "", "")).await.status(),
                200
            );
        }
        assert_eq!(other.request_count(), 6);
    });
}

/// The limit on sockets applies to endpoints too: a request beyond it ends, and no descriptor is
/// opened for it.
#[test]
fn connections_to_endpoints_stay_under_the_limit() {
    run_test(async {
        let mut endpoints = Vec::new();
        for _ in 0..24 {
            endpoints.push(TestEndpoint::start([ok("served")]).await);
        }
        let proxy = Proxy::start_with(
            &TestDiscovery::without_updates().await,
            &endpoints,
            |config| {
                config["limits"]["sockets"] = 64.into();
            },
        )
        .await;
        let mut client = proxy.client().await;
        for _ in 0..200 {
            assert_eq!(
                client.exchange(&request("free", "", "")).await.status(),
                200
            );
            let open: usize = endpoints
                .iter()
                .map(|endpoint| endpoint.open_connections.get())
                .sum();
            assert!(
                open <= 13,
                "{open}: 12, and one whose close has not arrived"
            );
        }
    });
}
