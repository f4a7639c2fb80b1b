//! Events that the proxy reports to the balancer.

use crate::{
    CellId, ClassId, EndpointId, LoadReport, Micros, Outcome, RequestId, TenantId, ZoneId,
};

/// State of an endpoint in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It accepts requests.
    #[default]
    Ready,
    /// It finishes the requests that it has and accepts no new ones.
    Draining,
    /// It has been removed.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its state.
    pub state: EndpointState,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// When its process started, by the clock of the endpoint list. 0 if long ago or unknown: the
    /// endpoint then counts as warm and as not restarted.
    pub started_at: Micros,
    /// Its capacity relative to the other endpoints'. A weight that is not positive or not finite
    /// counts as 1.
    pub weight: f64,
}

/// What an update of the endpoint list contains, or why there was no update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// Changed entries only.
    Delta,
    /// The complete list.
    Full,
    /// The complete list as the proxy last had it, possibly outdated.
    Cached,
    /// No update: a poll failed, or the watch could not be opened.
    PollFailed,
    /// No update: the open watch broke, received nothing for too long, or has to be replaced after
    /// a change of the configuration.
    WatchLost,
    /// No update: the watch broke right after it was opened, and so did the one before it. The list
    /// was current until now.
    WatchFlapping,
}

/// An event that the proxy reports to the balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The proxy has started. Its cached endpoint list, if there is one, follows.
    Start,
    /// An update of the endpoint list.
    EndpointList {
        /// What the update contains, or why there was none.
        kind: ListUpdate,
        /// The entries.
        entries: Vec<EndpointEntry>,
    },
    /// The watch is open and nothing has changed: the present list is current.
    Heartbeat,
    /// A request has arrived.
    RequestReceived {
        /// The request.
        request: RequestId,
        /// Its class.
        class: ClassId,
        /// Its tenant.
        tenant: Option<TenantId>,
        /// Time until its client stops waiting.
        time_left: Micros,
        /// Whether the client marked the request as a retry. Unused by the balancer.
        client_retry: bool,
        /// Whether its body is still arriving and is not buffered, so that what was sent to one
        /// endpoint cannot be sent to another. The client's deadline and the endpoint's work then
        /// count from [`Event::UploadCompleted`].
        non_replayable: bool,
    },
    /// The last byte of a non-replayable request has arrived: its upload is complete.
    UploadCompleted {
        /// The request.
        request: RequestId,
        /// Time until its client stops waiting.
        time_left: Micros,
    },
    /// The upload of a non-replayable request waits for someone else than before. At first it waits
    /// for its endpoint.
    UploadWaitChanged {
        /// The request.
        request: RequestId,
        /// Whether it waits for its client: all that has arrived was written to the endpoint.
        waits_for_client: bool,
    },
    /// Graceful shutdown has begun.
    ShutdownStarted {
        /// Time until the shutdown ends; no request waits for longer than this.
        time_left: Micros,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        elapsed: Micros,
        /// Whether the request needs no further attempt, whatever the outcome.
        request_finished: bool,
        /// The endpoint's load report.
        load: LoadReport,
    },
    /// The response of an attempt is being streamed to the client, so no other attempt can be used
    /// for the reply any more.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// A health check has ended. The balancer ignores this event.
    HealthChecked {
        /// The checked endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// The endpoint's load report.
        load: LoadReport,
    },
    /// The client has cancelled a request or disconnected.
    RequestCancelled {
        /// The request.
        request: RequestId,
    },
    /// The timer set by [`Action::SetTimer`](crate::Action::SetTimer) has fired.
    Timer,
}
