//! Bodies on their way through, in pieces and of any length.

mod common;

use common::*;
use std::slice::from_ref;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

const LARGE: usize = 1 << 20;

/// A host that a test plays itself: the address, and its connections as they come.
struct ManualEndpoint {
    endpoint: TestEndpoint,
    listener: TcpListener,
}

impl ManualEndpoint {
    async fn start() -> ManualEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        ManualEndpoint {
            endpoint: TestEndpoint { address, ..TestEndpoint::start([ScriptedResponse::Stall]).await },
            listener,
        }
    }

    async fn accept(&self) -> TcpStream {
        self.listener.accept().await.expect("the proxy connects").0
    }

    /// A connection of the proxy, and the head of the request that came on it.
    async fn request(&self) -> (TcpStream, String) {
        let mut stream = self.accept().await;
        let head = read_until(&mut stream, "\r\n\r\n").await;
        (stream, head)
    }
}

/// Reads up to and with this text.
async fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut read = Vec::new();
    while !read.ends_with(end.as_bytes()) {
        read.push(stream.read_u8().await.expect("more"));
    }
    String::from_utf8(read).expect("text")
}

fn upload(class: &str, length: usize) -> String {
    request(class, &format!("Content-Length: {length}\r\n"), "")
}

/// What is read of a body goes on before the rest is there, and its time begins with its last byte.
#[test]
fn a_large_body_goes_on_as_it_comes() {
    run_test(async {
        let played = ManualEndpoint::start().await;
        let proxy = Proxy::start(from_ref(&played.endpoint)).await;
        let mut client = proxy.client().await;
        client.send(&upload("unsafe", LARGE).replace("8000", "300")).await;
        client.send(&"a".repeat(LARGE / 2)).await;
        let (mut endpoint, _) = played.request().await;
        endpoint.read_exact(&mut vec![0; LARGE / 2]).await.expect("the first half");
        // Longer than its client waits for the answer.
        sleep(Duration::from_millis(500)).await;
        client.send(&"b".repeat(LARGE / 2)).await;
        let mut rest = vec![0; LARGE / 2];
        endpoint.read_exact(&mut rest).await.expect("the second half");
        assert!(rest.iter().all(|&byte| byte == b'b'));
        let response = ok_response("got it");
        endpoint.write_all(response.as_bytes()).await.expect("written");
        assert_eq!(client.message().await.expect("an answer").body, b"got it");
    });
}

/// A body whose length the head does not tell goes on whole, small or large, and what stands behind it is the next
/// request.
#[test]
fn chunked_bodies_and_what_follows_them_are_read() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("small"), ok("next")]).await;
        let proxy = Proxy::start(from_ref(&endpoint)).await;
        let mut client = proxy.client().await;
        let chunked = request("unsafe", "Transfer-Encoding: chunked\r\nTrailer: x-sum\r\n", "");
        client.send(&format!("{chunked}3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nX-Sum: 1\r\n\r\n")).await;
        client.send(&request("unsafe", "", "behind")).await;
        assert_eq!(client.message().await.expect("an answer").body, b"small");
        assert_eq!(client.message().await.expect("an answer").body, b"next");
        let bodies: Vec<Vec<u8>> =
            endpoint.requests.borrow().iter().map(|message| message.body.clone()).collect();
        assert_eq!(bodies, [b"abcde".to_vec(), b"behind".to_vec()]);

        let played = ManualEndpoint::start().await;
        let proxy = Proxy::start(from_ref(&played.endpoint)).await;
        let mut client = proxy.client().await;
        let piece = "x".repeat(50_000);
        let chunk = format!("{:x}\r\n{piece}\r\n", piece.len());
        client.send(&format!("{chunked}{chunk}{chunk}{chunk}0\r\n\r\n")).await;
        let mut endpoint = played.accept().await;
        assert!(read_until(&mut endpoint, "\r\n\r\n")
            .await
            .to_lowercase()
            .contains("transfer-encoding: chunked"));
        let body = read_until(&mut endpoint, "0\r\n\r\n").await;
        assert_eq!(body.bytes().filter(|&byte| byte == b'x').count(), 150_000);
    });
}

