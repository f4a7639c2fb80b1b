//! Routes each client request by its path and builds its response.

use super::forward::forward;
use super::headers;
use super::open_request::RequestProgress;
use super::request::RequestError;
use super::response::{closing, empty, error_and_close, forwarded, rejected};
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

/// The connection of a request, and the properties of the request that depend on its connection.
#[derive(Clone, Debug)]
pub(super) struct RequestContext {
    /// The client's connection. It shows when the last byte of the request arrived: the client's
    /// timeout starts then, even if the request waits behind an earlier one on the connection.
    pub(super) socket: Socket,
    /// When the first data of the body must have arrived. Each byte that arrives extends this by
    /// the time that it takes at the minimum upload rate.
    pub(super) read_deadline: Instant,
    /// The `Content-Length` and `Transfer-Encoding` headers do not define the end of the request
    /// unambiguously.
    pub(super) is_framing_ambiguous: bool,
    /// What the request is doing, for those who make room.
    pub(super) progress: Rc<RequestProgress>,
}

/// Handles a request and returns its response. The rest of a request body that was not needed for
/// the response is discarded in the background.
pub(super) async fn respond(
    control: Control,
    request: Request<Incoming>,
    request_context: RequestContext,
) -> Response<ResponseBody> {
    let RequestContext {
        socket,
        read_deadline,
        is_framing_ambiguous,
        progress,
    } = request_context;
    let (head, body) = request.into_parts();
    let awaits_continue = headers::expects_continue(&head.headers);
    let upload = Upload::new(body, socket.clone(), read_deadline, awaits_continue);
    let upload = Rc::new(upload);
    progress.set_upload(&upload);
    let response = match head.uri.path() {
        _ if is_framing_ambiguous => invalid_request(&control, RequestError::AmbiguousFraming),
        HEALTH_PATH if control.is_ready() => empty(StatusCode::OK),
        HEALTH_PATH => empty(StatusCode::SERVICE_UNAVAILABLE),
        REQUEST_PATH => match forward(&control, head, &upload, &socket).await {
            Ok(Reply::Served(response)) => return forwarded(response),
            Ok(Reply::Rejected(retry_after)) if matches!(upload.result(), Some(Err(_))) => {
                closing(rejected(retry_after))
            }
            Ok(Reply::Rejected(retry_after)) => rejected(retry_after),
            Ok(Reply::Failed) => empty(StatusCode::BAD_GATEWAY),
            Err(error) => invalid_request(&control, error),
        },
        _ => error_and_close(StatusCode::NOT_FOUND),
    };
    if upload.result().is_none() {
        spawn_local(async move { upload.discard().await });
    }
    response
}

/// Counts an invalid request and returns the response to it.
fn invalid_request(control: &Control, error: RequestError) -> Response<ResponseBody> {
    control.count_invalid_request(error.status());
    error_and_close(error.status())
}
