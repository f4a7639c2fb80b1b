//! Endpoints that drain or whose process is replaced while requests are on their way to them: each
//! order of events is forced by endpoints that the test plays.

mod common;

use common::*;
use std::slice::from_ref;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::timeout;

/// The endpoints of a keyed class deduplicate retries within its window alone: a retry that is
/// chosen in time and whose connection opens only after that must not be written, and its client
/// gets an error at the end of the window.
#[test]
fn a_retry_whose_connection_opens_after_its_retry_window_is_not_written() {
    run_test(async {
        let first = TestEndpoint::start([ScriptedResponse::Stall]).await;
        let (stuck, full, listener) = endpoint_with_full_backlog().await;
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
            entry("s-0", first.address, "Terminating"),
            entry("s-1", stuck.address, "Ready"),
        ];
        discovery.push(&chunk(&list(42, false, &endpoints))).await;
        assert_eq!(
            proxy.client().await.exchange(HEALTH_REQUEST).await.status(),
            200
        );
        first.reset();
        // Well past the window, and long before the connection attempt is abandoned.
        let early = timeout(Duration::from_secs(2), client.message()).await;
        let endpoint = TestEndpoint::on_listener(listener, [ok("served")]);
        drop(full);
        let response = match early {
            Ok(response) => response,
            Err(_) => client.message().await,
        };
        assert_eq!(response.expect("a response").status(), 502);
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

/// A listener whose connections take little of what is sent to them until somebody reads.
fn listen_with_small_buffer() -> TcpListener {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(1_024).expect("a small buffer");
    // Otherwise one segment would be larger than all of a body.
    nix::sys::socket::setsockopt(&socket, nix::sys::socket::sockopt::TcpMaxSeg, &536)
        .expect("small segments");
    socket
        .bind("127.0.0.1:0".parse().expect("an address"))
        .expect("a port");
    socket.listen(16).expect("it listens")
}

/// A draining endpoint gets nothing new. A request that it had partly received on a connection
/// that then breaks is written from its beginning, so it goes to another endpoint.
#[test]
fn a_partly_written_request_is_not_restarted_at_a_draining_endpoint() {
    run_test(async {
        let (listener, other) = (
            listen_with_small_buffer(),
            TestEndpoint::start([ok("other")]).await,
        );
        let discovery = TestDiscovery::without_updates().await;
        let leaving = TestEndpoint {
            address: listener.local_addr().expect("an address"),
            ..other.clone()
        };
        let proxy = Proxy::start_with(&discovery, from_ref(&leaving), with_admin).await;
        let mut client = proxy.client().await;
        client.send(&request("unsafe", "", "")).await;
        let mut reused = accept(&listener).await;
        reused.message().await.expect("a request");
        respond_ok(&mut reused, "first").await;
        assert_eq!(client.message().await.expect("a response").body, b"first");
        client
            .send(&request("unsafe", "", &"x".repeat(60_000)))
            .await;
        reused
            .stream
            .readable()
            .await
            .expect("it has begun to arrive");
        let endpoints = [
            entry("s-0", leaving.address, "Terminating"),
            entry("s-1", other.address, "Ready"),
        ];
        discovery.push(&chunk(&list(42, false, &endpoints))).await;
        wait_for_members(&proxy, 2).await;
        disconnect(reused, Disconnect::Reset);
        let responded = async { client.message().await.expect("a response").body };
        tokio::select! {
            body = responded => assert_eq!(body, b"other"),
            mut again = accept(&listener) => panic!("it is restarted: {:?}", again.message().await.map(|m| m.start_line)),
        }
        assert_eq!(other.request_count(), 1);
    });
}

/// The entry of an endpoint whose process is a new one, but old enough to have warmed up.
fn restarted_entry(name: &str, endpoint: &TestEndpoint) -> serde_json::Value {
    let mut entry = entry(name, endpoint.address, "Ready");
    entry["born_ms"] = 1.into();
    entry
}

/// An attempt was meant for the process that was there: one that has started since is warming up,
/// and all attempts that still wait for connections would reach it at once.
#[test]
fn an_unwritten_attempt_is_not_written_to_a_later_process() {
    for moved in [false, true] {
        run_test(async {
            let (stuck, _full, _listener) = endpoint_with_full_backlog().await;
            let other = TestEndpoint::start([ok("other")]).await;
            let discovery = TestDiscovery::without_updates().await;
            let proxy = Proxy::start_with(&discovery, from_ref(&stuck), |config| {
                config["settings"]["limits"]["connect_timeout_us"] = 20_000_000.into();
            })
            .await;
            wait_until("the watch is open", || {
                discovery.watch_requests.borrow().len() == 1
            })
            .await;
            let mut client = proxy.client().await;
            client.send(&request("unsafe", "", "")).await;
            // Sent later and served: the proxy has read the request before.
            assert_eq!(
                proxy.client().await.exchange(HEALTH_REQUEST).await.status(),
                200
            );
            let endpoints = match moved {
                true => vec![restarted_entry("s-0", &other)],
                false => vec![
                    restarted_entry("s-0", &stuck),
                    entry("s-1", other.address, "Ready"),
                ],
            };
            discovery.push(&chunk(&list(42, false, &endpoints))).await;
            assert_eq!(
                client.message().await.expect("a response").body,
                b"other",
                "{moved}"
            );
            assert_eq!(other.request_count(), 1);
        });
    }
}

/// A response of the process before: whatever its connection leads to by now is not reused.
#[test]
fn a_connection_to_an_earlier_process_is_not_reused() {
    run_test(async {
        let endpoint = TestEndpoint::start([ScriptedResponse::Stall, ok("next")]).await;
        let discovery = TestDiscovery::without_updates().await;
        let proxy = Proxy::start_with(&discovery, from_ref(&endpoint), with_admin).await;
        let mut client = proxy.client().await;
        client.send(&request("unsafe", "", "")).await;
        wait_until("the endpoint has the request", || {
            endpoint.request_count() == 1
        })
        .await;
        let endpoints = [
            restarted_entry("s-0", &endpoint),
            entry("s-1", endpoint.address, "Terminating"),
        ];
        discovery.push(&chunk(&list(42, false, &endpoints))).await;
        wait_for_members(&proxy, 2).await;
        endpoint.release.notify_one();
        assert_eq!(
            client.message().await.expect("a response").body,
            b"released"
        );
        assert_eq!(
            client.exchange(&request("unsafe", "", "")).await.body,
            b"next"
        );
        assert_eq!(endpoint.opened_connections.get(), 2);
    });
}

/// What the first attempt's process did is not known once it is gone: the new one gets the request
/// again only if its class allows, with its key, whether the list or the reset arrives first.
#[test]
fn a_retry_goes_to_the_new_process_of_its_endpoint_only_if_its_class_allows() {
    for list_first in [false, true] {
        for (class, status, sent) in [("free", 200, 2), ("keyed", 200, 2), ("unsafe", 502, 1)] {
            run_test(async {
                // An endpoint that has just responded is not ejected for one reset.
                let endpoint =
                    TestEndpoint::start([ok("before"), ScriptedResponse::Stall, ok("again")]).await;
                let discovery = TestDiscovery::without_updates().await;
                let proxy = Proxy::start_with(&discovery, from_ref(&endpoint), with_admin).await;
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
                    entry("s-1", endpoint.address, "Terminating"),
                ];
                let list = chunk(&list(42, false, &endpoints));
                if list_first {
                    discovery.push(&list).await;
                    wait_for_members(&proxy, 2).await;
                }
                endpoint.reset();
                wait_until("its connection is closed", || {
                    endpoint.open_connections.get() == 0 || endpoint.opened_connections.get() == 2
                })
                .await;
                if !list_first {
                    discovery.push(&list).await;
                }
                let response = client.message().await.expect("a response");
                assert_eq!(response.status(), status, "{class}, {list_first}");
                let seen = endpoint.requests.borrow()[1..].to_vec();
                assert_eq!(seen.len(), sent, "{class}, {list_first}");
                for name in ["x-call-id", "idempotency-key"] {
                    assert!(seen
                        .iter()
                        .all(|message| message.header(name) == seen[0].header(name)));
                }
            });
        }
    }
}

/// What arrives first where the end of a response and the list that says that its endpoint is
/// draining arrive together.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FirstSeen {
    Response,
    List,
    Neither,
}

