//! What happens on both sides at once: each order is forced by hosts that a test plays.

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

/// Repeats are dropped by a guarded class's servers within its window alone: one that is chosen in time and whose
/// connection comes up only after that must not be written, and its client is told at the window's end.
#[test]
fn a_repeat_whose_connection_comes_up_after_its_window_is_not_written() {
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
        wait_until("the host has it", || first.request_count() == 1).await;
        let endpoints = [entry("s-0", first.address, "Terminating"), entry("s-1", stuck.address, "Ready")];
        discovery.push(&chunk(&list(42, false, &endpoints))).await;
        assert_eq!(proxy.client().await.exchange(HEALTH_REQUEST).await.status(), 200);
        first.reset();
        // Well past the window, and long before the connection is given up.
        let told = timeout(Duration::from_secs(2), client.message()).await;
        let endpoint = TestEndpoint::on_listener(listener, [ok("served")]);
        drop(full);
        let response = match told {
            Ok(response) => response,
            Err(_) => client.message().await,
        };
        assert_eq!(response.expect("an answer").status(), 502);
        let mut client = proxy.client().await;
        assert_eq!(client.exchange(&request("unsafe", "", "the second")).await.body, b"served");
        let bodies: Vec<_> = endpoint.requests.borrow().iter().map(|message| message.body.clone()).collect();
        assert_eq!(bodies, [b"the second"]);
    });
}

/// An address that takes little of what is sent to it until somebody reads.
fn listen_with_small_buffer() -> TcpListener {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(1_024).expect("a small buffer");
    // Else one piece of what is sent would be larger than all of a body.
    nix::sys::socket::setsockopt(&socket, nix::sys::socket::sockopt::TcpMaxSeg, &536).expect("small pieces");
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

/// Waits until the proxy has taken in a list with so many hosts.
async fn wait_for_members(proxy: &Proxy, number: u64) {
    let admin = proxy.admin.expect("an address for operators");
    while metrics(admin).await["members"] != number {}
}

/// A host that was told to be leaving gets nothing new. What it had begun to get on a connection that then breaks is
/// written from its beginning on, so it goes elsewhere.
#[test]
fn what_broke_off_in_the_middle_is_not_begun_anew_at_a_host_that_drains() {
    run_test(async {
        let (listener, other) = (listen_with_small_buffer(), TestEndpoint::start([ok("other")]).await);
        let discovery = TestDiscovery::without_updates().await;
        let leaving = TestEndpoint { address: listener.local_addr().expect("an address"), ..other.clone() };
        let proxy = Proxy::start_with(&discovery, from_ref(&leaving), with_admin).await;
        let mut client = proxy.client().await;
        client.send(&request("unsafe", "", "")).await;
        let mut kept = accept(&listener).await;
        kept.message().await.expect("a request");
        respond_ok(&mut kept, "first").await;
        assert_eq!(client.message().await.expect("an answer").body, b"first");
        client.send(&request("unsafe", "", &"x".repeat(60_000))).await;
        kept.stream.readable().await.expect("it has begun to come");
        let endpoints = [entry("s-0", leaving.address, "Terminating"), entry("s-1", other.address, "Ready")];
        discovery.push(&chunk(&list(42, false, &endpoints))).await;
        wait_for_members(&proxy, 2).await;
        reset_connection(kept);
        let responded = async { client.message().await.expect("an answer").body };
        tokio::select! {
            body = responded => assert_eq!(body, b"other"),
            mut again = accept(&listener) => panic!("it came again: {:?}", again.message().await.map(|m| m.start_line)),
        }
        assert_eq!(other.request_count(), 1);
    });
}

fn reset_connection(peer: Client) {
    socket2::SockRef::from(&peer.stream).set_linger(Some(Duration::ZERO)).expect("lingers not");
}

/// The entry of a host whose process is a new one, so old by now that it is warm.
fn restarted_entry(name: &str, endpoint: &TestEndpoint) -> serde_json::Value {
    let mut entry = entry(name, endpoint.address, "Ready");
    entry["born_ms"] = 1.into();
    entry
}

/// A request was meant for the process that was there: one that has started since is cold, and all that still waits for
/// connections would come to it at once.
#[test]
fn what_is_not_yet_written_is_not_written_to_a_later_process() {
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
            assert_eq!(client.message().await.expect("an answer").body, b"other", "{moved}");
            assert_eq!(other.request_count(), 1);
        });
    }
}

