//! Clients that send an incomplete or malformed request and stay connected. The proxy must send
//! each an error or close its connection.

use super::connection::Connection;
use crate::ledger::Rule;
use crate::proxy::Proxy;
use crate::shared_state::SharedState;
use rand::Rng;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::time::{sleep, sleep_until};

/// Time after connecting within which a client that sends an invalid request must get an error, or
/// its connection must be closed.
const INVALID_CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Tolerance for delays of this program and the loopback.
const LOOPBACK_DELAY_TOLERANCE: Duration = Duration::from_millis(150);

/// Incomplete and malformed requests.
const INVALID_REQUESTS: [&str; 6] = [
    "",
    "GET /api HT",
    INCOMPLETE_BODY,
    "nonsense\r\n\r\n",
    "POST /api HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nxxxxx",
    "POST /api HTTP/1.1\r\nX-Call-Id: 00000000ffffff02\r\nX-Call-Class: keyed\r\n\
     X-Budget-Ms: 900\r\nIdempotency-Key: k\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n",
];
/// A request with an incomplete body, which may be extended by `LONG_BODY_BYTES`.
const INCOMPLETE_BODY: &str = "POST /api HTTP/1.1\r\nX-Call-Id: 00000000ffffff01\r\n\
     X-Call-Class: unsafe\r\nX-Budget-Ms: 900\r\nContent-Length: 50000\r\n\r\nxxxx";
/// Number of bytes that extend the incomplete body; it stays incomplete.
const LONG_BODY_BYTES: usize = 45_000;
/// Length of the excerpt of a request that is printed with a violation.
const EXCERPT_BYTES: usize = 60;

/// How the proxy reacted to an invalid request.
enum Reaction {
    Status(u16),
    Closed,
    Missing,
}

/// Repeatedly connects and sends an invalid request, until `end`.
pub(crate) async fn run_invalid_client(shared: SharedState, proxy: Rc<Proxy>, end: Instant) {
    while Instant::now() < end {
        sleep(shared.draw_seconds(0.5, 4.0)).await;
        if let Some(connection) = Connection::open(&proxy).await {
            send_invalid_request(&shared, &proxy, connection).await;
        }
    }
}

async fn send_invalid_request(shared: &SharedState, proxy: &Proxy, mut connection: Connection) {
    let connected_at = Instant::now();
    let request = draw_invalid_request(shared);
    // If writing fails, the connection is closed, which the next read reports.
    let _ = connection.reader.stream.write_all(request.as_bytes()).await;
    let until = connected_at + INVALID_CLIENT_TIMEOUT + LOOPBACK_DELAY_TOLERANCE;
    let reaction = tokio::select! {
        reply = connection.reader.read_message() => match reply {
            Ok(message) => message.status.map_or(Reaction::Closed, Reaction::Status),
            Err(_) => Reaction::Closed,
        },
        () = sleep_until(until.into()) => Reaction::Missing,
    };
    let excused = proxy.may_have_dropped_requests(connection.process_number)
        || proxy.was_disturbed(connected_at);
    match reaction {
        Reaction::Missing if !excused => {
            let excerpt = &request[..request.len().min(EXCERPT_BYTES)];
            let description = format!(
                "proxy {}: neither a response nor a close within {:?} of connecting, after an \
                 invalid request of {} bytes that begins with {excerpt:?}",
                proxy.number,
                until - connected_at,
                request.len()
            );
            shared.record_violation(Rule::InvalidClient, description);
        }
        Reaction::Status(status) if !(400..600).contains(&status) => {
            let description = format!(
                "proxy {}: an invalid request got status {status}, expected 400 to 599",
                proxy.number
            );
            shared.record_violation(Rule::Lost, description);
        }
        Reaction::Status(_) | Reaction::Closed | Reaction::Missing => {}
    }
}

fn draw_invalid_request(shared: &SharedState) -> String {
    let request =
        INVALID_REQUESTS[shared.draw(|random| random.gen_range(0..INVALID_REQUESTS.len()))];
    let mut request = request.to_owned();
    if request == INCOMPLETE_BODY && shared.draw_bool(0.5) {
        request.push_str(&"x".repeat(LONG_BODY_BYTES));
    }
    request
}
