//! How long the beginning of a response is buffered before it is forwarded. While nothing of it has
//! been forwarded, a response that breaks can be replaced by that of another attempt. In return,
//! the client waits for its first byte, which is what counts of a long response.

use crate::Micros;

/// How long a chunked body is buffered. Its last chunk shows whether it is complete.
const CHUNKED_BUFFERING_TIME: Micros = 20_000;
/// Minimum time for which a body that ends with its connection is buffered.
const MIN_UNTIL_CLOSE_BUFFERING_TIME: Micros = 20_000;
/// Maximum time for which a body that ends with its connection is buffered while it keeps arriving.
const MAX_UNTIL_CLOSE_BUFFERING_TIME: Micros = 1_000_000;
/// A body that ends with its connection is buffered for the time until the response is due, divided
/// by this, so that its first byte is in time even if its data arrives in large intervals.
const TIME_LEFT_DIVISOR: Micros = 2;
/// Maximum time for which the beginning of a body that ends with its connection is buffered if
/// nothing more arrives. Holding back a long response for 2 s counts as losing it.
const MAX_PAUSE: Micros = 1_500_000;

/// How the end of a response body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BodyFraming {
    /// By its declared length.
    Length,
    /// By its last chunk.
    Chunked,
    /// By the end of the connection (RFC 9112, section 6.3). If the endpoint crashes, the
    /// connection is reset, which does not count as the end of the body.
    UntilClose,
}

/// For how long the beginning of a response body is buffered, counted from its first data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BufferingTimes {
    /// From this time on, the response is forwarded as soon as more data arrives.
    pub forward_after: Micros,
    /// At this time the response is forwarded even if nothing more has arrived.
    pub flush_after: Micros,
}

impl BodyFraming {
    /// For how long the beginning of a body is buffered whose response counts if it is forwarded
    /// within `time_left`. `None` if only the client's time
    /// limits this: the body is known to be short, and a short response counts by its last byte.
    pub fn buffering_times(self, time_left: Micros) -> Option<BufferingTimes> {
        match self {
            BodyFraming::Length => None,
            BodyFraming::Chunked => Some(BufferingTimes {
                forward_after: CHUNKED_BUFFERING_TIME,
                flush_after: CHUNKED_BUFFERING_TIME,
            }),
            BodyFraming::UntilClose => Some(BufferingTimes {
                forward_after: (time_left / TIME_LEFT_DIVISOR).clamp(
                    MIN_UNTIL_CLOSE_BUFFERING_TIME,
                    MAX_UNTIL_CLOSE_BUFFERING_TIME,
                ),
                flush_after: MAX_PAUSE,
            }),
        }
    }
}
