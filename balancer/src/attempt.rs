//! An attempt to have a request served by an endpoint.

use crate::{CellId, EndpointId, Micros, Outcome, ZoneId};

/// The concurrency limit that an attempt exceeds as a trial, which raises that limit if it is
/// served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Trial {
    /// None: the attempt is within the limits.
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
    /// When the endpoint's process that it was sent to started, by the clock of the endpoint list.
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
