//! Sends pipelined requests on a connection and reads their responses in order.

use super::connection::Connection;
use super::exchange::record_message;
use super::request;
use crate::http::{Message, ReadError};
use crate::proxy::Proxy;
use crate::shared_state::SharedState;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::time::timeout_at;

/// How long a client that does not disconnect waits for all responses together.
const RESPONSES_TIMEOUT: Duration = Duration::from_millis(9_000);

/// Sends pipelined requests and reads their responses. Returns whether the connection can be
/// reused.
pub(super) async fn exchange_pipelined(
    shared: &SharedState,
    proxy: &Proxy,
    connection: &mut Connection,
    count: usize,
) -> bool {
    let ids = write_requests(shared, proxy, connection, count).await;
    let disconnects = shared.draw_bool(0.3);
    let wait = if disconnects {
        shared.draw_millis(0, 60)
    } else {
        RESPONSES_TIMEOUT
    };
    let until = Instant::now() + wait;
    for index in 0..ids.len() {
        match timeout_at(until.into(), connection.reader.read_message()).await {
            Ok(Ok(message)) => {
                if !record_response(shared, &ids[index..], &message) {
                    return false;
                }
            }
            Ok(Err(error)) => {
                let maybe_dropped = proxy.may_have_dropped_requests(connection.process_number);
                record_broken_connection(
                    shared,
                    &ids[index..],
                    &error,
                    maybe_dropped,
                    connection.used,
                );
                return false;
            }
            Err(_) => {
                let maybe_dropped = proxy.may_have_dropped_requests(connection.process_number);
                record_missing_responses(shared, &ids[index..], disconnects, maybe_dropped);
                return false;
            }
        }
    }
    true
}

/// Writes the requests and returns their ids.
async fn write_requests(
    shared: &SharedState,
    proxy: &Proxy,
    connection: &mut Connection,
    count: usize,
) -> Vec<u64> {
    let requests: Vec<_> = (0..count)
        .map(|_| request::draw_request(shared, proxy, connection))
        .collect();
    let parts: Vec<&[u8]> = requests.iter().map(|request| &request.bytes[..]).collect();
    let bytes = parts.concat();
    let written = connection.reader.stream.write_all(&bytes).await.is_ok();
    let now = Instant::now();
    let ids: Vec<u64> = requests.iter().map(|request| request.id).collect();
    for &id in &ids {
        shared.update_request(id, |record| {
            record.timeout_starts_at = Some(now);
            // If writing failed, the proxy may not have read the request.
            record.response_not_required = !written;
        });
    }
    ids
}

/// Records the response to the first of the open requests. Returns whether further responses may
/// follow on the connection.
fn record_response(shared: &SharedState, open: &[u64], message: &Message) -> bool {
    let Some((&answered, following)) = open.split_first() else {
        return false;
    };
    record_message(shared, answered, message, false);
    if let Some(&next) = following.first() {
        // Responses come in order, so the next request's timeout begins only now.
        shared.update_request(next, |record| {
            record.timeout_starts_at = Some(Instant::now())
        });
    }
    if message.header("connection") != Some("close") {
        return true;
    }
    for &id in following {
        shared.update_request(id, |record| record.response_not_required = true);
    }
    false
}

/// Records that the connection broke. The proxy owes no response to a request that it may not have
/// read: one after a truncated response, or one that was sent while the proxy closed a reused
/// connection between two requests.
fn record_broken_connection(
    shared: &SharedState,
    open: &[u64],
    error: &ReadError,
    maybe_dropped: bool,
    used: bool,
) {
    let truncated = matches!(error, ReadError::Truncated { .. });
    for (position, &id) in open.iter().enumerate() {
        let is_first = position == 0;
        if is_first && truncated && !maybe_dropped {
            shared.with_ledger(|ledger| ledger.record_truncated_response(id));
        }
        shared.update_request(id, |record| {
            let unread = record.attempts.is_empty() && (truncated || !is_first || used);
            record.response_not_required |= maybe_dropped || unread || (truncated && is_first);
        });
    }
}

fn record_missing_responses(
    shared: &SharedState,
    open: &[u64],
    disconnects: bool,
    maybe_dropped: bool,
) {
    for &id in open {
        shared.update_request(id, |record| {
            record.disconnected_at = disconnects.then(Instant::now);
            record.response_not_required |= maybe_dropped;
        });
    }
}
