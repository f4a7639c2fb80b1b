//! Actions that the balancer decides on and the proxy carries out.

use crate::{EndpointId, FailureReason, Micros, RequestId};
use std::fmt;

/// An action that the proxy carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Forward a request to an endpoint. The first time this is attempt 0 of the request, then 1,
    /// and so on. An attempt times out when its client stops waiting.
    Forward {
        /// Which request.
        request: RequestId,
        /// To which endpoint.
        endpoint: EndpointId,
        /// Time from now within which the first byte may be written. After that the attempt ends as
        /// [`Outcome::NeverSent`](crate::Outcome::NeverSent). `None`: for as long as the client
        /// waits.
        start_within: Option<Micros>,
    },
    /// Answer a request as rejected: it was not executed, or repeating it is safe.
    Reject {
        /// Which request.
        request: RequestId,
        /// When the client may retry.
        retry_after: Micros,
        /// Why.
        reason: FailureReason,
    },
    /// Answer a request as failed: it may have been executed.
    Fail {
        /// Which request.
        request: RequestId,
        /// Why.
        reason: FailureReason,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// Of which request.
        request: RequestId,
        /// Which attempt of it.
        attempt: u32,
    },
    /// Send a health check.
    CheckHealth {
        /// To which endpoint.
        endpoint: EndpointId,
    },
    /// Send [`Event::Timer`](crate::Event::Timer) after this time. It replaces the timer set
    /// before.
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
    /// An ejected endpoint takes requests again.
    EndpointReadmitted(EndpointId),
}

impl fmt::Display for LogEvent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogEvent::EndpointEjected(endpoint) => {
                write!(formatter, "endpoint {} ejected", endpoint.0)
            }
            LogEvent::EndpointReadmitted(endpoint) => {
                write!(formatter, "endpoint {} readmitted", endpoint.0)
            }
        }
    }
}
