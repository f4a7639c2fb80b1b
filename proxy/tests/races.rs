//! Events that happen at once on the client's and on the endpoint's side. The test acts as the
//! endpoint and thereby forces the order of the events.

mod common;

use common::*;
use socket2::{SockAddr, SockRef};
use std::net::SocketAddr;
use std::os::fd::BorrowedFd;
use std::slice::from_ref;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// Responds to every further request on a connection.
fn keep_responding(mut endpoint: TestConnection) {
    spawn_local(async move {
        while endpoint.receive().await.is_some() {
            respond_ok(&mut endpoint, "next").await;
        }
    });
}

/// Numbers of completed, rejected and failed requests over all classes. Asserts that none is
/// pending.
async fn ended_requests_with_none_pending(proxy: &Proxy) -> [u64; 3] {
    let admin = proxy.admin.expect("no address for operators");
    assert_eq!(metrics(admin).await["pending"], 0);
    ended_requests(admin).await
}

/// Starts a proxy and a client whose request is in flight. Returns them with the listener of the
/// endpoint and its connection on which the request was read.
async fn start_request_in_flight(
    text: &str,
) -> (Proxy, TestConnection, TcpListener, TestConnection) {
    let (endpoint, listener) = manual_endpoint().await;
    let proxy = Proxy::start_with(
        &TestDiscovery::without_updates().await,
        from_ref(&endpoint),
        set_admin,
    )
    .await;
    let mut client = proxy.client().await;
    client.send(text).await;
    let mut endpoint = accept(&listener).await;
    endpoint.receive().await.expect("no request");
    (proxy, client, listener, endpoint)
}

/// The response has arrived and the request's deadline has passed before the proxy handles either
/// event. The response must be forwarded or dropped completely: the client gets one final response,
/// which must not make a non-idempotent request look as if it had not run, and the next request on
/// the same connection gets its own response.
#[test]
fn a_response_that_arrives_at_its_deadline_is_forwarded_or_dropped_completely() {
    for (class, status_if_dropped) in [("unsafe", 502), ("keyed", 502), ("free", 503)] {
        run_test(async {
            let text = request(class, "", "").replace("8000", "500");
            let (proxy, mut client, listener, endpoint) = start_request_in_flight(&text).await;
            endpoint.stream.writable().await.expect("not writable");
            // Blocks the thread, so that the proxy, which runs on the same thread, does not run
            // until the deadline has passed and the response is written.
            std::thread::sleep(Duration::from_millis(510));
            let late = ok_response("late");
            write_once_writable(&endpoint, &late).await;
            keep_responding(endpoint);
            let others = TestEndpoint::on_listener(listener, [ok("next")]);
            let response = client.receive().await.expect("no response");
            let is_forwarded = response.status() == 200 && response.body == b"late";
            assert!(
                is_forwarded || response.status() == status_if_dropped,
                "{class}: {response:?}"
            );
            assert_eq!(
                client.exchange(&request(class, "", "")).await.body,
                b"next",
                "{class}"
            );
            assert!(others.request_count() <= 1, "{class}");
            assert_eq!(
                ended_requests_with_none_pending(&proxy)
                    .await
                    .iter()
                    .sum::<u64>(),
                2,
                "{class}"
            );
            let metrics = metrics(proxy.admin.expect("no address for operators")).await;
            assert_eq!(
                metrics["upstream_requests"], 2,
                "{class}: the request must not be retried"
            );
        });
    }
}

/// The response arrives as its client disconnects. The request ends once and is not retried, its id
/// is free again, and no other request gets the remaining bytes of the response.
#[test]
fn a_response_that_arrives_as_its_client_disconnects_is_discarded() {
    for class in ["free", "keyed", "unsafe"] {
        run_test(async {
            let text = request(class, "", "");
            let (proxy, client, listener, endpoint) = start_request_in_flight(&text).await;
            let late = ok_response("late");
            write_once_writable(&endpoint, &late).await;
            drop(client);
            keep_responding(endpoint);
            let others = TestEndpoint::on_listener(listener, [ok("next")]);
            // The id is in use until the proxy has noticed the disconnect.
            let mut client = proxy.client().await;
            let response = loop {
                match client.exchange(&text).await {
                    response if response.status() == 409 => client = proxy.client().await,
                    response => break response,
                }
            };
            assert_eq!(response.body, b"next", "{class}");
            assert!(others.request_count() <= 1);
            assert_eq!(
                ended_requests_with_none_pending(&proxy)
                    .await
                    .iter()
                    .sum::<u64>(),
                2,
                "{class}"
            );
        });
    }
}

