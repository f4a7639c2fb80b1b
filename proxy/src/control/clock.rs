//! The balancer's clock.

use balancer::Micros;
use std::time::{Duration, SystemTime};
use tokio::time::Instant;

/// Counts microseconds since the Unix epoch, so that its times are comparable with the endpoints'
/// start times in the endpoint list. The system's clock is read only when the proxy starts; later
/// changes to it have no effect.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    start: Instant,
    unix_time_at_start: Micros,
}

impl Clock {
    pub(super) fn new() -> Clock {
        let unix = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start: Instant::now(),
            unix_time_at_start: to_micros(unix),
        }
    }

    /// The current time.
    pub(super) fn now(&self) -> Micros {
        self.unix_time_at_start + to_micros(self.start.elapsed())
    }
}

/// Converts a duration to the balancer's unit.
pub(super) fn to_micros(duration: Duration) -> Micros {
    duration.as_micros() as Micros
}

/// Time left until `instant`, in the balancer's unit; 0 once it has passed.
pub(super) fn micros_until(instant: Instant) -> Micros {
    to_micros(instant.saturating_duration_since(Instant::now()))
}