/// Sends an endpoint's last byte and the update that it drains, in this order. Returns the client's
/// response if it had to be read in between.
async fn send_last_byte_and_update(
    first: FirstSeen,
    endpoint: &Client,
    discovery: &TestDiscovery,
    update: &str,
    proxy: &Proxy,
    client: &mut Client,
) -> Option<Message> {
    match first {
        FirstSeen::Response => {
            write_once_writable(endpoint, "x").await;
            let response = client.message().await;
            discovery.push(update).await;
            response
        }
        FirstSeen::List => {
            discovery.push(update).await;
            wait_for_members(proxy, 2).await;
            write_once_writable(endpoint, "x").await;
            None
        }
        FirstSeen::Neither => {
            let writable = endpoint.stream.writable().await;
            writable.expect("it can be written to");
            discovery.push(update).await;
            write_once_writable(endpoint, "x").await;
            None
        }
    }
}

/// The endpoint of a request begins to drain as the last byte of its response arrives.
async fn drain_at_the_end_of_a_response(large: bool, first: FirstSeen) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let other = TestEndpoint::start([ok("other")]).await;
    let address = listener.local_addr().expect("an address");
    let leaving = TestEndpoint {
        address,
        ..other.clone()
    };
    let discovery = TestDiscovery::without_updates().await;
    let proxy = Proxy::start_with(&discovery, from_ref(&leaving), with_admin).await;
    wait_until("the watch is open", || {
        discovery.watch_requests.borrow().len() == 1
    })
    .await;
    let mut client = proxy.client().await;
    client.send(&request("unsafe", "", "")).await;
    let mut endpoint = accept(&listener).await;
    endpoint.message().await.expect("a request");
    // All but the last byte; a large response is forwarded before its end.
    let size = if large { 100_000 } else { 10 };
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n");
    endpoint.send(&head).await;
    endpoint.send(&"x".repeat(size - 1)).await;
    let endpoints = [
        entry("s-0", address, "Terminating"),
        entry("s-1", other.address, "Ready"),
    ];
    let update = chunk(&list(42, false, &endpoints));
    if large {
        client.stream.readable().await.expect("it is passed on");
    }
    let early =
        send_last_byte_and_update(first, &endpoint, &discovery, &update, &proxy, &mut client).await;
    let response = match early {
        Some(response) => Some(response),
        None => client.message().await,
    };
    let response = response.expect("a response");
    assert_eq!(response.body.len(), size, "{large}, {first:?}");
    assert!(
        endpoint.message().await.is_none(),
        "{large}, {first:?}: closed, and nothing more arrived"
    );
    wait_for_members(&proxy, 2).await;
    let next = client.exchange(&request("unsafe", "", "")).await;
    assert_eq!(next.body, b"other");
}

/// A draining endpoint gets nothing new, also on a connection whose response ends at that moment,
/// small or large: it is closed whichever of the two the proxy sees first.
#[test]
fn a_connection_that_becomes_idle_as_its_endpoint_begins_to_drain_is_closed() {
    for large in [false, true] {
        for first in [FirstSeen::Response, FirstSeen::List, FirstSeen::Neither] {
            run_test(drain_at_the_end_of_a_response(large, first));
        }
    }
}
