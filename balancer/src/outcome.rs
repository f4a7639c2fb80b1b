//! How attempts end, and why requests fail.

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The endpoint served it.
    Served,
    /// The endpoint answered with an error.
    Error,
    /// The endpoint is overloaded or draining and rejected it without executing it.
    Rejected,
    /// No response arrived in time.
    TimedOut,
    /// No connection could be established.
    ConnectFailed,
    /// The connection broke while the attempt was in flight.
    Reset,
    /// A reused connection broke before any response. The endpoint may have closed it before the
    /// request arrived, but the attempt may also have been executed.
    Stale,
    /// The connection broke or the attempt timed out with only a part of the request written, so it
    /// was not executed. The written part of a body that cannot be replayed is lost.
    Truncated,
    /// This balancer cancelled it.
    Cancelled,
    /// Nothing of the request was written.
    NeverSent,
    /// The endpoint found the request invalid, as any other endpoint would.
    Invalid,
    /// Anything else, such as a malformed response. The attempt may have been executed.
    Unknown,
}

impl Outcome {
    /// Whether an attempt with this outcome was certainly not executed.
    pub fn was_not_executed(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::Truncated | Outcome::NeverSent
        )
    }

    /// Whether this outcome does not count towards the endpoint's health, because the proxy, the
    /// request or a single connection caused it.
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
    /// The pending queue is full: its first request has waited for too long.
    QueueFull,
    /// It was queued until a response of mean latency would be late, until shortly before its
    /// client stops waiting, or until the end of its deduplication window, after which it must not
    /// be sent again.
    QueueTimeout,
    /// No endpoint is available.
    NoEndpoint,
    /// An attempt failed, and no further attempt is allowed.
    AttemptsExhausted,
    /// An endpoint found it invalid.
    Invalid,
}

/// Load that an endpoint reports with a response; `None` for what it doesn't report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of requests in flight, queued ones included.
    pub in_flight: Option<f64>,
    /// Number of queued requests.
    pub queued: Option<f64>,
    /// Fraction of its cores that is busy, 0 to 1.
    pub cpu_utilization: Option<f64>,
}
