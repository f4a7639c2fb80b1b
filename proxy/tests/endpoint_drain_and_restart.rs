//! Endpoints that begin to drain, or whose process is replaced by a new one, while attempts are in
//! flight to them. The tests read and write the endpoints' connections themselves, and so
//! determine the order of events.

mod common;

use common::*;
use std::slice::from_ref;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::timeout;

/// Endpoints deduplicate the retries of a keyed class only within its retry window. A retry that is
/// chosen within the window but whose connection opens after it must not be written, and its client
/// must get an error at the end of the window.
#[test]
fn a_retry_whose_connection_opens_after_its_retry_window_is_not_written() {
    run_test(async {
        let first = TestEndpoint::start([ScriptedResponse::Stall]).await;
        let (full_endpoint, backlog, listener) = endpoint_with_full_backlog().await;
        let discovery = TestDiscovery::without_updates().await;
        let proxy = Proxy::start_with(&discovery, from_ref(&first), |config| {
            config["settings"]["classes"][1]["repeat_window_us"] = 500_000.into();
            config["settings"]["limits"]["connect_timeout_us"] = 20_000_000.into();
        })
        .await;
        wait_until("the watch is open", || {
            discovery.watch_requests.borrow().len() == 1
        })
        .await;
        let mut client = proxy.client().await;
        client.send(&request("keyed", "", "the first")).await;
        wait_until("the endpoint has the request", || {
            first.request_count() == 1
        })
        .await;
        let endpoints = [
            endpoint_entry("s-0", first.address, "Terminating"),
            endpoint_entry("s-1", full_endpoint.address, "Ready"),
        ];
        let update = endpoint_list(42, false, &endpoints);
        discovery.push(&chunk(&update)).await;
        assert_eq!(
            proxy.client().await.exchange(HEALTH_REQUEST).await.status(),
            200
        );
        first.reset();
        // The retry window is 0.5 s, the connect timeout 20 s.
        let early_response = timeout(Duration::from_secs(2), client.receive()).await;
        let endpoint = TestEndpoint::on_listener(listener, [ok("served")]);
        drop(backlog);
        let response = match early_response {
            Ok(response) => response,
            Err(_) => client.receive().await,
        };
        assert_eq!(response.expect("no response").status(), 502);
        let mut client = proxy.client().await;
        assert_eq!(
            client
                .exchange(&request("unsafe", "", "the second"))
                .await
                .body,
            b"served"
        );
        let bodies: Vec<_> = endpoint
            .requests
            .borrow()
            .iter()
            .map(|message| message.body.clone())
            .collect();
        assert_eq!(bodies, [b"the second"]);
    });
}

/// A listener whose connections have a small receive buffer, so that a large request can be written
/// only partly until it is read.
fn listen_with_small_buffer() -> TcpListener {
    let socket = TcpSocket::new_v4().expect("cannot create a socket");
    socket.set_recv_buffer_size(1_024).expect("buffer not set");
    // With the default segment size on loopback, a single segment could carry the whole body.
    nix::sys::socket::setsockopt(&socket, nix::sys::socket::sockopt::TcpMaxSeg, &536)
        .expect("segment size not set");
    socket
        .bind("127.0.0.1:0".parse().expect("invalid address"))
        .expect("cannot bind a port");
    socket.listen(16).expect("cannot listen")
}

/// An endpoint begins to drain while a request to it is partly written, and the connection breaks.
/// The request must be written again from its beginning, so it must go to another endpoint: a
/// draining endpoint must not get new requests.
#[test]
fn a_partly_written_request_is_not_restarted_at_a_draining_endpoint() {
    run_test(async {
        let (listener, other) = (
            listen_with_small_buffer(),
            TestEndpoint::start([ok("other")]).await,
        );
        let discovery = TestDiscovery::without_updates().await;
        let draining_endpoint = TestEndpoint {
            address: listener.local_addr().expect("no local address"),
            ..other.clone()
        };
        let proxy = Proxy::start_with(&discovery, from_ref(&draining_endpoint), set_admin).await;
        let mut client = proxy.client().await;
        client.send(&request("unsafe", "", "")).await;
        let mut partly_written = accept(&listener).await;
        partly_written.receive().await.expect("no request");
        respond_ok(&mut partly_written, "first").await;
        assert_eq!(client.receive().await.expect("no response").body, b"first");
        client
            .send(&request("unsafe", "", &"x".repeat(60_000)))
            .await;
        partly_written
            .stream
            .readable()
            .await
            .expect("the request did not begin to arrive");
        let endpoints = [
            endpoint_entry("s-0", draining_endpoint.address, "Terminating"),
            endpoint_entry("s-1", other.address, "Ready"),
        ];
        let update = endpoint_list(42, false, &endpoints);
        discovery.push(&chunk(&update)).await;
        wait_for_members(&proxy, 2).await;
        disconnect(partly_written, Disconnect::Reset);
        let response_body = async { client.receive().await.expect("no response").body };
        tokio::select! {
            body = response_body => assert_eq!(body, b"other"),
            mut reopened = accept(&listener) => panic!("the request is sent to the draining endpoint again: {:?}", reopened.receive().await.map(|m| m.start_line)),
        }
        assert_eq!(other.request_count(), 1);
    });
}

