//! What clients and endpoints saw of requests and their attempts.

use std::fmt;
use std::time::{Duration, Instant};

/// Class of a request: whether it may be executed again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestClass {
    /// It may.
    Idempotent,
    /// With its idempotency key, in the zone of the first attempt, within the deduplication window.
    Keyed,
    /// It may not.
    NonIdempotent,
}

impl RequestClass {
    /// The class's name in the settings and in requests.
    pub(crate) fn wire_name(self) -> &'static str {
        match self {
            RequestClass::Idempotent => "free",
            RequestClass::Keyed => "keyed",
            RequestClass::NonIdempotent => "unsafe",
        }
    }

    /// How long its clients wait at most, in milliseconds.
    pub(crate) fn deadline_ms(self) -> u64 {
        match self {
            RequestClass::Idempotent => 1_500,
            RequestClass::Keyed => 2_000,
            RequestClass::NonIdempotent => 1_200,
        }
    }
}

/// One attempt as its endpoint saw it.
#[derive(Clone, Debug)]
pub(crate) struct AttemptRecord {
    /// The endpoint's process.
    pub(crate) process: u64,
    /// The endpoint's zone.
    pub(crate) zone: char,
    /// When its first byte arrived.
    pub(crate) first_byte_at: Instant,
    /// When its last byte arrived.
    pub(crate) complete_at: Option<Instant>,
    /// When it ended for the endpoint: with a response, or with its connection.
    pub(crate) ended_at: Option<Instant>,
    /// The endpoint rejected it without executing it.
    pub(crate) rejected: bool,
    /// The endpoint has answered it with 200.
    pub(crate) served: bool,
    /// The endpoint has written all of that response, and did not reset the connection behind it.
    pub(crate) fully_written: bool,
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
    /// The response's status; `None`: the connection ended without a response.
    pub(crate) status: Option<u16>,
    /// When.
    pub(crate) at: Instant,
}

/// One request as its client saw it, with its attempts.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    /// The proxy that it was sent to.
    pub(crate) proxy: usize,
    /// Its class.
    pub(crate) class: RequestClass,
    /// How long the client waits from the request's last byte on.
    pub(crate) client_timeout: Duration,
    /// When the client began to write it.
    pub(crate) started_at: Instant,
    /// When the client had written all of it.
    pub(crate) complete_at: Option<Instant>,
    /// When the client disconnected without waiting for the response.
    pub(crate) disconnected_at: Option<Instant>,
    /// How it ended.
    pub(crate) completion: Option<Completion>,
    /// It was the first request of its connection.
    pub(crate) new_connection: bool,
    /// The proxy does not owe a response, for instance because it was killed.
    pub(crate) exempt: bool,
    /// Its body, which endpoints must receive unchanged.
    pub(crate) body: Vec<u8>,
    /// Its attempts, in the order of their arrival.
    pub(crate) attempts: Vec<AttemptRecord>,
}

impl RequestRecord {
    /// Whether the client still expects a response that it has not got.
    pub(crate) fn is_unanswered(&self) -> bool {
        self.completion.is_none() && self.disconnected_at.is_none() && !self.exempt
    }
}

/// What proxies must keep to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Rule {
    /// The timeout that an attempt advertises is no longer than the client's.
    AdvertisedTimeout,
    /// No crash, and no failure at an orderly end.
    Crash,
    /// Nothing new to an endpoint after the grace of its draining.
    Drain,
    /// No second execution where it does harm.
    Duplicate,
    /// An invalid client gets an error or a close in time.
    InvalidClient,
    /// Descriptors and memory within their limits.
    Limit,
    /// Each request gets its response in time, and nothing is done for clients that have gone.
    Lost,
    /// Ready in time after a start.
    Readiness,
    /// An endpoint that warms up is not overloaded.
    SlowStart,
    /// Endpoints get requests as their clients sent them.
    Void,
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
            Rule::Void => "void",
        })
    }
}

/// A rule that was broken.
#[derive(Clone, Debug)]
pub(crate) struct Violation {
    /// Which.
    pub(crate) rule: Rule,
    /// When it was seen, in seconds since the start.
    pub(crate) at_s: f64,
    /// What happened.
    pub(crate) description: String,
}
