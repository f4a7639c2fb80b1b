//! The requests of one balancer: their numbers, their names on the wire, and when they may be
//! forgotten.

use balancer::RequestId;
use std::collections::HashMap;

struct TrackedRequest {
    wire_id: String,
    attempts_in_flight: u32,
    finished: bool,
}

/// The requests that a balancer may still name.
#[derive(Default)]
pub(crate) struct Requests {
    ids: HashMap<String, RequestId>,
    tracked: HashMap<RequestId, TrackedRequest>,
    next: u64,
}

impl Requests {
    /// Whether a request of this name is known.
    pub(crate) fn contains(&self, wire_id: &str) -> bool {
        self.ids.contains_key(wire_id)
    }

    /// The number of the request with this name; a new one gets the next number.
    pub(crate) fn id(&mut self, wire_id: &str) -> RequestId {
        if let Some(&id) = self.ids.get(wire_id) {
            return id;
        }
        let id = RequestId(self.next);
        self.next += 1;
        self.ids.insert(wire_id.to_owned(), id);
        let request = TrackedRequest {
            wire_id: wire_id.to_owned(),
            attempts_in_flight: 0,
            finished: false,
        };
        self.tracked.insert(id, request);
        id
    }

    /// The request's name on the wire.
    pub(crate) fn wire_id(&self, id: RequestId) -> Option<String> {
        self.tracked.get(&id).map(|request| request.wire_id.clone())
    }

    /// An attempt has been forwarded; the request's name on the wire.
    pub(crate) fn forwarded(&mut self, id: RequestId) -> Option<String> {
        let request = self.tracked.get_mut(&id)?;
        request.attempts_in_flight += 1;
        Some(request.wire_id.clone())
    }

    /// An attempt has ended.
    pub(crate) fn attempt_ended(&mut self, id: RequestId) {
        if let Some(request) = self.tracked.get_mut(&id) {
            request.attempts_in_flight = request.attempts_in_flight.saturating_sub(1);
        }
    }

    /// The request needs no further response.
    pub(crate) fn finished(&mut self, id: RequestId) {
        if let Some(request) = self.tracked.get_mut(&id) {
            request.finished = true;
        }
    }

    /// Forgets a request that is finished and has no attempt in flight.
    pub(crate) fn forget_if_done(&mut self, id: RequestId) {
        let done = |request: &TrackedRequest| request.finished && request.attempts_in_flight == 0;
        if self.tracked.get(&id).is_some_and(done) {
            if let Some(request) = self.tracked.remove(&id) {
                self.ids.remove(&request.wire_id);
            }
        }
    }
}
