//! The history of a request, and the rules that the start of an attempt violates.

use crate::invariants::policy::{AttemptTarget, RequestPolicy};
use crate::metrics::Violation;
use balancer::{DeduplicationScope, Idempotency};
use hyper::header::HeaderValue;
use std::time::Duration;
use tokio::time::Instant;

/// Tolerance on the drain grace and on the deduplication window: the time limits that the users set
/// for attempts and drains have this much slack.
const TIME_LIMIT_TOLERANCE: Duration = Duration::from_millis(50);
/// Tolerance by which the time advertised to an endpoint may exceed the time that the client still
/// waits.
const ADVERTISED_TIME_TOLERANCE: Duration = Duration::from_millis(150);
/// Tolerance within which an attempt may still start after its client has disconnected.
const DISCONNECT_TOLERANCE: Duration = Duration::from_millis(100);
/// A reply that is later than the deadline by more than this is of no use to the client.
const REPLY_TOLERANCE: Duration = Duration::from_millis(500);

/// The history of an attempt.
#[derive(Debug)]
pub(super) struct AttemptHistory {
    pub(super) target: AttemptTarget,
    /// The client's remaining time, as advertised to the endpoint.
    pub(super) advertised_time: Option<Duration>,
    /// When the attempt's first byte was written.
    pub(super) started_at: Option<Instant>,
    /// Whether the attempt is known not to have been executed. `None` while it is in flight.
    pub(super) was_not_executed: Option<bool>,
}

impl AttemptHistory {
    pub(super) fn new(target: AttemptTarget) -> AttemptHistory {
        AttemptHistory {
            target,
            advertised_time: None,
            started_at: None,
            was_not_executed: None,
        }
    }

    fn may_have_been_executed(&self) -> bool {
        self.started_at.is_some() && self.was_not_executed != Some(true)
    }
}

/// The history of a request.
#[derive(Debug)]
pub(super) struct RequestHistory {
    pub(super) id: HeaderValue,
    policy: RequestPolicy,
    received_at: Instant,
    /// When the request must have its reply. `None` while its body is still being read.
    pub(super) deadline: Option<Instant>,
    pub(super) attempts: Vec<AttemptHistory>,
    pub(super) has_reply: bool,
    pub(super) disconnected_at: Option<Instant>,
}

impl RequestHistory {
    pub(super) fn new(
        id: HeaderValue,
        policy: RequestPolicy,
        deadline: Option<Instant>,
    ) -> RequestHistory {
        let mut history = RequestHistory {
            id,
            policy,
            received_at: Instant::now(),
            deadline: None,
            attempts: Vec::new(),
            has_reply: false,
            disconnected_at: None,
        };
        if let Some(deadline) = deadline {
            history.set_deadline(deadline);
        }
        history
    }

    /// Sets when the request must have its reply. A pipelined request cannot be answered before the
    /// request ahead of it, so the deadline may have passed before the request was received.
    pub(super) fn set_deadline(&mut self, deadline: Instant) {
        self.deadline = Some(deadline.max(self.received_at));
    }

    /// Whether the request may safely be repeated at any endpoint.
    pub(super) fn is_repeatable_anywhere(&self) -> bool {
        matches!(
            self.policy.idempotency,
            Idempotency::Idempotent
                | Idempotency::Keyed {
                    scope: DeduplicationScope::All,
                    ..
                }
        )
    }

    /// Whether any attempt may have been executed.
    pub(super) fn may_have_been_executed(&self) -> bool {
        self.attempts
            .iter()
            .any(AttemptHistory::may_have_been_executed)
    }

    /// Whether a reply sent now is too late, or none was sent although it is overdue, and the client
    /// is still connected.
    pub(super) fn is_late(&self) -> bool {
        let is_late = |deadline: Instant| Instant::now() > deadline + REPLY_TOLERANCE;
        self.disconnected_at.is_none() && self.deadline.is_some_and(is_late)
    }

    /// The rules that are violated if the attempt starts now.
    pub(super) fn start_violations(&self, index: usize, now: Instant) -> Vec<Violation> {
        let attempt = &self.attempts[index];
        let started_count = 1 + self.other_started(index).count();
        let rules = [
            (
                self.is_past_drain_grace(attempt, now),
                Violation::SentToDrainingEndpoint,
            ),
            (
                self.is_past_disconnect_tolerance(now),
                Violation::SentForDisconnectedClient,
            ),
            (self.has_reply, Violation::SentAfterReply),
            (self.is_forbidden_hedge(index), Violation::ForbiddenHedge),
            (
                started_count > self.policy.max_attempts,
                Violation::TooManyAttempts,
            ),
            (
                self.advertises_too_long(attempt, now),
                Violation::AdvertisedTimeTooLong,
            ),
        ];
        let violated = rules.into_iter().filter(|(is_violated, _)| *is_violated);
        violated
            .map(|(_, violation)| violation)
            .chain(self.retry_violation(index, now))
            .collect()
    }

    fn other_started(&self, index: usize) -> impl Iterator<Item = &AttemptHistory> {
        let others = self
            .attempts
            .iter()
            .enumerate()
            .filter(move |(other, _)| *other != index);
        others
            .map(|(_, other)| other)
            .filter(|other| other.started_at.is_some())
    }

    fn is_past_drain_grace(&self, attempt: &AttemptHistory, now: Instant) -> bool {
        let grace = self.policy.drain_grace.saturating_add(TIME_LIMIT_TOLERANCE);
        attempt
            .target
            .drain_status
            .unready_since()
            .is_some_and(|since| now > since + grace)
    }

    fn is_past_disconnect_tolerance(&self, now: Instant) -> bool {
        self.disconnected_at
            .is_some_and(|since| now > since + DISCONNECT_TOLERANCE)
    }

    fn is_forbidden_hedge(&self, index: usize) -> bool {
        let is_hedge = self
            .other_started(index)
            .any(|other| other.was_not_executed.is_none());
        let may_hedge =
            self.policy.hedging && self.policy.idempotency != Idempotency::NonIdempotent;
        is_hedge && !may_hedge
    }

    fn advertises_too_long(&self, attempt: &AttemptHistory, now: Instant) -> bool {
        let (Some(deadline), Some(advertised)) = (self.deadline, attempt.advertised_time) else {
            return false;
        };
        advertised > deadline.saturating_duration_since(now) + ADVERTISED_TIME_TOLERANCE
    }

    /// The rule that is violated if a retry starts now, after an attempt that may have been
    /// executed.
    fn retry_violation(&self, index: usize, now: Instant) -> Option<Violation> {
        let first = self
            .other_started(index)
            .find(|other| other.may_have_been_executed())?;
        let retry = &self.attempts[index];
        let (scope, window) = match self.policy.idempotency {
            Idempotency::Idempotent => return None,
            Idempotency::NonIdempotent => return Some(Violation::RetriedNonIdempotent),
            Idempotency::Keyed { scope, window } => (scope, Duration::from_micros(window)),
        };
        let is_in_scope = match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => first.target.zone == retry.target.zone,
            DeduplicationScope::Cell => first.target.cell == retry.target.cell,
        };
        if !is_in_scope {
            return Some(Violation::RetriedOutOfScope);
        }
        let end = first.started_at? + window + TIME_LIMIT_TOLERANCE;
        (now > end).then_some(Violation::RetriedAfterWindow)
    }
}
