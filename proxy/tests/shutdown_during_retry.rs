//! Graceful shutdown while the connection of a retry is being opened. A process that is started
//! meanwhile has all sockets open for a moment, so no test here starts one.

mod common;

use common::*;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// A request whose first attempt was rejected, and the connection of whose second one does not
/// open.
struct OpeningRetry {
    proxy: Proxy,
    client: Client,
    /// The first attempt's.
    connection: Client,
    /// Where the second attempt goes: its listener, and what fills its backlog.
    listener: TcpListener,
    full: Vec<TcpStream>,
    discovery: TestDiscovery,
}

async fn opening_retry() -> OpeningRetry {
    let (stuck, full, listener) = endpoint_with_full_backlog().await;
    let first = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = first.local_addr().expect("an address");
    let discovery = TestDiscovery::without_updates().await;
    let known = [TestEndpoint {
        address,
        ..TestEndpoint::start([ScriptedResponse::Stall]).await
    }];
    let proxy = Proxy::start_with(&discovery, &known, |config| {
        config["admin"] = "127.0.0.1:0".into();
        config["settings"]["limits"]["connect_timeout_us"] = 20_000_000.into();
    })
    .await;
    let admin = proxy.admin.expect("an address for operators");
    let mut client = proxy.client().await;
    client.send(&request("unsafe", "", "the body")).await;
    let mut connection = MessageReader::new(first.accept().await.expect("the proxy connects").0);
    connection.message().await.expect("the first attempt");
    let update = list(42, false, &[entry("s-1", stuck.address, "Ready")]);
    discovery.push(&chunk(&update)).await;
    while metrics(admin).await["members"] != 2 {}
    let written = connection.stream.write_all(REJECTION.as_bytes()).await;
    written.expect("written");
    wait_until("the second connection is being opened", || {
        is_connecting(stuck.address)
    })
    .await;
    OpeningRetry {
        proxy,
        client,
        connection,
        listener,
        full,
        discovery,
    }
}

/// Shuts the proxy down while the connection of a retry is being opened.
async fn shut_down_during_a_retry(opens_in_time: bool) {
    let OpeningRetry {
        mut proxy,
        mut client,
        connection,
        listener,
        full,
        discovery: _discovery,
    } = opening_retry().await;
    let admin = proxy.admin.expect("an address for operators");
    let stopped_at = Instant::now();
    drop(proxy.stop.take());
    while admin_command(admin, "health\n")
        .await
        .starts_with("SUCCESS")
    {}
    let mut full = Some(full);
    let mut listener = Some(listener);
    let endpoint = listener.take_if(|_| opens_in_time).map(|listener| {
        full.take();
        TestEndpoint::on_listener(listener, [ok("served")])
    });
    let response = client.message().await.expect("a response");
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
    // 3 s for requests, 0.6 s on top, and 0.1 s of margin before it is killed.
    assert!(stopped_at.elapsed() < Duration::from_millis(3_700));
    let ended = (&mut proxy.task).await.expect("it ends without a panic");
    ended.expect("it listened");
    assert!(
        connection.stream.try_read(&mut [0]).is_err(),
        "the first endpoint gets nothing more"
    );
}

/// The connection of a second attempt is being opened when the order to shut down arrives. If it
/// opens in time, it is used; if not, the request is rejected before the process is killed, as it
/// has not run. Either way the process ends.
#[test]
fn a_shutdown_waits_a_bounded_time_for_the_connection_of_a_retry() {
    for opens_in_time in [true, false] {
        run_test(shut_down_during_a_retry(opens_in_time));
    }
}
