//! The operators' rules, checked where their effects happen: as an attempt's first byte is written, as it ends, as a request is
//! answered, as a client's connection is closed. Nothing here decides anything. A breach is a fault of this program; it is
//! counted, also in release builds, and logged with its request.

use crate::metrics::{Metrics, Violation, WriteDenial};
use balancer::{CellId, DeduplicationScope, FailureReason, Idempotency, Outcome, ZoneId};
use hyper::header::HeaderValue;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Each time limit is so much longer (the protocol page).
const SLACK: Duration = Duration::from_millis(50);
/// What a server is told to be left of the client's time may be so much too long.
const BUDGET_SLACK: Duration = Duration::from_millis(150);
/// An attempt may begin so long after its client has left.
const LEFT_SLACK: Duration = Duration::from_millis(100);
/// An answer that is later than this is as good as none.
const ANSWER_SLACK: Duration = Duration::from_millis(500);

/// How the process of a server stands: shared by the list and the attempts that are meant for it.
#[derive(Debug, Default)]
pub struct DrainStatus {
    /// Since when the list has said that it takes nothing new.
    leaving: Cell<Option<Instant>>,
}

impl DrainStatus {
    /// The list says whether it takes requests.
    pub fn listed(&self, is_ready: bool) {
        match is_ready {
            true => self.leaving.set(None),
            false => self.leaving.set(self.leaving.get().or_else(|| Some(Instant::now()))),
        }
    }
}

/// Where an attempt goes.
#[derive(Clone, Debug, Default)]
pub struct AttemptTarget {
    /// The server's process.
    pub drain_status: Rc<DrainStatus>,
    /// Its zone and its cell, where repeats are dropped.
    pub zone: ZoneId,
    /// See `zone`.
    pub cell: CellId,
}

#[derive(Debug)]
struct AttemptHistory {
    target: AttemptTarget,
    told: Option<Duration>,
    begun: Option<Instant>,
    /// Whether it never ran; `None`: it is out.
    never_ran: Option<bool>,
}

/// What may be done for a request.
#[derive(Clone, Debug)]
pub struct RequestPolicy {
    /// Whether it may run again.
    pub idempotency: Idempotency,
    /// Most attempts.
    pub attempts: usize,
    /// Two may be out at once.
    pub copies: bool,
    /// How long after its leaving a server may still be sent to.
    pub drain_grace: Duration,
}

#[derive(Debug)]
struct RequestHistory {
    id: HeaderValue,
    policy: RequestPolicy,
    /// By when it must be answered; `None`: it is still coming.
    deadline: Option<Instant>,
    attempts: Vec<AttemptHistory>,
    answered: bool,
    left: Option<Instant>,
}

/// The course of one request; clones are the same record.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    history: Rc<RefCell<RequestHistory>>,
    metrics: Metrics,
}

impl RequestRecord {
    /// Of a request that was taken just now.
    pub fn new(
        metrics: Metrics,
        id: HeaderValue,
        policy: RequestPolicy,
        deadline: Option<Instant>,
    ) -> RequestRecord {
        tracing::debug!(request = ?id, idempotency = ?policy.idempotency, "taken");
        // One that comes behind another on its connection can't be answered before that is.
        let deadline = deadline.map(|deadline| deadline.max(Instant::now()));
        let history =
            RequestHistory { id, policy, deadline, attempts: Vec::new(), answered: false, left: None };
        RequestRecord { history: Rc::new(RefCell::new(history)), metrics }
    }

    /// The request has come whole, and must be answered by then.
    pub fn whole(&self, deadline: Instant) {
        self.history.borrow_mut().deadline = Some(deadline);
    }

    /// A further attempt, which has not begun.
    pub fn attempt(&self, target: AttemptTarget) -> AttemptRecord {
        let mut history = self.history.borrow_mut();
        history.attempts.push(AttemptHistory { target, told: None, begun: None, never_ran: None });
        AttemptRecord { request: self.clone(), index: history.attempts.len() - 1 }
    }

    /// The client is known to have left.
    pub fn left(&self) {
        let mut history = self.history.borrow_mut();
        tracing::debug!(request = ?history.id, "client left");
        history.left.get_or_insert_with(Instant::now);
    }

    /// The decision module has given it up.
    pub fn given_up(&self, reason: FailureReason) {
        let history = self.history.borrow();
        tracing::debug!(request = ?history.id, attempts = history.attempts.len(), reason = ?reason, "given up");
    }

