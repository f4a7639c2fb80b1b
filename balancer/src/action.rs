//! Actions that the balancer decides on and the proxy carries out.

use crate::{EndpointId, FailureReason, Micros, RequestId};
use std::fmt;

/// An action that the proxy carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Forward a request to an endpoint. The attempts of a request are numbered from 0 in the order
    /// of these actions. An attempt times out when its client stops waiting.
    Forward {
        /// The request to forward.
        request: RequestId,
        /// The endpoint to forward it to.
        endpoint: EndpointId,
        /// Time from now within which the first byte may be written. After that the attempt ends as
        /// [`Outcome::NeverSent`](crate::Outcome::NeverSent). `None` if only the client's deadline
        /// applies.
        start_within: Option<Micros>,
    },
    /// Reply that a request is rejected: it was not executed, or repeating it is safe.
    Reject {
        /// The rejected request.
        request: RequestId,
        /// Time from now after which the client may retry.
        retry_after: Micros,
        /// Why it is rejected.
        reason: FailureReason,
    },
    /// Reply that a request has failed: it may have been executed.
    Fail {
        /// The failed request.
        request: RequestId,
        /// Why it has failed.
        reason: FailureReason,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// Send a health check. Unused: the balancer requests none.
    CheckHealth {
        /// The endpoint to check.
        endpoint: EndpointId,
    },
    /// Send [`Event::Timer`](crate::Event::Timer) after this time. Replaces the timer that was
    /// set before.
    SetTimer {
        /// Time from now.
        after: Micros,
    },
    /// Open a watch of the endpoint list.
    Subscribe,
    /// Log an event.
    Log(LogEvent),
}

/// An event for the operators' log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// An endpoint was ejected as an outlier.
    EndpointEjected(EndpointId),
    /// An ejected endpoint gets requests again.
    EndpointReadmitted(EndpointId),
}

impl fmt::Display for LogEvent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogEvent::EndpointEjected(endpoint) => {
                write!(
                    formatter,
                    "endpoint {} ejected: it gets only trial requests until it recovers",
                    endpoint.0
                )
            }
            LogEvent::EndpointReadmitted(endpoint) => {
                write!(
                    formatter,
                    "endpoint {} readmitted after a served trial request",
                    endpoint.0
                )
            }
        }
    }
}
