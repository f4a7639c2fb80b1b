//! How attempts end, and why requests fail.

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The endpoint served it.
    Served,
    /// The endpoint answered with an error.
    Error,
    /// The endpoint rejected it without executing it: it is full or draining.
    Rejected,
    /// No response in time.
    TimedOut,
    /// No connection could be established.
    ConnectFailed,
    /// The connection broke while the attempt was in flight.
    Reset,
    /// A reused connection broke before any response: the endpoint may have closed it before. The
    /// attempt may have been executed.
    Stale,
    /// The connection broke, or time ran out, with only a part of the request written: it was not
    /// executed. What was written of a body that cannot be replayed is lost.
    Truncated,
    /// This balancer cancelled it.
    Cancelled,
    /// Nothing of it was written.
    NeverSent,
    /// The endpoint found the request itself invalid, as any other would.
    Invalid,
    /// Anything else, such as a malformed response; it may have been executed.
    Unknown,
}

impl Outcome {
    /// Whether this proves that the attempt was not executed.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::Truncated | Outcome::NeverSent
        )
    }

    /// Whether this says nothing about the endpoint's health: the cause was the proxy, the request
    /// or one connection.
    pub(crate) fn is_neutral(self) -> bool {
        matches!(
            self,
            Outcome::Cancelled | Outcome::NeverSent | Outcome::Stale | Outcome::Invalid
        )
    }
}

/// Why a request is not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FailureReason {
    /// The pending queue is full.
    QueueFull,
    /// It was queued until a typical response would be late, or until it may no longer be sent
    /// anywhere.
    QueueTimeout,
    /// No endpoint is available.
    NoEndpoint,
    /// An attempt failed, and no other is allowed.
    AttemptsExhausted,
    /// The endpoint found it invalid.
    Invalid,
}

/// Load that an endpoint reports with a response; what it does not report is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight, queued ones included.
    pub in_flight: Option<f64>,
    /// Requests queued.
    pub queued: Option<f64>,
    /// Fraction of its cores that is busy, 0 to 1.
    pub cpu_utilization: Option<f64>,
}
