//! What a response proves about its attempt, and the reading of its body as far as it can be
//! buffered.

use crate::body::{BodyMemory, BufferedBody};
use crate::message_limits::MAX_BODY_BYTES;
use balancer::Outcome;
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{self, HeaderMap};
use hyper::StatusCode;
use std::error::Error as StdError;
use std::io;
use std::iter::successors;
use std::time::Duration;
use thiserror::Error;
use tokio::time::{timeout_at, Instant};

/// `1`: the endpoint has rejected the request without executing it.
const REJECTED_HEADER: &str = "x-rejected";
/// How long a response of unknown length is buffered once its body has begun.
const BUFFERING_TIMEOUT: Duration = Duration::from_millis(20);

/// Why a response with status 200 can't be forwarded.
#[derive(Debug, Error)]
pub(super) enum ResponseError {
    /// Its connection broke, or it could not be parsed.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// Its head announces a body that is longer than any may be.
    #[error("the response body is longer than {MAX_BODY_BYTES} bytes")]
    TooLong,
    /// Its head can be read in two ways, or names a transfer coding other than `chunked`.
    #[error("the response's head does not say where its body ends")]
    InvalidFraming,
}

impl ResponseError {
    /// What it proves about the attempt.
    pub(super) fn outcome(&self) -> Outcome {
        match self {
            ResponseError::Http(error) => classify_error(error),
            ResponseError::TooLong | ResponseError::InvalidFraming => Outcome::Unknown,
        }
    }
}

/// What it proves that an exchange failed after its request was written. A response that can't be
/// parsed is no reset: the connection did not break. But the request may have run in either case.
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

/// What a status other than 200 proves.
pub(super) fn classify_status(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let is_rejected = headers
        .get(REJECTED_HEADER)
        .is_some_and(|value| value == "1");
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_rejected => {
            Outcome::Rejected
        }
        StatusCode::INTERNAL_SERVER_ERROR => Outcome::Error,
        // The request is at fault: bad clients must not make healthy endpoints look faulty.
        status if status.is_client_error() => Outcome::Invalid,
        _ => Outcome::Unknown,
    }
}

/// How the end of a response's body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyFraming {
    /// By its length or its last chunk.
    Delimited,
    /// By the end of its connection (RFC 9112, section 6.3). An endpoint that crashes resets it,
    /// and a reset is no end.
    UntilClose,
}

impl BodyFraming {
    /// The framing that the head of a response declares. `None`: with two lengths or two framings
    /// it can be read in two ways, and with a transfer coding other than `chunked` it can't be read
    /// at all.
    pub(super) fn of(headers: &HeaderMap) -> Option<BodyFraming> {
        let lengths = headers.get_all(header::CONTENT_LENGTH).iter().count();
        let codings: Vec<_> = headers.get_all(header::TRANSFER_ENCODING).iter().collect();
        match (lengths, &codings[..]) {
            (1, []) => Some(BodyFraming::Delimited),
            (0, [coding]) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
                Some(BodyFraming::Delimited)
            }
            (0, []) => Some(BodyFraming::UntilClose),
            _ => None,
        }
    }
}

/// A response's body as far as it is read before it is forwarded.
pub(super) enum ReadBody {
    /// All of it.
    Complete(Bytes),
    /// Its beginning, as it is too long or takes too long to be buffered.
    Partial {
        /// What has been read.
        prefix: Bytes,
        /// What has not.
        rest: Incoming,
    },
}

/// Buffers a small body. A body of unknown length is buffered only for a bounded time, so that its
/// first bytes are not delayed. But one that ends with its connection may be cut off at any byte,
/// and its request can be retried only while nothing of it has been forwarded: it is buffered as
/// long as it fits.
pub(super) async fn read_body(
    mut body: Incoming,
    framing: BodyFraming,
    memory: &BodyMemory,
) -> Result<ReadBody, ResponseError> {
    let length = body.size_hint().exact();
    if length.is_some_and(|length| length > MAX_BODY_BYTES) {
        return Err(ResponseError::TooLong);
    }
    let Some(mut buffer) = BufferedBody::new(memory, length) else {
        let prefix = next_data(&mut body).await.transpose()?.unwrap_or_default();
        return Ok(ReadBody::Partial { prefix, rest: body });
    };
    let buffer_until = Instant::now() + BUFFERING_TIMEOUT;
    let is_bounded = length.is_none() && framing == BodyFraming::Delimited;
    let mut has_begun = false;
    loop {
        let data = if is_bounded && has_begun {
            match timeout_at(buffer_until, next_data(&mut body)).await {
                Ok(data) => data,
                Err(_) => break,
            }
        } else {
            next_data(&mut body).await
        };
        let Some(data) = data else {
            return Ok(ReadBody::Complete(buffer.into_bytes()));
        };
        has_begun = true;
        if !buffer.append(&data?) {
            break;
        }
    }
    Ok(ReadBody::Partial {
        prefix: buffer.into_bytes(),
        rest: body,
    })
}

/// The next data of a body; trailers are not forwarded.
async fn next_data(body: &mut Incoming) -> Option<Result<Bytes, hyper::Error>> {
    loop {
        match body.frame().await? {
            Ok(frame) => match frame.into_data() {
                Ok(data) => return Some(Ok(data)),
                Err(_) => continue,
            },
            Err(error) => return Some(Err(error)),
        }
    }
}
