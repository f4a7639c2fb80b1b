//! The rules that apply to a request, and the targets of its attempts.

use balancer::{CellId, Idempotency, ZoneId};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Whether an endpoint process accepts new attempts. Shared by the endpoint and all attempts for
/// it.
#[derive(Debug, Default)]
pub(crate) struct DrainStatus {
    /// Since when the endpoint list has not listed the process as ready; `None` while it is listed
    /// as ready.
    unready_since: Cell<Option<Instant>>,
}

impl DrainStatus {
    /// Records whether the endpoint list lists the process as ready.
    pub(crate) fn set_ready(&self, is_ready: bool) {
        let since = self.unready_since.get().unwrap_or_else(Instant::now);
        self.unready_since.set((!is_ready).then_some(since));
    }

    pub(super) fn unready_since(&self) -> Option<Instant> {
        self.unready_since.get()
    }
}

/// The endpoint process that an attempt is sent to.
#[derive(Clone, Debug, Default)]
pub(crate) struct AttemptTarget {
    /// Whether the process accepts new attempts.
    pub(crate) drain_status: Rc<DrainStatus>,
    /// The endpoint's zone, within which endpoints may deduplicate requests.
    pub(crate) zone: ZoneId,
    /// The endpoint's cell, within which endpoints may deduplicate requests.
    pub(crate) cell: CellId,
}

/// The rules that apply to a request.
#[derive(Clone, Debug)]
pub(crate) struct RequestPolicy {
    /// Whether and where the request may be executed again.
    pub(crate) idempotency: Idempotency,
    /// Maximum number of attempts.
    pub(crate) max_attempts: usize,
    /// Whether two attempts may be in flight at the same time.
    pub(crate) hedging: bool,
    /// How long after an endpoint is listed as draining or removed an attempt may still start
    /// there.
    pub(crate) drain_grace: Duration,
}
