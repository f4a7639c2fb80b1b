//! The requests that one balancer tracks. Maps their ids on the wire to the balancer's ids, and
//! drops a request when no further message or action can be about it.

use balancer::RequestId;
use std::collections::HashMap;

struct TrackedRequest {
    wire_id: String,
    attempts_in_flight: u32,
    finished: bool,
}

/// The requests that messages or actions may still be about.
#[derive(Default)]
pub(crate) struct Requests {
    ids: HashMap<String, RequestId>,
    tracked: HashMap<RequestId, TrackedRequest>,
    next_id: u64,
}

impl Requests {
    /// Whether a request with this id on the wire is tracked.
    pub(crate) fn is_tracked(&self, wire_id: &str) -> bool {
        self.ids.contains_key(wire_id)
    }

    /// The balancer's id of the request with this id on the wire. A request that is not tracked yet
    /// gets the next id.
    pub(crate) fn id_for(&mut self, wire_id: &str) -> RequestId {
        if let Some(&id) = self.ids.get(wire_id) {
            return id;
        }
        let id = RequestId(self.next_id);
        self.next_id += 1;
        self.ids.insert(wire_id.to_owned(), id);
        let request = TrackedRequest {
            wire_id: wire_id.to_owned(),
            attempts_in_flight: 0,
            finished: false,
        };
        self.tracked.insert(id, request);
        id
    }

    /// The request's id on the wire.
    pub(crate) fn wire_id(&self, id: RequestId) -> Option<String> {
        self.tracked.get(&id).map(|request| request.wire_id.clone())
    }

    /// Counts an attempt as in flight and returns the request's id on the wire.
    pub(crate) fn record_forwarded(&mut self, id: RequestId) -> Option<String> {
        let request = self.tracked.get_mut(&id)?;
        request.attempts_in_flight += 1;
        Some(request.wire_id.clone())
    }

    /// Counts an attempt as no longer in flight.
    pub(crate) fn record_attempt_end(&mut self, id: RequestId) {
        if let Some(request) = self.tracked.get_mut(&id) {
            request.attempts_in_flight = request.attempts_in_flight.saturating_sub(1);
        }
    }

    /// Marks the request as needing no further response.
    pub(crate) fn mark_finished(&mut self, id: RequestId) {
        if let Some(request) = self.tracked.get_mut(&id) {
            request.finished = true;
        }
    }

    /// Stops tracking the request if it is finished and has no attempt in flight.
    pub(crate) fn untrack_if_complete(&mut self, id: RequestId) {
        let complete =
            |request: &TrackedRequest| request.finished && request.attempts_in_flight == 0;
        if self.tracked.get(&id).is_some_and(complete) {
            if let Some(request) = self.tracked.remove(&id) {
                self.ids.remove(&request.wire_id);
            }
        }
    }
}
