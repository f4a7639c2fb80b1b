//! Graceful shutdown: the schedule, and waiting for its steps.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

/// The times at which the steps of a graceful shutdown are taken.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownSchedule {
    /// Requests whose last byte arrives from this time on are rejected.
    pub reject_from: Instant,
    /// When every request must have its response, or at least the beginning of a streamed one.
    pub end: Instant,
}

/// Whether the graceful shutdown has begun, and its schedule. Clones share the state.
#[derive(Clone, Default)]
pub(super) struct ShutdownState {
    schedule: Rc<Cell<Option<ShutdownSchedule>>>,
    begun: Rc<Notify>,
}

impl ShutdownState {
    /// Begins the shutdown and wakes all tasks that wait for it.
    pub(super) fn begin(&self, schedule: ShutdownSchedule) {
        self.schedule.set(Some(schedule));
        self.begun.notify_waiters();
    }

    /// Whether the shutdown has begun.
    pub(super) fn has_begun(&self) -> bool {
        self.schedule.get().is_some()
    }

    /// Whether every request must have its response by now.
    pub(super) fn has_ended(&self) -> bool {
        let schedule = self.schedule.get();
        schedule.is_some_and(|schedule| Instant::now() >= schedule.end)
    }

    /// Returns the deadline, or the end of the shutdown if that is earlier.
    pub(super) fn limit_deadline(&self, deadline: Instant) -> Instant {
        self.schedule
            .get()
            .map_or(deadline, |schedule| deadline.min(schedule.end))
    }

    /// Completes once the shutdown has begun.
    async fn begun(&self) -> ShutdownSchedule {
        loop {
            let notified = self.begun.notified();
            match self.schedule.get() {
                Some(schedule) => return schedule,
                None => notified.await,
            }
        }
    }

    /// Waits until newly complete requests must be rejected: a long response to one of them
    /// might be truncated when the process ends.
    pub(super) async fn wait_for_request_cutoff(&self) {
        sleep_until(self.begun().await.reject_from).await;
    }

    /// Completes when every request must have its response.
    pub(super) async fn ended(&self) {
        sleep_until(self.begun().await.end).await;
    }
}