/// An answer of the process before: whatever its connection leads to by now is not kept.
#[test]
fn a_connection_to_an_earlier_process_is_not_kept() {
    run_test(async {
        let endpoint = TestEndpoint::start([ScriptedResponse::Stall, ok("next")]).await;
        let discovery = TestDiscovery::without_updates().await;
        let proxy = Proxy::start_with(&discovery, from_ref(&endpoint), with_admin).await;
        let mut client = proxy.client().await;
        client.send(&request("unsafe", "", "")).await;
        wait_until("the host has it", || endpoint.request_count() == 1).await;
        let endpoints = [restarted_entry("s-0", &endpoint), entry("s-1", endpoint.address, "Terminating")];
        discovery.push(&chunk(&list(42, false, &endpoints))).await;
        wait_for_members(&proxy, 2).await;
        endpoint.release.notify_one();
        assert_eq!(client.message().await.expect("an answer").body, b"released");
        assert_eq!(client.exchange(&request("unsafe", "", "")).await.body, b"next");
        assert_eq!(endpoint.opened_connections.get(), 2);
    });
}

/// What the first attempt's process did is not known once it is gone: the new one gets the request again only as its
/// class allows, with its key, and whether the list or the reset comes first.
#[test]
fn a_repeat_goes_to_the_new_process_of_its_host_as_its_class_allows() {
    for list_first in [false, true] {
        for (class, status, sent) in [("free", 200, 2), ("keyed", 200, 2), ("unsafe", 502, 1)] {
            run_test(async {
                // One that has just answered is not set aside for one reset.
                let endpoint =
                    TestEndpoint::start([ok("before"), ScriptedResponse::Stall, ok("again")]).await;
                let discovery = TestDiscovery::without_updates().await;
                let proxy = Proxy::start_with(&discovery, from_ref(&endpoint), with_admin).await;
                let mut client = proxy.client().await;
                assert_eq!(client.exchange(&request(class, "", "")).await.body, b"before");
                client.send(&request(class, "", "")).await;
                wait_until("the host has it", || endpoint.request_count() == 2).await;
                let endpoints =
                    [restarted_entry("s-0", &endpoint), entry("s-1", endpoint.address, "Terminating")];
                let list = chunk(&list(42, false, &endpoints));
                if list_first {
                    discovery.push(&list).await;
                    wait_for_members(&proxy, 2).await;
                }
                endpoint.reset();
                wait_until("its connection is gone", || {
                    endpoint.open_connections.get() == 0 || endpoint.opened_connections.get() == 2
                })
                .await;
                if !list_first {
                    discovery.push(&list).await;
                }
                let response = client.message().await.expect("an answer");
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

/// An answer without a length may come in small pieces that never end, and its client may wait for it for good. It is
/// ended, and shows as broken; one that is slow, and longer on its way than any host may be silent, is not.
#[test]
fn an_answer_in_small_pieces_that_never_end_is_ended() {
    run_test(async {
        let (endless, slow) = tokio::join!(stream_in_pieces(1), stream_in_pieces(400));
        assert!(!endless.ends_with("0\r\n\r\n") && endless.len() < 1_000, "{} bytes", endless.len());
        assert!(slow.ends_with("0\r\n\r\n"), "{} bytes", slow.len());
    });
}

/// A proxy, a client that has sent an unsafe request, and the connection of its host, which has read it.
async fn unsafe_request_in_flight() -> (Proxy, Client, Client) {
    let (endpoint, listener) = manual_endpoint().await;
    let proxy = Proxy::start(from_ref(&endpoint)).await;
    let mut client = proxy.client().await;
    client.send(&request("unsafe", "", "")).await;
    let mut endpoint = accept(&listener).await;
    endpoint.message().await.expect("a request");
    (proxy, client, endpoint)
}

/// What a client gets of an answer that comes in 120 pieces of this size, ten a second.
async fn stream_in_pieces(size: usize) -> String {
    let (_proxy, mut client, mut endpoint) = unsafe_request_in_flight().await;
    let writing = async {
        endpoint.send(WATCH_HEAD).await;
        let piece = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
        for _ in 0..120 {
            // Nobody may read on.
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

/// Writes at once: nothing of the proxy runs before this returns.
async fn write_now(endpoint: &Client, text: &str) {
    endpoint.stream.writable().await.expect("it can be written to");
    assert_eq!(endpoint.stream.try_write(text.as_bytes()).expect("written"), text.len());
}

/// Answers everything that still comes on a connection.
fn keep_responding(mut endpoint: Client) {
    spawn_local(async move {
        while endpoint.message().await.is_some() {
            respond_ok(&mut endpoint, "next").await;
        }
    });
}

/// Requests of all classes by how they ended: completed, rejected, failed.
async fn request_ends(proxy: &Proxy) -> [u64; 3] {
    let metrics = metrics(proxy.admin.expect("an address for operators")).await;
    assert_eq!(metrics["pending"], 0);
    let classes = metrics["downstream_requests"].as_object().expect("classes").clone();
    ["completed", "rejected", "failed"]
        .map(|end| classes.values().map(|class| class[end].as_u64().expect("a number")).sum())
}

/// A host that the test plays, a proxy that knows it, and a client whose request is out there.
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

/// The answer and the end of its time are there before the proxy looks at either: the answer is passed on or surely
/// dropped. Its client gets one final answer, one that does not make an unsafe request look as if it had not run, and the
/// next request on the same connection gets its own.
#[test]
fn an_answer_in_the_instant_of_its_deadline_is_passed_on_or_dropped() {
    for (class, given_up) in [("unsafe", 502), ("keyed", 502), ("free", 503)] {
        run_test(async {
            let text = request(class, "", "").replace("8000", "500");
            let (proxy, mut client, listener, endpoint) = request_in_flight(&text).await;
            endpoint.stream.writable().await.expect("it can be written to");
            // Not a wait: this keeps the proxy, on the same thread, from its turn until both are there.
            std::thread::sleep(Duration::from_millis(510));
            let late = ok_response("late");
            write_now(&endpoint, &late).await;
            keep_responding(endpoint);
            let others = TestEndpoint::on_listener(listener, [ok("next")]);
            let response = client.message().await.expect("an answer");
            let passed_on = response.status() == 200 && response.body == b"late";
            assert!(passed_on || response.status() == given_up, "{class}: {response:?}");
            assert_eq!(client.exchange(&request(class, "", "")).await.body, b"next", "{class}");
            assert!(others.request_count() <= 1, "{class}");
            assert_eq!(request_ends(&proxy).await.iter().sum::<u64>(), 2, "{class}");
            let metrics = metrics(proxy.admin.expect("an address for operators")).await;
            assert_eq!(metrics["upstream_requests"], 2, "{class}: nothing is sent again");
        });
    }
}

/// The answer and its client's end come together: it ends once, nothing is sent again, its id is free, and what was left of
/// its answer is nobody's.
#[test]
fn an_answer_that_crosses_its_clients_end_is_nobodys() {
    for class in ["free", "keyed", "unsafe"] {
        run_test(async {
            let text = request(class, "", "");
            let (proxy, client, listener, endpoint) = request_in_flight(&text).await;
            let late = ok_response("late");
            write_now(&endpoint, &late).await;
            drop(client);
            keep_responding(endpoint);
            let others = TestEndpoint::on_listener(listener, [ok("next")]);
            // Until the proxy has seen the end, the id is taken.
            let mut client = proxy.client().await;
            let response = loop {
                match client.exchange(&text).await {
                    response if response.status() == 409 => client = proxy.client().await,
                    response => break response,
                }
            };
            assert_eq!(response.body, b"next", "{class}");
            assert!(others.request_count() <= 1);
            assert_eq!(request_ends(&proxy).await.iter().sum::<u64>(), 2, "{class}");
        });
    }
}

/// What comes first where an answer's end and the word that its host is leaving come together.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FirstSeen {
    Answer,
    List,
    Neither,
}

/// A host that was told to be leaving gets nothing new, also on a connection whose answer ends at that moment, small or
/// large: it is closed whichever of the two the proxy sees first.
#[test]
fn a_connection_that_comes_back_as_its_host_begins_to_drain_is_closed() {
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
                // A large one is passed on before its end; all of either but the last byte.
                let size = if large { 100_000 } else { 10 };
                endpoint.send(&format!("HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n")).await;
                endpoint.send(&"x".repeat(size - 1)).await;
                let endpoints = [entry("s-0", address, "Terminating"), entry("s-1", other.address, "Ready")];
                let word = chunk(&list(42, false, &endpoints));
                if large {
                    client.stream.readable().await.expect("it is passed on");
                }
                let mut response = None;
                match first {
                    FirstSeen::Answer => {
                        write_now(&endpoint, "x").await;
                        response = client.message().await;
                        discovery.push(&word).await;
                    }
                    FirstSeen::List => {
                        discovery.push(&word).await;
                        wait_for_members(&proxy, 2).await;
                        write_now(&endpoint, "x").await;
                    }
                    FirstSeen::Neither => {
                        endpoint.stream.writable().await.expect("it can be written to");
                        discovery.push(&word).await;
                        write_now(&endpoint, "x").await;
                    }
                }
                let response = match response {
                    Some(response) => Some(response),
                    None => client.message().await,
                };
                assert_eq!(response.expect("an answer").body.len(), size, "{large}, {first:?}");
                assert!(
                    endpoint.message().await.is_none(),
                    "{large}, {first:?}: closed, and nothing more came"
                );
                wait_for_members(&proxy, 2).await;
                assert_eq!(client.exchange(&request("unsafe", "", "")).await.body, b"other");
            });
        }
    }
}

/// What a cut answer looks like: its head, a part of its body, and whether its connection is reset or ended.
const TRUNCATED_RESPONSES: [(&str, &str, bool); 7] = [
    ("Content-Length: 10\r\n", "half", false),
    ("Content-Length: 10\r\n", "half", true),
    ("Content-Length: 10\r\n", "", true),
    ("Transfer-Encoding: chunked\r\n", "4\r\nhalf\r\n", false),
    ("Transfer-Encoding: chunked\r\n", "4\r\nhalf\r\n", true),
    ("", "", true),
    ("", "half", true),
];

/// An answer that breaks off is none, whatever of it has come and however it breaks: one without a length has no end but its
/// connection's, and a reset is no end. Nothing of it is passed on; its request goes again as its class allows.
#[test]
fn an_answer_that_breaks_off_is_none() {
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
                let response = client.message().await.expect("an answer");
                let case = format!("{framing:?}, {part:?}, {is_reset}, {class}");
                assert_eq!(response.status(), status, "{case}");
                assert!(status != 200 || response.body == b"good", "{case}: {response:?}");
                assert_eq!(good.request_count(), usize::from(status == 200), "{case}");
            });
        }
    }
}