/// A client that asks first is told to go on.
#[test]
fn a_client_that_waits_to_be_told_is_told() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let proxy = Proxy::start(from_ref(&endpoint)).await;
        let mut client = proxy.client().await;
        client.send(&request("unsafe", "Expect: 100-continue\r\nContent-Length: 4\r\n", "")).await;
        assert_eq!(client.message().await.expect("a word").status(), 100);
        client.send("body").await;
        assert_eq!(client.message().await.expect("an answer").body, b"served");
        assert_eq!(endpoint.requests.borrow()[0].header("expect"), None);
    });
}

/// A large body of which something was spent can't go again; its request never ran, and is refused.
#[test]
fn a_large_body_that_was_begun_does_not_go_again() {
    run_test(async {
        let played = ManualEndpoint::start().await;
        let proxy = Proxy::start(from_ref(&played.endpoint)).await;
        let mut client = proxy.client().await;
        client.send(&upload("unsafe", LARGE)).await;
        client.send(&"a".repeat(LARGE / 2)).await;
        let mut endpoint = played.accept().await;
        endpoint.read_exact(&mut vec![0; LARGE / 4]).await.expect("a part");
        drop(endpoint);
        assert_eq!(client.message().await.expect("an answer").status(), 503);
        let again = tokio::time::timeout(Duration::from_millis(100), played.accept()).await;
        assert!(again.is_err(), "nothing is sent again");
    });
}

/// The client's fault is not the host's: it is told so, and the host stays in service.
#[test]
fn a_large_body_that_stands_still_ends_its_request() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let proxy = Proxy::start(from_ref(&endpoint)).await;
        let mut client = proxy.client().await;
        client.send(&upload("unsafe", LARGE)).await;
        client.send(&"a".repeat(1_000)).await;
        assert_eq!(client.message().await.expect("an answer").status(), 408);
        wait_until("its connection is closed", || endpoint.open_connections.get() == 0).await;
        assert_eq!(proxy.client().await.exchange(&request("unsafe", "", "")).await.status(), 200);
    });
}

/// An honest client's body takes as long as it takes.
#[test]
fn a_slow_body_is_waited_for() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let proxy = Proxy::start(from_ref(&endpoint)).await;
        let mut client = proxy.client().await;
        let (pieces, piece) = (14, "x".repeat(16_000));
        client.send(&upload("unsafe", pieces * piece.len())).await;
        for _ in 0..pieces {
            sleep(Duration::from_millis(250)).await;
            client.send(&piece).await;
        }
        assert_eq!(client.message().await.expect("an answer").body, b"served");
    });
}

/// What has come of a large answer is passed on before the rest is there, however long that takes, and a request that
/// came behind its own does not end it.
#[test]
fn a_large_answer_is_passed_on_as_it_comes() {
    run_test(async {
        let played = ManualEndpoint::start().await;
        let proxy = Proxy::start(from_ref(&played.endpoint)).await;
        let mut client = proxy.client().await;
        client.send(&request("unsafe", "", "").replace("8000", "1000")).await;
        let (mut endpoint, _) = played.request().await;
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LARGE}\r\n\r\n");
        endpoint.write_all(head.as_bytes()).await.expect("written");
        endpoint.write_all(&vec![b'a'; LARGE / 2]).await.expect("written");
        read_until(&mut client.stream, "\r\n\r\n").await;
        client.stream.read_exact(&mut vec![0; LARGE / 2]).await.expect("the first half");
        client.send("GET /_health HTTP/1.1\r\n").await;
        // Longer than a request may take to come, and than its client waits for the answer.
        sleep(Duration::from_millis(3_200)).await;
        endpoint.write_all(&vec![b'b'; LARGE / 2]).await.expect("written");
        client.stream.read_exact(&mut vec![0; LARGE / 2]).await.expect("the second half");
        client.send("\r\n").await;
        assert_eq!(client.message().await.expect("an answer").status(), 200);
    });
}

