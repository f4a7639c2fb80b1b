//! What is known of the watch of the endpoint list.

use crate::discovery::WatchEnd;
use crate::log;
use crate::task::ScopedTask;
use balancer::ListUpdate;
use std::rc::Rc;
use tokio::sync::Notify;

/// The watch of the endpoint list, and how far the list has been received.
#[derive(Default)]
pub(super) struct WatchState {
    /// Version of the last list or update.
    pub(super) version: Option<u64>,
    /// A list has been received, or the configuration has one that names endpoints.
    pub(super) has_list: bool,
    /// The first list is no longer waited for: clients are served without one.
    pub(super) list_wait_ended: bool,
    /// Notified of each list and update.
    pub(super) list_received: Rc<Notify>,
    /// Number of the current watch; events of earlier ones are ignored.
    generation: u64,
    task: Option<ScopedTask>,
    /// The last attempt to open a watch failed.
    open_failed: bool,
    /// The last watch that could be opened ended right away.
    was_brief: bool,
}

impl WatchState {
    /// Whether this is the number of the current watch.
    pub(super) fn is_current(&self, generation: u64) -> bool {
        self.generation == generation
    }

    /// The number for a new watch, which replaces the current one.
    pub(super) fn next_generation(&mut self) -> u64 {
        self.generation += 1;
        self.generation
    }

    /// Sets the task of the current watch. That of the one before, if there is one, ends.
    pub(super) fn set_task(&mut self, task: ScopedTask) {
        self.task = Some(task);
    }

    /// Ends the watch: its further events are ignored.
    pub(super) fn stop(&mut self) {
        self.generation += 1;
        self.task = None;
    }

    /// Notes that the watch has ended and logs why; of attempts that fail one after the other, the
    /// first is logged. Returns what the balancer is notified of: it opens the next watch soon
    /// after one that was lost, with a backoff if watches keep ending as soon as they are open.
    pub(super) fn ended(&mut self, end: &WatchEnd) -> ListUpdate {
        let was_open = end.open_for.is_some();
        if was_open || !self.open_failed {
            log::line(&format!("discovery: {}", end.reason));
        }
        self.open_failed = !was_open;
        let is_flapping = end.was_brief() && self.was_brief;
        self.was_brief = end.was_brief() || self.was_brief && self.open_failed;
        match was_open {
            true if is_flapping => ListUpdate::WatchFlapping,
            true => ListUpdate::WatchLost,
            false => ListUpdate::PollFailed,
        }
    }
}
