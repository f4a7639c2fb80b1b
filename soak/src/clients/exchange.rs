//! Sends one request on a client's connection and reads its response.

use super::connection::Connection;
use super::request::DrawnRequest;
use crate::http::{set_close_mode, CloseMode, Message, ReadError, ReadPace, Reader};
use crate::ledger::RequestRecord;
use crate::proxy::Proxy;
use crate::shared_state::SharedState;
use rand::Rng;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::time::{sleep, timeout};

/// How long past its timeout a client that does not disconnect still waits.
const EXTRA_WAIT: Duration = Duration::from_secs(3);
/// The same for a client that reads slowly: the longest response takes it that long.
const SLOW_READER_EXTRA_WAIT: Duration = Duration::from_secs(30);
/// How much longer a client waits where endpoints may respond slowly.
const SLOW_RESPONSE_EXTRA_WAIT: Duration = Duration::from_secs(3);
/// Number of bytes that a client reads at once if it reads slowly.
const SLOW_READ_BYTES: usize = 16 << 10;

/// How long a client waits for a response, and what it does then.
struct ResponseWait {
    duration: Duration,
    /// Whether the client disconnects after `duration`. If not, it also stops waiting then, and the
    /// request counts as one without a response.
    disconnects: bool,
}

impl ResponseWait {
    fn draw(shared: &SharedState, client_timeout: Duration) -> ResponseWait {
        // Half of the clients that disconnect do so within 3 % of their timeout.
        let max_fraction = if shared.draw_bool(0.5) { 0.03 } else { 1.0 };
        let disconnects = shared.draw_bool(0.12);
        let duration = if disconnects {
            client_timeout.mul_f64(shared.draw(|random| random.gen_range(0.0..max_fraction)))
        } else {
            client_timeout + EXTRA_WAIT
        };
        ResponseWait {
            duration,
            disconnects,
        }
    }
}

/// Writes a request and reads its response. If the proxy closed a reused connection before it can
/// have read the request, the request is sent once more on a new connection. Returns whether the
/// connection can be reused.
pub(super) async fn exchange_one(
    shared: &SharedState,
    proxy: &Proxy,
    connection: &mut Connection,
    request: &DrawnRequest,
) -> bool {
    let id = request.id;
    let mut may_resend = true;
    loop {
        let written = write_request(shared, &mut connection.reader, &request.bytes).await;
        if written {
            shared.update_request(id, |record| record.timeout_starts_at = Some(Instant::now()));
        }
        let Some(client_timeout) = shared.read_request(id, |record| record.client_timeout) else {
            return false;
        };
        let mut wait = ResponseWait::draw(shared, client_timeout);
        connection.reader.pace = draw_pace(shared).filter(|_| !wait.disconnects);
        if connection.reader.pace.is_some() {
            wait.duration += SLOW_READER_EXTRA_WAIT;
        }
        if shared.config().has_slow_peers && !wait.disconnects {
            wait.duration += SLOW_RESPONSE_EXTRA_WAIT;
        }
        let read = timeout(wait.duration, connection.reader.read_message()).await;
        let is_slow = connection.reader.pace.take().is_some();
        match read {
            Ok(Ok(message)) => {
                record_message(shared, id, &message, is_slow);
                return message.header("connection") != Some("close");
            }
            Ok(Err(ReadError::Closed)) if may_resend && was_closed_between_requests(shared, id) => {
                may_resend = false;
                if !reopen_connection(shared, proxy, connection, id).await {
                    return false;
                }
            }
            Ok(Err(error)) => {
                let maybe_dropped = proxy.may_have_dropped_requests(connection.process_number);
                record_broken_response(shared, id, &error, maybe_dropped, written);
                return false;
            }
            Err(_) => {
                record_missing_response(shared, proxy, connection, id, wait.disconnects);
                return false;
            }
        }
    }
}

/// Draws how fast a client reads a response: at least 109 kB per second, if slowly.
fn draw_pace(shared: &SharedState) -> Option<ReadPace> {
    if !shared.config().has_large_messages || !shared.draw_bool(0.05) {
        return None;
    }
    Some(ReadPace {
        bytes: SLOW_READ_BYTES,
        pause: shared.draw_millis(20, 150),
    })
}

/// Records a response. If its client or its endpoint is slow, only the beginning has to come in
/// time.
pub(super) fn record_message(
    shared: &SharedState,
    id: u64,
    message: &Message,
    is_client_slow: bool,
) {
    let has_slow_response = shared.read_request(id, RequestRecord::has_slow_response);
    let at = if is_client_slow || has_slow_response == Some(true) {
        message.first_byte_at
    } else {
        Instant::now()
    };
    shared.with_ledger(|ledger| {
        ledger.record_completion_at(id, message.status, &message.body, at);
    });
}

/// Whether the connection was closed between two requests: the request is not the first on it, and
/// no attempt of it has reached an endpoint.
fn was_closed_between_requests(shared: &SharedState, id: u64) -> bool {
    let unread = shared.read_request(id, |record| {
        !record.new_connection && record.attempts.is_empty()
    });
    unread.unwrap_or(false)
}

/// Replaces a connection that was closed between two requests. Returns whether that succeeded.
async fn reopen_connection(
    shared: &SharedState,
    proxy: &Proxy,
    connection: &mut Connection,
    id: u64,
) -> bool {
    let Some(new) = Connection::open(proxy).await else {
        shared.update_request(id, |record| record.response_not_required = true);
        return false;
    };
    *connection = new;
    shared.update_request(id, |record| {
        record.new_connection = true;
        record.timeout_starts_at = None;
    });
    true
}

fn record_broken_response(
    shared: &SharedState,
    id: u64,
    error: &ReadError,
    maybe_dropped: bool,
    written: bool,
) {
    let truncated = matches!(error, ReadError::Truncated { .. });
    if truncated && !maybe_dropped {
        shared.with_ledger(|ledger| ledger.record_truncated_response(id));
    }
    shared.update_request(id, |record| {
        record.response_not_required |= maybe_dropped || truncated || !written
    });
    shared.with_ledger(|ledger| ledger.record_completion(id, None, &[]));
}

/// Records that the client's wait ended without a response: the client disconnects, or the response
/// is overdue, which is excused only if the proxy's process may have ended with the request in
/// flight.
fn record_missing_response(
    shared: &SharedState,
    proxy: &Proxy,
    connection: &Connection,
    id: u64,
    disconnects: bool,
) {
    if disconnects {
        let close_mode = if shared.draw_bool(0.3) {
            CloseMode::Reset
        } else {
            CloseMode::Graceful
        };
        set_close_mode(&connection.reader.stream, close_mode);
        shared.update_request(id, |record| record.disconnected_at = Some(Instant::now()));
    } else if proxy.may_have_dropped_requests(connection.process_number) {
        shared.update_request(id, |record| record.response_not_required = true);
    }
}

/// Writes a request at once or, in one of ten cases, in two parts with a pause between them.
async fn write_request(shared: &SharedState, reader: &mut Reader, bytes: &[u8]) -> bool {
    if shared.draw_bool(0.9) {
        return reader.stream.write_all(bytes).await.is_ok();
    }
    let cut = shared.draw(|random| random.gen_range(0..bytes.len()));
    let (first, second) = bytes.split_at(cut);
    if reader.stream.write_all(first).await.is_err() {
        return false;
    }
    sleep(shared.draw_millis(1, 60)).await;
    reader.stream.write_all(second).await.is_ok()
}
