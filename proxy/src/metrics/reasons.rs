//! Reasons that events are counted by.

use std::fmt;
use std::io;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// Its response was passed on completely.
    Completed,
    /// It was rejected.
    Rejected,
    /// Anything else.
    Failed,
}

/// Why this side closed a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClientCloseReason {
    /// It has been idle, or silent from its start, for as long as it may.
    Idle,
    /// Its request did not become complete in time.
    RequestTimeout,
    /// It read nothing of its response for too long.
    ResponseStalled,
    /// Another connection needed its descriptor.
    Evicted,
    /// Its client has disconnected while a request was in flight.
    ClientDisconnected,
}

/// Why this side closed an idle connection to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointCloseReason {
    /// It has been idle for nearly as long as endpoints allow.
    Idle,
    /// Its endpoint takes no new requests, or has restarted.
    EndpointUnavailable,
    /// Another connection needed its descriptor.
    Evicted,
    /// Bytes or its end have arrived, which would be taken for the next response.
    UnexpectedBytes,
}

/// Why an attempt may not be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WriteDenial {
    /// It was withdrawn or cancelled.
    Withdrawn,
    /// The time within which it may start is over.
    StartWindowClosed,
    /// Its client has disconnected.
    ClientDisconnected,
    /// Bytes or the end of its reused connection have arrived, which would be taken for its
    /// response.
    ConnectionUsed,
}

impl fmt::Display for WriteDenial {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, formatter)
    }
}

impl std::error::Error for WriteDenial {}

impl From<WriteDenial> for io::Error {
    fn from(denial: WriteDenial) -> io::Error {
        io::Error::new(io::ErrorKind::ConnectionAborted, denial)
    }
}

/// What must never happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// An attempt started at an endpoint longer than the drain grace after the list said that it
    /// was draining or removed.
    SentToDrainingEndpoint,
    /// An attempt started after its client had disconnected.
    SentForDisconnectedClient,
    /// An attempt started after its request had its final reply.
    SentAfterReply,
    /// An attempt started while another was in flight, and hedging is not allowed.
    ForbiddenHedge,
    /// More attempts started than the settings allow.
    TooManyAttempts,
    /// A non-idempotent request that may have been executed was retried.
    RetriedNonIdempotent,
    /// A keyed request that may have been executed was retried where it is not deduplicated.
    RetriedOutOfScope,
    /// A keyed request that may have been executed was retried when it is no longer deduplicated.
    RetriedAfterWindow,
    /// A longer time was advertised to an endpoint than the client waits.
    AdvertisedTimeTooLong,
    /// An attempt that was written completely was reported as never executed.
    WrittenButNeverRan,
    /// A request that may have been executed was rejected as if it had not.
    RejectedAfterRun,
    /// The final reply was too late.
    RepliedLate,
    /// A connection with a request in flight was closed though its client was still connected.
    ClosedWithoutReply,
}
