//! When a client's connection was established and its input arrived, as the operating system knows
//! it. A connection waits to be accepted, and input to be read, for as long as all places are taken
//! or this process does not run.

use std::os::fd::AsFd;
use std::time::Duration;
use tcp_activity::{activity, RESOLUTION};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The times of a connection on which nothing has been sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct InputTimes {
    /// When the connection was established.
    pub(super) established_at: Instant,
    /// When the last input arrived; when the connection was established if none has.
    pub(super) last_input_at: Instant,
}

impl InputTimes {
    /// The times of a connection that was opened just now and has no input.
    pub(super) fn now() -> InputTimes {
        let now = Instant::now();
        InputTimes {
            established_at: now,
            last_input_at: now,
        }
    }

    /// The times of a connection that was accepted just now; the present where the system does not
    /// tell.
    pub(super) fn of_accepted(stream: &TcpStream) -> InputTimes {
        let Ok(activity) = activity(stream.as_fd()) else {
            return InputTimes::now();
        };
        InputTimes {
            established_at: before_now(activity.since_last_send),
            last_input_at: before_now(activity.since_last_receive),
        }
    }
}

/// When the last input of a stream arrived; `None` where the system does not tell.
pub(super) fn last_input_at(stream: &TcpStream) -> Option<Instant> {
    let activity = activity(stream.as_fd()).ok()?;
    Some(before_now(activity.since_last_receive))
}

/// The instant before which this time has passed, or the present if the time is within the
/// resolution.
fn before_now(passed: Duration) -> Instant {
    let now = Instant::now();
    if passed <= RESOLUTION {
        return now;
    }
    now.checked_sub(passed).unwrap_or(now)
}
