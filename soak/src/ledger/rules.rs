//! Checks of requests and attempts against the rules, as clients and endpoints observed them.

use super::records::{AttemptRecord, RequestClass, RequestRecord, Rule};
use std::time::{Duration, Instant};

/// Tolerance of each time limit: 50 ms by which proxies may exceed it, and 50 ms for delays of the
/// loopback and of this program.
const TIME_LIMIT_TOLERANCE: Duration = Duration::from_millis(50 + 50);
/// Time by which an advertised timeout may exceed the time that the client still waits.
const ADVERTISED_TIMEOUT_SLACK: Duration = Duration::from_millis(150);
/// Time after a client's disconnection in which attempts of its request may still start.
const DISCONNECT_SLACK: Duration = Duration::from_millis(100);
/// Time by which a response may arrive after the client's timeout.
const RESPONSE_SLACK: Duration = Duration::from_millis(500);
/// Maximum number of attempts of a request.
const MAX_ATTEMPTS: usize = 3;

/// A rule that a request or an attempt broke, and the reason.
#[derive(Debug)]
pub(super) struct Finding {
    pub(super) rule: Rule,
    pub(super) reason: String,
}

impl Finding {
    fn new(rule: Rule, reason: impl Into<String>) -> Finding {
        Finding {
            rule,
            reason: reason.into(),
        }
    }
}

/// An attempt that has just arrived at an endpoint, with what it is checked against.
pub(super) struct AttemptArrival<'a> {
    /// The request, with the attempts before this one.
    pub(super) request: &'a RequestRecord,
    /// The attempt to be checked.
    pub(super) attempt: &'a AttemptRecord,
    /// Remaining client timeout that it advertises in `X-Budget-Ms`.
    pub(super) advertised_timeout: Option<Duration>,
    /// Body that the endpoint received.
    pub(super) body: &'a [u8],
    /// How long endpoints recognise an idempotency key.
    pub(super) deduplication_window: Duration,
    /// Whether a request may be hedged: have two attempts in flight at once.
    pub(super) hedging: bool,
}

