//! The operators' rules, checked where their effects happen: when an attempt's first byte is
//! written, when an attempt ends, when a request gets its reply, when a client's connection is
//! closed. Nothing here decides anything. A violation is a fault of this program; it is counted, in
//! release builds too, and logged with its request.

mod history;
mod policy;
#[cfg(test)]
mod tests;

pub(crate) use policy::{AttemptTarget, RequestPolicy};

use crate::invariants::history::{AttemptHistory, RequestHistory};
use crate::log;
use crate::metrics::{Metrics, Violation, WriteDenial};
use balancer::{FailureReason, Outcome};
use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How a request was replied to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReplyKind {
    /// With an endpoint's response.
    Served,
    /// As rejected: it may be retried.
    Rejected,
    /// With an error that promises nothing.
    Failed,
}

/// Records the course of one request; clones are the same record.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    history: Rc<RefCell<RequestHistory>>,
    metrics: Metrics,
}

impl RequestRecord {
    /// The record of a request that was taken just now. `deadline`: by when it must have its reply,
    /// if it is complete.
    pub(crate) fn new(
        metrics: Metrics,
        id: HeaderValue,
        policy: RequestPolicy,
        deadline: Option<Instant>,
    ) -> RequestRecord {
        tracing::debug!(request = ?id, idempotency = ?policy.idempotency, "received");
        let history = RequestHistory::new(id, policy, deadline);
        RequestRecord {
            history: Rc::new(RefCell::new(history)),
            metrics,
        }
    }

    /// The request has become complete.
    pub(crate) fn completed(&self, deadline: Instant) {
        self.history.borrow_mut().deadline = Some(deadline);
    }

    /// The record of a further attempt, which has not started.
    pub(crate) fn attempt(&self, target: AttemptTarget) -> AttemptRecord {
        let mut history = self.history.borrow_mut();
        history.attempts.push(AttemptHistory::new(target));
        AttemptRecord {
            request: self.clone(),
            index: history.attempts.len() - 1,
        }
    }

    /// The client is known to have disconnected.
    pub(crate) fn client_disconnected(&self) {
        let mut history = self.history.borrow_mut();
        tracing::debug!(request = ?history.id, "client disconnected");
        history.disconnected_at.get_or_insert_with(Instant::now);
    }

    /// The balancer serves it no longer.
    pub(crate) fn abandoned(&self, reason: FailureReason) {
        let history = self.history.borrow();
        let attempts = history.attempts.len();
        tracing::debug!(request = ?history.id, attempts, reason = ?reason, "abandoned");
    }

    /// The request gets its final reply.
    pub(crate) fn replied(&self, kind: ReplyKind) {
        let mut history = self.history.borrow_mut();
        history.has_reply = true;
        tracing::debug!(request = ?history.id, reply = ?kind, "replied");
        let is_rejected = kind == ReplyKind::Rejected;
        if is_rejected && !history.is_repeatable_anywhere() && history.may_have_run() {
            self.report(&history, Violation::RejectedAfterRun);
        }
        if history.is_late() {
            self.report(&history, Violation::RepliedLate);
        }
    }

    fn report(&self, history: &RequestHistory, violation: Violation) {
        self.metrics.count().violation(violation);
        let id = &history.id;
        log::line(&format!(
            "invariant violated: {violation:?}, request {id:?}: {history:?}"
        ));
    }
}

/// Records one attempt of a request; clones are the same record.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    request: RequestRecord,
    index: usize,
}

impl AttemptRecord {
    /// The attempt advertises that this time is left to its client.
    pub(crate) fn advertise_time(&self, time_left: Duration) {
        self.request.history.borrow_mut().attempts[self.index].advertised_time = Some(time_left);
    }

    /// It may not be written.
    pub(crate) fn write_denied(&self, denial: WriteDenial) {
        let history = self.request.history.borrow();
        let request = &history.id;
        tracing::debug!(?request, attempt = self.index, reason = ?denial, "write denied");
    }

    /// Its first byte has been written.
    pub(crate) fn started(&self) {
        let now = Instant::now();
        let mut history = self.request.history.borrow_mut();
        tracing::debug!(request = ?history.id, attempt = self.index, "started");
        let violations = history.start_violations(self.index, now);
        history.attempts[self.index].started_at = Some(now);
        for violation in violations {
            self.request.report(&history, violation);
        }
    }

    /// It has ended. `is_written`: its last byte had been written.
    pub(crate) fn ended(&self, outcome: Outcome, is_written: bool) {
        let mut history = self.request.history.borrow_mut();
        tracing::debug!(request = ?history.id, attempt = self.index, outcome = ?outcome, "ended");
        history.attempts[self.index].never_ran = Some(outcome.never_ran());
        if is_written && outcome.never_ran() && outcome != Outcome::Rejected {
            self.request.report(&history, Violation::WrittenButNeverRan);
        }
    }
}
