//! The queue of requests that wait for an endpoint.

use crate::RequestId;
use std::collections::VecDeque;

/// Pending requests: retries first, then the others in order of arrival.
#[derive(Debug, Default)]
pub(crate) struct PendingQueue {
    requests: VecDeque<RequestId>,
}

impl PendingQueue {
    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.requests.iter().copied()
    }

    pub(crate) fn get(&self, index: usize) -> Option<RequestId> {
        self.requests.get(index).copied()
    }

    /// The latest retry or, if none is queued, the request that has waited longest.
    pub(crate) fn front(&self) -> Option<RequestId> {
        self.get(0)
    }

    /// Adds a request that has just arrived.
    pub(crate) fn push_back(&mut self, id: RequestId) {
        self.requests.push_back(id);
    }

    /// Adds a retry ahead of the queued requests, as it is older.
    pub(crate) fn push_front(&mut self, id: RequestId) {
        self.requests.push_front(id);
    }

    pub(crate) fn remove_at(&mut self, index: usize) {
        self.requests.remove(index);
    }

    pub(crate) fn remove(&mut self, id: RequestId) {
        if let Some(index) = self.requests.iter().position(|&queued| queued == id) {
            self.remove_at(index);
        }
    }
}
