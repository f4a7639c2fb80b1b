//! Events on both sides at once: each order is forced by endpoints that the test plays.

mod common;

use common::*;
use socket2::{SockAddr, SockRef};
use std::net::SocketAddr;
use std::os::fd::BorrowedFd;
use std::slice::from_ref;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

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
        wait_until("the watch is open", || discovery.watch_requests.borrow().len() == 1).await;
        let mut client = proxy.client().await;
        client.send(&request("keyed", "", "the first")).await;
        wait_until("the endpoint has the request", || first.request_count() == 1).await;
        let endpoints = [entry("s-0", first.address, "Terminating"), entry("s-1", stuck.address, "Ready")];
        discovery.push(&chunk(&list(42, false, &endpoints))).await;
        assert_eq!(proxy.client().await.exchange(HEALTH_REQUEST).await.status(), 200);
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
        assert_eq!(client.exchange(&request("unsafe", "", "the second")).await.body, b"served");
        let bodies: Vec<_> = endpoint.requests.borrow().iter().map(|message| message.body.clone()).collect();
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
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    socket.listen(16).expect("it listens")
}

async fn accept(listener: &TcpListener) -> Client {
    MessageReader::new(listener.accept().await.expect("the proxy connects").0)
}

async fn respond_ok(endpoint: &mut Client, body: &str) {
    let response = ok_response(body);
    endpoint.send(&response).await;
}

/// Waits until the proxy has applied a list with this many endpoints.
async fn wait_for_members(proxy: &Proxy, number: u64) {
    let admin = proxy.admin.expect("an address for operators");
    while metrics(admin).await["members"] != number {}
}

/// A draining endpoint gets nothing new. A request that it had partly received on a connection
/// that then breaks is written from its beginning, so it goes to another endpoint.
#[test]
fn a_partly_written_request_is_not_restarted_at_a_draining_endpoint() {
    run_test(async {
        let (listener, other) = (listen_with_small_buffer(), TestEndpoint::start([ok("other")]).await);
        let discovery = TestDiscovery::without_updates().await;
        let leaving = TestEndpoint { address: listener.local_addr().expect("an address"), ..other.clone() };
        let proxy = Proxy::start_with(&discovery, from_ref(&leaving), with_admin).await;
        let mut client = proxy.client().await;
        client.send(&request("unsafe", "", "")).await;
        let mut reused = accept(&listener).await;
        reused.message().await.expect("a request");
        respond_ok(&mut reused, "first").await;
        assert_eq!(client.message().await.expect("a response").body, b"first");
        client.send(&request("unsafe", "", &"x".repeat(60_000))).await;
        reused.stream.readable().await.expect("it has begun to arrive");
        let endpoints = [entry("s-0", leaving.address, "Terminating"), entry("s-1", other.address, "Ready")];
        discovery.push(&chunk(&list(42, false, &endpoints))).await;
        wait_for_members(&proxy, 2).await;
        reset_connection(reused);
        let responded = async { client.message().await.expect("a response").body };
        tokio::select! {
            body = responded => assert_eq!(body, b"other"),
            mut again = accept(&listener) => panic!("it is restarted: {:?}", again.message().await.map(|m| m.start_line)),
        }
        assert_eq!(other.request_count(), 1);
    });
}

fn reset_connection(peer: Client) {
    socket2::SockRef::from(&peer.stream).set_linger(Some(Duration::ZERO)).expect("zero linger");
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
            wait_until("the watch is open", || discovery.watch_requests.borrow().len() == 1).await;
            let mut client = proxy.client().await;
            client.send(&request("unsafe", "", "")).await;
            // Sent later and answered: the proxy has read the request before.
            assert_eq!(proxy.client().await.exchange(HEALTH_REQUEST).await.status(), 200);
            let endpoints = match moved {
                true => vec![restarted_entry("s-0", &other)],
                false => vec![restarted_entry("s-0", &stuck), entry("s-1", other.address, "Ready")],
            };
            discovery.push(&chunk(&list(42, false, &endpoints))).await;
            assert_eq!(client.message().await.expect("a response").body, b"other", "{moved}");
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
        wait_until("the endpoint has the request", || endpoint.request_count() == 1).await;
        let endpoints = [restarted_entry("s-0", &endpoint), entry("s-1", endpoint.address, "Terminating")];
        discovery.push(&chunk(&list(42, false, &endpoints))).await;
        wait_for_members(&proxy, 2).await;
        endpoint.release.notify_one();
        assert_eq!(client.message().await.expect("a response").body, b"released");
        assert_eq!(client.exchange(&request("unsafe", "", "")).await.body, b"next");
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
                assert_eq!(client.exchange(&request(class, "", "")).await.body, b"before");
                client.send(&request(class, "", "")).await;
                wait_until("the endpoint has the request", || endpoint.request_count() == 2).await;
                let endpoints =
                    [restarted_entry("s-0", &endpoint), entry("s-1", endpoint.address, "Terminating")];
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
                    assert!(seen.iter().all(|message| message.header(name) == seen[0].header(name)));
                }
            });
        }
    }
}

