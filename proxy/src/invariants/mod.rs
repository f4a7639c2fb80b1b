//! Checks the operators' rules at runtime, at the points where they take effect: when an attempt's
//! first byte is written, when an attempt ends, when a request gets its reply, and when a client's
//! connection is closed. The checks do not influence any decision. A violation is a bug in this
//! program; it is counted, also in release builds, and logged with the request's history.

mod history;
mod policy;
#[cfg(test)]
mod tests;

pub(crate) use policy::{AttemptTarget, RequestPolicy};

use crate::invariants::history::{AttemptHistory, RequestHistory};
use crate::log;
use crate::metrics::{Metrics, Violation, WriteDenial};
use balancer::{BodyFraming, FailureReason, Outcome};
use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The kind of reply that a request got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReplyKind {
    /// The response of an endpoint.
    Served,
    /// A rejection: the request was not executed, or can safely be retried.
    Rejected,
    /// An error: the request may or may not have been executed.
    Failed,
}

/// Records the history of one request. Clones share the record.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    history: Rc<RefCell<RequestHistory>>,
    metrics: Metrics,
}

impl RequestRecord {
    /// Creates the record of a request that has just been received. `deadline` is when it must have
    /// its reply; `None` if its body is still being read.
    pub(crate) fn new(
        metrics: Metrics,
        id: HeaderValue,
        policy: RequestPolicy,
        deadline: Option<Instant>,
    ) -> RequestRecord {
        tracing::debug!(request = ?id, idempotency = ?policy.idempotency, "request received");
        let history = RequestHistory::new(id, policy, deadline);
        RequestRecord {
            history: Rc::new(RefCell::new(history)),
            metrics,
        }
    }

    /// Records that the request's last byte has arrived, which determines its deadline.
    pub(crate) fn upload_completed(&self, deadline: Instant) {
        let mut history = self.history.borrow_mut();
        tracing::debug!(request = ?history.id, "request body complete");
        history.set_deadline(deadline);
    }

    /// Records when the reply to a request is due whose body is still arriving, as far as it is
    /// known now.
    pub(crate) fn set_provisional_deadline(&self, deadline: Instant) {
        self.history.borrow_mut().set_deadline(deadline);
    }

    /// Creates the record of the request's next attempt, which has not started yet.
    pub(crate) fn add_attempt(&self, target: AttemptTarget) -> AttemptRecord {
        let mut history = self.history.borrow_mut();
        history.attempts.push(AttemptHistory::new(target));
        AttemptRecord {
            request: self.clone(),
            index: history.attempts.len() - 1,
        }
    }

    /// Whether any attempt may have been executed.
    pub(crate) fn may_have_been_executed(&self) -> bool {
        self.history.borrow().may_have_been_executed()
    }

    /// Whether the request may safely be repeated at any endpoint.
    pub(crate) fn is_repeatable_anywhere(&self) -> bool {
        self.history.borrow().is_repeatable_anywhere()
    }

    /// Records that the client is known to have disconnected without a reply, and checks that the
    /// reply was not overdue.
    pub(crate) fn client_disconnected(&self) {
        let mut history = self.history.borrow_mut();
        tracing::debug!(request = ?history.id, "client disconnected");
        if history.is_late() {
            self.report(&history, Violation::NeverReplied);
        }
        history.disconnected_at.get_or_insert_with(Instant::now);
    }

    /// Records that the balancer has rejected or failed the request.
    pub(crate) fn rejected_or_failed(&self, reason: FailureReason) {
        let history = self.history.borrow();
        let attempts = history.attempts.len();
        let request = &history.id;
        tracing::debug!(?request, attempts, ?reason, "request rejected or failed");
    }

    /// Records that the request gets its final reply, and checks that it may get this reply now.
    pub(crate) fn replied(&self, kind: ReplyKind) {
        let mut history = self.history.borrow_mut();
        history.has_reply = true;
        tracing::debug!(request = ?history.id, reply = ?kind, "reply sent to the client");
        let is_rejected = kind == ReplyKind::Rejected;
        if is_rejected && !history.is_repeatable_anywhere() && history.may_have_been_executed() {
            self.report(&history, Violation::RejectedAfterRun);
        }
        if history.is_late() {
            self.report(&history, Violation::RepliedLate);
        }
    }

    fn report(&self, history: &RequestHistory, violation: Violation) {
        self.metrics.counters_mut().invariant_violated(violation);
        let id = &history.id;
        log::line(&format!(
            "invariant violated: {violation:?}, request {id:?}: {history:?}"
        ));
    }
}

/// Records one attempt of a request. Clones share the record.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    request: RequestRecord,
    index: usize,
}

impl AttemptRecord {
    /// Records the client's remaining time, as the attempt advertises it to its endpoint.
    pub(crate) fn record_advertised_time(&self, time_left: Duration) {
        self.request.history.borrow_mut().attempts[self.index].advertised_time = Some(time_left);
    }

    /// Records that the write guard has denied a write of the attempt.
    pub(crate) fn write_denied(&self, denial: WriteDenial) {
        let history = self.request.history.borrow();
        let request = &history.id;
        tracing::debug!(?request, attempt = self.index, reason = ?denial, "attempt write denied");
    }

    /// Records that the attempt's first byte has been written, and checks that it may start now.
    pub(crate) fn started(&self) {
        let now = Instant::now();
        let mut history = self.request.history.borrow_mut();
        tracing::debug!(request = ?history.id, attempt = self.index, "attempt started");
        let violations = history.start_violations(self.index, now);
        history.attempts[self.index].started_at = Some(now);
        for violation in violations {
            self.request.report(&history, violation);
        }
    }

    /// Records that writing the attempt waits for the endpoint to read.
    pub(crate) fn write_blocked(&self, bytes_written: usize) {
        let history = self.request.history.borrow();
        let request = &history.id;
        tracing::debug!(
            ?request,
            attempt = self.index,
            bytes_written,
            "attempt waits for its endpoint to read"
        );
    }

    /// Records that writing the attempt goes on after it has waited for this time.
    pub(crate) fn write_unblocked(&self, blocked_for: Duration) {
        let history = self.request.history.borrow();
        let request = &history.id;
        tracing::debug!(
            ?request,
            attempt = self.index,
            ?blocked_for,
            "endpoint reads on"
        );
    }

    /// Records that the attempt's response is given up after it was buffered for this time.
    pub(crate) fn response_given_up(
        &self,
        framing: BodyFraming,
        buffered_bytes: usize,
        buffered_for: Duration,
    ) {
        let history = self.request.history.borrow();
        let request = &history.id;
        tracing::debug!(
            ?request,
            attempt = self.index,
            ?framing,
            buffered_bytes,
            ?buffered_for,
            "response given up while it was buffered"
        );
    }

    /// Records that the attempt has ended, and checks its outcome. `is_written`: whether the
    /// attempt was written completely.
    pub(crate) fn ended(&self, outcome: Outcome, is_written: bool) {
        let mut history = self.request.history.borrow_mut();
        let request = &history.id;
        tracing::debug!(?request, attempt = self.index, ?outcome, "attempt ended");
        history.attempts[self.index].was_not_executed = Some(outcome.was_not_executed());
        if is_written && outcome.was_not_executed() && outcome != Outcome::Rejected {
            self.request.report(&history, Violation::WrittenButNeverRan);
        }
    }
}