    /// The request gets its final answer.
    pub fn answered(&self, how: AnswerKind) {
        let mut history = self.history.borrow_mut();
        history.answered = true;
        tracing::debug!(request = ?history.id, how = ?how, "answered");
        let harmless = matches!(
            history.policy.idempotency,
            Idempotency::Idempotent | Idempotency::Keyed { scope: DeduplicationScope::All, .. }
        );
        let may_have_run = |tried: &AttemptHistory| tried.begun.is_some() && tried.never_ran != Some(true);
        if how == AnswerKind::Rejected && !harmless && history.attempts.iter().any(may_have_run) {
            self.violation(&history, Violation::RefusedAfterRun);
        }
        let late = |deadline: Instant| Instant::now() > deadline + ANSWER_SLACK;
        if history.left.is_none() && history.deadline.is_some_and(late) {
            self.violation(&history, Violation::AnsweredLate);
        }
    }

    fn violation(&self, history: &RequestHistory, violation: Violation) {
        self.metrics.count().violation(violation);
        crate::log::line(&format!(
            "invariant violated: {violation:?}, request {:?}: {history:?}",
            history.id
        ));
    }
}

/// How a request was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// By a server.
    Served,
    /// Turned away, to come again.
    Rejected,
    /// With an error that promises nothing.
    Failed,
}

/// One attempt of a request; clones are the same record.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    request: RequestRecord,
    index: usize,
}

impl AttemptRecord {
    /// What the request says to be left of its client's time.
    pub fn tell(&self, left: Duration) {
        self.request.history.borrow_mut().attempts[self.index].told = Some(left);
    }

    /// It may not be written.
    pub fn denied(&self, denial: WriteDenial) {
        let history = self.request.history.borrow();
        tracing::debug!(request = ?history.id, attempt = self.index, reason = ?denial, "denied");
    }

    /// Its first byte has been written.
    pub fn begun(&self) {
        let now = Instant::now();
        let mut history = self.request.history.borrow_mut();
        tracing::debug!(request = ?history.id, attempt = self.index, "begun");
        let violations = history.breaches_of_beginning(self.index, now);
        history.attempts[self.index].begun = Some(now);
        for violation in violations {
            self.request.violation(&history, violation);
        }
    }

    /// It is over. `whole`: all of it had been written.
    pub fn ended(&self, outcome: Outcome, whole: bool) {
        let mut history = self.request.history.borrow_mut();
        tracing::debug!(request = ?history.id, attempt = self.index, outcome = ?outcome, "ended");
        history.attempts[self.index].never_ran = Some(outcome.never_ran());
        if whole && outcome.never_ran() && outcome != Outcome::Rejected {
            self.request.violation(&history, Violation::WrittenButDenied);
        }
    }
}

impl RequestHistory {
    /// What an attempt that begins now breaks.
    fn breaches_of_beginning(&self, index: usize, now: Instant) -> Vec<Violation> {
        let tried = &self.attempts[index];
        let grace = self.policy.drain_grace.saturating_add(SLACK);
        let leaving = tried.target.drain_status.leaving.get();
        let others =
            || self.attempts.iter().enumerate().filter(|(i, other)| *i != index && other.begun.is_some());
        let begun = 1 + others().count();
        let out = others().any(|(_, other)| other.never_ran.is_none());
        let copies = self.policy.copies && self.policy.idempotency != Idempotency::NonIdempotent;
        let left = |deadline: Instant| deadline.saturating_duration_since(now) + BUDGET_SLACK;
        let too_long = |deadline| tried.told.is_some_and(|told| told > left(deadline));
        let mut violations = vec![
            (leaving.is_some_and(|since| now > since + grace), Violation::SentToLeavingServer),
            (self.left.is_some_and(|since| now > since + LEFT_SLACK), Violation::SentForLeftClient),
            (self.answered, Violation::SentAfterAnswer),
            (out && !copies, Violation::TwoOut),
            (begun > self.policy.attempts, Violation::TooManyAttempts),
            (self.deadline.is_some_and(too_long), Violation::BudgetTooLong),
        ];
        let binding = others().map(|(_, other)| other).find(|other| other.never_ran != Some(true));
        violations.extend(binding.and_then(|first| self.repeat_breach(first, tried, now)).map(|b| (true, b)));
        violations.into_iter().filter(|(broken, _)| *broken).map(|(_, violation)| violation).collect()
    }

    /// What a repeat that begins now breaks, after an attempt that may have run.
    fn repeat_breach(
        &self,
        first: &AttemptHistory,
        again: &AttemptHistory,
        now: Instant,
    ) -> Option<Violation> {
        let Idempotency::Keyed { scope, window } = self.policy.idempotency else {
            return (self.policy.idempotency == Idempotency::NonIdempotent)
                .then_some(Violation::RepeatedOnce);
        };
        let inside = match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => first.target.zone == again.target.zone,
            DeduplicationScope::Cell => first.target.cell == again.target.cell,
        };
        if !inside {
            return Some(Violation::RepeatedOutOfScope);
        }
        let end = first.begun? + Duration::from_micros(window) + SLACK;
        (now > end).then_some(Violation::RepeatedLate)
    }
}

#[cfg(test)]
mod tests;
