//! How long a connection to an endpoint may be idle and still be reused. The settings give the
//! endpoints' own idle timeout; a middlebox may drop connections far sooner, which shows only when
//! the next request is written.

use std::time::Duration;

#[cfg(test)]
mod tests;

/// Idle times are grouped by doublings of a millisecond; the last group takes all that are longer.
const GROUP_COUNT: usize = 16;
/// Fraction of broken connections above which a group's connections are not reused: opening one
/// costs less.
const MAX_BROKEN_FRACTION: f64 = 0.3;
/// Broken connections that must have been seen before that counts: a few may break by chance after
/// any time.
const MIN_BROKEN_COUNT: f64 = 5.0;
/// What remains of each count after a second: after about a minute a group that was not reused is
/// tried again.
const DECAY_PER_SECOND: f64 = 0.98;

/// How many connections of a group were reused, with older ones counting less.
#[derive(Clone, Copy, Debug, Default)]
struct ReuseCounts {
    all: f64,
    broken: f64,
}

/// An estimate, over all endpoints, of the idle time after which connections break.
#[derive(Debug, Default)]
pub(crate) struct IdleTimeoutEstimate([ReuseCounts; GROUP_COUNT]);

fn group_of(idle: Duration) -> usize {
    let doublings = (idle.as_millis() as u64)
        .checked_ilog2()
        .map_or(0, |log| log as usize + 1);
    doublings.min(GROUP_COUNT - 1)
}

impl IdleTimeoutEstimate {
    /// Records that a connection was reused after it had been idle for this long, and whether it
    /// broke at once.
    pub(crate) fn record_reuse(&mut self, idle: Duration, is_broken: bool) {
        let counts = &mut self.0[group_of(idle)];
        counts.all += 1.0;
        if is_broken {
            counts.broken += 1.0;
        }
    }

    /// Ages the counts by a second.
    pub(crate) fn decay(&mut self) {
        for counts in &mut self.0 {
            counts.all *= DECAY_PER_SECOND;
            counts.broken *= DECAY_PER_SECOND;
        }
    }

    /// The idle time from which on too many connections break; `None` if there is none.
    pub(crate) fn limit(&self) -> Option<Duration> {
        let is_bad = |counts: &ReuseCounts| {
            counts.broken >= MIN_BROKEN_COUNT && counts.broken > counts.all * MAX_BROKEN_FRACTION
        };
        let first_bad = self.0.iter().position(is_bad)?;
        Some(
            first_bad
                .checked_sub(1)
                .map_or(Duration::ZERO, |log| Duration::from_millis(1 << log)),
        )
    }
}
