//! Sends pipelined requests on a connection and reads their responses in order.

use super::connection::Connection;
use super::request;
use crate::environment::Environment;
use crate::http::{Message, ReadError};
use crate::proxy::Proxy;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::time::timeout_at;

/// How long a client that does not disconnect waits for all responses together.
const RESPONSES_TIMEOUT: Duration = Duration::from_millis(9_000);

/// Sends pipelined requests and reads their responses. Returns whether the connection can be
/// reused.
pub(super) async fn exchange_pipelined(
    environment: &Environment,
    proxy: &Proxy,
    connection: &mut Connection,
    count: usize,
) -> bool {
    let ids = write_requests(environment, proxy, connection, count).await;
    let disconnects = environment.draw_bool(0.3);
    let wait = if disconnects {
        environment.draw_millis(0, 60)
    } else {
        RESPONSES_TIMEOUT
    };
    let until = Instant::now() + wait;
    for index in 0..ids.len() {
        match timeout_at(until.into(), connection.reader.read_message()).await {
            Ok(Ok(message)) => {
                if !record_response(environment, &ids[index..], &message) {
                    return false;
                }
            }
            Ok(Err(error)) => {
                let killed = proxy.was_killed(connection.process_number);
                record_broken_connection(
                    environment,
                    &ids[index..],
                    &error,
                    killed,
                    connection.used,
                );
                return false;
            }
            Err(_) => {
                let killed = proxy.was_killed(connection.process_number);
                record_missing_responses(environment, &ids[index..], disconnects, killed);
                return false;
            }
        }
    }
    true
}

/// Writes the requests and returns their ids.
async fn write_requests(
    environment: &Environment,
    proxy: &Proxy,
    connection: &mut Connection,
    count: usize,
) -> Vec<u64> {
    let requests: Vec<_> = (0..count)
        .map(|_| request::draw_request(environment, proxy, connection))
        .collect();
    let bytes: Vec<u8> = requests
        .iter()
        .flat_map(|request| request.bytes.iter().copied())
        .collect();
    let written = connection.reader.stream.write_all(&bytes).await.is_ok();
    let now = Instant::now();
    let ids: Vec<u64> = requests.iter().map(|request| request.id).collect();
    for &id in &ids {
        environment.update_request(id, |record| {
            record.complete_at = Some(now);
            // If writing failed, the proxy may not have read the request.
            record.exempt = !written;
        });
    }
    ids
}

/// Records the response to the first of the open requests. Returns whether further responses may
/// follow on the connection.
fn record_response(environment: &Environment, open: &[u64], message: &Message) -> bool {
    let Some((&answered, following)) = open.split_first() else {
        return false;
    };
    environment
        .with_ledger(|ledger| ledger.record_completion(answered, message.status, &message.body));
    if let Some(&next) = following.first() {
        // Responses come in order, so the next request's timeout begins only now.
        environment.update_request(next, |record| record.complete_at = Some(Instant::now()));
    }
    if message.header("connection") != Some("close") {
        return true;
    }
    for &id in following {
        environment.update_request(id, |record| record.exempt = true);
    }
    false
}

/// Records that the connection broke. The proxy owes no response to a request that it may not have
/// read: one after a truncated response, or one that was sent while the proxy closed a reused
/// connection between two requests.
fn record_broken_connection(
    environment: &Environment,
    open: &[u64],
    error: &ReadError,
    killed: bool,
    used: bool,
) {
    let truncated = matches!(error, ReadError::Truncated { .. });
    for (position, &id) in open.iter().enumerate() {
        let is_first = position == 0;
        if is_first && truncated && !killed {
            environment.with_ledger(|ledger| ledger.record_truncated_response(id));
        }
        environment.update_request(id, |record| {
            let unread = record.attempts.is_empty() && (truncated || !is_first || used);
            record.exempt |= killed || unread || (truncated && is_first);
        });
    }
}

fn record_missing_responses(
    environment: &Environment,
    open: &[u64],
    disconnects: bool,
    killed: bool,
) {
    for &id in open {
        environment.update_request(id, |record| {
            record.disconnected_at = disconnects.then(Instant::now);
            record.exempt |= killed;
        });
    }
}
