//! An exchange: one request and its response on a connection to an endpoint.

use super::buffering::{read_body, BufferingContext, ReadBody};
use super::connection::{Connection, RESPONSE_END_TIMEOUT};
use super::load_report::load_report;
use super::response::{body_framing, classify_error, classify_status, ResponseError};
use crate::body::{AttemptBody, RequestBody, ResponseBody, StreamedResponse};
use crate::memory::MAX_BUFFERED_BODY_BYTES;
use crate::write_guard::WriteGuard;
use balancer::{LoadReport, Outcome};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::http::response::Parts;
use hyper::{Request, Response, StatusCode};
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// If a reused connection breaks without a response within this time of sending the request, the
/// endpoint is assumed to have closed it before the request arrived.
const STALE_CONNECTION_WINDOW: Duration = Duration::from_millis(20);

/// The result of an attempt.
#[derive(Debug)]
pub(crate) struct AttemptEnd {
    /// Outcome of the attempt, as reported to the balancer.
    pub(crate) outcome: Outcome,
    /// Load report from the response; empty if there is none.
    pub(crate) load: LoadReport,
    /// Response to forward to the client, if the attempt was served. `None` for a served attempt: no
    /// memory was left for its response.
    pub(crate) response: Option<Response<ResponseBody>>,
    /// The connection, if it carries nothing any more.
    pub(crate) connection: Option<Connection>,
}

impl AttemptEnd {
    /// The result of an attempt that got no response, or none that could be used.
    pub(crate) fn without_response(outcome: Outcome) -> AttemptEnd {
        AttemptEnd {
            outcome,
            load: LoadReport::default(),
            response: None,
            connection: None,
        }
    }
}

/// Everything that an exchange needs besides its connection and request.
pub(crate) struct ExchangeContext<'a> {
    /// Body of the request.
    pub(crate) request_body: &'a RequestBody,
    /// Checks and counts the writes of the attempt.
    pub(crate) write_guard: &'a WriteGuard,
    /// How the response body is buffered.
    pub(crate) buffering: BufferingContext<'a>,
    /// Called with the connection once a streamed response has been read completely.
    pub(crate) return_connection: Box<dyn FnOnce(Connection)>,
}

/// Sends a request on a connection and reads its response. A small response is read completely; of
/// a large one the beginning is read, and the rest is streamed. Returns `None` if the request was
/// not written completely, as on a connection that turns out to be closed, and all of it can be
/// written again.
pub(crate) async fn exchange(
    mut connection: Connection,
    request: Request<AttemptBody>,
    context: ExchangeContext<'_>,
) -> Option<AttemptEnd> {
    let sent_at = Instant::now();
    match connection.send(request, context.write_guard).await {
        Ok(response) => Some(read_response(connection, response, context).await),
        Err(error) => {
            let outcome = classify_send_error(&connection, sent_at, &error, &context)?;
            Some(AttemptEnd::without_response(outcome))
        }
    }
}

/// The outcome of a request for which no response head could be read; `None` if the request was not
/// written completely and all of it can be written again.
fn classify_send_error(
    connection: &Connection,
    sent_at: Instant,
    error: &hyper::Error,
    context: &ExchangeContext<'_>,
) -> Option<Outcome> {
    if !context.write_guard.is_fully_written() {
        let can_rewrite_request = context
            .request_body
            .upload()
            .is_none_or(|upload| !upload.is_consumed());
        return (!can_rewrite_request).then_some(Outcome::Truncated);
    }
    let has_no_response = connection.is_reused() && connection.has_received_no_response();
    let outcome = classify_error(error);
    let is_stale =
        outcome == Outcome::Reset && has_no_response && sent_at.elapsed() < STALE_CONNECTION_WINDOW;
    Some(if is_stale { Outcome::Stale } else { outcome })
}

async fn read_response(
    connection: Connection,
    response: Response<Incoming>,
    context: ExchangeContext<'_>,
) -> AttemptEnd {
    let (head, body) = response.into_parts();
    if head.status == StatusCode::OK {
        read_successful_response(connection, head, body, context).await
    } else {
        read_failed_response(connection, &head, body).await
    }
}

/// Reads a response with a status other than 200, which is not forwarded. The status decides the
/// outcome; if the body breaks or stalls, the connection is closed, but the outcome is the same.
async fn read_failed_response(connection: Connection, head: &Parts, body: Incoming) -> AttemptEnd {
    let rest = Limited::new(body, MAX_BUFFERED_BODY_BYTES).collect();
    let is_complete = matches!(timeout(RESPONSE_END_TIMEOUT, rest).await, Ok(Ok(_)));
    let connection = if is_complete {
        connection.into_idle().await
    } else {
        None
    };
    AttemptEnd {
        outcome: classify_status(head.status, &head.headers),
        load: load_report(&head.headers),
        response: None,
        connection,
    }
}

/// Reads a response with status 200, which is forwarded unless its body is invalid or breaks.
async fn read_successful_response(
    connection: Connection,
    head: Parts,
    body: Incoming,
    context: ExchangeContext<'_>,
) -> AttemptEnd {
    let load = load_report(&head.headers);
    let read = match body_framing(&head.headers) {
        Some(framing) => read_body(body, framing, &context.buffering).await,
        None => Err(ResponseError::InvalidFraming),
    };
    let (body, connection) = match read {
        Ok(ReadBody::Complete(bytes)) => {
            (ResponseBody::buffered(bytes), connection.into_idle().await)
        }
        Ok(ReadBody::Partial {
            prefix,
            rest,
            permit,
        }) => {
            let socket = connection.socket().clone();
            let return_connection = context.return_connection;
            let on_completed = Box::new(move || return_connection(connection));
            let stream = StreamedResponse::new(prefix, rest, socket, on_completed, permit);
            (ResponseBody::Streamed(Box::new(stream)), None)
        }
        // The endpoint has executed the request, but its result is lost, or there is no room for it.
        Err(error) => {
            return AttemptEnd {
                load,
                ..AttemptEnd::without_response(error.outcome())
            }
        }
    };
    AttemptEnd {
        outcome: Outcome::Served,
        load,
        response: Some(Response::from_parts(head, body)),
        connection,
    }
}
