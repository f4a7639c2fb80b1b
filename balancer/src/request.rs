//! A request from its arrival until it has ended and no attempt is in flight.

use crate::attempt::Attempt;
use crate::endpoint::Endpoint;
use crate::*;

/// A call from its arrival until it has ended and no attempt is out.
#[derive(Debug, Default)]
pub(crate) struct Request {
    pub(crate) class: Class,
    pub(crate) class_id: usize,
    pub(crate) arrived: Micros,
    pub(crate) deadline: Micros,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) queued: bool,
    /// What is sent of it can't be sent again; and whether it is still coming.
    pub(crate) non_replayable: bool,
    pub(crate) streaming: bool,
    pub(crate) ended: bool,
    /// When the call is looked at next; 0: not by time.
    pub(crate) timer_at: Micros,
}

impl Request {
    pub(crate) fn in_flight_count(&self) -> usize {
        self.attempts.iter().filter(|a| a.outcome.is_none()).count()
    }

    /// The first attempt that may have run: the one that binds a guarded call.
    pub(crate) fn first_possibly_executed(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| !a.outcome.is_some_and(Outcome::never_ran))
    }

    pub(crate) fn is_untried(&self, endpoint: EndpointId) -> bool {
        self.attempts.iter().all(|a| a.endpoint != endpoint)
    }

    pub(crate) fn objective_at(&self) -> Micros {
        let latency_objective = if self.class.late_weight_fraction > 0.0 {
            self.class.deadline
        } else {
            self.class.latency_objective
        };
        self.deadline.min(self.arrived.saturating_add(latency_objective))
    }

    /// Before when a further attempt must begin: its class's window from the first one that may
    /// have run.
    pub(crate) fn attempt_deadline(&self) -> Option<Micros> {
        match (self.first_possibly_executed(), self.class.idempotency) {
            (Some(first), Idempotency::Keyed { window, .. }) => Some(first.sent.saturating_add(window)),
            _ => None,
        }
    }

    /// May this call go again, here? Proof over all its attempts decides, never the last outcome
    /// alone.
    pub(crate) fn may_attempt(&self, now: Micros, endpoint: &Endpoint, clock_resolution: Micros) -> bool {
        match (self.first_possibly_executed(), self.class.idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => true,
            (Some(_), Idempotency::NonIdempotent) => false,
            (Some(first), Idempotency::Keyed { scope, .. }) => {
                let inside = match scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => first.zone == endpoint.zone,
                    DeduplicationScope::Cell => first.cell == endpoint.cell,
                };
                inside && self.attempt_deadline().is_none_or(|end| now.saturating_add(clock_resolution) < end)
            }
        }
    }

    pub(crate) fn may_be_rejected(&self) -> bool {
        let harmless = matches!(
            self.class.idempotency,
            Idempotency::Idempotent | Idempotency::Keyed { scope: DeduplicationScope::All, .. }
        );
        harmless || self.first_possibly_executed().is_none()
    }
}
