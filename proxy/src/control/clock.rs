//! The balancer's clock.

use balancer::Micros;
use std::time::{Duration, SystemTime};
use tokio::time::Instant;

/// Counts microseconds from the Unix time at the proxy's start, so that the start times in the
/// endpoint list can be compared with it. Changes of the system's clock do not affect it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    start: Instant,
    origin: Micros,
}

impl Clock {
    pub(super) fn new() -> Clock {
        let unix = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start: Instant::now(),
            origin: to_micros(unix),
        }
    }

    /// The present time.
    pub(super) fn now(&self) -> Micros {
        self.origin + to_micros(self.start.elapsed())
    }
}

/// A duration in the balancer's unit.
pub(super) fn to_micros(duration: Duration) -> Micros {
    duration.as_micros() as Micros
}

/// Time left until `instant`, in the balancer's unit; 0 once it has passed.
pub(super) fn micros_until(instant: Instant) -> Micros {
    to_micros(instant.saturating_duration_since(Instant::now()))
}
