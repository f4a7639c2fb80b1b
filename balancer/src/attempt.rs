//! An attempt to have a request served by an endpoint.

use crate::{CellId, EndpointId, Micros, Outcome, ZoneId};

/// Which concurrency limit an attempt exceeds. An attempt that exceeds a limit is a trial: if it is
/// served, the limit can be raised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Trial {
    /// The attempt is within the limits.
    None,
    /// The endpoint's own limit.
    Endpoint,
    /// The limit that all endpoints share.
    Shared,
}

/// How far a request has been written to its endpoint, as far as the proxy can tell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum UploadState {
    /// It has arrived completely, so the endpoint can work on it.
    #[default]
    Complete,
    /// It is still arriving, and the proxy waits for the endpoint to read.
    WaitsForEndpoint,
    /// It is still arriving, and the proxy waits for the client to send.
    WaitsForClient,
}

impl UploadState {
    pub(crate) fn is_uploading(self) -> bool {
        self != UploadState::Complete
    }
}

/// An attempt: where and when it was sent, and how it ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointId,
    /// Start time of the endpoint in the endpoint list when the attempt was sent. A different one
    /// means that the endpoint has restarted since.
    pub(crate) endpoint_listed_start: Micros,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) class_id: usize,
    pub(crate) sent_at: Micros,
    pub(crate) trial: Trial,
    /// Whether the request is still arriving, so that the endpoint cannot work on it yet.
    pub(crate) upload: UploadState,
    /// `None` while it is in flight.
    pub(crate) outcome: Option<Outcome>,
}

impl Attempt {
    pub(crate) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }
}
