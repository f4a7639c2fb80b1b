//! A request to forward a response as far as it has arrived, from the owner of an attempt to the
//! task that buffers the response.

use std::cell::Cell;
use tokio::sync::Notify;

/// Whether part of a response is buffered that may be forwarded, and whether that is requested.
#[derive(Debug, Default)]
pub(crate) struct FlushRequest {
    is_possible: Cell<bool>,
    requested: Notify,
}

impl FlushRequest {
    /// Requests that the response is forwarded as far as it has arrived. Returns `false` if nothing
    /// has arrived that may be forwarded without the rest.
    pub(crate) fn request(&self) -> bool {
        if self.is_possible.get() {
            self.requested.notify_one();
        }
        self.is_possible.get()
    }

    /// Sets whether a part of the response is buffered that may be forwarded.
    pub(super) fn set_possible(&self, is_possible: bool) {
        self.is_possible.set(is_possible);
    }

    /// Completes when the response is to be forwarded.
    pub(super) async fn requested(&self) {
        self.requested.notified().await;
    }
}
