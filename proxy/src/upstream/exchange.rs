//! One request and its response on a connection.

use super::connection::{Connection, RESPONSE_END_TIMEOUT};
use super::load_report::load_report;
use super::response::{
    classify_error, classify_status, read_body, BodyFraming, ReadBody, ResponseError,
};
use crate::body::{
    AttemptBody, BodyMemory, RequestBody, ResponseBody, StreamedResponse, MAX_BUFFERED_BODY_BYTES,
};
use crate::write_guard::WriteGuard;
use balancer::{LoadReport, Outcome};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::http::response::Parts;
use hyper::{Request, Response, StatusCode};
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// A reused connection that breaks within this time of the request was closed before the request
/// arrived.
const STALE_CONNECTION_WINDOW: Duration = Duration::from_millis(20);

/// How an attempt ended.
#[derive(Debug)]
pub(crate) struct AttemptEnd {
    /// Its outcome.
    pub(crate) outcome: Outcome,
    /// The endpoint's load report.
    pub(crate) load: LoadReport,
    /// The response to forward, if the attempt was served.
    pub(crate) response: Option<Response<ResponseBody>>,
    /// The connection, if it can be reused.
    pub(crate) connection: Option<Connection>,
}

impl AttemptEnd {
    /// The end of an attempt that got no response.
    pub(crate) fn without_response(outcome: Outcome) -> AttemptEnd {
        AttemptEnd {
            outcome,
            load: LoadReport::default(),
            response: None,
            connection: None,
        }
    }
}

/// What an exchange needs besides its connection and its request.
pub(crate) struct ExchangeContext<'a> {
    /// The request's body.
    pub(crate) request_body: &'a RequestBody,
    /// Admits and counts the attempt's bytes.
    pub(crate) write_guard: &'a WriteGuard,
    /// The memory for buffered responses.
    pub(crate) memory: &'a BodyMemory,
    /// Called with the connection once a streamed response has been read to its end.
    pub(crate) return_connection: Box<dyn FnOnce(Connection)>,
}

/// Sends a request on a connection and reads its response: all of a small one, the beginning of a
/// large one. `None`: the connection was found closed before the request was written completely,
/// and all of it can be written again.
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

/// The outcome of a request to which no response was read; `None` if all of it can be written
/// again.
fn classify_send_error(
    connection: &Connection,
    sent_at: Instant,
    error: &hyper::Error,
    context: &ExchangeContext<'_>,
) -> Option<Outcome> {
    if !context.write_guard.is_fully_written() {
        let is_repeatable = context
            .request_body
            .upload()
            .is_none_or(|upload| !upload.is_consumed());
        return (!is_repeatable).then_some(Outcome::Truncated);
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
        read_success(connection, head, body, context).await
    } else {
        read_failure(connection, &head, body).await
    }
}

/// Reads a response whose status says that it failed. Its outcome is known: a rest that breaks or
/// stalls can't change it.
async fn read_failure(connection: Connection, head: &Parts, body: Incoming) -> AttemptEnd {
    let rest = Limited::new(body, MAX_BUFFERED_BODY_BYTES).collect();
    let is_complete = matches!(timeout(RESPONSE_END_TIMEOUT, rest).await, Ok(Ok(_)));
    let connection = if is_complete {
        connection.into_reusable().await
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

/// Reads a response that is forwarded if its body can be.
async fn read_success(
    connection: Connection,
    head: Parts,
    body: Incoming,
    context: ExchangeContext<'_>,
) -> AttemptEnd {
    let load = load_report(&head.headers);
    let read = match BodyFraming::of(&head.headers) {
        Some(framing) => read_body(body, framing, context.memory).await,
        None => Err(ResponseError::InvalidFraming),
    };
    let (body, connection) = match read {
        Ok(ReadBody::Complete(bytes)) => (
            ResponseBody::buffered(bytes),
            connection.into_reusable().await,
        ),
        Ok(ReadBody::Partial { prefix, rest }) => {
            let socket = connection.socket().clone();
            let return_connection = context.return_connection;
            let on_completed = Box::new(move || return_connection(connection));
            let stream = StreamedResponse::new(prefix, rest, socket, on_completed);
            (ResponseBody::Streamed(Box::new(stream)), None)
        }
        // The request has run, and its result is lost.
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