/// An answer without a length ends with its connection. What comes whole is passed on, as it is, whether the class may be
/// repeated or not; the table of answers that break off has those that are reset.
#[test]
fn an_answer_without_a_length_that_comes_whole_is_passed_on() {
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
            let response = client.response().await.expect("a whole answer");
            assert_eq!((response.status(), response.body.len()), (200, size), "{class}");
            assert!(response.body == body.as_bytes());
            assert_eq!(endpoint.request_count(), 1);
        });
    }
}

/// Of a large one the beginning is passed on. Reset on its way, it has no end for its client either.
#[test]
fn a_large_answer_without_a_length_that_is_reset_shows_as_broken() {
    run_test(async {
        let (_proxy, mut client, mut endpoint) = unsafe_request_in_flight().await;
        endpoint.send(&format!("HTTP/1.1 200 OK\r\n\r\n{}", "b".repeat(100_000))).await;
        let mut begun = [0; 1];
        client.stream.peek(&mut begun).await.expect("its beginning");
        reset_connection(endpoint);
        assert!(client.response().await.is_none(), "it has no end");
    });
}

/// A connection may come up late, after most of what its client waits: its request goes out then, once, and says what is
/// left of that time by then, not at the choice.
#[test]
fn a_late_connection_is_told_what_is_left_of_the_time() {
    run_test(async {
        let (stuck, full, listener) = endpoint_with_full_backlog().await;
        let proxy = Proxy::start_with(&TestDiscovery::without_updates().await, from_ref(&stuck), |config| {
            config["settings"]["limits"]["connect_timeout_us"] = 20_000_000.into();
        })
        .await;
        let mut client = proxy.client().await;
        client.send(&request("unsafe", "", "")).await;
        let asked = Instant::now();
        assert_eq!(proxy.client().await.exchange(HEALTH_REQUEST).await.status(), 200);
        // From here on connections come up: this one when the system tries it again, a second later.
        let endpoint = TestEndpoint::on_listener(listener, [ok("served")]);
        drop(full);
        wait_until("it has come", || endpoint.request_count() > 0).await;
        assert!(asked.elapsed() > Duration::from_millis(600), "it came up late");
        assert_eq!(client.message().await.expect("an answer").body, b"served");
        let told = endpoint.requests.borrow()[0]
            .header("x-budget-ms")
            .map(|left| left.parse::<u64>().expect("a number"));
        assert!(told.is_some_and(|left| left < 7_500), "{told:?} of 8000");
        assert_eq!(endpoint.request_count(), 1);
    });
}

/// Small writes must not be held back by the system: at a close they would go with what the other side has not read.
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
        // SAFETY: it is only asked for its addresses and options; one that was closed meanwhile answers with an error.
        let descriptor = unsafe { BorrowedFd::borrow_raw(number) };
        let socket = SockRef::from(&descriptor);
        ends(&socket).then(|| socket.tcp_nodelay().expect("an option"))
    })
}
