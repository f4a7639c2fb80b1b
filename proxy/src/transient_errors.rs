//! What a failed system call means. The same errors come from `socket`, `accept`, `connect`, reads, writes and files, and what
//! is to be done depends on whose fault it is (errors as in `errno(3)` and the pages of the calls).

use nix::errno::Errno;
use std::io;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Pause before a call that failed for the moment is made again.
pub const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Whose fault a failure is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorClass {
    /// Nobody's: the same call may succeed at once.
    Momentary,
    /// The machine has no descriptor, buffer, port or memory left: it may once something is closed.
    NoRoom,
    /// The other side's, or the way's to it.
    Peer,
    /// It would fail again.
    Lasting,
}

impl ErrorClass {
    /// What this error means.
    pub fn of(error: &io::Error) -> ErrorClass {
        let Some(number) = error.raw_os_error() else { return ErrorClass::Lasting };
        match Errno::from_raw(number) {
            Errno::EINTR | Errno::EAGAIN | Errno::ECONNABORTED | Errno::EPROTO => ErrorClass::Momentary,
            Errno::ENETUNREACH | Errno::ENETDOWN => ErrorClass::Momentary,
            Errno::EIO | Errno::ENOSPC | Errno::EDQUOT | Errno::ESTALE => ErrorClass::Momentary,
            Errno::EADDRNOTAVAIL => ErrorClass::NoRoom,
            Errno::EMFILE | Errno::ENFILE | Errno::ENOBUFS | Errno::ENOMEM => ErrorClass::NoRoom,
            Errno::ECONNREFUSED | Errno::ECONNRESET | Errno::EPIPE => ErrorClass::Peer,
            Errno::ETIMEDOUT | Errno::EHOSTUNREACH | Errno::EHOSTDOWN => ErrorClass::Peer,
            _ => ErrorClass::Lasting,
        }
    }

    /// Whether the same call may succeed later, whatever the other side does.
    pub fn passes(self) -> bool {
        matches!(self, ErrorClass::Momentary | ErrorClass::NoRoom)
    }
}

/// Makes a call until it succeeds or fails for good, for so long at the most; the last error is returned.
pub async fn retried<T>(most: Duration, mut call: impl AsyncFnMut() -> io::Result<T>) -> io::Result<T> {
    let end = Instant::now() + most;
    loop {
        match call().await {
            Err(error) if ErrorClass::of(&error).passes() && Instant::now() + RETRY_PAUSE < end => {
                sleep(RETRY_PAUSE).await;
            }
            ended => return ended,
        }
    }
}
