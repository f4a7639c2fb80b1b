//! When input was read from a stream, and when it can have arrived.

use super::input_times::InputTimes;
use std::cell::Cell;
use tcp_activity::RESOLUTION;
use tokio::time::Instant;

/// The number and times of reads from a stream.
pub(super) struct ReadHistory {
    /// Number of reads that have completed, with data, end of stream or an error.
    pub(super) count: Cell<u64>,
    /// Number of bytes that were read.
    pub(super) byte_count: Cell<u64>,
    /// When the last read completed.
    pub(super) last_at: Cell<Instant>,
    /// The earliest time at which the input of the last read can have arrived.
    pub(super) earliest_arrival: Cell<Instant>,
    /// Since when the last read has been waiting for input; `None` if it does not wait, or no longer
    /// shows when its input arrived.
    waiting_since: Cell<Option<Instant>>,
    /// Number of times that reading had to wait for input.
    pub(super) wait_count: Cell<u64>,
    /// The times of the connection when the stream was wrapped.
    opened: InputTimes,
}

impl ReadHistory {
    pub(super) fn new(opened: InputTimes) -> ReadHistory {
        ReadHistory {
            count: Cell::new(0),
            byte_count: Cell::new(0),
            last_at: Cell::new(Instant::now()),
            earliest_arrival: Cell::new(opened.established_at),
            waiting_since: Cell::new(None),
            wait_count: Cell::new(0),
            opened,
        }
    }

    /// When the connection was established.
    pub(super) fn established_at(&self) -> Instant {
        self.opened.established_at
    }

    /// The earliest time at which the last byte that was read can have arrived. As long as no read
    /// had to wait, it is behind all that had arrived when the stream was wrapped, or part of it.
    pub(super) fn earliest_end_arrival(&self) -> Instant {
        let earliest_arrival = self.earliest_arrival.get();
        if self.wait_count.get() > 0 {
            return earliest_arrival;
        }
        earliest_arrival.max(self.opened.last_input_at)
    }

    /// Records that a read has to wait for input.
    pub(super) fn record_wait(&self) {
        self.wait_count.set(self.wait_count.get() + 1);
        if self.waiting_since.get().is_none() {
            self.waiting_since.set(Some(Instant::now()));
        }
    }

    /// Records that a read has completed. `last_input_at` asks when the last input arrived, which
    /// may be long ago, if this process has not run since. It is not called where it would tell
    /// nothing, as the read waited for less than the resolution.
    pub(super) fn record_completion(&self, last_input_at: impl FnOnce() -> Option<Instant>) {
        let now = Instant::now();
        self.count.set(self.count.get() + 1);
        self.last_at.set(now);
        let Some(since) = self.waiting_since.take() else {
            return;
        };
        let has_waited_long = now.saturating_duration_since(since) > RESOLUTION;
        let arrival = has_waited_long.then(last_input_at).flatten();
        self.earliest_arrival
            .set(arrival.map_or(now, |at| at.clamp(since, now)));
    }

    /// Records that all that has arrived was read.
    pub(super) fn record_no_input(&self) {
        self.earliest_arrival.set(Instant::now());
    }

    /// Records that input has arrived behind a read that waits. The read no longer shows when its
    /// input arrived, as it may not be continued for long.
    pub(super) fn record_unread_input(&self) {
        self.waiting_since.set(None);
    }
}
