//! The state of the watch of the endpoint list.

use crate::control::late_calls::{LateCallId, LateCalls};
use crate::discovery::WatchEnd;
use crate::log;
use crate::task::ScopedTask;
use balancer::ListUpdate;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

/// The current watch of the endpoint list, and what has been received so far.
#[derive(Default)]
pub(super) struct WatchState {
    /// Version of the last list or update that was received.
    pub(super) version: Option<u64>,
    /// Whether a list has been received, or the configuration contains a cached list with
    /// endpoints.
    pub(super) has_list: bool,
    /// Whether the process counts as ready even if no list has been received.
    pub(super) is_ready_without_list: bool,
    /// Notified when a list or an update is received.
    pub(super) list_received: Rc<Notify>,
    /// Number of the current watch. Events of watches with other numbers are ignored.
    generation: u64,
    task: Option<ScopedTask>,
    /// Whether the current watch is open.
    is_open: bool,
    /// Earlier calls that are still waited for.
    pub(super) late_calls: LateCalls,
    /// Whether the last attempt to open a watch failed.
    last_open_failed: bool,
    /// Whether the last watch that could be opened was brief, see [`WatchEnd::was_brief`].
    last_watch_was_brief: bool,
}

impl WatchState {
    /// Whether the current watch has this generation.
    pub(super) fn is_current(&self, generation: u64) -> bool {
        self.generation == generation
    }

    /// Whether the current watch is open.
    pub(super) fn is_open(&self) -> bool {
        self.is_open
    }

    /// Returns the generation of a new watch, which replaces the current one.
    pub(super) fn next_generation(&mut self) -> u64 {
        self.is_open = false;
        self.generation += 1;
        self.generation
    }

    /// Records that the current watch was opened. Returns the number of late calls that it
    /// supersedes.
    pub(super) fn record_open(&mut self) -> usize {
        self.is_open = true;
        self.late_calls.give_up()
    }

    /// Makes the watch that a late call has opened the current one, and returns its generation.
    /// `None` if the call is no longer waited for.
    pub(super) fn adopt(&mut self, id: LateCallId) -> Option<u64> {
        let task = self.late_calls.take(id)?;
        let generation = self.next_generation();
        self.set_task(task);
        Some(generation)
    }

    /// Sets the task of the current watch and aborts the task of the previous one.
    pub(super) fn set_task(&mut self, task: ScopedTask) {
        self.task = Some(task);
    }

    /// Stops the current watch and ignores its remaining events.
    pub(super) fn stop(&mut self) {
        self.next_generation();
        self.late_calls.give_up();
        self.task = None;
    }

    /// Records that the watch at `discovery` has ended and logs the reason; of consecutive failures
    /// to open a watch, only the first is logged. Returns the update that the balancer is notified
    /// of: [`ListUpdate::WatchLost`], after which a balancer that polls opens the next watch
    /// without backoff, [`ListUpdate::WatchFlapping`] after the second of two brief watches in a
    /// row, or [`ListUpdate::PollFailed`]; after these two it backs off.
    pub(super) fn record_end(&mut self, discovery: SocketAddr, end: &WatchEnd) -> ListUpdate {
        let was_open = end.open_for.is_some();
        self.is_open = false;
        if was_open || !self.last_open_failed {
            let (event, next) = if was_open {
                ("ended", "it will be opened again")
            } else {
                ("could not be opened", "opening it will be retried")
            };
            log::line(&format!(
                "discovery: the watch at {discovery} {event}: {}; {next}",
                end.reason
            ));
        }
        self.last_open_failed = !was_open;
        let is_flapping = end.was_brief() && self.last_watch_was_brief;
        self.last_watch_was_brief =
            end.was_brief() || self.last_watch_was_brief && self.last_open_failed;
        match was_open {
            true if is_flapping => ListUpdate::WatchFlapping,
            true => ListUpdate::WatchLost,
            false => ListUpdate::PollFailed,
        }
    }
}
