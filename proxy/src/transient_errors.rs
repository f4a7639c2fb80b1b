//! What a failed system call means. The same errors come from `socket`, `accept`, `connect`, reads,
//! writes and files, and what is to be done depends on whose fault it is (errors as in `errno(3)`
//! and the manual pages of the calls).

use nix::errno::Errno;
use std::io;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Delay before a call that failed temporarily is retried.
pub const RETRY_DELAY: Duration = Duration::from_millis(10);

/// The cause of a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorClass {
    /// Nobody's fault: the same call may succeed at once.
    Temporary,
    /// The machine has no descriptor, buffer, port or memory left: it may have once something is
    /// closed.
    ResourcesExhausted,
    /// The peer's fault, or that of the network path to it.
    Peer,
    /// The same call would fail again.
    Permanent,
}

impl ErrorClass {
    /// The class of this error.
    pub fn of(error: &io::Error) -> ErrorClass {
        let Some(errno) = error.raw_os_error() else {
            return ErrorClass::Permanent;
        };
        match Errno::from_raw(errno) {
            Errno::EINTR | Errno::EAGAIN | Errno::ECONNABORTED | Errno::EPROTO => {
                ErrorClass::Temporary
            }
            Errno::ENETUNREACH | Errno::ENETDOWN => ErrorClass::Temporary,
            Errno::EIO | Errno::ENOSPC | Errno::EDQUOT | Errno::ESTALE => ErrorClass::Temporary,
            Errno::EADDRNOTAVAIL => ErrorClass::ResourcesExhausted,
            Errno::EMFILE | Errno::ENFILE | Errno::ENOBUFS | Errno::ENOMEM => {
                ErrorClass::ResourcesExhausted
            }
            Errno::ECONNREFUSED | Errno::ECONNRESET | Errno::EPIPE => ErrorClass::Peer,
            Errno::ETIMEDOUT | Errno::EHOSTUNREACH | Errno::EHOSTDOWN => ErrorClass::Peer,
            _ => ErrorClass::Permanent,
        }
    }

    /// Whether the same call may succeed later, whatever the peer does.
    pub fn is_retryable(self) -> bool {
        matches!(self, ErrorClass::Temporary | ErrorClass::ResourcesExhausted)
    }
}

/// Retries a call that fails with a retryable error until it succeeds, fails otherwise, or `limit`
/// has passed since the first call; then the last error is returned.
pub async fn retry_transient<T>(
    limit: Duration,
    mut call: impl AsyncFnMut() -> io::Result<T>,
) -> io::Result<T> {
    let end = Instant::now() + limit;
    loop {
        match call().await {
            Err(error)
                if ErrorClass::of(&error).is_retryable() && Instant::now() + RETRY_DELAY < end =>
            {
                sleep(RETRY_DELAY).await;
            }
            result => return result,
        }
    }
}
