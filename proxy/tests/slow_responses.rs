//! Responses that arrive slowly, in pieces or with a pause, and those of them that break on the way.

mod common;

use common::*;
use std::slice::from_ref;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// How long the clients of these tests wait for the beginning of a long response.
const BUDGET_MS: u64 = 400;
const HEAD_UNTIL_CLOSE: &str = "HTTP/1.1 200 OK\r\n\r\n";
const CLASSES: [&str; 3] = ["free", "keyed", "unsafe"];

/// A response body as an endpoint writes it: pieces of this size with a pause after each.
#[derive(Clone, Copy, Debug)]
struct Pace {
    piece_bytes: usize,
    pause: Duration,
    piece_count: usize,
}

impl Pace {
    const fn new(piece_bytes: usize, pause_ms: u64, piece_count: usize) -> Pace {
        Pace {
            piece_bytes,
            pause: Duration::from_millis(pause_ms),
            piece_count,
        }
    }

    fn total_bytes(self) -> usize {
        self.piece_bytes * self.piece_count
    }

    /// Writes the pieces until the proxy stops reading. `is_chunked`: as chunks, without the last
    /// one, which is empty.
    async fn write(self, endpoint: &mut TestConnection, is_chunked: bool) {
        let data = "b".repeat(self.piece_bytes);
        let piece = match is_chunked {
            true => format!("{:x}\r\n{data}\r\n", self.piece_bytes),
            false => data,
        };
        for _ in 0..self.piece_count {
            if endpoint.stream.write_all(piece.as_bytes()).await.is_err() {
                return;
            }
            sleep(self.pause).await;
        }
    }
}

/// A request whose client waits for `BUDGET_MS`.
fn short_request(class: &str) -> String {
    let budget = format!("X-Budget-Ms: {BUDGET_MS}");
    request(class, "", "").replace("X-Budget-Ms: 8000", &budget)
}

/// Starts a proxy with one endpoint, sends a request and returns both sides once the endpoint has
/// read it.
async fn start(request: &str) -> (Proxy, TestConnection, TestConnection) {
    let (endpoint, listener) = manual_endpoint().await;
    let proxy = Proxy::start(from_ref(&endpoint)).await;
    let mut client = proxy.client().await;
    client.send(request).await;
    let mut endpoint = accept(&listener).await;
    endpoint.receive().await.expect("no request");
    (proxy, client, endpoint)
}

/// A response without a length was buffered until it exceeded 64 KiB or ended, however slowly it
/// arrived, and was given up with a 502 when its client's time was over.
#[test]
fn a_slow_long_response_without_a_length_is_forwarded() {
    let paces = [
        Pace::new(1_000, 20, 60),
        Pace::new(8_000, 80, 12),
        Pace::new(16_384, 150, 8),
        Pace::new(40_000, 700, 2),
        Pace::new(65_536, 500, 2),
    ];
    for class in CLASSES {
        run_test(async {
            let cases = paces.map(|pace| {
                spawn_local(async move {
                    let (_proxy, mut client, mut endpoint) = start(&short_request(class)).await;
                    endpoint.send(HEAD_UNTIL_CLOSE).await;
                    let writing = async move {
                        pace.write(&mut endpoint, false).await;
                        drop(endpoint);
                    };
                    let (response, ()) = tokio::join!(client.receive_response(), writing);
                    let response = response.unwrap_or_else(|| panic!("{pace:?} is incomplete"));
                    let received = (response.status(), response.body.len());
                    assert_eq!(received, (200, pace.total_bytes()), "{class} {pace:?}");
                })
            });
            for case in cases {
                case.await.expect("the case failed");
            }
        });
    }
}

/// The beginning of a response whose end is unknown is forwarded after a bounded time, even if
/// nothing more arrives: a client may not be kept waiting for 2 s for what its endpoint has sent.
#[test]
fn the_beginning_of_a_response_is_forwarded_during_a_long_pause() {
    for head in [HEAD_UNTIL_CLOSE, WATCH_HEAD] {
        run_test(async {
            let (_proxy, client, mut endpoint) = start(&request("keyed", "", "")).await;
            endpoint.send(head).await;
            let sent_at = std::time::Instant::now();
            let is_chunked = head == WATCH_HEAD;
            Pace::new(1_000, 0, 1)
                .write(&mut endpoint, is_chunked)
                .await;
            let mut first_byte = [0; 1];
            client
                .stream
                .peek(&mut first_byte)
                .await
                .expect("no answer");
            let waited = sent_at.elapsed();
            assert!(waited < Duration::from_secs(2), "{head:?}: {waited:?}");
        });
    }
}

