//! How invalid requests are rejected.

mod common;

use common::*;
use std::slice::from_ref;
use tokio::io::AsyncWriteExt;

/// A request, and the expected status of the response to it.
type InvalidRequest = (String, u16);

/// Requests with an invalid id, class or deadline.
fn requests_with_invalid_headers(valid_get: &str) -> Vec<InvalidRequest> {
    let id = valid_get
        .split("\r\n")
        .find(|line| line.starts_with("X-Call-Id"))
        .expect("no X-Call-Id header");
    vec![
        (valid_get.replace("X-Call-Id", "X-Other"), 400),
        (valid_get.replace(id, "X-Call-Id: "), 400),
        (request("free", "X-Call-Id: twice\r\n", ""), 400),
        (request("unheard-of", "", ""), 400),
        (valid_get.replace("8000", "soon"), 400),
        (valid_get.replace("8000", "0"), 400),
        (valid_get.replace("8000", "-5"), 400),
        (valid_get.replace("8000", "+5"), 400),
        (valid_get.replace("8000", "99999999999999999999"), 400),
        (valid_get.replace("X-Budget-Ms", "X-Other"), 400),
    ]
}

/// Requests whose method, idempotency key or body does not fit their class.
fn requests_that_contradict_their_class(valid_get: &str, valid_post: &str) -> Vec<InvalidRequest> {
    let keyed = request("keyed", "", "body");
    vec![
        (valid_get.replace("GET", "POST"), 400),
        (request("free", "Idempotency-Key: k\r\n", ""), 400),
        (request("free", "", "body"), 400),
        (valid_post.replace("POST", "PUT"), 400),
        (request("unsafe", "Idempotency-Key: k\r\n", ""), 400),
        (keyed.replace("Idempotency-Key", "X-Other"), 400),
        (
            request("keyed", "Idempotency-Key: k\r\nIdempotency-Key: k\r\n", ""),
            400,
        ),
    ]
}

/// Requests with invalid framing, most of them followed by a smuggled request. The proxy must
/// neither read the smuggled request nor forward it in the body of the first.
fn requests_with_invalid_framing(valid_post: &str) -> Vec<InvalidRequest> {
    let smuggled = format!("0\r\n\r\n{}", request("unsafe", "", ""));
    let chunked = "Transfer-Encoding: chunked\r\n";
    let length = format!("Content-Length: {}\r\n", smuggled.len());
    let framed = |framing: &str| request("unsafe", framing, "") + &smuggled;
    vec![
        (
            valid_post.replace("Content-Length: 4", "Content-Length: -4"),
            400,
        ),
        (
            valid_post.replace(
                "Content-Length: 4",
                "Content-Length: 4\r\nContent-Length: 5",
            ),
            400,
        ),
        (framed(&format!("{chunked}{length}")), 400),
        (framed(&format!("{length}{chunked}")), 400),
        (framed(&format!("{length}{length}")), 400),
        (framed("Transfer-Encoding: gzip, chunked\r\n"), 400),
    ]
}

/// Requests that are invalid in other ways.
fn other_invalid_requests(valid_get: &str, valid_post: &str) -> Vec<InvalidRequest> {
    vec![
        (valid_get.replace("/api", "/other"), 404),
        (
            valid_post.replace("Content-Length: 4", "Content-Length: 99999999999"),
            413,
        ),
        ("no http\r\n\r\n".to_owned(), 400),
    ]
}

/// Asserts that the request is rejected with this status and its connection is closed.
async fn assert_rejected(proxy: &Proxy, text: String, status: u16) {
    let mut client = proxy.client().await;
    let text = text + &request("unsafe", "", "");
    // The proxy discards the rest of a rejected request only for a limited time, so the connection
    // may be closed before the end of a large request is written.
    let _ = client.stream.write_all(text.as_bytes()).await;
    let response = client.receive().await.expect("no response");
    assert_eq!(
        response.status(),
        status,
        "{}",
        &text[..text.len().min(300)]
    );
    assert_eq!(
        response.header("connection"),
        Some("close"),
        "{}",
        &text[..text.len().min(300)]
    );
    assert!(
        client.receive().await.is_none(),
        "the request that follows must not be read"
    );
}

/// An invalid request must end at once and reach neither the balancer nor an endpoint.
#[test]
fn invalid_requests_are_rejected_without_reaching_an_endpoint() {
    run_test(async {
        let endpoint = TestEndpoint::start([ok("")]).await;
        let proxy = Proxy::start(from_ref(&endpoint)).await;
        let valid_get = request("free", "", "");
        let valid_post = request("unsafe", "", "body");
        let cases = [
            requests_with_invalid_headers(&valid_get),
            requests_that_contradict_their_class(&valid_get, &valid_post),
            requests_with_invalid_framing(&valid_post),
            other_invalid_requests(&valid_get, &valid_post),
        ];
        for (text, status) in cases.concat() {
            assert_rejected(&proxy, text, status).await;
        }
        assert_eq!(endpoint.request_count(), 0);
        assert_eq!(
            proxy.client().await.exchange(&valid_get).await.status(),
            200
        );
    });
}
