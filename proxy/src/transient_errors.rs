//! Classifies failed system calls by their cause, which decides whether a call is retried, and
//! retries those that fail transiently. One classification serves `socket`, `accept`, `connect`,
//! reads, writes and file operations (see `errno(3)` and the manual pages of the calls).

use nix::errno::Errno;
use std::io;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Delay before a call that failed with a retryable error is retried.
pub const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Cause of a failed system call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorClass {
    /// A temporary condition: the same call may succeed if repeated, at once or later.
    Temporary,
    /// The machine has no descriptor, buffer, port or memory left. The call may succeed once
    /// something is closed.
    ResourcesExhausted,
    /// The peer, or the network path to it, caused the failure.
    Peer,
    /// Repeating the call would fail again.
    Permanent,
}

impl ErrorClass {
    /// Classifies an error. Errors without an `errno` are permanent.
    pub fn of(error: &io::Error) -> ErrorClass {
        let Some(errno) = error.raw_os_error() else {
            return ErrorClass::Permanent;
        };
        match Errno::from_raw(errno) {
            Errno::EINTR | Errno::EAGAIN | Errno::ECONNABORTED | Errno::EPROTO => {
                ErrorClass::Temporary
            }
            // `accept` returns network errors of the new connection, and may be repeated
            // (accept(2)).
            Errno::ENETUNREACH | Errno::ENETDOWN => ErrorClass::Temporary,
            // File operations: the disk or the file server may recover.
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

    /// Whether the same call may succeed later without any action by the peer.
    pub fn is_retryable(self) -> bool {
        matches!(self, ErrorClass::Temporary | ErrorClass::ResourcesExhausted)
    }
}

/// Calls `call` until it succeeds, fails with an error that is not retryable, or the next retry
/// would not start within `retry_limit` of the first call. Returns the last result.
pub async fn retry_transient<T>(
    retry_limit: Duration,
    mut call: impl AsyncFnMut() -> io::Result<T>,
) -> io::Result<T> {
    let end = Instant::now() + retry_limit;
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
