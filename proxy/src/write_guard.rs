//! Guards the writes of one attempt: checks at each write whether the attempt may still be written,
//! and counts the bytes that were written.

use crate::invariants::AttemptRecord;
use crate::metrics::{Metrics, WriteDenial};
use balancer::{BodyFraming, Outcome};
use std::cell::Cell;
use std::fmt;
use std::future::pending;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// The connection of the client on whose behalf an attempt is written, reduced to the check that
/// writes need.
pub trait ClientPresence: fmt::Debug {
    /// Whether the client has closed its connection or the connection is broken. Asks the operating
    /// system, because a readiness event may not have been delivered yet.
    fn has_disconnected(&self) -> bool;
}

/// The progress of one attempt's writes, and the conditions under which it may be written.
#[derive(Debug, Default)]
struct GuardState {
    bytes_written: Cell<usize>,
    /// Whether the request's last byte has been handed to the HTTP connection.
    is_last_byte_queued: Cell<bool>,
    is_fully_written: Cell<bool>,
    is_withdrawn: Cell<bool>,
    /// End of the start window: the first byte must be written before this time. `None`: no limit.
    start_deadline: Option<Instant>,
    /// The client whose request is written. `None` if the request is not a client's.
    client: Option<Weak<dyn ClientPresence>>,
    /// `None` if the request is not an attempt of a client's request.
    record: Option<AttemptRecord>,
    metrics: Metrics,
}

/// Guards the writes of one attempt. Clones share the guard. The default guard permits every write.
#[derive(Clone, Debug, Default)]
pub struct WriteGuard(Rc<GuardState>);

impl WriteGuard {
    /// Creates the guard of a new attempt on behalf of `client`. The attempt's first byte may be
    /// written only before `start_deadline`. The attempt is counted once its last byte is written.
    pub fn new(
        metrics: &Metrics,
        client: Weak<dyn ClientPresence>,
        start_deadline: Option<Instant>,
        record: AttemptRecord,
    ) -> WriteGuard {
        WriteGuard(Rc::new(GuardState {
            start_deadline,
            metrics: metrics.clone(),
            client: Some(client),
            record: Some(record),
            ..GuardState::default()
        }))
    }

    /// Checks whether the next byte may be written now. All reasons not to write an attempt are
    /// checked here, immediately before the write.
    ///
    /// `has_no_unread_input` is whether the connection is open and has no unread input, without
    /// which the write is denied; `None` if this write is permitted in either case.
    pub fn check_write(&self, has_no_unread_input: Option<bool>) -> Result<(), WriteDenial> {
        let denial = if self.0.is_withdrawn.get() {
            WriteDenial::Withdrawn
        } else if self.is_start_window_closed() {
            WriteDenial::StartWindowClosed
        } else if self.has_client_disconnected_before_start() {
            WriteDenial::ClientDisconnected
        } else if has_no_unread_input == Some(false) {
            WriteDenial::ConnectionUsed
        } else {
            return Ok(());
        };
        self.0.metrics.counters_mut().write_denied(denial);
        if let Some(record) = &self.0.record {
            record.write_denied(denial);
        }
        Err(denial)
    }

    /// Whether the start window closed before the attempt's first byte was written.
    pub fn is_start_window_closed(&self) -> bool {
        self.bytes_written() == 0 && self.0.start_deadline.is_some_and(|at| Instant::now() >= at)
    }

    /// Completes when the start window closes, if the attempt's first byte has not been written by
    /// then; never completes otherwise.
    pub async fn start_window_closed(&self) {
        match self.0.start_deadline {
            Some(end) => sleep_until(end).await,
            None => pending().await,
        }
        if self.bytes_written() > 0 {
            pending().await
        }
    }

    /// Whether the client disconnected before the attempt's first byte was written.
    fn has_client_disconnected_before_start(&self) -> bool {
        let client = self.0.client.as_ref().and_then(Weak::upgrade);
        self.bytes_written() == 0 && client.is_some_and(|client| client.has_disconnected())
    }

    /// Number of bytes written so far. 0 means that no endpoint can have received any part of the
    /// attempt.
    pub fn bytes_written(&self) -> usize {
        self.0.bytes_written.get()
    }

    /// Records the client's remaining time, as the attempt advertises it to its endpoint.
    pub fn record_advertised_time(&self, time_left: Duration) {
        if let Some(record) = &self.0.record {
            record.record_advertised_time(time_left);
        }
    }

    /// Records that the request's last byte has been handed to the HTTP connection. The next flush
    /// of the connection completes the write of the attempt.
    pub fn set_last_byte_queued(&self) {
        self.0.is_last_byte_queued.set(true);
    }

    /// Denies all further writes. Needed because tasks that hold the attempt may still be polled
    /// once.
    pub fn withdraw(&self) {
        self.0.is_withdrawn.set(true);
    }

    /// Resets the count of written bytes because the connection broke before the request was
    /// written completely: all of it is written again on another connection.
    pub fn reset_written(&self) {
        self.0.bytes_written.set(0);
    }

    /// Adds to the number of bytes written, and records the start of the attempt at the first byte.
    pub fn record_written(&self, bytes: usize) {
        let before = self.bytes_written();
        self.0.bytes_written.set(before + bytes);
        if let (0, 1.., Some(record)) = (before, bytes, &self.0.record) {
            record.started();
        }
    }

    /// Records that writing waits for the endpoint to read.
    pub fn record_write_blocked(&self) {
        if let Some(record) = &self.0.record {
            record.write_blocked(self.bytes_written());
        }
    }

    /// Records that writing goes on after it has waited for this time.
    pub fn record_write_unblocked(&self, blocked_for: Duration) {
        if let Some(record) = &self.0.record {
            record.write_unblocked(blocked_for);
        }
    }

    /// Records a response that is given up after it was buffered for this time.
    pub fn record_response_given_up(
        &self,
        framing: BodyFraming,
        buffered_bytes: usize,
        buffered_for: Duration,
    ) {
        self.0.metrics.counters_mut().response_given_up(framing);
        if let Some(record) = &self.0.record {
            record.response_given_up(framing, buffered_bytes, buffered_for);
        }
    }

    /// Records the attempt's outcome.
    pub fn record_outcome(&self, outcome: Outcome) {
        if let Some(record) = &self.0.record {
            record.ended(outcome, self.is_fully_written());
        }
    }

    /// Whether the attempt has been written completely. Endpoints do not begin to execute a request
    /// before they have received its last byte.
    pub fn is_fully_written(&self) -> bool {
        self.0.is_fully_written.get()
    }

    /// Records that everything handed to the HTTP connection has been written.
    pub fn record_flush(&self) {
        let is_complete = self.0.is_last_byte_queued.get() && self.bytes_written() > 0;
        if is_complete && !self.0.is_fully_written.replace(true) {
            self.0.metrics.counters_mut().attempt_written();
        }
    }
}
