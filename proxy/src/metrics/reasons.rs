//! The reasons by which events are counted.

use std::fmt;
use std::io;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// Its response was forwarded completely.
    Completed,
    /// It was rejected.
    Rejected,
    /// It failed, or its client disconnected.
    Failed,
}

/// How a call to discovery ended that asked for a watch of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DiscoveryCallEnd {
    /// The watch was opened.
    Opened,
    /// The watch was opened after the time from which on the call counts as unanswered.
    OpenedLate,
    /// It failed: no connection, a rejection, or a response that could not be read.
    Failed,
    /// No response arrived for as long as it was waited for.
    Unanswered,
    /// Another call was answered first.
    Superseded,
}

/// Why the proxy closed a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClientCloseReason {
    /// The connection was idle, or received nothing after it was opened, for the maximum time.
    Idle,
    /// A request on it was not received completely in time.
    RequestTimeout,
    /// The client read nothing of a response for too long.
    ResponseStalled,
    /// Its file descriptor or its memory was needed for another connection or request.
    Evicted,
    /// The same, while the client's request was still arriving. The request was rejected.
    SlowUpload,
    /// The same, while the client did not read its response.
    SlowReader,
    /// The client disconnected while a request was in flight.
    ClientDisconnected,
}

/// Why the proxy closed an idle connection to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointCloseReason {
    /// It was idle for the maximum time after which connections are reused: 0.9 of the endpoints'
    /// idle timeout, or the estimated time after which connections break if that is shorter.
    Idle,
    /// Its endpoint accepts no new requests, or has restarted.
    EndpointUnavailable,
    /// Its file descriptor was needed for another connection.
    Evicted,
    /// It received data, which would be parsed as the response to the next request, or an end of
    /// stream.
    UnexpectedBytes,
    /// Its endpoint has sent responses that were not asked for, so its connections are not reused.
    Distrusted,
}

/// Why a write of an attempt was denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WriteDenial {
    /// The attempt was withdrawn or cancelled.
    Withdrawn,
    /// The start window closed before the attempt's first byte was written.
    StartWindowClosed,
    /// The client disconnected before the attempt's first byte was written.
    ClientDisconnected,
    /// The reused connection received data, which would be parsed as the attempt's response, or an
    /// end of stream.
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

/// A violated invariant: something that the proxy must never do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// An attempt started later than the drain grace after its endpoint was listed as draining or
    /// removed.
    SentToDrainingEndpoint,
    /// An attempt started after its client had disconnected.
    SentForDisconnectedClient,
    /// An attempt started after its request had its final reply.
    SentAfterReply,
    /// An attempt started while another one was in flight, although hedging is not allowed.
    ForbiddenHedge,
    /// More attempts of a request started than the settings allow.
    TooManyAttempts,
    /// A non-idempotent request that may have been executed was retried.
    RetriedNonIdempotent,
    /// A keyed request that may have been executed was retried outside the scope in which it is
    /// deduplicated.
    RetriedOutOfScope,
    /// A keyed request that may have been executed was retried after the time for which it is
    /// deduplicated.
    RetriedAfterWindow,
    /// The time advertised to an endpoint was longer than the client still waits.
    AdvertisedTimeTooLong,
    /// An attempt that was written completely was reported as never executed.
    WrittenButNeverRan,
    /// A request that may have been executed was rejected as if it had not been, although repeating
    /// it is not safe.
    RejectedAfterRun,
    /// The final reply was too late.
    RepliedLate,
    /// The client disconnected without a reply, long after the final reply was due.
    NeverReplied,
    /// A connection with a request in flight was closed although its client was still connected.
    ClosedWithoutReply,
}
