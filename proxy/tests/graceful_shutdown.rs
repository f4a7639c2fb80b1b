//! Graceful shutdown. No test here starts a process: between fork and exec it would hold copies of
//! all of this process's sockets, so closing one here would not close its connection.

mod common;

use common::*;
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::slice::from_ref;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::sleep;

/// A shutdown must respond to every accepted request, accept connections that arrive within 0.5 s
/// after it has begun, and close connections that have no request.
#[test]
fn a_shutdown_responds_to_every_accepted_request() {
    run_test(async {
        let endpoint =
            TestEndpoint::start([ok("before"), ScriptedResponse::Stall, ok("after")]).await;
        let mut proxy = Proxy::start(from_ref(&endpoint)).await;
        let mut idle = proxy.client().await;
        let mut busy = proxy.client().await;
        let mut partial = proxy.client().await;
        assert_eq!(
            idle.exchange(&request("unsafe", "", "")).await.body,
            b"before"
        );
        busy.send(&request("unsafe", "", "").replace("8000", "1500"))
            .await;
        partial.send("POST /api HTTP/1.1\r\nX-Call").await;
        wait_until("the endpoint has the request", || {
            endpoint.request_count() == 2
        })
        .await;
        drop(proxy.stop.take());
        let mut late = proxy.client().await;
        assert_eq!(
            late.exchange(&request("unsafe", "", "")).await.body,
            b"after"
        );
        assert_eq!(busy.receive().await.expect("no response").status(), 502);
        (&mut proxy.task)
            .await
            .expect("the proxy task panicked")
            .expect("the proxy returned an error");
        assert!(
            idle.receive().await.is_none(),
            "the idle connection must be closed"
        );
        assert!(
            TcpStream::connect(proxy.address).await.is_err(),
            "the proxy must no longer listen"
        );
    });
}

/// A shutdown must not truncate a large response, however long it takes. A request whose last byte
/// arrives 0.6 s or more after the shutdown has begun must be rejected: its own response may be
/// large, and the process may be killed during it.
#[test]
fn a_shutdown_waits_for_a_large_response_and_rejects_late_requests() {
    run_test(async {
        const HALF_BYTES: usize = 100_000;
        let (endpoint, listener) = manual_endpoint().await;
        let mut proxy = Proxy::start(from_ref(&endpoint)).await;
        let mut client = proxy.client().await;
        let mut late = proxy.client().await;
        client.send(&request("free", "", "")).await;
        let mut stream = listener.accept().await.expect("accept failed").0;
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
            2 * HALF_BYTES
        );
        stream
            .write_all(head.as_bytes())
            .await
            .expect("write failed");
        stream
            .write_all(&[b'a'; HALF_BYTES])
            .await
            .expect("write failed");
        let text = request("unsafe", "", "body");
        late.send(&text[..text.len() - 1]).await;
        client
            .stream
            .readable()
            .await
            .expect("the response did not begin to arrive");
        drop(proxy.stop.take());
        sleep(Duration::from_millis(900)).await;
        late.send("y").await;
        let response = late.receive().await.expect("no response");
        assert_eq!(
            (response.status(), response.header("retry-after").is_some()),
            (503, true)
        );
        // The shutdown waits 3.6 s for responses that have not begun; 3.9 s have passed after this.
        sleep(Duration::from_secs(3)).await;
        stream
            .write_all(&[b'b'; HALF_BYTES])
            .await
            .expect("write failed");
        let response = client.receive().await.expect("no response");
        assert_eq!(
            (response.body.len(), response.body.last()),
            (2 * HALF_BYTES, Some(&b'b'))
        );
        (&mut proxy.task)
            .await
            .expect("the proxy task panicked")
            .expect("the proxy returned an error");
    });
}

