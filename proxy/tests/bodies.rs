//! How request and response bodies of any length are forwarded.

mod common;

use common::*;
use std::slice::from_ref;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

const LARGE_BYTES: usize = 1 << 20;

/// An endpoint whose connections the test reads and writes itself.
struct ManualEndpoint {
    endpoint: TestEndpoint,
    listener: TcpListener,
}

impl ManualEndpoint {
    async fn start() -> ManualEndpoint {
        let (endpoint, listener) = manual_endpoint().await;
        ManualEndpoint { endpoint, listener }
    }

    async fn accept(&self) -> TcpStream {
        self.listener.accept().await.expect("accept failed").0
    }

    /// Accepts a connection of the proxy, and reads the head of the request on it.
    async fn next_request(&self) -> (TcpStream, String) {
        let mut stream = self.accept().await;
        let head = read_until(&mut stream, "\r\n\r\n").await;
        (stream, head)
    }
}

/// Reads up to and including this text.
async fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut read = Vec::new();
    while !read.ends_with(end.as_bytes()) {
        read.push(stream.read_u8().await.expect("the stream ended early"));
    }
    String::from_utf8(read).expect("not UTF-8")
}

fn upload(class: &str, length: usize) -> String {
    request(class, &format!("Content-Length: {length}\r\n"), "")
}

/// The part of a request body that has arrived is forwarded before the rest arrives, and the
/// request's deadline counts from the last byte of the body.
#[test]
fn a_large_body_is_forwarded_as_it_arrives_and_its_deadline_counts_from_its_last_byte() {
    run_test(async {
        let manual = ManualEndpoint::start().await;
        let proxy = Proxy::start(from_ref(&manual.endpoint)).await;
        let mut client = proxy.client().await;
        client
            .send(&upload("unsafe", LARGE_BYTES).replace("8000", "300"))
            .await;
        client.send(&"a".repeat(LARGE_BYTES / 2)).await;
        let (mut endpoint, _) = manual.next_request().await;
        endpoint
            .read_exact(&mut vec![0; LARGE_BYTES / 2])
            .await
            .expect("cannot read the first half");
        // Longer than the client's timeout.
        sleep(Duration::from_millis(500)).await;
        client.send(&"b".repeat(LARGE_BYTES / 2)).await;
        let mut rest = vec![0; LARGE_BYTES / 2];
        endpoint
            .read_exact(&mut rest)
            .await
            .expect("cannot read the second half");
        assert!(rest.iter().all(|&byte| byte == b'b'));
        let response = ok_response("got it");
        endpoint
            .write_all(response.as_bytes())
            .await
            .expect("write failed");
        assert_eq!(client.receive().await.expect("no response").body, b"got it");
    });
}

/// A chunked request body is forwarded completely, whether small or large, and the bytes after it
/// are read as the next request.
#[test]
fn chunked_bodies_are_forwarded_and_pipelined_requests_are_read() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("small"), ok("next")]).await;
        let proxy = Proxy::start(from_ref(&endpoint)).await;
        let mut client = proxy.client().await;
        let chunked = request(
            "unsafe",
            "Transfer-Encoding: chunked\r\nTrailer: x-sum\r\n",
            "",
        );
        client
            .send(&format!(
                "{chunked}3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nX-Sum: 1\r\n\r\n"
            ))
            .await;
        client.send(&request("unsafe", "", "behind")).await;
        assert_eq!(client.receive().await.expect("no response").body, b"small");
        assert_eq!(client.receive().await.expect("no response").body, b"next");
        assert_eq!(
            endpoint.request_bodies(),
            [b"abcde".to_vec(), b"behind".to_vec()]
        );

        let manual = ManualEndpoint::start().await;
        let proxy = Proxy::start(from_ref(&manual.endpoint)).await;
        let mut client = proxy.client().await;
        let piece = "x".repeat(50_000);
        let chunk = format!("{:x}\r\n{piece}\r\n", piece.len());
        client
            .send(&format!("{chunked}{chunk}{chunk}{chunk}0\r\n\r\n"))
            .await;
        let mut endpoint = manual.accept().await;
        assert!(read_until(&mut endpoint, "\r\n\r\n")
            .await
            .to_lowercase()
            .contains("transfer-encoding: chunked"));
        let body = read_until(&mut endpoint, "0\r\n\r\n").await;
        assert_eq!(body.bytes().filter(|&byte| byte == b'x').count(), 150_000);
    });
}

