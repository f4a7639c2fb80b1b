//! Derives the outcome of an attempt from its response.

use crate::message_limits::MAX_BODY_BYTES;
use balancer::{BodyFraming, Outcome};
use hyper::header::{self, HeaderMap};
use hyper::StatusCode;
use std::error::Error as StdError;
use std::io;
use std::iter::successors;
use thiserror::Error;

/// Header with the value `1` in the response to a request that the endpoint rejected without
/// executing it.
const REJECTED_HEADER: &str = "x-rejected";

/// Why a response with status 200 can't be forwarded.
#[derive(Debug, Error)]
pub(super) enum ResponseError {
    /// The connection broke, or the response could not be parsed.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// The declared length of the body exceeds the maximum size of a body.
    #[error("the response body is longer than {MAX_BODY_BYTES} bytes")]
    TooLong,
    /// The head is ambiguous about the length of the body, or declares a transfer coding other than
    /// `chunked`.
    #[error("the response headers do not define where the body ends")]
    InvalidFraming,
    /// No memory is left for the body, and no room can be made.
    #[error("no memory is left for the response body")]
    OutOfMemory,
}

impl ResponseError {
    /// The outcome of the attempt.
    pub(super) fn outcome(&self) -> Outcome {
        match self {
            ResponseError::Http(error) => classify_error(error),
            ResponseError::TooLong | ResponseError::InvalidFraming => Outcome::Unknown,
            // The endpoint has served the request; it is not at fault.
            ResponseError::OutOfMemory => Outcome::Served,
        }
    }
}

/// The outcome of an exchange that failed after its request was written. A response that cannot be
/// parsed is not a reset, because the connection did not break. In either case the endpoint may
/// have executed the request.
pub(super) fn classify_error(error: &hyper::Error) -> Outcome {
    let mut causes = successors(Some(error as &(dyn StdError + 'static)), |error| {
        (*error).source()
    });
    if causes.any(is_malformed_response) {
        Outcome::Unknown
    } else {
        Outcome::Reset
    }
}

fn is_malformed_response(cause: &(dyn StdError + 'static)) -> bool {
    let is_invalid = |error: &io::Error| {
        matches!(
            error.kind(),
            io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData
        )
    };
    cause
        .downcast_ref::<hyper::Error>()
        .is_some_and(hyper::Error::is_parse)
        || cause.downcast_ref::<io::Error>().is_some_and(is_invalid)
}

/// The outcome of a response with a status other than 200.
pub(super) fn classify_status(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let is_rejected = headers
        .get(REJECTED_HEADER)
        .is_some_and(|value| value == "1");
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_rejected => {
            Outcome::Rejected
        }
        StatusCode::INTERNAL_SERVER_ERROR => Outcome::Error,
        // The request is at fault. A separate outcome keeps clients with invalid requests from
        // making healthy endpoints look faulty.
        status if status.is_client_error() => Outcome::Invalid,
        _ => Outcome::Unknown,
    }
}

/// The framing that the headers of a response declare. `None`: several lengths or both a length and a
/// transfer coding, which is ambiguous, or a transfer coding other than `chunked`, which cannot be
/// decoded.
pub(super) fn body_framing(headers: &HeaderMap) -> Option<BodyFraming> {
    let lengths = headers.get_all(header::CONTENT_LENGTH).iter().count();
    let codings: Vec<_> = headers.get_all(header::TRANSFER_ENCODING).iter().collect();
    match (lengths, &codings[..]) {
        (1, []) => Some(BodyFraming::Length),
        (0, [coding]) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
            Some(BodyFraming::Chunked)
        }
        (0, []) => Some(BodyFraming::UntilClose),
        _ => None,
    }
}
