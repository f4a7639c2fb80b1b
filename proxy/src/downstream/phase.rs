//! The phases of a client connection.

use crate::metrics::ClientCloseReason;
use crate::socket::Socket;
use std::time::Duration;
use tokio::time::Instant;

/// Time within which a request must arrive completely, measured from the start of its connection
/// or, for later requests, from its first byte. It is below 3 s because a client that sends an
/// invalid or incomplete request must get an error response or a close within 3 s of connecting.
pub(super) const REQUEST_READ_TIMEOUT: Duration = Duration::from_millis(2_750);

/// What is left of the read timeout at least when a connection is accepted, however long it has
/// waited: what has arrived is read, and a complete request gets a response.
const MIN_FIRST_READ_TIME: Duration = Duration::from_millis(500);

/// What a client connection is doing, and since when.
#[derive(Clone, Copy, Debug)]
pub(super) enum Phase {
    /// The head of the first request has not arrived completely.
    AwaitingFirst(Instant),
    /// No request is open. If part of the next one arrives, the next sweep sets
    /// [`Phase::Receiving`].
    Idle(Instant),
    /// Part of the head of a further request has arrived.
    Receiving(Instant),
    /// A request is open: its head has arrived, and its response is not complete.
    Open,
    /// In a lingering close: the proxy has ended its sending and waits for the client to do so.
    Closing(Instant),
}

impl Phase {
    /// The phase of a connection that has just been accepted. Its time counts from when the
    /// connection was established: its client has waited since.
    pub(super) fn first(socket: &Socket) -> Phase {
        let earliest = Instant::now().checked_sub(REQUEST_READ_TIMEOUT - MIN_FIRST_READ_TIME);
        let established_at = socket.established_at();
        Phase::AwaitingFirst(earliest.map_or(established_at, |at| at.max(established_at)))
    }

    /// Whether a request is open or arriving and has not exceeded its read timeout.
    pub(super) fn has_request_in_progress(self, socket: &Socket) -> bool {
        match self {
            Phase::AwaitingFirst(since) | Phase::Receiving(since) => {
                let has_input = || socket.read_count() > 0 || !socket.has_no_unread_input();
                Instant::now() < since + REQUEST_READ_TIMEOUT && has_input()
            }
            Phase::Idle(since) => socket.last_read_at() > since || !socket.has_no_unread_input(),
            Phase::Open => true,
            Phase::Closing(_) => false,
        }
    }

    /// The reason to record when a connection in this phase is closed by a timeout.
    pub(super) fn timeout_reason(self, socket: &Socket) -> ClientCloseReason {
        match self {
            Phase::AwaitingFirst(_) | Phase::Receiving(_) if socket.read_count() > 0 => {
                ClientCloseReason::RequestTimeout
            }
            _ => ClientCloseReason::Idle,
        }
    }

    /// When the request that is arriving must be complete.
    pub(super) fn read_deadline(self, socket: &Socket) -> Instant {
        match self {
            Phase::AwaitingFirst(since) | Phase::Receiving(since) => since + REQUEST_READ_TIMEOUT,
            Phase::Idle(_) | Phase::Open | Phase::Closing(_) => {
                socket.last_read_at() + REQUEST_READ_TIMEOUT
            }
        }
    }
}