/// The list entry of an endpoint whose process has been replaced by a new one, which started long
/// enough ago that its slow start is over.
fn restarted_entry(name: &str, endpoint: &TestEndpoint) -> serde_json::Value {
    let mut entry = endpoint_entry(name, endpoint.address, "Ready");
    entry["born_ms"] = 1.into();
    entry
}

/// An attempt that waits for its connection must be withdrawn when a new process replaces the
/// endpoint's: all waiting attempts would otherwise reach the new process at once, during its slow
/// start.
#[test]
fn an_unwritten_attempt_is_withdrawn_when_its_endpoint_restarts() {
    for has_new_address in [false, true] {
        run_test(async {
            let (full_endpoint, _backlog, _listener) = endpoint_with_full_backlog().await;
            let other = TestEndpoint::start([ok("other")]).await;
            let discovery = TestDiscovery::without_updates().await;
            let proxy = Proxy::start_with(&discovery, from_ref(&full_endpoint), |config| {
                config["settings"]["limits"]["connect_timeout_us"] = 20_000_000.into();
            })
            .await;
            wait_until("the watch is open", || {
                discovery.watch_requests.borrow().len() == 1
            })
            .await;
            let mut client = proxy.client().await;
            client.send(&request("unsafe", "", "")).await;
            // A health request sent later has a response, so the proxy has read the first request.
            assert_eq!(
                proxy.client().await.exchange(HEALTH_REQUEST).await.status(),
                200
            );
            let endpoints = match has_new_address {
                true => vec![restarted_entry("s-0", &other)],
                false => vec![
                    restarted_entry("s-0", &full_endpoint),
                    endpoint_entry("s-1", other.address, "Ready"),
                ],
            };
            let update = endpoint_list(42, false, &endpoints);
            discovery.push(&chunk(&update)).await;
            assert_eq!(
                client.receive().await.expect("no response").body,
                b"other",
                "the endpoint has a new address: {has_new_address}"
            );
            assert_eq!(other.request_count(), 1);
        });
    }
}

/// A connection that was opened to the earlier process of an endpoint must not be reused after its
/// response, as it does not lead to the process that the list now describes.
#[test]
fn a_connection_from_before_an_endpoint_restart_is_not_reused() {
    run_test(async {
        let endpoint = TestEndpoint::start([ScriptedResponse::Stall, ok("next")]).await;
        let discovery = TestDiscovery::without_updates().await;
        let proxy = Proxy::start_with(&discovery, from_ref(&endpoint), set_admin).await;
        let mut client = proxy.client().await;
        client.send(&request("unsafe", "", "")).await;
        wait_until("the endpoint has the request", || {
            endpoint.request_count() == 1
        })
        .await;
        let endpoints = [
            restarted_entry("s-0", &endpoint),
            endpoint_entry("s-1", endpoint.address, "Terminating"),
        ];
        let update = endpoint_list(42, false, &endpoints);
        discovery.push(&chunk(&update)).await;
        wait_for_members(&proxy, 2).await;
        endpoint.release.notify_one();
        assert_eq!(
            client.receive().await.expect("no response").body,
            b"released"
        );
        assert_eq!(
            client.exchange(&request("unsafe", "", "")).await.body,
            b"next"
        );
        assert_eq!(endpoint.accepted_connection_count.get(), 2);
    });
}

/// Whether a process has run a request is not known once that process is gone. The new process of
/// the endpoint must get the request again only if its class allows that, with the same id and
/// idempotency key, whether the endpoint list or the connection's reset arrives first.
#[test]
fn a_request_is_retried_at_a_restarted_endpoint_only_if_its_class_allows() {
    for list_first in [false, true] {
        for (class, status, copies) in [("free", 200, 2), ("keyed", 200, 2), ("unsafe", 502, 1)] {
            run_test(async {
                // After a successful response a single reset does not eject the endpoint.
                let endpoint =
                    TestEndpoint::start([ok("before"), ScriptedResponse::Stall, ok("retried")])
                        .await;
                let discovery = TestDiscovery::without_updates().await;
                let proxy = Proxy::start_with(&discovery, from_ref(&endpoint), set_admin).await;
                let mut client = proxy.client().await;
                assert_eq!(
                    client.exchange(&request(class, "", "")).await.body,
                    b"before"
                );
                client.send(&request(class, "", "")).await;
                wait_until("the endpoint has the request", || {
                    endpoint.request_count() == 2
                })
                .await;
                let endpoints = [
                    restarted_entry("s-0", &endpoint),
                    endpoint_entry("s-1", endpoint.address, "Terminating"),
                ];
                let list = chunk(&endpoint_list(42, false, &endpoints));
                if list_first {
                    discovery.push(&list).await;
                    wait_for_members(&proxy, 2).await;
                }
                endpoint.reset();
                wait_until("the endpoint's first connection is closed", || {
                    endpoint.open_connection_count.get() == 0
                        || endpoint.accepted_connection_count.get() == 2
                })
                .await;
                if !list_first {
                    discovery.push(&list).await;
                }
                let response = client.receive().await.expect("no response");
                assert_eq!(
                    response.status(),
                    status,
                    "{class}, list first: {list_first}"
                );
                let received = endpoint.requests.borrow()[1..].to_vec();
                assert_eq!(received.len(), copies, "{class}, list first: {list_first}");
                for name in ["x-call-id", "idempotency-key"] {
                    assert!(received
                        .iter()
                        .all(|message| message.header(name) == received[0].header(name)));
                }
            });
        }
    }
}