/// A response without a length may arrive in small pieces that never end, and its client may wait
/// for it for ever. It is ended, and is seen as broken; one that is slow, and takes longer in all
/// than an endpoint may be silent, is not.
#[test]
fn an_endless_response_in_small_pieces_is_ended() {
    run_test(async {
        let (endless, slow) = tokio::join!(stream_in_pieces(1), stream_in_pieces(400));
        assert!(!endless.ends_with("0\r\n\r\n") && endless.len() < 1_000, "{} bytes", endless.len());
        assert!(slow.ends_with("0\r\n\r\n"), "{} bytes", slow.len());
    });
}

/// A proxy, a client that has sent a non-idempotent request, and the connection of its endpoint,
/// which has read it.
async fn non_idempotent_request_in_flight() -> (Proxy, Client, Client) {
    let (endpoint, listener) = manual_endpoint().await;
    let proxy = Proxy::start(from_ref(&endpoint)).await;
    let mut client = proxy.client().await;
    client.send(&request("unsafe", "", "")).await;
    let mut endpoint = accept(&listener).await;
    endpoint.message().await.expect("a request");
    (proxy, client, endpoint)
}

/// What a client gets of a response that arrives in 120 pieces of this size, ten a second.
async fn stream_in_pieces(size: usize) -> String {
    let (_proxy, mut client, mut endpoint) = non_idempotent_request_in_flight().await;
    let writing = async {
        endpoint.send(WATCH_HEAD).await;
        let piece = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
        for _ in 0..120 {
            // The other side may have stopped reading.
            if endpoint.stream.write_all(piece.as_bytes()).await.is_err() {
                return;
            }
            sleep(Duration::from_millis(100)).await;
        }
        endpoint.send("0\r\n\r\n").await;
    };
    let mut read = Vec::new();
    let reading = async {
        while !read.ends_with(b"0\r\n\r\n") && client.stream.read_buf(&mut read).await.is_ok_and(|n| n > 0) {}
    };
    tokio::join!(writing, reading);
    String::from_utf8(read).expect("text")
}

/// Writes without waiting: nothing of the proxy runs before this returns.
async fn write_now(endpoint: &Client, text: &str) {
    endpoint.stream.writable().await.expect("it can be written to");
    assert_eq!(endpoint.stream.try_write(text.as_bytes()).expect("written"), text.len());
}

/// Responds to every further request on a connection.
fn keep_responding(mut endpoint: Client) {
    spawn_local(async move {
        while endpoint.message().await.is_some() {
            respond_ok(&mut endpoint, "next").await;
        }
    });
}

/// How requests ended, over all classes: completed, rejected, failed. None is pending.
async fn ends_of_all_requests(proxy: &Proxy) -> [u64; 3] {
    let admin = proxy.admin.expect("an address for operators");
    assert_eq!(metrics(admin).await["pending"], 0);
    request_ends(admin).await
}

/// A proxy, a client whose request is in flight, and the listener and the connection of the
/// endpoint that has it.
async fn request_in_flight(text: &str) -> (Proxy, Client, TcpListener, Client) {
    let (endpoint, listener) = manual_endpoint().await;
    let proxy =
        Proxy::start_with(&TestDiscovery::without_updates().await, from_ref(&endpoint), with_admin).await;
    let mut client = proxy.client().await;
    client.send(text).await;
    let mut endpoint = accept(&listener).await;
    endpoint.message().await.expect("a request");
    (proxy, client, listener, endpoint)
}

