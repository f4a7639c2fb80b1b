//! Delays before the endpoint list is polled again after a failed poll or a lost watch.

use crate::{Discovery, ListUpdate, Micros};

/// The mean delay before a lost watch is reopened is the maximum poll interval divided by this.
const WATCH_RESUME_DIVISOR: Micros = 64;
/// The next poll starts within the notification deadline or the maximum poll interval, whichever is
/// shorter, divided by this. The rest of the time is for detecting that the watch was lost or that
/// a poll failed, and for one response.
const POLL_WINDOW_DIVISOR: Micros = 2;
/// The notification deadline divided by this is reserved for the response to the last poll.
const RESPONSE_TIME_DIVISOR: Micros = 12;
/// A remaining time below the poll window divided by this is too short to spread polls over.
const MIN_SPREAD_DIVISOR: Micros = 12;
/// If the endpoints don't share a limit, the initial backoff is the maximum poll interval divided
/// by this.
const INITIAL_POLL_BACKOFF_DIVISOR: Micros = 32;
const MAX_POLL_BACKOFF_DOUBLINGS: u32 = 3;

/// Range from which a random delay is drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DelayRange {
    pub(crate) min: Micros,
    pub(crate) max: Micros,
}

impl DelayRange {
    /// From half of `mean` to one and a half times `mean`.
    fn around(mean: Micros) -> Self {
        DelayRange {
            min: mean / 2,
            max: mean * 3 / 2,
        }
    }

    /// Reduces the ends of the range to at most `min` and `max`.
    fn capped(self, min: Micros, max: Micros) -> Self {
        DelayRange {
            min: self.min.min(min),
            max: self.max.min(max),
        }
    }
}

/// Maximum time until the next poll starts.
fn poll_window(discovery: &Discovery) -> Micros {
    discovery
        .notification_deadline
        .min(discovery.max_poll_interval)
        / POLL_WINDOW_DIVISOR
}

/// When the next poll is due, and how previous ones ended.
#[derive(Debug)]
pub(crate) struct ListPolling {
    /// When the next poll is due; `Micros::MAX` if none is scheduled.
    pub(crate) due_at: Micros,
    /// Latest time at which a poll may start so that changes since the loss of the watch arrive
    /// within the notification deadline.
    last_poll_deadline: Micros,
    /// Number of consecutive failures of polls, or of watches right after they were opened.
    consecutive_failures: u32,
}

impl Default for ListPolling {
    fn default() -> Self {
        ListPolling {
            due_at: Micros::MAX,
            last_poll_deadline: 0,
            consecutive_failures: 0,
        }
    }
}

impl ListPolling {
    /// Records that an update arrived: no poll is scheduled any more. An update that is not cached
    /// also resets the number of consecutive failures.
    pub(crate) fn record_update(&mut self, kind: ListUpdate) {
        if kind != ListUpdate::Cached {
            self.consecutive_failures = 0;
        }
        self.due_at = Micros::MAX;
    }

    /// Returns the range of the delay before the next poll after a failed poll or a lost watch.
    /// `has_many_peers` is true if there are so many balancers that the endpoints share a limit
    /// (see [`SharedLimit::new`](crate::shared_limit::SharedLimit::new)).
    pub(crate) fn next_delay(
        &mut self,
        now: Micros,
        discovery: &Discovery,
        has_many_peers: bool,
        kind: ListUpdate,
    ) -> DelayRange {
        let window = poll_window(discovery);
        self.set_last_poll_deadline(now, discovery, kind);
        let remaining = self.last_poll_deadline.saturating_sub(now);
        let max_delay = if remaining * MIN_SPREAD_DIVISOR < window {
            window
        } else {
            remaining.min(window)
        };
        let range = match (kind, has_many_peers) {
            (ListUpdate::WatchLost, _) => {
                // At most an eighth of the maximum delay, which leaves most of the time for polls
                // after a failure.
                let mean = discovery.max_poll_interval / WATCH_RESUME_DIVISOR;
                DelayRange::around(mean).capped(max_delay / 16, max_delay / 8)
            }
            // At most half of the window, which leaves time for a poll that gets no response and
            // for another one.
            (ListUpdate::WatchFlapping, true) => DelayRange {
                min: window / 4,
                max: window / 2,
            },
            (ListUpdate::WatchFlapping, false) => {
                self.backoff(discovery).capped(window / 4, window / 2)
            }
            // If many balancers polled again soon, they would keep discovery busy with polls that
            // fail. After a first failure they spread their polls over the whole maximum delay,
            // after further ones over its second half.
            (_, true) if self.consecutive_failures == 0 => DelayRange {
                min: 0,
                max: max_delay,
            },
            (_, true) => DelayRange {
                min: max_delay / 2,
                max: max_delay,
            },
            (_, false) => self.backoff(discovery).capped(max_delay / 2, max_delay),
        };
        if kind != ListUpdate::WatchLost {
            self.consecutive_failures += 1;
        }
        range
    }

    /// Sets the latest start of the last poll when a watch is lost.
    fn set_last_poll_deadline(&mut self, now: Micros, discovery: &Discovery, kind: ListUpdate) {
        if kind == ListUpdate::WatchLost {
            self.last_poll_deadline = now + poll_window(discovery);
            self.consecutive_failures = 0;
        } else if kind == ListUpdate::WatchFlapping {
            // The list was current until now: detecting the loss took no time.
            let deadline = discovery.notification_deadline;
            self.last_poll_deadline = now + deadline - deadline / RESPONSE_TIME_DIVISOR;
        }
    }

    fn backoff(&self, discovery: &Discovery) -> DelayRange {
        let doublings = self.consecutive_failures.min(MAX_POLL_BACKOFF_DOUBLINGS);
        DelayRange::around(
            (discovery.max_poll_interval / INITIAL_POLL_BACKOFF_DIVISOR) << doublings,
        )
    }
}
