//! Graceful shutdown: its schedule, and tasks that wait for it.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

/// When the steps of a graceful shutdown are taken.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownSchedule {
    /// From here on requests that become complete are rejected.
    pub reject_from: Instant,
    /// By this time every request has its response, or the beginning of it.
    pub end: Instant,
}

/// Whether shutdown has begun; clones share the state.
#[derive(Clone, Default)]
pub(super) struct ShutdownState {
    schedule: Rc<Cell<Option<ShutdownSchedule>>>,
    begun: Rc<Notify>,
}

impl ShutdownState {
    /// Begins the shutdown and wakes all that wait for it.
    pub(super) fn begin(&self, schedule: ShutdownSchedule) {
        self.schedule.set(Some(schedule));
        self.begun.notify_waiters();
    }

    /// A deadline, or the shutdown's end if that comes first.
    pub(super) fn limit(&self, deadline: Instant) -> Instant {
        self.schedule
            .get()
            .map_or(deadline, |schedule| deadline.min(schedule.end))
    }

    /// Returns once shutdown has begun.
    async fn begun(&self) -> ShutdownSchedule {
        loop {
            let notified = self.begun.notified();
            match self.schedule.get() {
                Some(schedule) => return schedule,
                None => notified.await,
            }
        }
    }

    /// Returns once requests that become complete are rejected: long responses to them might be
    /// truncated.
    pub(super) async fn request_cutoff(&self) {
        sleep_until(self.begun().await.reject_from).await;
    }

    /// Returns when every request must have its response.
    pub(super) async fn ends(&self) {
        sleep_until(self.begun().await.end).await;
    }
}
