//! Clients that disconnect while the proxy is busy. The event that would start an attempt and the
//! disconnect arrive in the same turn of its event loop, so it can't check for one between the two.

mod common;

use common::*;
use serde_json::Value;
use std::net::SocketAddr;
use std::slice::from_ref;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// Number of clients whose health checks keep the proxy busy for a turn of its event loop.
const BACKGROUND_CLIENTS: usize = 500;

/// Sets the limit on sockets so high that no background client is evicted.
fn allow_many_sockets(config: &mut Value) {
    config["limits"]["sockets"] = 4_096.into();
}

/// Connects the background clients, each of which gets one response. They disconnect by resets: an
/// orderly close would leave connections in TIME_WAIT in the kernel's table.
async fn connect_background_clients(proxy: &Proxy) -> Vec<TestConnection> {
    let mut clients = Vec::new();
    for _ in 0..BACKGROUND_CLIENTS {
        let client = proxy.client().await;
        client.stream.set_zero_linger().expect("SO_LINGER not set");
        clients.push(client);
    }
    for client in &mut clients {
        assert_eq!(client.exchange(HEALTH_REQUEST).await.status(), 200);
    }
    clients
}

/// Connects the background clients if the proxy is to be busy, and none otherwise.
async fn connect_background_clients_if(busy: bool, proxy: &Proxy) -> Vec<TestConnection> {
    if busy {
        connect_background_clients(proxy).await
    } else {
        Vec::new()
    }
}

/// Sends a health check from every background client without yielding.
fn request_health_on_all(background: &[TestConnection]) {
    for client in background {
        write_now(client, HEALTH_REQUEST);
    }
}

/// Disconnects, and blocks the thread until the close or reset has arrived at the proxy's socket.
fn disconnect_and_await_delivery(client: TestConnection, kind: Disconnect, proxy: &Proxy) {
    let from = client.stream.local_addr().expect("no local address");
    disconnect(client, kind);
    while is_established(proxy.address, from) {}
}

const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// Accepts the next connection to an endpoint, and reads the body of the request on it.
async fn accept_request(listener: &TcpListener) -> (TestConnection, Vec<u8>) {
    let mut connection = TestConnection::new(listener.accept().await.expect("accept failed").0);
    let body = connection.receive().await.expect("no request").body;
    (connection, body)
}

/// The body of the next request that reaches an endpoint, on this open connection or on a new one
/// to either listener.
async fn next_body(connection: &mut TestConnection, listeners: [&TcpListener; 2]) -> Vec<u8> {
    tokio::select! {
        message = connection.receive() => message.expect("no request").body,
        (_, body) = accept_request(listeners[0]) => body,
        (_, body) = accept_request(listeners[1]) => body,
    }
}

/// Number of attempts that were written completely.
async fn upstream_requests(admin: SocketAddr) -> u64 {
    metrics(admin).await["upstream_requests"]
        .as_u64()
        .expect("upstream_requests is not a number")
}

/// The bytes that are pipelined behind a request: none, a part of the next request, or all of it.
fn pipelined_bytes() -> [String; 3] {
    ["", "GET /api HT", &request("free", "", "")].map(str::to_owned)
}

/// The headers of a request with a large body, and the part of the body that is sent.
fn large_body(sent: usize) -> (String, String) {
    let headers = format!("Content-Length: {}\r\n", 30 << 20);
    (headers, "x".repeat(sent))
}

/// Two requests are in flight. A third with these headers is queued, followed by these bytes of its
/// body or of a pipelined request. Asserts that it is not sent if its client disconnects as they
/// end.
async fn assert_queued_request_is_not_sent(
    headers: &str,
    following_bytes: &str,
    kind: Disconnect,
    busy: bool,
) {
    let (endpoint, listener) = manual_endpoint().await;
    let (proxy, admin) = start_without_cancellation(from_ref(&endpoint), |config| {
        limit_to_two_in_flight(config);
        allow_many_sockets(config);
    })
    .await;
    let background = connect_background_clients_if(busy, &proxy).await;
    let mut first = proxy.client().await;
    let mut second = proxy.client().await;
    write_now(&first, &request("free", "", ""));
    let (mut connection, _) = accept_request(&listener).await;
    write_now(&second, &request("free", "", ""));
    let (mut other, _) = accept_request(&listener).await;
    let mut client = proxy.client().await;
    client.send(&request("unsafe", headers, "")).await;
    client.send(following_bytes).await;
    // Waits until the third request is queued. It counts as pending only once its body is read; the
    // response to a later health check shows that its head has been read.
    if headers.is_empty() {
        wait_for_pending(admin, 3).await;
    } else {
        let health = proxy.client().await.exchange(HEALTH_REQUEST).await;
        assert_eq!(health.status(), 200);
    }
    request_health_on_all(&background);
    for connection in [&connection, &other] {
        write_now(connection, OK_RESPONSE);
    }
    disconnect_and_await_delivery(client, kind, &proxy);
    assert_eq!(first.receive().await.expect("no response").status(), 200);
    assert_eq!(second.receive().await.expect("no response").status(), 200);
    first.send(&request("unsafe", "", "the next")).await;
    let next = tokio::select! {
        next = next_body(&mut connection, [&listener, &listener]) => next,
        message = other.receive() => message.expect("no request").body,
    };
    let shown = &following_bytes[..following_bytes.len().min(20)];
    assert_eq!(next, b"the next", "{kind:?}, {headers}{shown}");
    assert_eq!(upstream_requests(admin).await, 3);
}

