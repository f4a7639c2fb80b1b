//! The timers at which requests leave the pending queue or are hedged.

use crate::request::Request;
use crate::{Micros, RequestId};
use std::collections::BTreeSet;

/// At most one timer for each request, in the order in which they are due.
#[derive(Debug, Default)]
pub(crate) struct RequestTimers {
    by_due_time: BTreeSet<(Micros, RequestId)>,
}

impl RequestTimers {
    /// Replaces a request's timer; `None` removes it.
    pub(crate) fn set(&mut self, id: RequestId, request: &mut Request, at: Option<Micros>) {
        if let Some(previous) = request.timer_at {
            self.by_due_time.remove(&(previous, id));
        }
        request.timer_at = at;
        if let Some(at) = at {
            self.by_due_time.insert((at, id));
        }
    }

    /// When the next timer is due; `Micros::MAX` if there is none.
    pub(crate) fn next_due_at(&self) -> Micros {
        self.by_due_time
            .first()
            .map_or(Micros::MAX, |timer| timer.0)
    }

    /// The request whose timer is due first, if that is due now.
    pub(crate) fn first_due(&self, now: Micros) -> Option<RequestId> {
        self.by_due_time
            .first()
            .filter(|timer| timer.0 <= now)
            .map(|timer| timer.1)
    }
}
