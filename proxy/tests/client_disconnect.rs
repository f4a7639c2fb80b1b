//! Clients that disconnect, by a close or a reset, while their request waits: no more of the
//! request is sent, and everything that it has reserved is released.

mod common;

use client_proxy::config::Config;
use common::*;
use std::net::SocketAddr;
use std::slice::from_ref;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::{spawn_local, yield_now};
use tokio::time::sleep;

/// Sends two requests that are in flight until the test releases them at the endpoint.
async fn start_two_requests(
    proxy: &Proxy,
    endpoint: &TestEndpoint,
) -> (TestConnection, TestConnection) {
    let (mut first, mut second) = (proxy.client().await, proxy.client().await);
    first.send(&request("free", "", "")).await;
    wait_until("the first request is in flight", || {
        endpoint.request_count() == 1
    })
    .await;
    second.send(&request("free", "", "")).await;
    wait_until("the second request is in flight", || {
        endpoint.request_count() == 2
    })
    .await;
    (first, second)
}

/// The request is queued because the only endpoint is at its concurrency limit; bytes of another
/// request may be pipelined behind it.
#[test]
fn a_queued_request_is_not_sent_after_its_client_disconnects() {
    for kind in DISCONNECT_KINDS {
        for pipelined in ["", "GET /api HT", &request("free", "", "")] {
            run_test(async {
                let endpoint = TestEndpoint::start([ScriptedResponse::Stall]).await;
                let (proxy, admin) =
                    start_without_cancellation(from_ref(&endpoint), limit_to_two_in_flight).await;
                let (mut first, mut second) = start_two_requests(&proxy, &endpoint).await;
                let (mut client, text) = (proxy.client().await, request("keyed", "", "queued"));
                client.send(&format!("{text}{pipelined}")).await;
                wait_for_pending(admin, 3).await;
                disconnect(client, kind);
                wait_for_pending(admin, 2).await;
                endpoint.release.notify_one();
                endpoint.release.notify_one();
                assert_eq!(first.receive().await.expect("no response").status(), 200);
                assert_eq!(second.receive().await.expect("no response").status(), 200);
                endpoint.script.borrow_mut().push_front(ok("later"));
                assert_eq!(
                    proxy.client().await.exchange(&text).await.body,
                    b"later",
                    "the id of the abandoned request must be free again"
                );
                assert_eq!(endpoint.request_count(), 3, "{kind:?}, {pipelined}");
                assert_eq!(ended_requests(admin).await.iter().sum::<u64>(), 4);
            });
        }
    }
}

/// The request waits for a connection to its endpoint, which opens after the client has
/// disconnected.
#[test]
fn a_request_is_not_sent_on_a_connection_that_opens_after_its_client_disconnects() {
    run_test(async {
        let cases = DISCONNECT_KINDS
            .into_iter()
            .flat_map(|kind| ["", "GET /api HT"].map(|pipelined| (kind, pipelined)));
        let cases: Vec<_> = cases
            .map(|(kind, pipelined)| {
                spawn_local(client_disconnects_before_connection_opens(kind, pipelined))
            })
            .collect();
        for case in cases {
            case.await.expect("the case failed");
        }
    });
}

async fn client_disconnects_before_connection_opens(kind: Disconnect, pipelined: &str) {
    let (blocked, backlog, listener) = endpoint_with_full_backlog().await;
    let (proxy, admin) = start_without_cancellation(from_ref(&blocked), |config| {
        config["settings"]["limits"]["connect_timeout_us"] = 20_000_000.into();
    })
    .await;
    let (mut client, text) = (proxy.client().await, request("unsafe", "", "the body"));
    client.send(&format!("{text}{pipelined}")).await;
    wait_for_pending(admin, 1).await;
    disconnect(client, kind);
    wait_for_pending(admin, 0).await;
    let mut client = proxy.client().await;
    client.send(&text.replace("the body", "new body")).await;
    wait_for_pending(admin, 1).await;
    let endpoint = TestEndpoint::on_listener(listener, [ok("served")]);
    drop(backlog);
    assert_eq!(client.receive().await.expect("no response").status(), 200);
    let bodies: Vec<_> = endpoint
        .requests
        .borrow()
        .iter()
        .map(|received| received.body.clone())
        .collect();
    assert_eq!(bodies, [b"new body"], "{kind:?}, {pipelined}");
    assert_eq!(ended_requests(admin).await.iter().sum::<u64>(), 2);
}

