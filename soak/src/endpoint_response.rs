//! Draws the responses of an endpoint: complete ones with each kind of framing, and truncated,
//! invalid and error responses.

use crate::endpoint::Behaviour;
use crate::ledger::{response_body, Framing};
use crate::shared_state::SharedState;
use rand::Rng;
use std::time::Duration;

/// Response that rejects a request without executing it.
pub(crate) const REJECTION_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n";

/// Error responses; the last two are invalid HTTP.
const ERROR_RESPONSES: [&str; 4] = [
    "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
    "noise\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
];

/// Share of the responses that are written slowly, in runs with slow peers.
const SLOW_RESPONSE_SHARE: f64 = 0.05;
/// Length of the chunks of a chunked response.
const CHUNK_BYTES: usize = 700;

/// What an endpoint does with a connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AfterResponse {
    /// Waits for the next request.
    KeepAlive,
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
}

/// A response that is to be written.
pub(crate) struct PlannedResponse {
    /// Bytes to be written.
    pub(crate) bytes: Vec<u8>,
    /// Whether the bytes end before the complete response.
    pub(crate) truncated: bool,
    /// What the endpoint does with the connection afterwards.
    pub(crate) after: AfterResponse,
}

/// Draws an error response.
pub(crate) fn draw_error_response(shared: &SharedState) -> &'static [u8] {
    ERROR_RESPONSES[shared.draw(|random| random.gen_range(0..ERROR_RESPONSES.len()))].as_bytes()
}

impl Framing {
    pub(crate) fn draw(shared: &SharedState) -> Framing {
        match shared.draw(|random| random.gen_range(0..4)) {
            0 => Framing::Close,
            1 => Framing::Chunks,
            _ => Framing::Length,
        }
    }

    /// Whether a response with the first half of this body is an incomplete one. An empty body whose
    /// length is given is complete with its head.
    fn is_truncated_by_half(self, body: &[u8]) -> bool {
        self != Framing::Length || !body.is_empty()
    }
}

/// Draws a response with status 200. Only an endpoint that resets connections truncates it.
pub(crate) fn draw_success_response(
    shared: &SharedState,
    id: u64,
    behaviour: Behaviour,
) -> PlannedResponse {
    let has_large_messages = shared.config().has_large_messages;
    let length = shared.draw(|random| {
        if has_large_messages && random.gen_bool(0.01) {
            random.gen_range(300_000..1_500_000)
        } else if random.gen_bool(0.02) {
            random.gen_range(70_000..200_000)
        } else {
            random.gen_range(0..3_000)
        }
    });
    let body = response_body(id, length);
    let resets = behaviour == Behaviour::Resetting;
    let is_half_written = resets && shared.draw_bool(0.4);
    let framing = Framing::draw(shared);
    let closes = framing == Framing::Length && !is_half_written && shared.draw_bool(0.05);
    let after = match framing {
        Framing::Close => AfterResponse::Close,
        _ if closes => AfterResponse::Close,
        _ => AfterResponse::KeepAlive,
    };
    plan_success_response(&body, framing, is_half_written, resets, after)
}

/// A long response that is written slowly: in pieces, with a pause after each.
pub(crate) struct PacedResponse {
    /// The response.
    pub(crate) planned: PlannedResponse,
    /// How it gives the end of its body.
    pub(crate) framing: Framing,
    /// Length of a piece.
    pub(crate) piece_bytes: usize,
    /// Pause after each piece.
    pub(crate) pause: Duration,
}

/// Draws a long response with status 200 that is written slowly. `None` if this response is an
/// ordinary one.
pub(crate) fn draw_paced_response(shared: &SharedState, id: u64) -> Option<PacedResponse> {
    if !shared.config().has_slow_peers || !shared.draw_bool(SLOW_RESPONSE_SHARE) {
        return None;
    }
    let (length, piece_count, seconds) = shared.draw(|random| {
        (
            random.gen_range(70_000..200_000),
            random.gen_range(2..40),
            random.gen_range(0.5..3.0),
        )
    });
    let framing = Framing::draw(shared);
    let after = match framing {
        Framing::Close => AfterResponse::Close,
        Framing::Chunks | Framing::Length => AfterResponse::KeepAlive,
    };
    let body = response_body(id, length);
    let planned = plan_success_response(&body, framing, false, false, after);
    Some(PacedResponse {
        piece_bytes: planned.bytes.len().div_ceil(piece_count),
        planned,
        framing,
        pause: Duration::from_secs_f64(seconds / piece_count as f64),
    })
}

/// Plans a response with status 200 and this body, or only the first half of it.
fn plan_success_response(
    body: &[u8],
    framing: Framing,
    is_half_written: bool,
    resets: bool,
    after: AfterResponse,
) -> PlannedResponse {
    let truncated = is_half_written && framing.is_truncated_by_half(body);
    let written_body = if is_half_written {
        &body[..body.len() / 2]
    } else {
        body
    };
    let bytes = match framing {
        Framing::Close => close_delimited(written_body),
        Framing::Chunks => chunked(written_body, truncated),
        Framing::Length => length_delimited(written_body, body.len()),
    };
    // A connection may be reset after a complete response with a length or chunks, which remains
    // valid. A response that ends with its connection would be truncated by a reset.
    let reset_after_complete = resets && after == AfterResponse::KeepAlive;
    let after = if truncated || reset_after_complete {
        AfterResponse::Reset
    } else {
        after
    };
    PlannedResponse {
        bytes,
        truncated,
        after,
    }
}

/// Whether an endpoint sends a complete response a second time at once. Nobody has asked for it.
pub(crate) fn draw_is_repeated(
    shared: &SharedState,
    behaviour: Behaviour,
    response: &PlannedResponse,
) -> bool {
    shared.config().has_large_messages
        && behaviour == Behaviour::Failing
        && response.after == AfterResponse::KeepAlive
        && shared.draw_bool(0.3)
}

fn close_delimited(body: &[u8]) -> Vec<u8> {
    let mut bytes = b"HTTP/1.1 200 OK\r\n\r\n".to_vec();
    bytes.extend(body);
    bytes
}

fn chunked(body: &[u8], truncated: bool) -> Vec<u8> {
    let mut bytes = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    for chunk in body.chunks(CHUNK_BYTES) {
        bytes.extend(format!("{:x}\r\n", chunk.len()).as_bytes());
        bytes.extend(chunk);
        bytes.extend(b"\r\n");
    }
    if !truncated {
        bytes.extend(b"0\r\n\r\n");
    }
    bytes
}

fn length_delimited(body: &[u8], length: usize) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n").into_bytes();
    bytes.extend(body);
    bytes
}

#[cfg(test)]
mod tests;
