//! Gives each request of a client its one response, by its path.

use super::forward::forward;
use super::request::RequestError;
use super::response::{empty, error_and_close, forwarded, rejected};
use crate::body::{ResponseBody, Upload};
use crate::control::request::Reply;
use crate::control::Control;
use crate::socket::Socket;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use std::rc::Rc;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// The path of requests that are forwarded.
const REQUEST_PATH: &str = "/api";
/// The path of the proxy's own health check.
const HEALTH_PATH: &str = "/_health";

/// How a request arrives.
#[derive(Clone, Debug)]
pub(super) struct IncomingRequest {
    /// Where it is read. Its client's time runs from its last byte, also while it waits behind
    /// another.
    pub(super) socket: Socket,
    /// By when its body must have arrived, besides the time that a long one takes at the least
    /// admissible rate.
    pub(super) read_deadline: Instant,
    /// Its head says in two ways where it ends.
    pub(super) is_framing_ambiguous: bool,
}

/// Responds to a request.
pub(super) async fn respond(
    control: Control,
    request: Request<Incoming>,
    incoming: IncomingRequest,
) -> Response<ResponseBody> {
    let IncomingRequest {
        socket,
        read_deadline,
        is_framing_ambiguous,
    } = incoming;
    let (head, body) = request.into_parts();
    let upload = Rc::new(Upload::new(body, socket.clone(), read_deadline));
    let response = match head.uri.path() {
        _ if is_framing_ambiguous => invalid(&control, RequestError::AmbiguousFraming),
        HEALTH_PATH if control.is_ready() => empty(StatusCode::OK),
        HEALTH_PATH => empty(StatusCode::SERVICE_UNAVAILABLE),
        REQUEST_PATH => match forward(&control, head, &upload, &socket).await {
            Ok(Reply::Served(response)) => return forwarded(response),
            Ok(Reply::Rejected(retry_after)) => rejected(retry_after),
            Ok(Reply::Failed) => empty(StatusCode::BAD_GATEWAY),
            Err(error) => invalid(&control, error),
        },
        _ => error_and_close(StatusCode::NOT_FOUND),
    };
    if upload.result().is_none() {
        spawn_local(async move { upload.discard().await });
    }
    response
}

/// The response to a request that cannot be used, which is counted.
fn invalid(control: &Control, error: RequestError) -> Response<ResponseBody> {
    control.count_invalid_request(error.status());
    error_and_close(error.status())
}