/// A client that sends `Expect: 100-continue` gets a 100 response; the header is not forwarded.
#[test]
fn a_client_that_expects_100_continue_gets_a_100_response() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let proxy = Proxy::start(from_ref(&endpoint)).await;
        let mut client = proxy.client().await;
        client
            .send(&request(
                "unsafe",
                "Expect: 100-continue\r\nContent-Length: 4\r\n",
                "",
            ))
            .await;
        assert_eq!(
            client
                .receive()
                .await
                .expect("no interim response")
                .status(),
            100
        );
        client.send("body").await;
        assert_eq!(client.receive().await.expect("no response").body, b"served");
        assert_eq!(endpoint.requests.borrow()[0].header("expect"), None);
    });
}

/// A large body is streamed, so it can't be sent again once a part of it was sent. The request
/// never ran, as it did not reach its endpoint completely, and is rejected.
#[test]
fn a_request_whose_large_body_was_partly_sent_is_rejected_and_not_retried() {
    run_test(async {
        let manual = ManualEndpoint::start().await;
        let proxy = Proxy::start(from_ref(&manual.endpoint)).await;
        let mut client = proxy.client().await;
        client.send(&upload("unsafe", LARGE_BYTES)).await;
        client.send(&"a".repeat(LARGE_BYTES / 2)).await;
        let mut endpoint = manual.accept().await;
        endpoint
            .read_exact(&mut vec![0; LARGE_BYTES / 4])
            .await
            .expect("cannot read a part of the body");
        drop(endpoint);
        assert_eq!(client.receive().await.expect("no response").status(), 503);
        let again = tokio::time::timeout(Duration::from_millis(100), manual.accept()).await;
        assert!(again.is_err(), "the request must not be retried");
    });
}

/// A client that stalls within a large body gets an error, and its endpoint, which is not at fault,
/// stays in service.
#[test]
fn a_client_that_stalls_in_a_large_body_gets_a_408_and_the_endpoint_stays_in_service() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let proxy = Proxy::start(from_ref(&endpoint)).await;
        let mut client = proxy.client().await;
        client.send(&upload("unsafe", LARGE_BYTES)).await;
        client.send(&"a".repeat(1_000)).await;
        assert_eq!(client.receive().await.expect("no response").status(), 408);
        wait_until("the connection to the endpoint is closed", || {
            endpoint.open_connection_count.get() == 0
        })
        .await;
        assert_eq!(
            proxy
                .client()
                .await
                .exchange(&request("unsafe", "", ""))
                .await
                .status(),
            200
        );
    });
}

/// A body that arrives slowly, but above the minimum upload rate, is read completely.
#[test]
fn a_slow_body_above_the_minimum_upload_rate_is_read_completely() {
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
        assert_eq!(client.receive().await.expect("no response").body, b"served");
    });
}

/// The part of a large response that has arrived is forwarded before the rest arrives, however long
/// that takes, and a request that is pipelined behind it does not abort it.
#[test]
fn a_large_response_is_forwarded_as_it_arrives() {
    run_test(async {
        let manual = ManualEndpoint::start().await;
        let proxy = Proxy::start(from_ref(&manual.endpoint)).await;
        let mut client = proxy.client().await;
        client
            .send(&request("unsafe", "", "").replace("8000", "1000"))
            .await;
        let (mut endpoint, _) = manual.next_request().await;
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LARGE_BYTES}\r\n\r\n");
        endpoint
            .write_all(head.as_bytes())
            .await
            .expect("write failed");
        endpoint
            .write_all(&vec![b'a'; LARGE_BYTES / 2])
            .await
            .expect("write failed");
        read_until(&mut client.stream, "\r\n\r\n").await;
        client
            .stream
            .read_exact(&mut vec![0; LARGE_BYTES / 2])
            .await
            .expect("cannot read the first half");
        client.send("GET /_health HTTP/1.1\r\n").await;
        // Longer than a request may take to arrive, and longer than the client's timeout.
        sleep(Duration::from_millis(3_200)).await;
        endpoint
            .write_all(&vec![b'b'; LARGE_BYTES / 2])
            .await
            .expect("write failed");
        client
            .stream
            .read_exact(&mut vec![0; LARGE_BYTES / 2])
            .await
            .expect("cannot read the second half");
        client.send("\r\n").await;
        assert_eq!(client.receive().await.expect("no response").status(), 200);
    });
}

