//! One attempt as its bytes see it: whether they may be written now, and how much of them was.

use crate::invariants::AttemptRecord;
use crate::metrics::{Metrics, WriteDenial};
use crate::socket::{Socket, WeakSocket};
use balancer::Outcome;
use std::cell::Cell;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

#[derive(Debug, Default)]
struct Written {
    bytes: Cell<usize>,
    ended: Cell<bool>,
    whole: Cell<bool>,
    barred: Cell<bool>,
    /// Before when the first byte must be written, if that is bounded.
    begin_before: Option<Instant>,
    /// Whose request it is.
    client: WeakSocket,
    /// `None`: no request has it.
    record: Option<AttemptRecord>,
    metrics: Metrics,
}

/// What was written for one attempt; clones are the same meter.
#[derive(Clone, Debug, Default)]
pub struct WriteGuard(Rc<Written>);

impl WriteGuard {
    /// The meter of a new attempt of a request that came on this socket, which is counted once its last byte is written.
    /// None is, if its first would be only at `begin_before` or later.
    pub fn new(
        metrics: &Metrics,
        client: &Socket,
        begin_before: Option<Instant>,
        record: AttemptRecord,
    ) -> WriteGuard {
        let (metrics, client) = (metrics.clone(), client.downgrade());
        WriteGuard(Rc::new(Written {
            begin_before,
            metrics,
            client,
            record: Some(record),
            ..Written::default()
        }))
    }

    /// Whether the next byte may be written now, on a connection on which `is_quiet` tells that nothing has come, if that
    /// matters. All that forbids an attempt is asked here, at its last point before the effect.
    pub fn may_write(&self, is_quiet: Option<bool>) -> Result<(), WriteDenial> {
        let denial = match () {
            () if self.0.barred.get() => WriteDenial::Withdrawn,
            () if self.is_late() => WriteDenial::StartWindowClosed,
            () if self.is_unwanted() => WriteDenial::ClientDisconnected,
            () if is_quiet == Some(false) => WriteDenial::ConnectionUsed,
            () => return Ok(()),
        };
        self.0.metrics.count().write_denied(denial);
        self.0.record.iter().for_each(|record| record.write_denied(denial));
        Err(denial)
    }

    /// Whether the attempt has not begun, and may no longer.
    pub fn is_late(&self) -> bool {
        self.written() == 0 && self.0.begin_before.is_some_and(|end| Instant::now() >= end)
    }

    /// Returns once the time for its beginning is over, if it has not begun by then.
    pub async fn closed(&self) {
        match self.0.begin_before {
            Some(end) => sleep_until(end).await,
            None => pending().await,
        }
        if self.written() > 0 {
            pending().await
        }
    }

    /// Whether the attempt may not be begun as its client has left. The last look is the writing's own.
    fn is_unwanted(&self) -> bool {
        self.written() == 0 && self.0.client.upgrade().is_some_and(|client| client.has_left())
    }

    /// Bytes written so far: none means that no host can have seen the attempt.
    pub fn written(&self) -> usize {
        self.0.bytes.get()
    }

    /// The time that the request tells its host to be left.
    pub fn tell(&self, left: Duration) {
        self.0.record.iter().for_each(|record| record.advertise_time(left));
    }

    /// The end of the request has been handed over; what is flushed after that is all of it.
    pub fn set_ended(&self) {
        self.0.ended.set(true);
    }

    /// Nothing more of the attempt is written from here on: the tasks that have it at hand may still come to their turns.
    pub fn bar(&self) {
        self.0.barred.set(true);
    }

    /// What was written broke off before its end: all of it is written again.
    pub fn restart(&self) {
        self.0.bytes.set(0);
    }

    /// So many bytes have been written.
    pub fn wrote(&self, bytes: usize) {
        if bytes > 0 && self.0.bytes.replace(self.0.bytes.get() + bytes) == 0 {
            self.0.record.iter().for_each(AttemptRecord::started);
        }
    }

    /// It is over.
    pub fn ended(&self, outcome: Outcome) {
        self.0.record.iter().for_each(|record| record.ended(outcome, self.is_whole()));
    }

    /// Whether all of the attempt is written. Without its last byte no host begins with it.
    pub fn is_whole(&self) -> bool {
        self.0.whole.get()
    }

    /// Nothing of what was handed over is left to be written.
    pub fn flushed(&self) {
        if self.0.ended.get() && self.0.bytes.get() > 0 && !self.0.whole.replace(true) {
            self.0.metrics.count().attempt_written();
        }
    }
}
