//! Metrics since the start. Events are counted here alone, where they happen, and read by
//! operators' commands and the log.

mod reasons;
mod snapshot;
#[cfg(test)]
mod tests;

pub use reasons::{ClientCloseReason, EndpointCloseReason, RequestEnd, Violation, WriteDenial};
pub use snapshot::MetricsSnapshot;

use balancer::ClassId;
use std::cell::{Ref, RefCell, RefMut};
use std::rc::Rc;

/// The metrics, shared by all that count; clones are the same.
#[derive(Clone, Debug, Default)]
pub struct Metrics(Rc<RefCell<MetricsSnapshot>>);

impl Metrics {
    /// All zero, for so many classes.
    pub fn new(class_count: usize) -> Metrics {
        Metrics(Rc::new(RefCell::new(MetricsSnapshot::new(class_count))))
    }

    /// The metrics so far.
    pub fn snapshot(&self) -> Ref<'_, MetricsSnapshot> {
        self.0.borrow()
    }

    /// To count an event.
    pub fn count(&self) -> RefMut<'_, MetricsSnapshot> {
        self.0.borrow_mut()
    }

    /// Tracks a request that was taken. One that is not complete counts from its last byte on.
    pub fn track(&self, class: ClassId, is_complete: bool) -> RequestTracker {
        let metrics = self.clone();
        let mut tracker = RequestTracker {
            metrics,
            class,
            is_complete: false,
            end: RequestEnd::Failed,
        };
        if is_complete {
            tracker.set_complete();
        }
        tracker
    }
}

/// Counts a request when it becomes complete and when it ends. Dropped without an end, it has
/// failed: its client has disconnected.
#[derive(Debug)]
pub struct RequestTracker {
    metrics: Metrics,
    class: ClassId,
    is_complete: bool,
    end: RequestEnd,
}

impl RequestTracker {
    /// The request's last byte has arrived.
    pub fn set_complete(&mut self) {
        if !self.is_complete {
            self.is_complete = true;
            self.metrics.count().pending += 1;
        }
    }

    /// The request has ended.
    pub fn end(mut self, end: RequestEnd) {
        self.set_complete();
        self.end = end;
    }
}

impl Drop for RequestTracker {
    fn drop(&mut self) {
        if self.is_complete {
            let mut metrics = self.metrics.count();
            metrics.pending -= 1;
            metrics.request_ended(self.class, self.end);
        }
    }
}
