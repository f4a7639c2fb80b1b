//! Validates the head of a client's request: its headers, and whether its method, body and
//! idempotency key fit its class.

use super::headers::{self, single_value};
use crate::body::UploadError;
use crate::config::Config;
use crate::message_limits::MAX_BODY_BYTES;
use balancer::{ClassId, Idempotency, TenantId};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};
use std::time::Duration;

/// Why a client's request is invalid. Such a request is not passed to the balancer, unless its body
/// fails while it is being streamed: then the request is cancelled as if its client had
/// disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum RequestError {
    /// The `Content-Length` and `Transfer-Encoding` headers do not define the end of the body
    /// unambiguously.
    #[error("the end of the request body is ambiguous")]
    AmbiguousFraming,
    /// A required header is missing, repeated or has an invalid value.
    #[error("the header {0} is missing, repeated or invalid")]
    InvalidHeader(&'static str),
    /// The method, body or idempotency key does not fit the request's class.
    #[error("the method, body or idempotency key of the request does not fit its class")]
    ClassMismatch,
    /// The body is longer than the limit.
    #[error("the request body is longer than {MAX_BODY_BYTES} bytes")]
    BodyTooLong,
    /// Another request with the same id is in flight, or may have been executed and must not be
    /// executed again.
    #[error("another request with the same id is in flight or may have been executed")]
    DuplicateId,
    /// The body did not arrive completely.
    #[error(transparent)]
    Upload(#[from] UploadError),
}

impl RequestError {
    /// The HTTP status that the client gets for this error.
    pub(super) fn status(self) -> StatusCode {
        match self {
            RequestError::AmbiguousFraming
            | RequestError::InvalidHeader(_)
            | RequestError::ClassMismatch => StatusCode::BAD_REQUEST,
            RequestError::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::DuplicateId => StatusCode::CONFLICT,
            RequestError::Upload(error) => error.status(),
        }
    }
}

/// What the proxy needs from a valid request head.
#[derive(Debug)]
pub(super) struct ValidRequest {
    pub(super) id: HeaderValue,
    pub(super) class: ClassId,
    pub(super) tenant: Option<TenantId>,
    /// The client has sent this request before.
    pub(super) is_client_retry: bool,
    /// How long the client waits for the response after the last byte of its request, limited by
    /// the deadline of its class.
    pub(super) timeout: Duration,
    /// How long after that a response counts, see
    /// [`balancer::Class::weighted_time`].
    pub(super) weighted_time: Duration,
}

/// Validates a request head. `body_length` is the length of the body if the head gives it.
pub(super) fn validate(
    config: &Config,
    head: &Parts,
    body_length: Option<u64>,
) -> Result<ValidRequest, RequestError> {
    let id = request_id(&head.headers)?;
    let invalid_class = RequestError::InvalidHeader(headers::REQUEST_CLASS);
    let class = single_value(&head.headers, headers::REQUEST_CLASS).ok_or(invalid_class)?;
    let class = index_of(&config.classes, class).ok_or(invalid_class)?;
    let class_config = config.settings.classes.get(class).ok_or(invalid_class)?;
    check_class_requirements(head, body_length == Some(0), class_config.idempotency)?;
    let timeout = timeout(&head.headers)?.min(Duration::from_micros(class_config.deadline));
    let tenant = single_value(&head.headers, headers::TENANT);
    let tenant = tenant
        .and_then(|name| index_of(&config.tenants, name))
        .map(TenantId);
    let is_client_retry = single_value(&head.headers, headers::CLIENT_RETRY) == Some("1");
    if body_length.is_some_and(|length| length > MAX_BODY_BYTES) {
        return Err(RequestError::BodyTooLong);
    }
    Ok(ValidRequest {
        id,
        class: ClassId(class),
        tenant,
        is_client_retry,
        timeout,
        weighted_time: Duration::from_micros(class_config.weighted_time()),
    })
}

fn request_id(headers: &HeaderMap) -> Result<HeaderValue, RequestError> {
    let value = single_value(headers, headers::REQUEST_ID).filter(|id| !id.is_empty());
    // A clone would keep the buffer occupied into which the head was read.
    let id = value.and_then(|id| HeaderValue::from_str(id).ok());
    id.ok_or(RequestError::InvalidHeader(headers::REQUEST_ID))
}

/// Checks that the method, body and idempotency key fit the class. Endpoints recognize a repeated
/// request by its key, not by its class, so a request of a keyed class without a key could be
/// executed again at each retry.
fn check_class_requirements(
    head: &Parts,
    is_body_empty: bool,
    idempotency: Idempotency,
) -> Result<(), RequestError> {
    let has_key = head.headers.contains_key(headers::IDEMPOTENCY_KEY);
    let fits = match idempotency {
        Idempotency::Idempotent => head.method == Method::GET && is_body_empty && !has_key,
        Idempotency::Keyed { .. } => {
            let key = single_value(&head.headers, headers::IDEMPOTENCY_KEY);
            if key.is_none_or(str::is_empty) {
                return Err(RequestError::InvalidHeader(headers::IDEMPOTENCY_KEY));
            }
            head.method == Method::POST
        }
        Idempotency::NonIdempotent => head.method == Method::POST && !has_key,
    };
    if fits {
        Ok(())
    } else {
        Err(RequestError::ClassMismatch)
    }
}

/// The client's timeout from its header, which must be a positive number of milliseconds and
/// consist of digits only.
fn timeout(headers: &HeaderMap) -> Result<Duration, RequestError> {
    let text = single_value(headers, headers::TIMEOUT_MS);
    let digits = text.filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
    let milliseconds = digits
        .and_then(|digits| digits.parse::<u32>().ok())
        .filter(|ms| *ms > 0);
    let milliseconds = milliseconds.ok_or(RequestError::InvalidHeader(headers::TIMEOUT_MS))?;
    Ok(Duration::from_millis(milliseconds.into()))
}

fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}