/// The order in which the proxy gets the last byte of a response and the list in which its endpoint
/// is draining.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ArrivalOrder {
    ResponseFirst,
    ListFirst,
    /// The list first, without a wait until the proxy has applied it.
    Together,
}

/// Sends the last byte of an endpoint's response and the update in which it is draining, in this
/// order. Returns the client's response if it had to be read in between.
async fn send_last_byte_and_update(
    order: ArrivalOrder,
    endpoint: &TestConnection,
    discovery: &TestDiscovery,
    update: &str,
    proxy: &Proxy,
    client: &mut TestConnection,
) -> Option<Message> {
    match order {
        ArrivalOrder::ResponseFirst => {
            write_once_writable(endpoint, "x").await;
            let response = client.receive().await;
            discovery.push(update).await;
            response
        }
        ArrivalOrder::ListFirst => {
            discovery.push(update).await;
            wait_for_members(proxy, 2).await;
            write_once_writable(endpoint, "x").await;
            None
        }
        ArrivalOrder::Together => {
            let writable = endpoint.stream.writable().await;
            writable.expect("the connection is not writable");
            discovery.push(update).await;
            write_once_writable(endpoint, "x").await;
            None
        }
    }
}

/// Lets an endpoint begin to drain as the last byte of its response arrives, and asserts that its
/// connection is closed and the next request goes to another endpoint.
async fn drain_at_the_end_of_a_response(large: bool, order: ArrivalOrder) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("cannot bind a port");
    let other = TestEndpoint::start([ok("other")]).await;
    let address = listener.local_addr().expect("no local address");
    let draining_endpoint = TestEndpoint {
        address,
        ..other.clone()
    };
    let discovery = TestDiscovery::without_updates().await;
    let proxy = Proxy::start_with(&discovery, from_ref(&draining_endpoint), set_admin).await;
    wait_until("the watch is open", || {
        discovery.watch_requests.borrow().len() == 1
    })
    .await;
    let mut client = proxy.client().await;
    client.send(&request("unsafe", "", "")).await;
    let mut endpoint = accept(&listener).await;
    endpoint.receive().await.expect("no request");
    // All but the last byte. The proxy forwards a large response before it is complete.
    let size = if large { 100_000 } else { 10 };
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n");
    endpoint.send(&head).await;
    endpoint.send(&"x".repeat(size - 1)).await;
    let endpoints = [
        endpoint_entry("s-0", address, "Terminating"),
        endpoint_entry("s-1", other.address, "Ready"),
    ];
    let update = chunk(&endpoint_list(42, false, &endpoints));
    if large {
        client
            .stream
            .readable()
            .await
            .expect("the response did not begin to arrive");
    }
    let early_response =
        send_last_byte_and_update(order, &endpoint, &discovery, &update, &proxy, &mut client).await;
    let response = match early_response {
        Some(response) => Some(response),
        None => client.receive().await,
    };
    let response = response.expect("no response");
    assert_eq!(
        response.body.len(),
        size,
        "large: {large}, order: {order:?}"
    );
    assert!(
        endpoint.receive().await.is_none(),
        "large: {large}, order: {order:?}: the connection must be closed without another request"
    );
    wait_for_members(&proxy, 2).await;
    let next = client.exchange(&request("unsafe", "", "")).await;
    assert_eq!(next.body, b"other");
}

/// The response on a connection ends at the moment at which its endpoint begins to drain. The
/// connection must not be reused for a new request: it must be closed whichever of the two the
/// proxy sees first, for a small and for a large response.
#[test]
fn a_connection_that_becomes_idle_as_its_endpoint_begins_to_drain_is_closed() {
    for large in [false, true] {
        for order in [
            ArrivalOrder::ResponseFirst,
            ArrivalOrder::ListFirst,
            ArrivalOrder::Together,
        ] {
            run_test(drain_at_the_end_of_a_response(large, order));
        }
    }
}
