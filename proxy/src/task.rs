//! Tasks that are aborted when their owner is dropped.

use std::future::Future;
use tokio::task::AbortHandle;

/// A task on the current thread. Dropping this handle aborts it.
#[derive(Debug)]
pub(crate) struct ScopedTask(AbortHandle);

impl Drop for ScopedTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Runs a future on the current thread until it completes or the returned handle is dropped.
pub(crate) fn spawn(future: impl Future + 'static) -> ScopedTask {
    ScopedTask(tokio::task::spawn_local(async move { drop(future.await) }).abort_handle())
}
