//! Events that the proxy reports to the balancer.

use crate::{
    CellId, ClassId, EndpointId, LoadReport, Micros, Outcome, RequestId, TenantId, ZoneId,
};

/// State of an endpoint in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes requests.
    #[default]
    Ready,
    /// It finishes the requests that it has and takes no new ones.
    Draining,
    /// It has been removed.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointEntry {
    /// Which endpoint.
    pub endpoint: EndpointId,
    /// Its state.
    pub state: EndpointState,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// When its process started, by the list's clock; 0: long ago.
    pub started_at: Micros,
    /// Its size relative to the others'; what is not positive or not finite counts as 1.
    pub weight: f64,
}

/// Kind of an update of the endpoint list, or why there is none.
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
    /// No update: the watch was open and broke, fell silent, or has to be opened elsewhere.
    WatchLost,
    /// No update: the watch broke right after it was opened, as the one before it did. The list was
    /// current until now.
    WatchFlapping,
}

/// An event that the proxy reports to the balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The proxy starts. Its cached endpoint list, if there is one, follows.
    Start,
    /// An update of the endpoint list.
    EndpointList {
        /// Which entries the update contains.
        kind: ListUpdate,
        /// The entries.
        entries: Vec<EndpointEntry>,
    },
    /// The watch is alive and nothing has changed: the present list is current.
    Heartbeat,
    /// A request has arrived.
    RequestReceived {
        /// Which request.
        request: RequestId,
        /// Its class.
        class: ClassId,
        /// Its tenant.
        tenant: Option<TenantId>,
        /// How long the client still waits.
        time_left: Micros,
        /// The client says that this is a retry of its own.
        client_retry: bool,
        /// Its body is still arriving and is not buffered: what one endpoint has got of it cannot
        /// be sent to another. The client's time and the endpoint's work begin with
        /// [`Event::RequestCompleted`].
        non_replayable: bool,
    },
    /// The last byte of a request that cannot be replayed has arrived.
    RequestCompleted {
        /// Which request.
        request: RequestId,
        /// How long the client waits from now on.
        time_left: Micros,
    },
    /// Graceful shutdown has begun.
    ShutdownStarted {
        /// No request waits for longer than this.
        time_left: Micros,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// Which request.
        request: RequestId,
        /// Which attempt of it, from 0.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        elapsed: Micros,
        /// The request needs no further response.
        request_finished: bool,
        /// The endpoint's load report.
        load: LoadReport,
    },
    /// The response of an attempt is being streamed to the client; no other attempt can answer the
    /// request now.
    ResponseStarted {
        /// Which request.
        request: RequestId,
        /// Which attempt of it.
        attempt: u32,
    },
    /// A health check was answered.
    HealthChecked {
        /// By which endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// The endpoint's load report.
        load: LoadReport,
    },
    /// The client has cancelled a request or disconnected.
    RequestCancelled {
        /// Which request.
        request: RequestId,
    },
    /// The timer set by [`Action::SetTimer`](crate::Action::SetTimer) has fired.
    Timer,
}