/// A connection may open late, after most of the client's timeout. The request is sent only then,
/// once, and advertises the time that remains when it is written, not when its endpoint was
/// selected.
#[test]
fn a_request_whose_connection_opens_late_advertises_the_remaining_time() {
    run_test(async {
        let (blocked, backlog, listener) = endpoint_with_full_backlog().await;
        let proxy = Proxy::start_with(
            &TestDiscovery::without_updates().await,
            from_ref(&blocked),
            |config| {
                config["settings"]["limits"]["connect_timeout_us"] = 20_000_000.into();
            },
        )
        .await;
        let mut client = proxy.client().await;
        client.send(&request("unsafe", "", "")).await;
        let sent_at = Instant::now();
        assert_eq!(
            proxy.client().await.exchange(HEALTH_REQUEST).await.status(),
            200
        );
        // From now on connections open; this one opens when the kernel sends its SYN again, a
        // second later.
        let endpoint = TestEndpoint::on_listener(listener, [ok("served")]);
        drop(backlog);
        wait_until("the endpoint has the request", || {
            endpoint.request_count() > 0
        })
        .await;
        assert!(
            sent_at.elapsed() > Duration::from_millis(600),
            "the connection must open late"
        );
        assert_eq!(client.receive().await.expect("no response").body, b"served");
        let advertised = endpoint.requests.borrow()[0]
            .header("x-budget-ms")
            .map(|remaining_ms| {
                remaining_ms
                    .parse::<u64>()
                    .expect("X-Budget-Ms is not a number")
            });
        assert!(
            advertised.is_some_and(|remaining_ms| remaining_ms < 7_500),
            "advertised {advertised:?} ms of a timeout of 8000 ms"
        );
        assert_eq!(endpoint.request_count(), 1);
    });
}

/// Nagle's algorithm must be off: writes that it delays would be lost if the connection is closed
/// while the peer has bytes unread.
#[test]
fn every_connection_disables_nagles_algorithm() {
    run_test(async {
        let (_proxy, client, _listener, endpoint) =
            start_request_in_flight(&request("unsafe", "", "")).await;
        for connection in [&client, &endpoint] {
            let (proxy_end, test_end) = (
                connection.stream.peer_addr().expect("no address"),
                connection.stream.local_addr().expect("no address"),
            );
            assert_eq!(
                is_nodelay_set(proxy_end, test_end),
                Some(true),
                "{proxy_end} to {test_end}"
            );
        }
    });
}

/// Whether `TCP_NODELAY` is set on this process's connection between these addresses. `None` if
/// there is no such connection.
fn is_nodelay_set(local: SocketAddr, peer: SocketAddr) -> Option<bool> {
    let open = std::fs::read_dir("/proc/self/fd").expect("cannot list the descriptors");
    let open = open.filter_map(|entry| entry.ok()?.file_name().to_str()?.parse().ok());
    let connects = |socket: &SockRef<'_>| {
        let is = |end: std::io::Result<SockAddr>, address| {
            end.is_ok_and(|end| end.as_socket() == Some(address))
        };
        is(socket.local_addr(), local) && is(socket.peer_addr(), peer)
    };
    open.into_iter().find_map(|number| {
        // SAFETY: the descriptor is borrowed only to read the socket's addresses and options; if it
        // was closed in the meantime, reading them returns an error.
        let descriptor = unsafe { BorrowedFd::borrow_raw(number) };
        let socket = SockRef::from(&descriptor);
        connects(&socket).then(|| socket.tcp_nodelay().expect("cannot read TCP_NODELAY"))
    })
}
