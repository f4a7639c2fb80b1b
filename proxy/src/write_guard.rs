//! The guard of one attempt's writes: whether its next byte may be written, checked as it is
//! written, and how much of it was.

use crate::invariants::AttemptRecord;
use crate::metrics::{Metrics, WriteDenial};
use balancer::Outcome;
use std::cell::Cell;
use std::fmt;
use std::future::pending;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// The connection of the client whose request is written, as far as a write has to know it.
pub trait ClientPresence: fmt::Debug {
    /// Whether the client has closed or broken its connection. Asks the operating system, whose
    /// readiness event may not have been delivered yet.
    fn has_disconnected(&self) -> bool;
}

/// What is written of one attempt, and what it depends on.
#[derive(Debug, Default)]
struct GuardState {
    bytes_written: Cell<usize>,
    /// The last byte has been handed to the connection.
    has_request_ended: Cell<bool>,
    is_fully_written: Cell<bool>,
    is_withdrawn: Cell<bool>,
    /// Before when the first byte must be written, if that is bounded.
    begin_before: Option<Instant>,
    /// The client whose request it is; `None`: no client's.
    client: Option<Weak<dyn ClientPresence>>,
    /// `None`: not an attempt of a request.
    record: Option<AttemptRecord>,
    metrics: Metrics,
}

/// Guards the writes of one attempt; clones are the same guard. The default one permits everything.
#[derive(Clone, Debug, Default)]
pub struct WriteGuard(Rc<GuardState>);

impl WriteGuard {
    /// The guard of a new attempt, on behalf of this client. The attempt may begin before
    /// `begin_before` only; it is counted once its last byte is written.
    pub fn new(
        metrics: &Metrics,
        client: Weak<dyn ClientPresence>,
        begin_before: Option<Instant>,
        record: AttemptRecord,
    ) -> WriteGuard {
        WriteGuard(Rc::new(GuardState {
            begin_before,
            metrics: metrics.clone(),
            client: Some(client),
            record: Some(record),
            ..GuardState::default()
        }))
    }

    /// Whether the next byte may be written now. All that forbids an attempt is checked here, at
    /// the last point before the effect.
    ///
    /// `has_no_unread_input`: whether nothing is unread on the connection; `None` where that does
    /// not matter.
    pub fn may_write(&self, has_no_unread_input: Option<bool>) -> Result<(), WriteDenial> {
        let denial = if self.0.is_withdrawn.get() {
            WriteDenial::Withdrawn
        } else if self.is_start_window_closed() {
            WriteDenial::StartWindowClosed
        } else if self.is_abandoned_before_start() {
            WriteDenial::ClientDisconnected
        } else if has_no_unread_input == Some(false) {
            WriteDenial::ConnectionUsed
        } else {
            return Ok(());
        };
        self.0.metrics.count().write_denied(denial);
        if let Some(record) = &self.0.record {
            record.write_denied(denial);
        }
        Err(denial)
    }

    /// Whether the attempt has not begun, and may no longer.
    pub fn is_start_window_closed(&self) -> bool {
        self.bytes_written() == 0 && self.0.begin_before.is_some_and(|end| Instant::now() >= end)
    }

    /// Returns once the window for the attempt's beginning is over, if it has not begun by then.
    pub async fn start_window_closed(&self) {
        match self.0.begin_before {
            Some(end) => sleep_until(end).await,
            None => pending().await,
        }
        if self.bytes_written() > 0 {
            pending().await
        }
    }

    /// Whether the attempt has not begun and its client has disconnected.
    fn is_abandoned_before_start(&self) -> bool {
        let client = self.0.client.as_ref().and_then(Weak::upgrade);
        self.bytes_written() == 0 && client.is_some_and(|client| client.has_disconnected())
    }

    /// Bytes written so far: none means that no endpoint can have seen the attempt.
    pub fn bytes_written(&self) -> usize {
        self.0.bytes_written.get()
    }

    /// Records the timeout that the request advertises to its endpoint.
    pub fn advertise_timeout(&self, timeout: Duration) {
        if let Some(record) = &self.0.record {
            record.advertise_time(timeout);
        }
    }

    /// Notes that the end of the request has been handed to the connection: once flushed, all of it
    /// is written.
    pub fn set_request_ended(&self) {
        self.0.has_request_ended.set(true);
    }

    /// Denies all further writes: tasks that still have the attempt may run once more.
    pub fn withdraw(&self) {
        self.0.is_withdrawn.set(true);
    }

    /// Notes that writing broke off before the request's end: all of it is written again.
    pub fn reset_written(&self) {
        self.0.bytes_written.set(0);
    }

    /// Notes that so many further bytes have been written.
    pub fn record_written(&self, bytes: usize) {
        let before = self.bytes_written();
        self.0.bytes_written.set(before + bytes);
        if let (0, 1.., Some(record)) = (before, bytes, &self.0.record) {
            record.started();
        }
    }

    /// Records the attempt's outcome.
    pub fn finish(&self, outcome: Outcome) {
        if let Some(record) = &self.0.record {
            record.ended(outcome, self.is_fully_written());
        }
    }

    /// Whether all of the attempt is written. No endpoint begins with a request whose last byte it
    /// has not received.
    pub fn is_fully_written(&self) -> bool {
        self.0.is_fully_written.get()
    }

    /// Notes that nothing of what was handed to the connection is left to be written.
    pub fn record_flush(&self) {
        let is_complete = self.0.has_request_ended.get() && self.bytes_written() > 0;
        if is_complete && !self.0.is_fully_written.replace(true) {
            self.0.metrics.count().attempt_written();
        }
    }
}