/// The client disconnects between two attempts: the first was rejected, and the endpoint is in its
/// cool-down.
#[test]
fn a_request_is_not_retried_after_its_client_disconnects() {
    run_test(async {
        let cases = DISCONNECT_KINDS
            .into_iter()
            .flat_map(|kind| ["", "GET /api HT"].map(|pipelined| (kind, pipelined)));
        let cases: Vec<_> = cases
            .map(|(kind, pipelined)| {
                spawn_local(client_disconnects_between_attempts(kind, pipelined))
            })
            .collect();
        for case in cases {
            case.await.expect("the case failed");
        }
    });
}

async fn client_disconnects_between_attempts(kind: Disconnect, pipelined: &str) {
    let endpoint = TestEndpoint::start([reject(), ok("served")]).await;
    let (proxy, admin) = start_without_cancellation(from_ref(&endpoint), |_| ()).await;
    let (mut client, text) = (proxy.client().await, request("unsafe", "", "the body"));
    client.send(&format!("{text}{pipelined}")).await;
    wait_until("the first attempt is rejected", || {
        endpoint.request_count() == 1
    })
    .await;
    wait_for_pending(admin, 1).await;
    disconnect(client, kind);
    wait_for_pending(admin, 0).await;
    let text = text.replace("the body", "new body");
    assert_eq!(proxy.client().await.exchange(&text).await.status(), 200);
    assert_eq!(endpoint.request_count(), 2, "{kind:?}, {pipelined}");
    assert_eq!(endpoint.requests.borrow()[1].body, b"new body");
}

fn unread_bytes(at: SocketAddr, from: SocketAddr) -> u64 {
    connection_state(at, from)
        .expect("the connection is not in the table")
        .1
}

/// Sends pieces of a body until the proxy stops reading them: a piece stays unread for 30 ms.
async fn send_until_unread(client: &mut TestConnection, proxy: SocketAddr) {
    let from = client.stream.local_addr().expect("no local address");
    loop {
        client.send(&"x".repeat(32 << 10)).await;
        let mut polls = 0..30;
        while polls.next().is_some() && unread_bytes(proxy, from) > 0 {
            sleep(Duration::from_millis(1)).await;
        }
        if polls.is_empty() {
            return;
        }
    }
}