/// An answer that breaks after its first byte was passed on must not look whole, and no other takes its place.
#[test]
fn a_large_answer_that_breaks_shows_as_broken() {
    let (length, chunked) = (format!("Content-Length: {LARGE}"), "Transfer-Encoding: chunked".to_owned());
    for framing in [length, chunked] {
        run_test(async {
            let played = ManualEndpoint::start().await;
            let proxy = Proxy::start(from_ref(&played.endpoint)).await;
            let mut client = proxy.client().await;
            client.send(&request("free", "", "")).await;
            let (mut endpoint, _) = played.request().await;
            let piece = format!("19000\r\n{}\r\n", "a".repeat(0x19000));
            endpoint
                .write_all(format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n{piece}").as_bytes())
                .await
                .expect("written");
            let head = read_until(&mut client.stream, "\r\n\r\n").await;
            assert!(head.starts_with("HTTP/1.1 200"), "{head}");
            drop(endpoint);
            let mut rest = Vec::new();
            // A reset shows as well as an early end.
            let _ = client.stream.read_to_end(&mut rest).await;
            assert!(rest.len() < LARGE && !rest.ends_with(b"0\r\n\r\n"), "{framing}: {}", rest.len());
        });
    }
}

/// A large answer goes no faster from the host than its client takes it, so that little of it is held.
#[test]
fn a_large_answer_waits_for_its_client() {
    run_test(async {
        const MANY: usize = 64 << 20;
        let played = ManualEndpoint::start().await;
        let proxy = Proxy::start(from_ref(&played.endpoint)).await;
        let mut client = proxy.client().await;
        client.send(&request("free", "", "")).await;
        let (mut endpoint, _) = played.request().await;
        endpoint.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.expect("written");
        let written = std::rc::Rc::new(std::cell::Cell::new(0));
        let count = written.clone();
        let writing = spawn_local(async move {
            let piece = format!("10000\r\n{}\r\n", "a".repeat(0x10000));
            while count.get() < MANY && endpoint.write_all(piece.as_bytes()).await.is_ok() {
                count.set(count.get() + piece.len());
            }
        });
        let mut before = usize::MAX;
        while before != written.get() {
            before = written.get();
            sleep(Duration::from_millis(200)).await;
        }
        assert!(written.get() < MANY / 2, "{} bytes left the host unread", written.get());
        writing.abort();
    });
}

/// A large body that is held is not read on. Its client may have written all of it long ago, and waits from then on: its server
/// is told no more than what is left of that.
#[test]
fn a_large_body_that_was_held_tells_what_is_left_of_its_clients_time() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let leaving = list(42, true, &[entry("s-0", endpoint.address, "Terminating")]);
        let discovery = TestDiscovery::start([format!("{WATCH_HEAD}{}", chunk(&leaving))]).await;
        let proxy = Proxy::start_with(&discovery, &[], |_| ()).await;
        let mut client = proxy.client().await;
        client.send(&request("unsafe", "", &"b".repeat(100_000))).await;
        let whole = Instant::now();
        sleep(Duration::from_millis(400)).await;
        assert_eq!(endpoint.request_count(), 0, "it is held");
        let back = list(43, false, &[entry("s-0", endpoint.address, "Ready")]);
        discovery.push(&chunk(&back)).await;
        wait_until("the host has it", || endpoint.request_count() == 1).await;
        let left = Duration::from_millis(8_000).saturating_sub(whole.elapsed());
        let told = endpoint.requests.borrow()[0].header("x-budget-ms").and_then(|ms| ms.parse().ok());
        let told = Duration::from_millis(told.expect("a time"));
        assert!(told <= left + Duration::from_millis(150), "{told:?} of {left:?}");
        assert_eq!(client.message().await.expect("an answer").status(), 200);
    });
}

/// A client that has sent most of a body and stops is owed its error within 3 s, however much it had sent.
#[test]
fn a_client_that_stops_in_a_body_is_answered_within_its_time() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let proxy = Proxy::start(from_ref(&endpoint)).await;
        let begun = Instant::now();
        let mut client = proxy.client().await;
        let text = request("unsafe", "", &"b".repeat(60_000));
        client.send(&text[..text.len() - 100]).await;
        let response = client.message().await.expect("an answer");
        assert_eq!(response.status(), 408);
        assert!(begun.elapsed() < Duration::from_secs(3), "{:?}", begun.elapsed());
    });
}