/// A queued request waits until its own deadline, but must be rejected before the process is
/// killed. If D is the longest deadline of all classes or 3 s, whichever is shorter, the shutdown
/// ends D + 0.6 s after it has begun, and the process is killed at D + 0.7 s.
#[test]
fn a_shutdown_rejects_queued_requests_before_the_process_is_killed() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let draining = endpoint_list(
            42,
            true,
            &[endpoint_entry("s-0", endpoint.address, "Terminating")],
        );
        let discovery = TestDiscovery::start([format!("{WATCH_HEAD}{}", chunk(&draining))]).await;
        let mut proxy = Proxy::start_with(&discovery, &[], |config| {
            config["settings"]["classes"][2]["deadline_us"] = 20_000_000.into();
            config["settings"]["classes"][2]["late_value"] = 0.5.into();
        })
        .await;
        let mut queued = proxy.client().await;
        queued
            .send(&request("unsafe", "", "").replace("8000", "20000"))
            .await;
        // A health request sent later has a response, so the proxy has read the first request.
        while proxy.client().await.exchange(HEALTH_REQUEST).await.status() != 200 {}
        let stopped_at = Instant::now();
        drop(proxy.stop.take());
        let response = queued.receive().await.expect("no response");
        assert_eq!(
            (response.status(), response.header("connection")),
            (503, Some("close"))
        );
        assert!(stopped_at.elapsed() < Duration::from_millis(3_700));
        assert_eq!(endpoint.request_count(), 0);
        (&mut proxy.task)
            .await
            .expect("the proxy task panicked")
            .expect("the proxy returned an error");
    });
}

/// A connection that waits in the listener's backlog, because the limit on client connections is
/// reached, must get a response too: closing the listener before it is accepted would reset it.
#[test]
fn a_shutdown_responds_on_connections_that_wait_to_be_accepted() {
    run_test(async {
        let endpoint = TestEndpoint::start([ScriptedResponse::Stall]).await;
        let limit_descriptors = |config: &mut serde_json::Value| {
            config["limits"]["sockets"] = 70.into();
            config["admin"] = "127.0.0.1:0".into();
        };
        let discovery = TestDiscovery::without_updates().await;
        let mut proxy = Proxy::start_with(&discovery, from_ref(&endpoint), limit_descriptors).await;
        let admin = proxy.admin.expect("no address for operators");
        let text = configuration(discovery.address, &[], limit_descriptors);
        let max_clients = client_proxy::config::Config::parse(&text)
            .expect("invalid configuration")
            .max_client_connections();
        let mut clients = Vec::new();
        for number in 1..=max_clients {
            clients.push(proxy.client().await);
            clients[number - 1].send(&request("free", "", "")).await;
            while metrics(admin).await["pending"] != number {}
        }
        let mut waiting = proxy.client().await;
        waiting.send(&request("free", "", "")).await;
        drop(proxy.stop.take());
        assert_eq!(waiting.receive().await.expect("no response").status(), 503);
        (&mut proxy.task)
            .await
            .expect("the proxy task panicked")
            .expect("the proxy returned an error");
    });
}

/// Closing a connection that has unread bytes resets it by default, and a reset may discard the
/// response that was sent before. The proxy must close such connections without a reset.
#[test]
fn closing_a_connection_with_unread_bytes_does_not_reset_it() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let mut proxy = Proxy::start(from_ref(&endpoint)).await;
        assert_eq!(
            proxy.client().await.exchange(HEALTH_REQUEST).await.status(),
            200
        );
        let pipelined = "x".repeat(300_000);
        let mut clients = Vec::new();
        for text in [
            request("unheard-of", "", ""),
            "GET nowhere at all\r\n\r\n".to_owned(),
        ] {
            let stream = std::net::TcpStream::connect(proxy.address).expect("cannot connect");
            std::io::Write::write_all(&mut &stream, format!("{text}{pipelined}").as_bytes())
                .expect("write failed");
            stream
                .set_nonblocking(true)
                .expect("cannot make the socket nonblocking");
            clients.push(MessageReader::new(
                TcpStream::from_std(stream).expect("cannot convert the stream"),
            ));
        }
        for client in &clients {
            client.stream.readable().await.expect("no response arrived");
        }
        drop(proxy.stop.take());
        (&mut proxy.task)
            .await
            .expect("the proxy task panicked")
            .expect("the proxy returned an error");
        for client in &mut clients {
            assert!(
                client
                    .stream
                    .take_error()
                    .expect("cannot read the socket's error")
                    .is_none(),
                "the connection must not be reset"
            );
            assert_eq!(client.receive().await.expect("no response").status(), 400);
            assert_eq!(
                client
                    .stream
                    .read(&mut [0])
                    .await
                    .expect("the connection was reset"),
                0
            );
        }
    });
}

