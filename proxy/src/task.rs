//! Tasks that end with their owner.

use std::future::Future;
use tokio::task::AbortHandle;

/// A task on this thread that is aborted when this is dropped.
#[derive(Debug)]
pub(crate) struct ScopedTask(AbortHandle);

impl Drop for ScopedTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Runs a future on this thread until it is done or the returned task is dropped.
pub(crate) fn spawn(future: impl Future + 'static) -> ScopedTask {
    ScopedTask(tokio::task::spawn_local(async move { drop(future.await) }).abort_handle())
}
