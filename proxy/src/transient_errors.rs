//! What a failed system call means. The same errors come from `socket`, `accept`, `connect`, reads, writes and files, and what
//! is to be done depends on whose fault it is (errors as in `errno(3)` and the pages of the calls).

use nix::errno::Errno;
use std::io;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Pause before a call that failed for the moment is made again.
pub const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Whose fault a failure is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorClass {
    /// Nobody's: the same call may succeed at once.
    Temporary,
    /// The machine has no descriptor, buffer, port or memory left: it may once something is closed.
    ResourcesExhausted,
    /// The other side's, or the way's to it.
    Peer,
    /// It would fail again.
    Permanent,
}

impl ErrorClass {
    /// What this error means.
    pub fn of(error: &io::Error) -> ErrorClass {
        let Some(number) = error.raw_os_error() else { return ErrorClass::Permanent };
        match Errno::from_raw(number) {
            Errno::EINTR | Errno::EAGAIN | Errno::ECONNABORTED | Errno::EPROTO => ErrorClass::Temporary,
            Errno::ENETUNREACH | Errno::ENETDOWN => ErrorClass::Temporary,
            Errno::EIO | Errno::ENOSPC | Errno::EDQUOT | Errno::ESTALE => ErrorClass::Temporary,
            Errno::EADDRNOTAVAIL => ErrorClass::ResourcesExhausted,
            Errno::EMFILE | Errno::ENFILE | Errno::ENOBUFS | Errno::ENOMEM => ErrorClass::ResourcesExhausted,
            Errno::ECONNREFUSED | Errno::ECONNRESET | Errno::EPIPE => ErrorClass::Peer,
            Errno::ETIMEDOUT | Errno::EHOSTUNREACH | Errno::EHOSTDOWN => ErrorClass::Peer,
            _ => ErrorClass::Permanent,
        }
    }

    /// Whether the same call may succeed later, whatever the other side does.
    pub fn is_retryable(self) -> bool {
        matches!(self, ErrorClass::Temporary | ErrorClass::ResourcesExhausted)
    }
}

/// Makes a call until it succeeds or fails for good, for so long at the most; the last error is returned.
pub async fn retry_transient<T>(
    most: Duration,
    mut call: impl AsyncFnMut() -> io::Result<T>,
) -> io::Result<T> {
    let end = Instant::now() + most;
    loop {
        match call().await {
            Err(error) if ErrorClass::of(&error).is_retryable() && Instant::now() + RETRY_DELAY < end => {
                sleep(RETRY_DELAY).await;
            }
            ended => return ended,
        }
    }
}