/// A response of which a part was forwarded, because it arrived slowly, must not look complete if
/// its endpoint resets the connection.
#[test]
fn a_slow_response_that_is_reset_on_its_way_does_not_look_complete() {
    let paces = [
        Pace::new(500, 100, 8),
        Pace::new(5_000, 100, 8),
        Pace::new(25_000, 100, 8),
    ];
    for class in CLASSES {
        for head in [HEAD_UNTIL_CLOSE, WATCH_HEAD] {
            run_test(async {
                let cases = paces.map(|pace| {
                    spawn_local(async move {
                        let (_proxy, mut client, mut endpoint) = start(&short_request(class)).await;
                        endpoint.send(head).await;
                        pace.write(&mut endpoint, head == WATCH_HEAD).await;
                        disconnect(endpoint, Disconnect::Reset);
                        let response = client.receive_response().await;
                        assert!(
                            response.is_none(),
                            "{class} {head:?} {pace:?}: {response:?}"
                        );
                    })
                });
                for case in cases {
                    case.await.expect("the case failed");
                }
            });
        }
    }
}

/// While a response without a length is buffered, a reset does no harm to a request that may be
/// repeated: it goes to another endpoint.
#[test]
fn a_response_that_is_reset_soon_after_its_beginning_is_replaced() {
    for (class, status) in [("free", 200), ("keyed", 200), ("unsafe", 502)] {
        run_test(async {
            let (first, first_listener) = manual_endpoint().await;
            let (second, second_listener) = manual_endpoint().await;
            let proxy = Proxy::start(&[first, second]).await;
            let mut client = proxy.client().await;
            client.send(&request(class, "", "")).await;
            let (mut endpoint, other_listener) = tokio::select! {
                endpoint = accept(&first_listener) => (endpoint, &second_listener),
                endpoint = accept(&second_listener) => (endpoint, &first_listener),
            };
            endpoint.receive().await.expect("no request");
            endpoint.send(HEAD_UNTIL_CLOSE).await;
            Pace::new(1_000, 50, 4).write(&mut endpoint, false).await;
            disconnect(endpoint, Disconnect::Reset);
            let retry = async {
                if status == 200 {
                    let mut endpoint = accept(other_listener).await;
                    endpoint.receive().await.expect("no second request");
                    respond_ok(&mut endpoint, "good").await;
                }
            };
            let (response, ()) = tokio::join!(client.receive(), retry);
            let response = response.expect("no response");
            assert_eq!(response.status(), status, "{class}");
            assert!(status != 200 || response.body == b"good", "{class}");
        });
    }
}

/// A short response with a length counts by its last byte, so it is not forwarded in part when the
/// client's time is over.
#[test]
fn a_short_response_with_a_length_that_comes_too_late_is_not_forwarded() {
    run_test(async {
        let (_proxy, mut client, mut endpoint) = start(&short_request("unsafe")).await;
        endpoint
            .send("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n")
            .await;
        let writing = Pace::new(6_000, 100, 10).write(&mut endpoint, false);
        let (response, ()) = tokio::join!(client.receive(), writing);
        assert_eq!(response.expect("no response").status(), 502);
    });
}

/// The end of the connection ends a response of unknown length to a client of HTTP/1.0. If such a
/// response breaks, the connection must be reset: after an orderly end it would look complete.
#[test]
fn a_broken_response_to_a_client_of_http_1_0_ends_with_a_reset() {
    for head in [HEAD_UNTIL_CLOSE, WATCH_HEAD] {
        run_test(async {
            let request = short_request("unsafe").replace("HTTP/1.1", "HTTP/1.0");
            let (_proxy, mut client, mut endpoint) = start(&request).await;
            endpoint.send(head).await;
            let pace = Pace::new(5_000, 100, 8);
            pace.write(&mut endpoint, head == WATCH_HEAD).await;
            disconnect(endpoint, Disconnect::Reset);
            let mut received = Vec::new();
            let end = client.stream.read_to_end(&mut received).await;
            assert!(received.starts_with(b"HTTP/1.0 200"), "{head:?}");
            assert!(
                end.is_err(),
                "{head:?}: {} bytes and an end",
                received.len()
            );
        });
    }
}
