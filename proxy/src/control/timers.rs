//! The balancer's one timer.

use std::cell::Cell;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

/// A timer that can be set anew while it is waited for; clones are the same timer.
#[derive(Clone, Default)]
pub(super) struct DeadlineTimer {
    deadline: Rc<Cell<Option<Instant>>>,
    changed: Rc<Notify>,
}

impl DeadlineTimer {
    /// Lets the timer expire after this time, instead of when it would have.
    pub(super) fn set(&self, after: Duration) {
        self.deadline.set(Some(Instant::now() + after));
        self.changed.notify_one();
    }

    /// Returns when the timer expires; it has to be set again after that.
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
