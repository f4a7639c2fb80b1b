//! Records of requests as their clients saw them and of attempts as endpoints saw them, and the
//! rules that proxies must follow.

use std::fmt;
use std::time::{Duration, Instant};

/// Class of a request, which determines whether endpoints may execute it more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestClass {
    /// It may be executed any number of times.
    Idempotent,
    /// It carries an idempotency key. It may be sent again in the zone of its first attempt and
    /// within the deduplication window, where endpoints recognise the key.
    Keyed,
    /// It must not be executed more than once.
    NonIdempotent,
}

impl RequestClass {
    /// Name of the class in the settings and in the `X-Call-Class` header.
    pub(crate) fn wire_name(self) -> &'static str {
        match self {
            RequestClass::Idempotent => "free",
            RequestClass::Keyed => "keyed",
            RequestClass::NonIdempotent => "unsafe",
        }
    }

    /// The class's deadline in milliseconds: the longest time that its clients wait.
    pub(crate) fn deadline_ms(self) -> u64 {
        match self {
            RequestClass::Idempotent => 1_500,
            RequestClass::Keyed => 2_000,
            RequestClass::NonIdempotent => 1_200,
        }
    }
}

/// How a response gives the end of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// With the end of the connection.
    Close,
    /// With its last chunk.
    Chunks,
    /// With its length.
    Length,
}

/// A long response that its endpoint writes slowly.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlowResponse {
    /// How it gives the end of its body.
    pub(crate) framing: Framing,
    /// Time at which the endpoint began to write it.
    pub(crate) began_at: Instant,
}

/// An attempt as its endpoint saw it.
#[derive(Clone, Debug)]
pub(crate) struct AttemptRecord {
    /// Number of the endpoint process.
    pub(crate) process: u64,
    /// Zone of the endpoint.
    pub(crate) zone: char,
    /// Time at which its first byte arrived.
    pub(crate) first_byte_at: Instant,
    /// Time at which its last byte arrived; `None` if it was truncated.
    pub(crate) complete_at: Option<Instant>,
    /// Time at which it ended for the endpoint: with its response or with its connection.
    pub(crate) ended_at: Option<Instant>,
    /// Whether the endpoint rejected it without executing it.
    pub(crate) rejected: bool,
    /// Whether the endpoint's response is a complete one with status 200.
    pub(crate) served: bool,
    /// Whether the endpoint wrote all of that response and did not reset the connection after it.
    pub(crate) fully_written: bool,
    /// The endpoint's response, if it is a long one that is written slowly.
    pub(crate) slow_response: Option<SlowResponse>,
}

impl AttemptRecord {
    /// Whether the endpoint may have executed it.
    pub(crate) fn may_have_executed(&self) -> bool {
        self.complete_at.is_some() && !self.rejected
    }
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Completion {
    /// Status of the response; `None` if the connection ended without one.
    pub(crate) status: Option<u16>,
    /// Time of the completion.
    pub(crate) at: Instant,
}

/// A request as its client saw it, with its attempts.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    /// Number of the proxy that it was sent to.
    pub(crate) proxy: usize,
    /// Class of the request.
    pub(crate) class: RequestClass,
    /// How long the client waits for the response, counted from the request's last byte.
    pub(crate) client_timeout: Duration,
    /// Time at which the client began to write it.
    pub(crate) started_at: Instant,
    /// Time from which the client's timeout counts: when the request was written or, for a
    /// pipelined request, when the previous response arrived. `None` until the request has been
    /// written.
    pub(crate) timeout_starts_at: Option<Instant>,
    /// Time at which the client disconnected without waiting for the response.
    pub(crate) disconnected_at: Option<Instant>,
    /// How it ended for its client; `None` until then.
    pub(crate) completion: Option<Completion>,
    /// Whether it was the first request on its connection.
    pub(crate) new_connection: bool,
    /// Whether the proxy need not send a complete response: its process was killed or shut down,
    /// the client could not write the whole request, the connection ended before the proxy can have
    /// read the request, or the response was truncated, which is checked separately.
    pub(crate) response_not_required: bool,
    /// Body, which endpoints must receive unchanged.
    pub(crate) body: Vec<u8>,
    /// Attempts, in the order of their arrival at endpoints.
    pub(crate) attempts: Vec<AttemptRecord>,
}

impl RequestRecord {
    /// Whether an endpoint has responded slowly.
    pub(crate) fn has_slow_response(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.slow_response.is_some())
    }

    /// Whether the proxy must still send the client a response.
    pub(crate) fn is_unanswered(&self) -> bool {
        self.completion.is_none() && self.disconnected_at.is_none() && !self.response_not_required
    }
}

/// A rule that proxies must follow. The report prints the label that `Display` gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Rule {
    /// The timeout advertised with an attempt is no longer than the time its client still waits.
    /// Its label is the name of the header, `X-Budget-Ms`: "budget".
    AdvertisedTimeout,
    /// A proxy does not end by itself, and exits successfully when it is shut down.
    Crash,
    /// A draining endpoint is sent no new attempts after the drain grace.
    Drain,
    /// A request is sent again only as often, and only where, its class allows it.
    Duplicate,
    /// A client that sends an invalid request gets a response or a close within 3 s of connecting.
    InvalidClient,
    /// Open descriptors and memory stay within their limits.
    Limit,
    /// Each request gets a valid response by its client's timeout, an invalid request gets no
    /// status other than 400 to 599, and no attempt starts after the client has disconnected or got
    /// the response. The label "lost" stands for all of these.
    Lost,
    /// A proxy is ready within 10 s of its start.
    Readiness,
    /// An endpoint in its slow start is not overloaded.
    SlowStart,
    /// Endpoints get only valid requests that clients sent, with their bodies unchanged. Its label
    /// is "void".
    RequestIntegrity,
}

impl fmt::Display for Rule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Rule::AdvertisedTimeout => "budget",
            Rule::Crash => "crash",
            Rule::Drain => "drain",
            Rule::Duplicate => "duplicate",
            Rule::InvalidClient => "invalid client",
            Rule::Limit => "limit",
            Rule::Lost => "lost",
            Rule::Readiness => "readiness",
            Rule::SlowStart => "slow start",
            Rule::RequestIntegrity => "void",
        })
    }
}

/// A violation of a rule.
#[derive(Clone, Debug)]
pub(crate) struct Violation {
    /// The rule that was broken.
    pub(crate) rule: Rule,
    /// Time of its detection, in seconds since the start of the run.
    pub(crate) at_s: f64,
    /// Description of what happened.
    pub(crate) description: String,
}
