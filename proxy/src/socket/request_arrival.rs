//! Tracks when the last byte of a client's request can have arrived. Input that the proxy does not
//! read stands in the system's buffers, so a client may have sent all of its request long before
//! the proxy reads the last byte.

use super::Socket;
use tokio::time::Instant;

/// What is known about the arrival of a request's last byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestArrival {
    /// It has not arrived. All that has arrived was read at this time or before.
    Awaited(Instant),
    /// It may have arrived at any time since this one: the proxy has not read all input.
    PossibleSince(Instant),
    /// It has been read, and arrived at this time at the earliest.
    Complete(Instant),
}

/// A request whose last byte is awaited.
#[derive(Clone, Copy, Debug)]
pub(super) struct TrackedRequest {
    /// The zero-based number of the request on its connection.
    number: u64,
    /// When its last byte can have arrived at the earliest. `None` until that byte has been read.
    arrived_at: Option<Instant>,
}

impl Socket {
    /// Tracks the arrival of the request with this zero-based number, whose head has been read, in
    /// place of the request that was tracked before.
    pub(crate) fn track_request(&self, number: u64) {
        self.0.tracked_request.set(Some(TrackedRequest {
            number,
            arrived_at: None,
        }));
        self.note_request_end();
    }

    /// What is known about the arrival of the tracked request's last byte. Asks the operating system
    /// whether there is unread input.
    pub(crate) fn request_arrival(&self) -> RequestArrival {
        let tracked = self.0.tracked_request.get();
        if let Some(at) = tracked.and_then(|request| request.arrived_at) {
            return RequestArrival::Complete(at);
        }
        let reads = &self.0.reads;
        if self.has_no_unread_input() {
            reads.record_no_input();
            return RequestArrival::Awaited(reads.last_at.get());
        }
        // A read that waits is not continued while the endpoint does not take what was read before.
        reads.record_unread_input();
        RequestArrival::PossibleSince(reads.earliest_arrival.get())
    }

    /// Records the arrival of the tracked request if its last byte has been read. Later input must
    /// not change it.
    pub(super) fn note_request_end(&self) {
        let (Some(request), Some(framing)) = (self.0.tracked_request.get(), &self.0.framing) else {
            return;
        };
        let framing = framing.borrow();
        if request.arrived_at.is_some() || !framing.is_complete(request.number) {
            return;
        }
        let reads = &self.0.reads;
        let arrived_at = if framing.ends_with(request.number) {
            reads.earliest_end_arrival()
        } else {
            reads.earliest_arrival.get()
        };
        self.0.tracked_request.set(Some(TrackedRequest {
            arrived_at: Some(arrived_at),
            ..request
        }));
    }
}

#[cfg(test)]
mod tests;