/// The client of a queued request disconnects and capacity becomes free in the same turn of a proxy
/// that is busy or idle. The request may have a large body of which most is unread.
#[test]
fn a_queued_request_is_not_sent_when_its_client_disconnects_as_capacity_becomes_free() {
    let bodies = pipelined_bytes().map(|pipelined| (String::new(), pipelined));
    let large_bodies = [large_body(0), large_body(100 << 10)];
    for (headers, following_bytes) in bodies.into_iter().chain(large_bodies) {
        for kind in DISCONNECT_KINDS {
            for busy in [true, false] {
                run_test(assert_queued_request_is_not_sent(
                    &headers,
                    &following_bytes,
                    kind,
                    busy,
                ));
            }
        }
    }
}

/// One endpoint rejects the request while another one is free, and the client disconnects in the
/// same turn, before or after the rejection.
#[test]
fn a_request_is_not_retried_when_its_client_disconnects_as_it_is_rejected() {
    for pipelined in pipelined_bytes() {
        for (kind, disconnects_first) in DISCONNECT_KINDS
            .into_iter()
            .flat_map(|kind| [(kind, true), (kind, false)])
        {
            for busy in [true, false] {
                run_test(async {
                    let endpoints = [manual_endpoint().await, manual_endpoint().await];
                    let (proxy, admin) = start_without_cancellation(
                        &endpoints.each_ref().map(|(endpoint, _)| endpoint.clone()),
                        allow_many_sockets,
                    )
                    .await;
                    let [one, other] = endpoints.each_ref().map(|(_, listener)| listener);
                    let background = connect_background_clients_if(busy, &proxy).await;
                    let client = proxy.client().await;
                    write_now(&client, &(request("unsafe", "", "the body") + &pipelined));
                    let (mut connection, _) = tokio::select! {
                        accepted = accept_request(one) => accepted,
                        accepted = accept_request(other) => accepted,
                    };
                    request_health_on_all(&background);
                    if disconnects_first {
                        disconnect_and_await_delivery(client, kind, &proxy);
                        write_now(&connection, REJECTION);
                    } else {
                        write_now(&connection, REJECTION);
                        disconnect_and_await_delivery(client, kind, &proxy);
                    }
                    wait_for_pending(admin, 0).await;
                    let mut next = proxy.client().await;
                    next.send(&request("unsafe", "", "the next")).await;
                    assert_eq!(
                        next_body(&mut connection, [one, other]).await,
                        b"the next",
                        "{kind:?}, {pipelined}"
                    );
                    assert_eq!(upstream_requests(admin).await, 2);
                });
            }
        }
    }
}

/// The connection to the endpoint opens after the client has disconnected, and both events reach
/// the proxy in the same turn.
#[test]
fn a_request_is_not_written_when_its_client_disconnects_before_its_connection_opens() {
    for (kind, pipelined) in DISCONNECT_KINDS
        .into_iter()
        .flat_map(|kind| ["", "GET /api HT"].map(|pipelined| (kind, pipelined)))
    {
        run_test(async {
            let (blocked, backlog, listener) = endpoint_with_full_backlog().await;
            let (proxy, admin) = start_without_cancellation(from_ref(&blocked), |config| {
                config["settings"]["limits"]["connect_timeout_us"] = 20_000_000.into();
                allow_many_sockets(config);
            })
            .await;
            let background = connect_background_clients(&proxy).await;
            let client = proxy.client().await;
            write_now(&client, &(request("unsafe", "", "the body") + pipelined));
            wait_for_pending(admin, 1).await;
            let listener = listener.into_std().expect("cannot convert the listener");
            let waiting = backlog.len();
            drop(backlog);
            for _ in 0..waiting {
                drop(listener.accept().expect("accept failed"));
            }
            request_health_on_all(&background);
            disconnect_and_await_delivery(client, kind, &proxy);
            while !has_established_connection(blocked.address) {}
            let endpoint = TestEndpoint::on_listener(
                TcpListener::from_std(listener).expect("cannot convert the listener"),
                [ok("served")],
            );
            wait_for_pending(admin, 0).await;
            let text = request("unsafe", "", "the next");
            let next = proxy.client().await.exchange(&text).await;
            assert_eq!(next.status(), 200);
            assert_eq!(
                endpoint.request_bodies(),
                [b"the next"],
                "{kind:?}, {pipelined}"
            );
        });
    }
}

