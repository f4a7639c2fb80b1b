//! Client connections that are silent, slow, idle or too many.

mod common;

use common::*;
use std::slice::from_ref;
use tokio::io::AsyncWriteExt;

/// A client that sends nothing, only a part of a request, or a request too slowly must not occupy a
/// connection: the proxy closes it, at the latest after 3 s.
#[test]
fn silent_and_slow_clients_are_disconnected() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let proxy = Proxy::start(from_ref(&endpoint)).await;
        let text = request("unsafe", "", "the body");
        let (mut silent, mut partial_head, mut partial_body) = (
            proxy.client().await,
            proxy.client().await,
            proxy.client().await,
        );
        partial_head.send(&text[..30]).await;
        partial_body.send(&text[..text.len() - 2]).await;
        // This client sends its second request one byte at a time; a byte must not restart the
        // timeout.
        let mut slow = proxy.client().await;
        assert_eq!(
            slow.exchange(&request("unsafe", "", "")).await.status(),
            200
        );
        let send_slowly = async {
            for byte in text.as_bytes().chunks(1).cycle() {
                if slow.stream.write_all(byte).await.is_err() {
                    break;
                }
                tokio::time::sleep(std::time::Duration::from_millis(100)).await;
            }
        };
        let rest = async {
            assert!(silent.receive().await.is_none());
            assert!(partial_head.receive().await.is_none());
            assert_eq!(
                partial_body
                    .receive()
                    .await
                    .map(|response| response.status()),
                Some(408)
            );
        };
        tokio::join!(send_slowly, rest);
        assert_eq!(endpoint.request_count(), 1);
    });
}

/// Clients that send one request and keep their connections open must not use up the socket limit:
/// while many connections are open, the proxy closes a connection with the response to its first
/// request.
#[test]
fn idle_connections_are_closed_while_many_are_open() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let proxy = Proxy::start_with(
            &TestDiscovery::without_updates().await,
            &[endpoint],
            |config| {
                config["limits"]["sockets"] = 64.into();
            },
        )
        .await;
        let mut clients = Vec::new();
        let mut closed = 0;
        // Idle connections are closed early while clients use more than a sixth of the 64
        // descriptors.
        for _ in 0..15 {
            let mut client = proxy.client().await;
            let response = client.exchange(&request("free", "", "")).await;
            assert_eq!(response.status(), 200);
            closed += usize::from(response.header("connection") == Some("close"));
            clients.push(client);
        }
        assert!(
            (1..=6).contains(&closed),
            "{closed} connections were closed"
        );
        let is_closed = |client: &TestConnection| {
            client
                .stream
                .try_read(&mut [0])
                .is_ok_and(|count| count == 0)
        };
        wait_until(
            "the connections whose response had `Connection: close` are closed",
            || clients.iter().filter(|client| is_closed(client)).count() == closed,
        )
        .await;
        assert_eq!(
            clients[0].exchange(&request("free", "", "")).await.status(),
            200,
            "the other connections must stay open"
        );
    });
}

/// At the socket limit, connections without a request are evicted first, and a connection that has
/// just got a response stays open.
#[test]
fn a_client_that_sends_requests_is_not_evicted_at_the_socket_limit() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let proxy = Proxy::start_with(
            &TestDiscovery::without_updates().await,
            &[endpoint],
            |config| {
                config["limits"]["sockets"] = 64.into();
            },
        )
        .await;
        let mut active = proxy.client().await;
        assert_eq!(
            active.exchange(&request("free", "", "")).await.status(),
            200
        );
        let mut silent = Vec::new();
        for _ in 0..100 {
            silent.push(proxy.client().await);
            assert_eq!(
                active.exchange(&request("free", "", "")).await.status(),
                200
            );
        }
    });
}

/// Clients that connect and send nothing must neither block other clients nor use more descriptors
/// than the socket limit allows.
#[test]
fn silent_connections_do_not_block_other_clients() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let proxy = Proxy::start_with(
            &TestDiscovery::without_updates().await,
            &[endpoint],
            |config| {
                config["limits"]["sockets"] = 64.into();
            },
        )
        .await;
        let mut silent = Vec::new();
        for _ in 0..40 {
            silent.push(proxy.client().await);
        }
        assert_eq!(
            proxy
                .client()
                .await
                .exchange(&request("free", "", ""))
                .await
                .status(),
            200
        );
    });
}
