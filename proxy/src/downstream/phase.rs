//! What a client's connection is doing, and since when.

use crate::metrics::ClientCloseReason;
use crate::socket::Socket;
use std::time::Duration;
use tokio::time::Instant;

/// Time for a complete request, however slowly it arrives: from its connection's start, or from its
/// own first byte. Clients must get a response or a close within 3 s.
pub(super) const REQUEST_READ_TIMEOUT: Duration = Duration::from_millis(2_750);

/// What a client's connection is doing, and since when.
#[derive(Clone, Copy, Debug)]
pub(super) enum Phase {
    /// Its first request has not arrived completely.
    AwaitingFirst(Instant),
    /// No request is open.
    Idle(Instant),
    /// A further request has begun to arrive.
    Receiving(Instant),
    /// A request is open: it has arrived, and its response is not complete.
    Open,
    /// This side has ended its sending, and waits for the peer's end.
    Closing(Instant),
}

impl Phase {
    /// Whether something of a request has arrived, and its time is not over.
    pub(super) fn is_receiving(self, socket: &Socket) -> bool {
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

    /// Why a connection in this phase is closed when its time is over.
    pub(super) fn timeout_reason(self, socket: &Socket) -> ClientCloseReason {
        match self {
            Phase::AwaitingFirst(_) | Phase::Receiving(_) if socket.read_count() > 0 => {
                ClientCloseReason::RequestTimeout
            }
            _ => ClientCloseReason::Idle,
        }
    }

    /// By when the request that arrives now must be complete.
    pub(super) fn read_deadline(self, socket: &Socket) -> Instant {
        match self {
            Phase::AwaitingFirst(since) | Phase::Receiving(since) => since + REQUEST_READ_TIMEOUT,
            Phase::Idle(_) | Phase::Open | Phase::Closing(_) => {
                socket.last_read_at() + REQUEST_READ_TIMEOUT
            }
        }
    }
}
