//! Sends one request on a client's connection and reads its response.

use super::connection::Connection;
use super::request::DrawnRequest;
use crate::environment::Environment;
use crate::http::{set_close_mode, CloseMode, ReadError, Reader};
use crate::proxy::Proxy;
use rand::Rng;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::time::{sleep, timeout};

/// How long past its timeout a client that does not disconnect still waits.
const EXTRA_WAIT: Duration = Duration::from_secs(3);

/// How long a client waits for a response, and what it does then.
struct ResponseWait {
    duration: Duration,
    /// Whether it disconnects when the time is over. If not, the proxy must respond before.
    disconnects: bool,
}

impl ResponseWait {
    fn draw(environment: &Environment, client_timeout: Duration) -> ResponseWait {
        // Half of the clients that disconnect do so within 3 % of their timeout.
        let max_fraction = if environment.draw_bool(0.5) {
            0.03
        } else {
            1.0
        };
        let disconnects = environment.draw_bool(0.12);
        let duration = if disconnects {
            client_timeout.mul_f64(environment.draw(|random| random.gen_range(0.0..max_fraction)))
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
    environment: &Environment,
    proxy: &Proxy,
    connection: &mut Connection,
    request: &DrawnRequest,
) -> bool {
    let id = request.id;
    let mut may_resend = true;
    loop {
        let written = write_request(environment, &mut connection.reader, &request.bytes).await;
        if written {
            environment.update_request(id, |record| record.complete_at = Some(Instant::now()));
        }
        let Some(client_timeout) = environment.read_request(id, |record| record.client_timeout)
        else {
            return false;
        };
        let wait = ResponseWait::draw(environment, client_timeout);
        match timeout(wait.duration, connection.reader.read_message()).await {
            Ok(Ok(message)) => {
                environment.with_ledger(|ledger| {
                    ledger.record_completion(id, message.status, &message.body)
                });
                return message.header("connection") != Some("close");
            }
            Ok(Err(ReadError::Closed))
                if may_resend && was_closed_between_requests(environment, id) =>
            {
                may_resend = false;
                if !reopen_connection(environment, proxy, connection, id).await {
                    return false;
                }
            }
            Ok(Err(error)) => {
                let killed = proxy.was_killed(connection.process_number);
                record_broken_response(environment, id, &error, killed, written);
                return false;
            }
            Err(_) => {
                record_missing_response(environment, proxy, connection, id, wait.disconnects);
                return false;
            }
        }
    }
}

/// Whether the connection was closed between two requests: the request is not the first on it, and
/// no attempt of it has reached an endpoint.
fn was_closed_between_requests(environment: &Environment, id: u64) -> bool {
    let unread = environment.read_request(id, |record| {
        !record.new_connection && record.attempts.is_empty()
    });
    unread.unwrap_or(false)
}

/// Replaces a connection that was closed between two requests. Returns whether that succeeded.
async fn reopen_connection(
    environment: &Environment,
    proxy: &Proxy,
    connection: &mut Connection,
    id: u64,
) -> bool {
    let Some(new) = Connection::open(proxy).await else {
        environment.update_request(id, |record| record.exempt = true);
        return false;
    };
    *connection = new;
    environment.update_request(id, |record| {
        record.new_connection = true;
        record.complete_at = None;
    });
    true
}

fn record_broken_response(
    environment: &Environment,
    id: u64,
    error: &ReadError,
    killed: bool,
    written: bool,
) {
    let truncated = matches!(error, ReadError::Truncated { .. });
    if truncated && !killed {
        environment.with_ledger(|ledger| ledger.record_truncated_response(id));
    }
    environment.update_request(id, |record| {
        record.exempt |= killed || truncated || !written
    });
    environment.with_ledger(|ledger| ledger.record_completion(id, None, &[]));
}

/// Records that the client's wait ended without a response: the client disconnects, or the
/// response is overdue, which is excused only if the proxy's process was killed.
fn record_missing_response(
    environment: &Environment,
    proxy: &Proxy,
    connection: &Connection,
    id: u64,
    disconnects: bool,
) {
    if disconnects {
        let close_mode = if environment.draw_bool(0.3) {
            CloseMode::Reset
        } else {
            CloseMode::Graceful
        };
        set_close_mode(&connection.reader.stream, close_mode);
        environment.update_request(id, |record| record.disconnected_at = Some(Instant::now()));
    } else if proxy.was_killed(connection.process_number) {
        environment.update_request(id, |record| record.exempt = true);
    }
}

/// Writes a request at once or, in one of ten cases, in two parts with a pause between them.
async fn write_request(environment: &Environment, reader: &mut Reader, bytes: &[u8]) -> bool {
    if environment.draw_bool(0.9) {
        return reader.stream.write_all(bytes).await.is_ok();
    }
    let cut = environment.draw(|random| random.gen_range(0..bytes.len()));
    let (first, second) = bytes.split_at(cut);
    if reader.stream.write_all(first).await.is_err() {
        return false;
    }
    sleep(environment.draw_millis(1, 60)).await;
    reader.stream.write_all(second).await.is_ok()
}
