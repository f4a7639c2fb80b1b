//! The timer that the balancer sets.

use std::cell::Cell;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

/// A timer that can be reset while a task waits for it. Clones share the timer.
#[derive(Clone, Default)]
pub(super) struct DeadlineTimer {
    deadline: Rc<Cell<Option<Instant>>>,
    changed: Rc<Notify>,
}

impl DeadlineTimer {
    /// Sets the timer to expire after this time, which replaces the previous setting.
    pub(super) fn set(&self, after: Duration) {
        self.deadline.set(Some(Instant::now() + after));
        self.changed.notify_one();
    }

    /// Completes when the timer expires. It must then be set again.
    pub(super) async fn expired(&self) {
        loop {
            let deadline = self.deadline.get();
            let expired = async {
                match deadline {
                    Some(deadline) => sleep_until(deadline).await,
                    None => pending().await,
                }
            };
            tokio::select! {
                () = expired => {
                    self.deadline.set(None);
                    return;
                }
                () = self.changed.notified() => {}
            }
        }
    }
}