/// The request is pipelined behind another one, whose response arrives as the client disconnects.
#[test]
fn a_pipelined_request_is_not_sent_when_its_client_disconnects_as_the_previous_request_ends() {
    for pipelined in pipelined_bytes() {
        for (kind, busy) in DISCONNECT_KINDS
            .into_iter()
            .flat_map(|kind| [(kind, true), (kind, false)])
        {
            run_test(async {
                let (endpoint, listener) = manual_endpoint().await;
                let (proxy, admin) =
                    start_without_cancellation(from_ref(&endpoint), allow_many_sockets).await;
                let background = connect_background_clients_if(busy, &proxy).await;
                let client = proxy.client().await;
                write_now(
                    &client,
                    &(request("free", "", "") + &request("unsafe", "", "the body") + &pipelined),
                );
                let (mut connection, _) = accept_request(&listener).await;
                request_health_on_all(&background);
                write_now(&connection, OK_RESPONSE);
                disconnect_and_await_delivery(client, kind, &proxy);
                wait_for_pending(admin, 0).await;
                let mut next = proxy.client().await;
                next.send(&request("unsafe", "", "the next")).await;
                let next = next_body(&mut connection, [&listener, &listener]).await;
                assert_eq!(next, b"the next", "{kind:?}, {pipelined}");
                assert_eq!(upstream_requests(admin).await, 2);
            });
        }
    }
}

/// 100 connections wait to be accepted, each with a complete request and its client's disconnect.
#[test]
fn requests_are_not_sent_if_their_clients_disconnected_before_they_were_accepted() {
    for pipelined in pipelined_bytes() {
        for kind in DISCONNECT_KINDS {
            run_test(async {
                let (endpoint, listener) = manual_endpoint().await;
                let (proxy, admin) =
                    start_without_cancellation(from_ref(&endpoint), allow_many_sockets).await;
                let background = connect_background_clients(&proxy).await;
                request_health_on_all(&background);
                for _ in 0..BACKGROUND_CLIENTS / 5 {
                    send_and_disconnect(
                        proxy.address,
                        &(request("unsafe", "", "the body") + &pipelined),
                        kind,
                    );
                }
                let mut next = proxy.client().await;
                next.send(&request("unsafe", "", "the next")).await;
                let (connection, body) = accept_request(&listener).await;
                assert_eq!(body, b"the next", "{kind:?}, {pipelined}");
                write_now(&connection, OK_RESPONSE);
                assert_eq!(next.receive().await.expect("no response").status(), 200);
                assert_eq!(
                    (
                        ended_requests(admin).await[0],
                        upstream_requests(admin).await
                    ),
                    (1, 1)
                );
            });
        }
    }
}

/// Responds to every request, each of which arrives on a new connection.
async fn respond_to_all(listener: &TcpListener) {
    let mut open = Vec::new();
    loop {
        let (connection, _) = accept_request(listener).await;
        write_now(
            &connection,
            &OK_RESPONSE.replace("OK\r\n", "OK\r\nConnection: close\r\n"),
        );
        open.push(connection);
    }
}

/// Sends this many requests one after the other, all of which must be served.
async fn exchange_requests(client: &mut TestConnection, count: usize) {
    for _ in 0..count {
        let response = client.exchange(&request("free", "", "")).await;
        assert_eq!(response.status(), 200);
    }
}

/// A hedged request becomes due in the turn in which its client's disconnect reaches the proxy.
#[test]
fn no_hedged_request_is_sent_after_its_client_disconnects() {
    const OBJECTIVE: Duration = Duration::from_secs(1);
    for pipelined in pipelined_bytes() {
        for kind in DISCONNECT_KINDS {
            run_test(async {
                let endpoints = [manual_endpoint().await, manual_endpoint().await];
                let (proxy, admin) = start_without_cancellation(
                    &endpoints.each_ref().map(|(endpoint, _)| endpoint.clone()),
                    |config| {
                        config["settings"]["limits"]["second_copies"] = true.into();
                        config["settings"]["classes"][0]["objective_us"] =
                            (OBJECTIVE.as_micros() as u64).into();
                        allow_many_sockets(config);
                    },
                )
                .await;
                let [one, other] = endpoints.each_ref().map(|(_, listener)| listener);
                let background = connect_background_clients(&proxy).await;
                // The responses provide the latency samples and the budget that a hedged request
                // needs.
                let mut earlier = proxy.client().await;
                tokio::select! {
                    () = respond_to_all(one) => {}
                    () = respond_to_all(other) => {}
                    () = exchange_requests(&mut earlier, 60) => {}
                }
                let sent_before = upstream_requests(admin).await;
                let client = proxy.client().await;
                write_now(&client, &(request("free", "", "") + &pipelined));
                let (mut connection, _) = tokio::select! {
                    accepted = accept_request(one) => accepted,
                    accepted = accept_request(other) => accepted,
                };
                request_health_on_all(&background);
                disconnect_and_await_delivery(client, kind, &proxy);
                let disconnected = Instant::now();
                while disconnected.elapsed() < OBJECTIVE {}
                wait_for_pending(admin, 0).await;
                earlier.send(&request("unsafe", "", "the next")).await;
                assert_eq!(
                    next_body(&mut connection, [one, other]).await,
                    b"the next",
                    "{kind:?}, {pipelined}"
                );
                assert_eq!(upstream_requests(admin).await, sent_before + 2);
            });
        }
    }
}
