//! When the server list is asked for again. How long a balancer waits is drawn at random in
//! `balance.rs`.

use crate::{Discovery, ListUpdate, Micros};

/// Part of the longest time without asking after which a subscription that was open is asked for
/// again.
const WATCH_RESUME_DIVISOR: Micros = 64;
/// The next call begins within this part of the time after which a change counts as told. The rest
/// is for noticing that a subscription was lost or that a call failed, and for one answer.
const POLL_WINDOW_DIVISOR: Micros = 2;
/// Part of the time after which a change counts as told that is left for the answer of the last
/// call.
const RESPONSE_TIME_DIVISOR: Micros = 12;
/// Less than this part of what is left for calls is not worth keeping to: it would not spread them.
const MIN_SPREAD_DIVISOR: Micros = 12;

/// The next call for the list, and how the last ones ended.
#[derive(Debug)]
pub(crate) struct ListPolling {
    /// When it is due; `MAX`: it is not.
    pub(crate) at: Micros,
    /// By when the last call begins that brings in time what a lost subscription missed.
    by: Micros,
    failures: u32,
}

impl Default for ListPolling {
    fn default() -> Self {
        ListPolling { at: Micros::MAX, by: 0, failures: 0 }
    }
}

impl ListPolling {
    /// A list has come. News prove that asking works again, whoever asked; a saved list proves
    /// nothing.
    pub(crate) fn heard(&mut self, saved: bool) {
        self.failures *= u32::from(saved);
        self.at = Micros::MAX;
    }

    /// The least and the most to wait, after a call that failed or a subscription that was open and
    /// is lost, for one of very many balancers or of a few.
    pub(crate) fn wait(
        &mut self,
        now: Micros,
        discovery: &Discovery,
        many: bool,
        kind: ListUpdate,
    ) -> (Micros, Micros) {
        let longest = discovery.notification_deadline.min(discovery.max_poll_interval) / POLL_WINDOW_DIVISOR;
        match kind {
            ListUpdate::WatchLost => (self.by, self.failures) = (now + longest, 0),
            // The list was current until now: no time has gone by for noticing that it is not.
            ListUpdate::WatchFlapping => {
                self.by = now + discovery.notification_deadline
                    - discovery.notification_deadline / RESPONSE_TIME_DIVISOR
            }
            _ => {}
        }
        let left = self.by.saturating_sub(now);
        let most = if left * MIN_SPREAD_DIVISOR < longest { longest } else { left.min(longest) };
        let few = |failures: u32| {
            let wait = (discovery.max_poll_interval / 32) << failures.min(3);
            (wait / 2, wait * 3 / 2)
        };
        let bounds = match (kind, many) {
            (ListUpdate::WatchLost, _) => {
                let wait = discovery.max_poll_interval / WATCH_RESUME_DIVISOR;
                ((wait / 2).min(most / 16), (wait * 3 / 2).min(most / 8))
            }
            // Half of the longest wait leaves time for a call that is silent, and for another.
            (ListUpdate::WatchFlapping, true) => (longest / 4, longest / 2),
            (ListUpdate::WatchFlapping, false) => {
                let (least, wait) = few(self.failures);
                (least.min(longest / 4), wait.min(longest / 2))
            }
            // Very many that ask again soon keep discovery busy with calls that fail: hardly one
            // gets a list. So they spread over all the time there is.
            (_, true) if self.failures == 0 => (0, most),
            (_, true) => (most / 2, most),
            (_, false) => {
                let (least, wait) = few(self.failures);
                (least.min(most / 2), wait.min(most))
            }
        };
        self.failures += u32::from(kind != ListUpdate::WatchLost);
        bounds
    }
}
