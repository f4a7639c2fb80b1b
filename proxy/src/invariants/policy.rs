//! What is allowed for a request, and where its attempts go.

use balancer::{CellId, Idempotency, ZoneId};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Whether an endpoint's process takes new attempts: shared by the list and the attempts for it.
#[derive(Debug, Default)]
pub(crate) struct DrainStatus {
    /// Since when the list has said that it takes none.
    unready_since: Cell<Option<Instant>>,
}

impl DrainStatus {
    /// Notes what the list says.
    pub(crate) fn set_ready(&self, is_ready: bool) {
        let since = self.unready_since.get().unwrap_or_else(Instant::now);
        self.unready_since.set((!is_ready).then_some(since));
    }

    pub(super) fn unready_since(&self) -> Option<Instant> {
        self.unready_since.get()
    }
}

/// Where an attempt goes.
#[derive(Clone, Debug, Default)]
pub(crate) struct AttemptTarget {
    /// State of the endpoint's process.
    pub(crate) drain_status: Rc<DrainStatus>,
    /// Its zone, within which requests may be deduplicated.
    pub(crate) zone: ZoneId,
    /// Its cell, within which requests may be deduplicated.
    pub(crate) cell: CellId,
}

/// What is allowed for a request.
#[derive(Clone, Debug)]
pub(crate) struct RequestPolicy {
    /// Whether it may be executed again.
    pub(crate) idempotency: Idempotency,
    /// Most attempts.
    pub(crate) max_attempts: usize,
    /// Whether two attempts may be in flight at once.
    pub(crate) hedging: bool,
    /// How long an attempt may still start at an endpoint that is draining or removed.
    pub(crate) drain_grace: Duration,
}