/// The response and its deadline are there before the proxy checks for either: the response is
/// forwarded or completely dropped. Its client gets one final response, one that does not make a
/// non-idempotent request look as if it had not run, and the next request on the same connection
/// gets its own.
#[test]
fn a_response_in_the_instant_of_its_deadline_is_forwarded_or_dropped() {
    for (class, abandoned) in [("unsafe", 502), ("keyed", 502), ("free", 503)] {
        run_test(async {
            let text = request(class, "", "").replace("8000", "500");
            let (proxy, mut client, listener, endpoint) = request_in_flight(&text).await;
            endpoint.stream.writable().await.expect("it can be written to");
            // Not a wait: this keeps the proxy, on the same thread, from its turn until both are
            // there.
            std::thread::sleep(Duration::from_millis(510));
            let late = ok_response("late");
            write_now(&endpoint, &late).await;
            keep_responding(endpoint);
            let others = TestEndpoint::on_listener(listener, [ok("next")]);
            let response = client.message().await.expect("a response");
            let is_forwarded = response.status() == 200 && response.body == b"late";
            assert!(is_forwarded || response.status() == abandoned, "{class}: {response:?}");
            assert_eq!(client.exchange(&request(class, "", "")).await.body, b"next", "{class}");
            assert!(others.request_count() <= 1, "{class}");
            assert_eq!(ends_of_all_requests(&proxy).await.iter().sum::<u64>(), 2, "{class}");
            let metrics = metrics(proxy.admin.expect("an address for operators")).await;
            assert_eq!(metrics["upstream_requests"], 2, "{class}: nothing is retried");
        });
    }
}

/// The response arrives as its client disconnects: the request ends once, nothing is retried, its
/// id is free again, and no other request gets what remains of the response.
#[test]
fn a_response_that_crosses_its_clients_disconnect_is_discarded() {
    for class in ["free", "keyed", "unsafe"] {
        run_test(async {
            let text = request(class, "", "");
            let (proxy, client, listener, endpoint) = request_in_flight(&text).await;
            let late = ok_response("late");
            write_now(&endpoint, &late).await;
            drop(client);
            keep_responding(endpoint);
            let others = TestEndpoint::on_listener(listener, [ok("next")]);
            // Until the proxy has seen the disconnect, the id is in use.
            let mut client = proxy.client().await;
            let response = loop {
                match client.exchange(&text).await {
                    response if response.status() == 409 => client = proxy.client().await,
                    response => break response,
                }
            };
            assert_eq!(response.body, b"next", "{class}");
            assert!(others.request_count() <= 1);
            assert_eq!(ends_of_all_requests(&proxy).await.iter().sum::<u64>(), 2, "{class}");
        });
    }
}

/// What arrives first where the end of a response and the list that says that its endpoint is
/// draining arrive together.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FirstSeen {
    Answer,
    List,
    Neither,
}

