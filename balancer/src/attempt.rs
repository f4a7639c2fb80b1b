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
    pub(crate) is_uploading: bool,
    /// `None` while it is in flight.
    pub(crate) outcome: Option<Outcome>,
}

impl Attempt {
    pub(crate) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }
}
