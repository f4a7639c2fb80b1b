//! When the endpoint list is polled again after a poll has failed or the watch was lost.

use crate::{Discovery, ListUpdate, Micros};

/// The longest poll interval divided by this is the mean delay before a lost watch is reopened.
const WATCH_RESUME_DIVISOR: Micros = 64;
/// The next poll begins within the notification deadline divided by this. The rest is for noticing
/// that the watch was lost or that a poll failed, and for one response.
const POLL_WINDOW_DIVISOR: Micros = 2;
/// The notification deadline divided by this is left for the response to the last poll.
const RESPONSE_TIME_DIVISOR: Micros = 12;
/// Less than the poll window divided by this is too short to spread polls over.
const MIN_SPREAD_DIVISOR: Micros = 12;
/// Backoff of one of a few balancers: the longest poll interval divided by this, at first.
const INITIAL_POLL_BACKOFF_DIVISOR: Micros = 32;
const MAX_POLL_BACKOFF_DOUBLINGS: u32 = 3;

/// A delay is drawn at random from this range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DelayRange {
    pub(crate) min: Micros,
    pub(crate) max: Micros,
}

impl DelayRange {
    /// Half more or less than `mean`.
    fn around(mean: Micros) -> Self {
        DelayRange {
            min: mean / 2,
            max: mean * 3 / 2,
        }
    }

    fn at_most(self, min: Micros, max: Micros) -> Self {
        DelayRange {
            min: self.min.min(min),
            max: self.max.min(max),
        }
    }
}

/// Time within which the next poll begins at the latest.
fn poll_window(discovery: &Discovery) -> Micros {
    discovery
        .notification_deadline
        .min(discovery.max_poll_interval)
        / POLL_WINDOW_DIVISOR
}

/// The next poll, and how the last ones ended.
#[derive(Debug)]
pub(crate) struct ListPolling {
    /// When it is due; `Micros::MAX`: it is not.
    pub(crate) due_at: Micros,
    /// By when the last poll has to begin that brings in time what a lost watch missed.
    last_poll_by: Micros,
    /// Polls that failed in a row.
    failures: u32,
}

impl Default for ListPolling {
    fn default() -> Self {
        ListPolling {
            due_at: Micros::MAX,
            last_poll_by: 0,
            failures: 0,
        }
    }
}

impl ListPolling {
    /// Records an update. Unless it is cached it shows that polls succeed again.
    pub(crate) fn record_update(&mut self, kind: ListUpdate) {
        if kind != ListUpdate::Cached {
            self.failures = 0;
        }
        self.due_at = Micros::MAX;
    }

    /// The range of the delay before the next poll, after one that failed or a watch that was lost.
    /// `has_many_peers` tells one of very many balancers from one of a few.
    pub(crate) fn next_delay(
        &mut self,
        now: Micros,
        discovery: &Discovery,
        has_many_peers: bool,
        kind: ListUpdate,
    ) -> DelayRange {
        let window = poll_window(discovery);
        self.set_last_poll(now, discovery, kind);
        let left = self.last_poll_by.saturating_sub(now);
        let max = if left * MIN_SPREAD_DIVISOR < window {
            window
        } else {
            left.min(window)
        };
        let range = match (kind, has_many_peers) {
            (ListUpdate::WatchLost, _) => {
                let mean = discovery.max_poll_interval / WATCH_RESUME_DIVISOR;
                DelayRange::around(mean).at_most(max / 16, max / 8)
            }
            // Half of the window leaves time for a poll without a response, and for another.
            (ListUpdate::WatchFlapping, true) => DelayRange {
                min: window / 4,
                max: window / 2,
            },
            (ListUpdate::WatchFlapping, false) => {
                self.backoff(discovery).at_most(window / 4, window / 2)
            }
            // Very many balancers that poll again soon keep discovery busy with polls that fail, so
            // they spread over all the time there is.
            (_, true) if self.failures == 0 => DelayRange { min: 0, max },
            (_, true) => DelayRange { min: max / 2, max },
            (_, false) => self.backoff(discovery).at_most(max / 2, max),
        };
        if kind != ListUpdate::WatchLost {
            self.failures += 1;
        }
        range
    }

    /// Notes by when the last poll has to begin, counted from the loss of a watch.
    fn set_last_poll(&mut self, now: Micros, discovery: &Discovery, kind: ListUpdate) {
        if kind == ListUpdate::WatchLost {
            self.last_poll_by = now + poll_window(discovery);
            self.failures = 0;
        } else if kind == ListUpdate::WatchFlapping {
            // The list was current until now: no time has passed in noticing the loss.
            let deadline = discovery.notification_deadline;
            self.last_poll_by = now + deadline - deadline / RESPONSE_TIME_DIVISOR;
        }
    }

    fn backoff(&self, discovery: &Discovery) -> DelayRange {
        let doublings = self.failures.min(MAX_POLL_BACKOFF_DOUBLINGS);
        DelayRange::around(
            (discovery.max_poll_interval / INITIAL_POLL_BACKOFF_DIVISOR) << doublings,
        )
    }
}
