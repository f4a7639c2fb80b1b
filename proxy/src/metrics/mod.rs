//! Metrics since the start of the process. Every event is counted here at the point where it
//! happens; operators' commands and the log only read the counters.

mod counters;
mod histogram;
mod reasons;
#[cfg(test)]
mod tests;

pub use counters::Counters;
pub use histogram::DurationHistogram;
pub use reasons::{
    ClientCloseReason, DiscoveryCallEnd, EndpointCloseReason, RequestEnd, Violation, WriteDenial,
};

use balancer::ClassId;
use std::cell::{Ref, RefCell, RefMut};
use std::rc::Rc;

/// A handle to the metrics. Clones share the counters.
#[derive(Clone, Debug, Default)]
pub struct Metrics(Rc<RefCell<Counters>>);

impl Metrics {
    /// Creates metrics with all counters at 0, for this number of classes.
    pub fn new(class_count: usize) -> Metrics {
        Metrics(Rc::new(RefCell::new(Counters::new(class_count))))
    }

    /// The current values of the counters.
    pub fn counters(&self) -> Ref<'_, Counters> {
        self.0.borrow()
    }

    /// The counters, for counting an event.
    pub fn counters_mut(&self) -> RefMut<'_, Counters> {
        self.0.borrow_mut()
    }

    /// Tracks a request that was received. A request that is not complete is counted only from its
    /// last byte on.
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

/// Counts a request when it becomes complete and when it ends. If it is dropped without an end, the
/// client has disconnected, and the request counts as failed.
#[derive(Debug)]
pub struct RequestTracker {
    metrics: Metrics,
    class: ClassId,
    is_complete: bool,
    end: RequestEnd,
}

impl RequestTracker {
    /// Records that the request's last byte has arrived.
    pub fn set_complete(&mut self) {
        if !self.is_complete {
            self.is_complete = true;
            self.metrics.counters_mut().pending += 1;
        }
    }

    /// Counts the request as ended.
    pub fn end(mut self, end: RequestEnd) {
        self.set_complete();
        self.end = end;
    }
}

impl Drop for RequestTracker {
    fn drop(&mut self) {
        if self.is_complete {
            let mut metrics = self.metrics.counters_mut();
            metrics.pending -= 1;
            metrics.request_ended(self.class, self.end);
        }
    }
}