/// A response that is truncated after its first bytes were forwarded must not look complete to the
/// client, and no other response may be sent in its place.
#[test]
fn a_truncated_large_response_does_not_look_complete() {
    let (length, chunked) = (
        format!("Content-Length: {LARGE_BYTES}"),
        "Transfer-Encoding: chunked".to_owned(),
    );
    for framing in [length, chunked] {
        run_test(async {
            let manual = ManualEndpoint::start().await;
            let proxy = Proxy::start(from_ref(&manual.endpoint)).await;
            let mut client = proxy.client().await;
            client.send(&request("free", "", "")).await;
            let (mut endpoint, _) = manual.next_request().await;
            let piece = format!("19000\r\n{}\r\n", "a".repeat(0x19000));
            endpoint
                .write_all(format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n{piece}").as_bytes())
                .await
                .expect("write failed");
            let head = read_until(&mut client.stream, "\r\n\r\n").await;
            assert!(head.starts_with("HTTP/1.1 200"), "{head}");
            drop(endpoint);
            let mut rest = Vec::new();
            // The client may see a reset instead of an early end.
            let _ = client.stream.read_to_end(&mut rest).await;
            assert!(
                rest.len() < LARGE_BYTES && !rest.ends_with(b"0\r\n\r\n"),
                "{framing}: {}",
                rest.len()
            );
        });
    }
}

/// The proxy reads a large response no faster than its client does: if the client reads nothing,
/// the endpoint can send less than half of a response of 64 MiB.
#[test]
fn a_large_response_is_read_from_its_endpoint_only_as_fast_as_its_client_reads_it() {
    run_test(async {
        const ENDLESS_BYTES: usize = 64 << 20;
        let manual = ManualEndpoint::start().await;
        let proxy = Proxy::start(from_ref(&manual.endpoint)).await;
        let mut client = proxy.client().await;
        client.send(&request("free", "", "")).await;
        let (mut endpoint, _) = manual.next_request().await;
        endpoint
            .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .await
            .expect("write failed");
        let written = std::rc::Rc::new(std::cell::Cell::new(0));
        let count = written.clone();
        let writing = spawn_local(async move {
            let piece = format!("10000\r\n{}\r\n", "a".repeat(0x10000));
            while count.get() < ENDLESS_BYTES && endpoint.write_all(piece.as_bytes()).await.is_ok()
            {
                count.set(count.get() + piece.len());
            }
        });
        let mut previous = usize::MAX;
        while previous != written.get() {
            previous = written.get();
            sleep(Duration::from_millis(200)).await;
        }
        assert!(
            written.get() < ENDLESS_BYTES / 2,
            "the endpoint could send {} bytes that the client did not read",
            written.get()
        );
        writing.abort();
    });
}

/// While a request with a large body is queued, the rest of its body stays unread, although its
/// client may have sent all of it. The client's timeout has begun then, so the proxy subtracts the
/// time in the queue from the timeout that it forwards in `X-Budget-Ms`.
#[test]
fn a_queued_request_with_a_large_body_advertises_the_remaining_time() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let draining = endpoint_entry("s-0", endpoint.address, "Terminating");
        let draining = endpoint_list(42, true, &[draining]);
        let discovery = TestDiscovery::start([format!("{WATCH_HEAD}{}", chunk(&draining))]).await;
        let proxy = Proxy::start_with(&discovery, &[], |_| ()).await;
        let mut client = proxy.client().await;
        client
            .send(&request("unsafe", "", &"b".repeat(100_000)))
            .await;
        let sent_at = Instant::now();
        sleep(Duration::from_millis(400)).await;
        assert_eq!(endpoint.request_count(), 0, "the request must be queued");
        let ready = endpoint_entry("s-0", endpoint.address, "Ready");
        let ready = endpoint_list(43, false, &[ready]);
        discovery.push(&chunk(&ready)).await;
        wait_until("the endpoint has the request", || {
            endpoint.request_count() == 1
        })
        .await;
        let remaining_time = Duration::from_millis(8_000).saturating_sub(sent_at.elapsed());
        let advertised = endpoint.requests.borrow()[0]
            .header("x-budget-ms")
            .and_then(|ms| ms.parse().ok());
        let advertised = Duration::from_millis(advertised.expect("no valid X-Budget-Ms"));
        assert!(
            advertised <= remaining_time + Duration::from_millis(150),
            "advertised {advertised:?}, but only {remaining_time:?} remain"
        );
        assert_eq!(client.receive().await.expect("no response").status(), 200);
    });
}

/// A client that stalls after sending most of a body must get its error within 3 s, however much it
/// has sent.
#[test]
fn a_client_that_stalls_near_the_end_of_a_body_gets_a_408_within_3_s() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let proxy = Proxy::start(from_ref(&endpoint)).await;
        let started = Instant::now();
        let mut client = proxy.client().await;
        let text = request("unsafe", "", &"b".repeat(60_000));
        client.send(&text[..text.len() - 100]).await;
        let response = client.receive().await.expect("no response");
        assert_eq!(response.status(), 408);
        assert!(
            started.elapsed() < Duration::from_secs(3),
            "{:?}",
            started.elapsed()
        );
    });
}
