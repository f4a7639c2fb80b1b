//! Clients that send no valid request and stay connected: each must get an error or a close.

use super::connection::Connection;
use crate::environment::Environment;
use crate::ledger::Rule;
use crate::proxy::Proxy;
use rand::Rng;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::time::{sleep, sleep_until};

/// Invalid clients get an error or a close within this time.
const INVALID_CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// What this program and the loopback may add.
const SLACK: Duration = Duration::from_millis(150);

/// Requests that are incomplete or malformed.
const INVALID_REQUESTS: [&str; 6] = [
    "",
    "GET /api HT",
    INCOMPLETE_BODY,
    "nonsense\r\n\r\n",
    "POST /api HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nxxxxx",
    "POST /api HTTP/1.1\r\nX-Call-Id: 00000000ffffff02\r\nX-Call-Class: keyed\r\n\
     X-Budget-Ms: 900\r\nIdempotency-Key: k\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n",
];
/// The one whose body may also be long.
const INCOMPLETE_BODY: &str = "POST /api HTTP/1.1\r\nX-Call-Id: 00000000ffffff01\r\n\
     X-Call-Class: unsafe\r\nX-Budget-Ms: 900\r\nContent-Length: 50000\r\n\r\nxxxx";
/// Further bytes of that body, if it is long.
const LONG_BODY_BYTES: usize = 45_000;
/// Length of the beginning of a request that is printed.
const EXCERPT_BYTES: usize = 60;

/// What an invalid client got.
enum Reaction {
    Status(u16),
    Closed,
    None,
}

/// Connects and sends invalid requests until the end.
pub(crate) async fn run_invalid_client(environment: Environment, proxy: Rc<Proxy>, end: Instant) {
    while Instant::now() < end {
        sleep(environment.draw_seconds(0.5, 4.0)).await;
        if let Some(connection) = Connection::open(&proxy).await {
            send_invalid_request(&environment, &proxy, connection).await;
        }
    }
}

async fn send_invalid_request(
    environment: &Environment,
    proxy: &Proxy,
    mut connection: Connection,
) {
    let connected_at = Instant::now();
    let request = draw_invalid_request(environment);
    // If it cannot be written, the connection is closed, which is read next.
    let _ = connection.reader.stream.write_all(request.as_bytes()).await;
    let until = connected_at + INVALID_CLIENT_TIMEOUT + SLACK;
    let reaction = tokio::select! {
        answer = connection.reader.message() => match answer {
            Ok(message) => message.status.map_or(Reaction::Closed, Reaction::Status),
            Err(_) => Reaction::Closed,
        },
        () = sleep_until(until.into()) => Reaction::None,
    };
    let excused = proxy.was_killed(connection.process) || proxy.was_disturbed(connected_at);
    match reaction {
        Reaction::None if !excused => {
            let excerpt = &request[..request.len().min(EXCERPT_BYTES)];
            let description = format!(
                "proxy {}: {excerpt:?}, {} bytes, nothing within 3 s",
                proxy.number,
                request.len()
            );
            environment.record_violation(Rule::InvalidClient, description);
        }
        Reaction::Status(status) if !(400..600).contains(&status) => {
            let description = format!("an invalid client was answered with {status}");
            environment.record_violation(Rule::Lost, description);
        }
        Reaction::Status(_) | Reaction::Closed | Reaction::None => {}
    }
}

fn draw_invalid_request(environment: &Environment) -> String {
    let request =
        INVALID_REQUESTS[environment.draw(|random| random.gen_range(0..INVALID_REQUESTS.len()))];
    let mut request = request.to_owned();
    if request == INCOMPLETE_BODY && environment.chance(0.5) {
        request.push_str(&"x".repeat(LONG_BODY_BYTES));
    }
    request
}
