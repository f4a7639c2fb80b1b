//! The state of a request, kept from its arrival until it is finished and has no attempt in flight.

use crate::attempt::{Attempt, UploadState};
use crate::endpoint::Endpoint;
use crate::{Class, DeduplicationScope, EndpointId, Idempotency, Micros, Outcome};

/// State of a request.
#[derive(Debug, Default)]
pub(crate) struct Request {
    pub(crate) class: Class,
    pub(crate) class_id: usize,
    pub(crate) arrived_at: Micros,
    /// When its client stops waiting.
    pub(crate) deadline: Micros,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) is_queued: bool,
    /// Whether what was sent to one endpoint cannot be sent to another.
    pub(crate) is_non_replayable: bool,
    /// Whether the request is still arriving.
    pub(crate) upload: UploadState,
    /// Whether no further attempt is needed: its client has a reply, is being sent a response, or
    /// has cancelled the request.
    pub(crate) is_finished: bool,
    pub(crate) timer_at: Option<Micros>,
}

impl Request {
    pub(crate) fn in_flight_count(&self) -> usize {
        self.attempts
            .iter()
            .filter(|attempt| attempt.is_in_flight())
            .count()
    }

    /// The first attempt that may have been executed, which restricts where and when further ones
    /// may be sent.
    pub(crate) fn first_possibly_executed(&self) -> Option<&Attempt> {
        self.attempts
            .iter()
            .find(|attempt| !attempt.outcome.is_some_and(Outcome::was_not_executed))
    }

    pub(crate) fn has_not_tried(&self, endpoint: EndpointId) -> bool {
        self.attempts
            .iter()
            .all(|attempt| attempt.endpoint != endpoint)
    }

    /// Until when a response counts with the priority weight of its class or a fraction of it: the
    /// latency objective or, if late responses count too, the deadline.
    pub(crate) fn response_due_at(&self) -> Micros {
        self.deadline
            .min(self.arrived_at.saturating_add(self.class.weighted_time()))
    }

    /// When the deduplication window ends, which begins with the first attempt that may have been
    /// executed. Further attempts must start before then. `None` if there is no window.
    pub(crate) fn attempt_deadline(&self) -> Option<Micros> {
        match (self.first_possibly_executed(), self.class.idempotency) {
            (Some(first), Idempotency::Keyed { window, .. }) => {
                Some(first.sent_at.saturating_add(window))
            }
            _ => None,
        }
    }

    /// Whether the request may be sent to an endpoint, given its earlier attempts.
    pub(crate) fn may_attempt(
        &self,
        now: Micros,
        endpoint: &Endpoint,
        clock_resolution: Micros,
    ) -> bool {
        match (self.first_possibly_executed(), self.class.idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => true,
            (Some(_), Idempotency::NonIdempotent) => false,
            (Some(first), Idempotency::Keyed { scope, .. }) => {
                let is_deduplicated = match scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => first.zone == endpoint.zone,
                    DeduplicationScope::Cell => first.cell == endpoint.cell,
                };
                // The clock may lag by up to its resolution.
                let latest_now = now.saturating_add(clock_resolution);
                is_deduplicated && self.attempt_deadline().is_none_or(|end| latest_now < end)
            }
        }
    }

    /// Whether the reply may be a rejection, which allows the client to retry.
    pub(crate) fn may_be_rejected(&self) -> bool {
        let is_repeatable = matches!(
            self.class.idempotency,
            Idempotency::Idempotent
                | Idempotency::Keyed {
                    scope: DeduplicationScope::All,
                    ..
                }
        );
        is_repeatable || self.first_possibly_executed().is_none()
    }
}
