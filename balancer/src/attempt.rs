//! An attempt to have a request served by an endpoint.

use crate::{CellId, EndpointId, Micros, Outcome, ZoneId};

/// Which concurrency limit an attempt exceeds as a trial that may raise it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Trial {
    /// None: it is within the limits.
    None,
    /// The endpoint's.
    Endpoint,
    /// The one that all endpoints share.
    Shared,
}

/// An attempt, as it was sent and as it ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointId,
    /// Start of the endpoint's process that it was sent to, by the list's clock.
    pub(crate) started_at: Micros,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) class_id: usize,
    pub(crate) sent_at: Micros,
    pub(crate) trial: Trial,
    /// The request is still arriving: the endpoint has nothing to work on yet.
    pub(crate) is_uploading: bool,
    /// `None`: it is in flight.
    pub(crate) outcome: Option<Outcome>,
}

impl Attempt {
    pub(crate) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }
}
