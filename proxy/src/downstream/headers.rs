//! The names of the request headers that the proxy reads, and the removal of hop-by-hop headers.

use hyper::header::{self, HeaderMap};

/// The request's id.
pub(super) const REQUEST_ID: &str = "x-call-id";
/// The name of the request's class.
pub(super) const REQUEST_CLASS: &str = "x-call-class";
/// The client's timeout in milliseconds.
pub(super) const TIMEOUT_MS: &str = "x-budget-ms";
/// The name of the client's tenant.
pub(super) const TENANT: &str = "x-caller";
/// Has the value `1` if the client has sent this request before.
pub(super) const CLIENT_RETRY: &str = "x-again";
/// The idempotency key.
pub(super) const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Headers that apply to a single connection or to its message framing (RFC 9110, section 7.6.1).
/// The headers that `Connection` lists are hop-by-hop as well.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The value of a header that occurs exactly once and is text; `None` otherwise.
pub(super) fn single_value<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    if values.next().is_some() {
        return None;
    }
    value.to_str().ok()
}

/// Whether the client waits for a 100 response before it sends the body.
pub(super) fn expects_continue(headers: &HeaderMap) -> bool {
    headers
        .get(header::EXPECT)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}

/// Removes the hop-by-hop headers, which must not be forwarded.
pub(super) fn remove_hop_by_hop(mut headers: HeaderMap) -> HeaderMap {
    let connection = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok());
    let connection_options = connection
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_owned());
    let connection_options: Vec<String> = connection_options.collect();
    for name in connection_options
        .iter()
        .map(String::as_str)
        .chain(HOP_BY_HOP)
    {
        headers.remove(name);
    }
    headers
}