/// A process that waits for its first endpoint list has accepted no connection, so a shutdown must
/// end it at once, whether it is alone or another process serves.
#[test]
fn a_shutdown_before_the_first_endpoint_list_ends_the_process_at_once() {
    run_test(async {
        for has_other_process in [false, true] {
            let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
                .join(format!("shutdown-without-list-{has_other_process}"));
            std::fs::create_dir_all(&folder).expect("cannot create the folder");
            let other = match has_other_process {
                true => Some(
                    client_proxy::process_handoff::announce_presence(&folder, |_| ())
                        .await
                        .expect("cannot announce the process"),
                ),
                false => None,
            };
            let discovery = TestDiscovery::without_updates().await;
            let config = configuration(discovery.address, &[], |_| ());
            let config =
                client_proxy::config::Config::parse(&config).expect("invalid configuration");
            let clients = client_proxy::process_handoff::bind(config.listen)
                .expect("cannot bind the address");
            let listeners = client_proxy::Listeners {
                clients,
                operators: None,
            };
            let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
            let stopped = async {
                let _ = stopped.await;
            };
            let run = client_proxy::run(config, listeners, Some(folder), async || None, stopped);
            let task = spawn_local(run);
            wait_until("the proxy has requested the endpoint list", || {
                !discovery.watch_requests.borrow().is_empty()
            })
            .await;
            let stopped_at = Instant::now();
            drop(stop);
            task.await
                .expect("the proxy task panicked")
                .expect("the proxy returned an error");
            assert!(
                stopped_at.elapsed() < Duration::from_secs(1),
                "the shutdown took {:?}; another process serves: {has_other_process}",
                stopped_at.elapsed()
            );
            drop(other);
        }
    });
}

type ResponseStatuses = Rc<RefCell<HashMap<String, u16>>>;

/// Spawns a client that sends requests until its connection ends, and records the status of each
/// response by the request's id. With `waits_for_response` it sends a request only after the
/// response to the previous one, otherwise without waiting.
fn spawn_client(
    client: TestConnection,
    waits_for_response: bool,
    statuses: ResponseStatuses,
) -> JoinHandle<()> {
    let (read, mut write) = client.stream.into_split();
    let response_received = Rc::new(Notify::new());
    let sent_ids = Rc::new(RefCell::new(VecDeque::new()));
    let received = response_received.clone();
    let ids = sent_ids.clone();
    let writer = spawn_local(async move {
        loop {
            let text = request("unsafe", "", "");
            let mut lines = text.split("\r\n");
            let id = lines.find_map(|line| line.strip_prefix("X-Call-Id: "));
            let id = id.expect("no request id").to_owned();
            ids.borrow_mut().push_back(id);
            if write.write_all(text.as_bytes()).await.is_err() {
                return;
            }
            if waits_for_response {
                received.notified().await;
            }
        }
    });
    spawn_local(async move {
        let mut reader = MessageReader::new(read);
        while let Some(response) = reader.receive().await {
            let id: Option<String> = sent_ids.borrow_mut().pop_front();
            let id = id.expect("no request for the response");
            statuses.borrow_mut().insert(id, response.status());
            response_received.notify_one();
        }
        writer.abort();
    })
}

/// Clients keep sending on every connection, half of them without waiting for responses, so no
/// connection is ever idle. A shutdown must complete nevertheless. Every request that reached the
/// endpoint must get a response that is not a rejection; only a request that was not forwarded may
/// have none.
#[test]
fn a_shutdown_completes_while_clients_keep_sending() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let mut proxy = Proxy::start(from_ref(&endpoint)).await;
        let statuses = ResponseStatuses::default();
        let mut clients = Vec::new();
        for number in 0..24 {
            let client = proxy.client().await;
            clients.push(spawn_client(client, number % 2 == 0, statuses.clone()));
        }
        wait_until("all clients are sending", || statuses.borrow().len() > 240).await;
        drop(proxy.stop.take());
        (&mut proxy.task)
            .await
            .expect("the proxy task panicked")
            .expect("the proxy returned an error");
        for client in clients {
            client.await.expect("the client task panicked");
        }
        for seen in endpoint.requests.borrow().iter() {
            let status = statuses
                .borrow()
                .get(seen.header("x-call-id").expect("no request id"))
                .copied();
            // On a busy machine the endpoint's response may arrive too late, which is a 502.
            assert!(
                [Some(200), Some(502)].contains(&status),
                "{status:?}: {seen:?}"
            );
        }
    });
}