impl AttemptArrival<'_> {
    /// Returns a finding for each rule that the attempt breaks.
    pub(super) fn findings(&self) -> Vec<Finding> {
        let findings = [
            self.changed_body(),
            self.too_many_attempts(),
            self.after_disconnect(),
            self.after_response(),
            self.excessive_advertised_timeout(),
            self.repeated_execution(),
            self.concurrent_attempts(),
        ];
        findings.into_iter().flatten().collect()
    }

    fn changed_body(&self) -> Option<Finding> {
        let changed = self.attempt.complete_at.is_some() && self.request.body != self.body;
        changed.then(|| {
            Finding::new(
                Rule::RequestIntegrity,
                "the body of a request was changed on the way to the endpoint",
            )
        })
    }

    fn too_many_attempts(&self) -> Option<Finding> {
        let exceeded = self.request.attempts.len() >= MAX_ATTEMPTS;
        exceeded.then(|| {
            let number = self.request.attempts.len() + 1;
            let reason = format!("attempt {number} of a request, allowed {MAX_ATTEMPTS}");
            Finding::new(Rule::Duplicate, reason)
        })
    }

    fn after_disconnect(&self) -> Option<Finding> {
        let disconnected_at = self.request.disconnected_at?;
        let limit = disconnected_at + DISCONNECT_SLACK + TIME_LIMIT_TOLERANCE;
        (self.attempt.first_byte_at > limit).then(|| {
            let reason = format!(
                "an attempt {:?} after the client had disconnected, allowed {:?}",
                self.attempt.first_byte_at - disconnected_at,
                limit - disconnected_at
            );
            Finding::new(Rule::Lost, reason)
        })
    }

    fn after_response(&self) -> Option<Finding> {
        let completed_at = self.request.completion?.at;
        let limit = completed_at + TIME_LIMIT_TOLERANCE;
        (self.attempt.first_byte_at > limit).then(|| {
            let reason = format!(
                "an attempt {:?} after the request had ended for the client, allowed {:?}",
                self.attempt.first_byte_at - completed_at,
                limit - completed_at
            );
            Finding::new(Rule::Lost, reason)
        })
    }

    fn excessive_advertised_timeout(&self) -> Option<Finding> {
        let advertised = self.advertised_timeout?;
        let deadline = self.request.timeout_starts_at? + self.request.client_timeout;
        let remaining = deadline.saturating_duration_since(self.attempt.first_byte_at);
        let allowed = remaining + ADVERTISED_TIMEOUT_SLACK + TIME_LIMIT_TOLERANCE;
        (advertised > allowed).then(|| {
            let reason =
                format!("an attempt advertised a timeout of {advertised:?}, allowed {allowed:?}");
            Finding::new(Rule::AdvertisedTimeout, reason)
        })
    }

    fn repeated_execution(&self) -> Option<Finding> {
        let first = self
            .request
            .attempts
            .iter()
            .find(|attempt| attempt.may_have_executed())?;
        let window_end = first.first_byte_at + self.deduplication_window + TIME_LIMIT_TOLERANCE;
        let reason = match self.request.class {
            RequestClass::NonIdempotent => {
                "a non-idempotent request was sent again after it may have been executed".to_owned()
            }
            RequestClass::Keyed if first.zone != self.attempt.zone => format!(
                "a keyed request was sent again to zone {}, first to zone {}",
                self.attempt.zone, first.zone
            ),
            RequestClass::Keyed if self.attempt.first_byte_at > window_end => format!(
                "a keyed request was sent again {:?} after the attempt that may have been \
                 executed first, allowed {:?}",
                self.attempt.first_byte_at - first.first_byte_at,
                window_end - first.first_byte_at
            ),
            RequestClass::Keyed | RequestClass::Idempotent => return None,
        };
        Some(Finding::new(Rule::Duplicate, reason))
    }

    fn concurrent_attempts(&self) -> Option<Finding> {
        let in_flight = |earlier: &AttemptRecord| {
            let ended = |at: Instant| at <= self.attempt.first_byte_at + TIME_LIMIT_TOLERANCE;
            earlier.may_have_executed() && !earlier.ended_at.is_some_and(ended)
        };
        let allowed = self.hedging && self.request.class != RequestClass::NonIdempotent;
        let concurrent = self.request.attempts.iter().any(in_flight);
        (concurrent && !allowed).then(|| {
            let reason = format!(
                "two attempts in flight, allowed only with hedging (here: {}) and unless the \
                 class is NonIdempotent (here: {:?})",
                self.hedging, self.request.class
            );
            Finding::new(Rule::Duplicate, reason)
        })
    }
}

/// Returns the first rule that a request's completion breaks, if any.
pub(super) fn completion_finding(id: u64, request: &RequestRecord, body: &[u8]) -> Option<Finding> {
    let completion = request.completion?;
    let lost = |reason: String| Some(Finding::new(Rule::Lost, reason));
    let Some(status) = completion.status else {
        return lost("the connection ended without a response to a request".to_owned());
    };
    let deadline = request
        .timeout_starts_at
        .map(|at| at + request.client_timeout);
    let limit = deadline.map(|at| at + RESPONSE_SLACK + TIME_LIMIT_TOLERANCE);
    let late = deadline
        .zip(limit)
        .filter(|(_, limit)| completion.at > *limit);
    let executed = request
        .attempts
        .iter()
        .any(AttemptRecord::may_have_executed);
    match status {
        200 if !request.attempts.iter().any(|attempt| attempt.served) => {
            let length = body.len();
            lost(format!(
                "a response with status 200 and {length} bytes that no endpoint sent"
            ))
        }
        200 if body != response_body(id, body.len()) => lost(format!(
            "a response with a wrong body of {} bytes",
            body.len()
        )),
        429 | 503 if request.class != RequestClass::Idempotent && executed => Some(Finding::new(
            Rule::Duplicate,
            format!("rejected with status {status} after it may have been executed"),
        )),
        400..=428 => lost(format!("a valid request was answered with {status}")),
        _ => late.and_then(|(deadline, limit)| {
            lost(format!(
                "a response {:?} after the client's timeout, allowed {:?}",
                completion.at - deadline,
                limit - deadline
            ))
        }),
    }
}

/// Returns the body of a response to this request, which depends on the id so that a response to
/// another request is detected.
pub(crate) fn response_body(id: u64, length: usize) -> Vec<u8> {
    let pattern = format!("{id:016x}.").into_bytes();
    let mut body = pattern.repeat(length / pattern.len() + 1);
    body.truncate(length);
    body
}