/// A draining endpoint gets nothing new, also on a connection whose response ends at that moment,
/// small or large: it is closed whichever of the two the proxy sees first.
#[test]
fn a_connection_that_becomes_idle_as_its_endpoint_begins_to_drain_is_closed() {
    for large in [false, true] {
        for first in [FirstSeen::Answer, FirstSeen::List, FirstSeen::Neither] {
            run_test(async {
                let (listener, other) =
                    (TcpListener::bind("127.0.0.1:0").await, TestEndpoint::start([ok("other")]).await);
                let listener = listener.expect("a port");
                let address = listener.local_addr().expect("an address");
                let leaving = TestEndpoint { address, ..other.clone() };
                let discovery = TestDiscovery::without_updates().await;
                let proxy = Proxy::start_with(&discovery, from_ref(&leaving), with_admin).await;
                wait_until("the watch is open", || discovery.watch_requests.borrow().len() == 1).await;
                let mut client = proxy.client().await;
                client.send(&request("unsafe", "", "")).await;
                let mut endpoint = accept(&listener).await;
                endpoint.message().await.expect("a request");
                // All but the last byte; a large response is forwarded before its end.
                let size = if large { 100_000 } else { 10 };
                endpoint.send(&format!("HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n")).await;
                endpoint.send(&"x".repeat(size - 1)).await;
                let endpoints = [entry("s-0", address, "Terminating"), entry("s-1", other.address, "Ready")];
                let update = chunk(&list(42, false, &endpoints));
                if large {
                    client.stream.readable().await.expect("it is passed on");
                }
                let mut response = None;
                match first {
                    FirstSeen::Answer => {
                        write_now(&endpoint, "x").await;
                        response = client.message().await;
                        discovery.push(&update).await;
                    }
                    FirstSeen::List => {
                        discovery.push(&update).await;
                        wait_for_members(&proxy, 2).await;
                        write_now(&endpoint, "x").await;
                    }
                    FirstSeen::Neither => {
                        endpoint.stream.writable().await.expect("it can be written to");
                        discovery.push(&update).await;
                        write_now(&endpoint, "x").await;
                    }
                }
                let response = match response {
                    Some(response) => Some(response),
                    None => client.message().await,
                };
                assert_eq!(response.expect("a response").body.len(), size, "{large}, {first:?}");
                assert!(
                    endpoint.message().await.is_none(),
                    "{large}, {first:?}: closed, and nothing more arrived"
                );
                wait_for_members(&proxy, 2).await;
                assert_eq!(client.exchange(&request("unsafe", "", "")).await.body, b"other");
            });
        }
    }
}

/// Truncated responses: the head, a part of the body, and whether the connection is reset or
/// closed.
const TRUNCATED_RESPONSES: [(&str, &str, bool); 7] = [
    ("Content-Length: 10\r\n", "half", false),
    ("Content-Length: 10\r\n", "half", true),
    ("Content-Length: 10\r\n", "", true),
    ("Transfer-Encoding: chunked\r\n", "4\r\nhalf\r\n", false),
    ("Transfer-Encoding: chunked\r\n", "4\r\nhalf\r\n", true),
    ("", "", true),
    ("", "half", true),
];

/// A truncated response is none, whatever of it has arrived and however it breaks off: one without
/// a length has no end but that of its connection, and a reset is no end. Nothing of it is
/// forwarded; its request is retried if its class allows.
#[test]
fn a_truncated_response_is_not_forwarded() {
    for (framing, part, is_reset) in TRUNCATED_RESPONSES {
        for (class, status) in [("free", 200), ("keyed", 200), ("unsafe", 502)] {
            run_test(async {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
                let address = listener.local_addr().expect("an address");
                let (cut, good) = (
                    TestEndpoint { address, ..TestEndpoint::start([ScriptedResponse::Stall]).await },
                    TestEndpoint::start([ok("good")]).await,
                );
                let discovery = TestDiscovery::without_updates().await;
                let proxy = Proxy::start_with(&discovery, from_ref(&cut), with_admin).await;
                wait_until("the watch is open", || discovery.watch_requests.borrow().len() == 1).await;
                let mut client = proxy.client().await;
                client.send(&request(class, "", "")).await;
                let mut endpoint = accept(&listener).await;
                endpoint.message().await.expect("a request");
                let endpoints = [entry("s-0", address, "Terminating"), entry("s-1", good.address, "Ready")];
                discovery.push(&chunk(&list(42, false, &endpoints))).await;
                wait_for_members(&proxy, 2).await;
                write_now(&endpoint, &format!("HTTP/1.1 200 OK\r\n{framing}\r\n{part}")).await;
                match is_reset {
                    true => reset_connection(endpoint),
                    false => drop(endpoint),
                }
                let response = client.message().await.expect("a response");
                let case = format!("{framing:?}, {part:?}, {is_reset}, {class}");
                assert_eq!(response.status(), status, "{case}");
                assert!(status != 200 || response.body == b"good", "{case}: {response:?}");
                assert_eq!(good.request_count(), usize::from(status == 200), "{case}");
            });
        }
    }
}

