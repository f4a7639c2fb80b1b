//! Graceful shutdown while the connection of a retry is being opened. No test here starts a
//! process: between fork and exec it would hold copies of all of this process's sockets, so closing
//! one here would not close its connection.

mod common;

use common::*;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// A request whose first attempt was rejected, and whose second attempt waits for its connection to
/// open.
struct ConnectingRetry {
    proxy: Proxy,
    client: TestConnection,
    /// The endpoint's side of the first attempt's connection.
    first_connection: TestConnection,
    /// The listener of the second attempt's endpoint, and the connections that fill its backlog.
    listener: TcpListener,
    backlog: Vec<TcpStream>,
    discovery: TestDiscovery,
}

async fn start_connecting_retry() -> ConnectingRetry {
    let (full_endpoint, backlog, listener) = endpoint_with_full_backlog().await;
    let first = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("cannot bind a port");
    let address = first.local_addr().expect("no local address");
    let discovery = TestDiscovery::without_updates().await;
    let known_endpoints = [TestEndpoint {
        address,
        ..TestEndpoint::start([ScriptedResponse::Stall]).await
    }];
    let proxy = Proxy::start_with(&discovery, &known_endpoints, |config| {
        config["admin"] = "127.0.0.1:0".into();
        config["settings"]["limits"]["connect_timeout_us"] = 20_000_000.into();
    })
    .await;
    let admin = proxy.admin.expect("no address for operators");
    let mut client = proxy.client().await;
    client.send(&request("unsafe", "", "the body")).await;
    let mut first_connection = MessageReader::new(first.accept().await.expect("accept failed").0);
    first_connection.receive().await.expect("no first attempt");
    let update = endpoint_list(
        42,
        false,
        &[endpoint_entry("s-1", full_endpoint.address, "Ready")],
    );
    discovery.push(&chunk(&update)).await;
    while metrics(admin).await["members"] != 2 {}
    let written = first_connection
        .stream
        .write_all(REJECTION.as_bytes())
        .await;
    written.expect("write failed");
    wait_until("the second connection is being opened", || {
        is_connecting(full_endpoint.address)
    })
    .await;
    ConnectingRetry {
        proxy,
        client,
        first_connection,
        listener,
        backlog,
        discovery,
    }
}

/// Shuts the proxy down while the connection of a retry is being opened.
async fn shut_down_during_a_retry(opens_in_time: bool) {
    let ConnectingRetry {
        mut proxy,
        mut client,
        first_connection,
        listener,
        backlog,
        discovery: _discovery,
    } = start_connecting_retry().await;
    let admin = proxy.admin.expect("no address for operators");
    let stopped_at = Instant::now();
    drop(proxy.stop.take());
    while admin_command(admin, "health\n")
        .await
        .starts_with("SUCCESS")
    {}
    let mut backlog = Some(backlog);
    let mut listener = Some(listener);
    let endpoint = listener.take_if(|_| opens_in_time).map(|listener| {
        backlog.take();
        TestEndpoint::on_listener(listener, [ok("served")])
    });
    let response = client.receive().await.expect("no response");
    assert_eq!(response.header("connection"), Some("close"));
    match &endpoint {
        Some(endpoint) => {
            let body = response.body.as_slice();
            assert_eq!((response.status(), body), (200, &b"served"[..]));
            assert_eq!(endpoint.request_count(), 1);
        }
        None => {
            let has_retry_after = response.header("retry-after").is_some();
            assert_eq!((response.status(), has_retry_after), (503, true));
        }
    }
    // The shutdown waits 3.6 s for replies; the process is killed 0.1 s later.
    assert!(stopped_at.elapsed() < Duration::from_millis(3_700));
    let ended = (&mut proxy.task).await.expect("the proxy task panicked");
    ended.expect("the proxy returned an error");
    assert!(
        first_connection.stream.try_read(&mut [0]).is_err(),
        "the first endpoint must get no further request"
    );
}

/// A shutdown begins while the connection of a second attempt is being opened. If it opens in time,
/// the attempt must be written; if not, the request must be rejected before the process is killed,
/// as it has not run. The process must end in both cases.
#[test]
fn a_shutdown_waits_a_bounded_time_for_the_connection_of_a_retry() {
    for opens_in_time in [true, false] {
        run_test(shut_down_during_a_retry(opens_in_time));
    }
}