/// The endpoint has stopped reading a request body, so the proxy reads no more of it either, and
/// the client's disconnect arrives behind bytes that stay unread.
#[test]
fn a_stalled_upload_is_aborted_when_its_client_disconnects() {
    for kind in DISCONNECT_KINDS {
        run_test(async {
            let (endpoint, listener) = manual_endpoint().await;
            let (proxy, admin) = start_without_cancellation(from_ref(&endpoint), |_| ()).await;
            let mut client = proxy.client().await;
            client
                .send(&request("unsafe", "Content-Length: 30000000\r\n", ""))
                .await;
            let stream = listener.accept().await.expect("accept failed").0;
            let proxy_end = stream.peer_addr().expect("no peer address");
            send_until_unread(&mut client, proxy.address).await;
            assert!(is_established(proxy_end, endpoint.address));
            let disconnected = Instant::now();
            disconnect(client, kind);
            wait_until("the connection to the endpoint is closed", || {
                !is_established(proxy_end, endpoint.address)
            })
            .await;
            assert!(
                disconnected.elapsed() < Duration::from_millis(300),
                "{kind:?}"
            );
            // The request did not arrive completely, so it is not counted.
            assert_eq!(
                (
                    metrics(admin).await["pending"].clone(),
                    ended_requests(admin).await
                ),
                (0.into(), [0; 3])
            );
            let _endpoint = TestEndpoint::on_listener(listener, [ok("served")]);
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
}

/// The request arrives completely, together with its client's disconnect.
#[test]
fn a_request_that_arrives_together_with_its_clients_disconnect_is_not_sent() {
    for kind in DISCONNECT_KINDS {
        for pipelined in ["", "GET /api HT"] {
            run_test(async {
                let endpoint = TestEndpoint::start([ok("served")]).await;
                let (proxy, admin) = start_without_cancellation(from_ref(&endpoint), |_| ()).await;
                assert_eq!(
                    proxy.client().await.exchange(HEALTH_REQUEST).await.status(),
                    200
                );
                let text = request("unsafe", "", "");
                send_and_disconnect(proxy.address, &format!("{text}{pipelined}"), kind);
                assert_eq!(proxy.client().await.exchange(&text).await.status(), 200);
                assert_eq!(endpoint.request_count(), 1, "{kind:?}, {pipelined}");
                // If the proxy reads the disconnect before it admits the request, the request is
                // not counted.
                let [completed, rejected, failed] = ended_requests(admin).await;
                assert!(
                    (completed, failed) == (1, 0) && rejected <= 1,
                    "{kind:?}, {pipelined}"
                );
                assert_eq!(metrics(admin).await["pending"], 0);
            });
        }
    }
}

/// The request has not been read: its connection waits to be accepted, because the limit on client
/// connections is reached.
#[test]
fn a_request_is_not_sent_if_its_client_disconnected_before_it_was_accepted() {
    for kind in DISCONNECT_KINDS {
        run_test(async {
            let endpoint = TestEndpoint::start([ScriptedResponse::Stall]).await;
            let sockets = 70;
            let (proxy, admin) = start_without_cancellation(from_ref(&endpoint), |config| {
                config["limits"]["sockets"] = sockets.into();
            })
            .await;
            let text = configuration(proxy.address, &[], |config| {
                config["limits"]["sockets"] = sockets.into()
            });
            let max_clients = Config::parse(&text)
                .expect("invalid configuration")
                .max_client_connections();
            let mut clients = Vec::new();
            for number in 1..=max_clients {
                let mut client = proxy.client().await;
                client.send(&request("free", "", "")).await;
                wait_for_pending(admin, number as u64).await;
                clients.push(client);
            }
            send_and_disconnect(proxy.address, &request("unsafe", "", "the body"), kind);
            let last = TcpStream::connect(proxy.address)
                .await
                .expect("cannot connect to the proxy");
            let mut last = TestConnection::new(last);
            last.send(&request("unsafe", "", "new body")).await;
            clients.clear();
            endpoint.script.borrow_mut().push_front(ok("served"));
            while endpoint
                .requests
                .borrow()
                .iter()
                .all(|received| received.body.is_empty())
            {
                endpoint.release.notify_one();
                yield_now().await;
            }
            assert_eq!(last.receive().await.expect("no response").status(), 200);
            let received = endpoint.requests.borrow();
            let bodies: Vec<_> = received
                .iter()
                .filter(|received| !received.body.is_empty())
                .map(|s| s.body.clone())
                .collect();
            assert_eq!(bodies, [b"new body"], "{kind:?}");
        });
    }
}

/// A client that shuts down only its sending side counts as disconnected, because the proxy can't
/// distinguish that from a close. Its request is not sent, and its connection is closed.
#[test]
fn a_client_that_half_closes_counts_as_disconnected() {
    run_test(async {
        let endpoint = TestEndpoint::start([ScriptedResponse::Stall]).await;
        let (proxy, admin) =
            start_without_cancellation(from_ref(&endpoint), limit_to_two_in_flight).await;
        let _in_flight = start_two_requests(&proxy, &endpoint).await;
        let mut client = proxy.client().await;
        client.send(&request("unsafe", "", "")).await;
        wait_for_pending(admin, 3).await;
        socket2::SockRef::from(&client.stream)
            .shutdown(std::net::Shutdown::Write)
            .expect("cannot shut down the sending side");
        assert!(
            client.receive().await.is_none(),
            "the connection must be closed without a response"
        );
        wait_for_pending(admin, 2).await;
        assert_eq!(endpoint.request_count(), 2);
    });
}