/// A response without a length ends with its connection. A complete one is forwarded as it is,
/// whether the class may be retried or not; the table of truncated responses has those that are
/// reset.
#[test]
fn a_complete_response_without_a_length_is_forwarded() {
    for (class, size) in [("free", 0), ("free", 4), ("unsafe", 4), ("keyed", 50_000), ("unsafe", 200_000)] {
        run_test(async {
            let body = "b".repeat(size);
            let endpoint = TestEndpoint::start([ScriptedResponse::WriteAndClose(format!(
                "HTTP/1.1 200 OK\r\n\r\n{body}"
            ))])
            .await;
            let proxy = Proxy::start(from_ref(&endpoint)).await;
            let mut client = proxy.client().await;
            client.send(&request(class, "", "")).await;
            let response = client.response().await.expect("a complete response");
            assert_eq!((response.status(), response.body.len()), (200, size), "{class}");
            assert!(response.body == body.as_bytes());
            assert_eq!(endpoint.request_count(), 1);
        });
    }
}

/// The beginning of a large response is forwarded. If it is then reset, it has no end for its
/// client either.
#[test]
fn a_large_response_without_a_length_that_is_reset_is_seen_as_broken() {
    run_test(async {
        let (_proxy, mut client, mut endpoint) = non_idempotent_request_in_flight().await;
        endpoint.send(&format!("HTTP/1.1 200 OK\r\n\r\n{}", "b".repeat(100_000))).await;
        let mut begun = [0; 1];
        client.stream.peek(&mut begun).await.expect("its beginning");
        reset_connection(endpoint);
        assert!(client.response().await.is_none(), "it has no end");
    });
}

/// A connection may open late, after most of its client's time: the request is sent then, once,
/// and advertises what remains of that time when it is written, not when its endpoint was chosen.
#[test]
fn a_request_on_a_late_connection_advertises_the_remaining_time() {
    run_test(async {
        let (stuck, full, listener) = endpoint_with_full_backlog().await;
        let proxy = Proxy::start_with(&TestDiscovery::without_updates().await, from_ref(&stuck), |config| {
            config["settings"]["limits"]["connect_timeout_us"] = 20_000_000.into();
        })
        .await;
        let mut client = proxy.client().await;
        client.send(&request("unsafe", "", "")).await;
        let sent_at = Instant::now();
        assert_eq!(proxy.client().await.exchange(HEALTH_REQUEST).await.status(), 200);
        // From here on connections open: this one when the system retries it, a second later.
        let endpoint = TestEndpoint::on_listener(listener, [ok("served")]);
        drop(full);
        wait_until("the endpoint has the request", || endpoint.request_count() > 0).await;
        assert!(sent_at.elapsed() > Duration::from_millis(600), "it opened late");
        assert_eq!(client.message().await.expect("a response").body, b"served");
        let advertised = endpoint.requests.borrow()[0]
            .header("x-budget-ms")
            .map(|left| left.parse::<u64>().expect("a number"));
        assert!(advertised.is_some_and(|left| left < 7_500), "{advertised:?} of 8000");
        assert_eq!(endpoint.request_count(), 1);
    });
}

/// The system must not delay small writes: at a close they would be lost with what the other side
/// has not read.
#[test]
fn every_connection_sends_small_writes_at_once() {
    run_test(async {
        let (_proxy, client, _listener, endpoint) = request_in_flight(&request("unsafe", "", "")).await;
        for far in [&client, &endpoint] {
            let (near, far) =
                (far.stream.peer_addr().expect("an end"), far.stream.local_addr().expect("an end"));
            assert_eq!(without_delay(near, far), Some(true), "{near} to {far}");
        }
    });
}

/// Whether this process's connection between these addresses sends without Nagle's delay.
fn without_delay(near: SocketAddr, far: SocketAddr) -> Option<bool> {
    let open = std::fs::read_dir("/proc/self/fd").expect("a list of descriptors");
    let open = open.filter_map(|entry| entry.ok()?.file_name().to_str()?.parse().ok());
    let ends = |socket: &SockRef<'_>| {
        let is =
            |end: std::io::Result<SockAddr>, address| end.is_ok_and(|end| end.as_socket() == Some(address));
        is(socket.local_addr(), near) && is(socket.peer_addr(), far)
    };
    open.into_iter().find_map(|number| {
        // SAFETY: only its addresses and options are read; a descriptor that was closed meanwhile
        // yields an error.
        let descriptor = unsafe { BorrowedFd::borrow_raw(number) };
        let socket = SockRef::from(&descriptor);
        ends(&socket).then(|| socket.tcp_nodelay().expect("an option"))
    })
}
