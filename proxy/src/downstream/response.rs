//! Builds the responses that clients get.

use super::headers::remove_hop_by_hop;
use crate::body::ResponseBody;
use hyper::body::Bytes;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::{Response, StatusCode};
use std::time::Duration;

/// An endpoint's response, without its hop-by-hop headers.
pub(super) fn forwarded(response: Response<ResponseBody>) -> Response<ResponseBody> {
    let (mut head, body) = response.into_parts();
    head.headers = compact(remove_hop_by_hop(head.headers));
    Response::from_parts(head, body)
}

/// The same fields in a map of their number. hyper keeps the map of each response for the life of the
/// client's connection, and that of an endpoint's response may have held a request before.
fn compact(headers: HeaderMap) -> HeaderMap {
    let mut compact = HeaderMap::with_capacity(headers.len());
    compact.extend(headers);
    compact
}

/// A rejection that tells the client to retry after this time.
pub(super) fn rejected(retry_after: Duration) -> Response<ResponseBody> {
    let mut response = empty(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::try_from(seconds) {
        response.headers_mut().append(header::RETRY_AFTER, value);
    }
    response
}

/// An error response that closes the connection, because the unread rest of the request could be
/// parsed as the next request.
pub(super) fn error_and_close(status: StatusCode) -> Response<ResponseBody> {
    closing(empty(status))
}

/// A response after which the connection is closed.
pub(super) fn closing(mut response: Response<ResponseBody>) -> Response<ResponseBody> {
    let headers = response.headers_mut();
    headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

/// A response with this status and an empty body.
pub(super) fn empty(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::buffered(Bytes::new()));
    *response.status_mut() = status;
    response
}
