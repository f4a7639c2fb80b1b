//! Estimates for how long a connection to an endpoint can be idle and still be reused. The settings
//! contain the endpoints' own idle timeout, but a middlebox may drop idle connections much earlier,
//! which the proxy notices only when it writes the next request.

use std::time::Duration;

#[cfg(test)]
mod tests;

/// Number of buckets of idle times: below 1 ms, then a bucket per doubling. The last bucket also
/// holds all longer times.
const BUCKET_COUNT: usize = 16;
/// Fraction of broken connections above which connections of a bucket are not reused, because
/// opening a new connection costs less.
const MAX_BROKEN_FRACTION: f64 = 0.3;
/// Minimum count of broken connections in a bucket for the fraction to be considered, because a few
/// may break by chance after any idle time.
const MIN_BROKEN_COUNT: f64 = 5.0;
/// Factor applied to each count every second. The connections of a bucket are reused again when its
/// count of broken ones has decayed below [`MIN_BROKEN_COUNT`], which takes about 34 s for each
/// factor of 2 above it.
const DECAY_PER_SECOND: f64 = 0.98;

/// Exponentially decaying counts of the reused connections of a bucket.
#[derive(Clone, Copy, Debug, Default)]
struct ReuseCounts {
    total: f64,
    broken: f64,
}

/// Estimates the idle time after which connections break, from the reuses at all endpoints.
#[derive(Debug, Default)]
pub(crate) struct IdleTimeoutEstimate([ReuseCounts; BUCKET_COUNT]);

fn bucket_index(idle: Duration) -> usize {
    let doublings = (idle.as_millis() as u64)
        .checked_ilog2()
        .map_or(0, |exponent| exponent as usize + 1);
    doublings.min(BUCKET_COUNT - 1)
}

impl IdleTimeoutEstimate {
    /// Records the reuse of a connection that had been idle for `idle`, and whether it was broken.
    pub(crate) fn record_reuse(&mut self, idle: Duration, is_broken: bool) {
        let counts = &mut self.0[bucket_index(idle)];
        counts.total += 1.0;
        if is_broken {
            counts.broken += 1.0;
        }
    }

    /// Decays the counts; to be called once a second.
    pub(crate) fn decay(&mut self) {
        for counts in &mut self.0 {
            counts.total *= DECAY_PER_SECOND;
            counts.broken *= DECAY_PER_SECOND;
        }
    }

    /// The idle time from which too many connections are broken; `None` if there is no such time.
    pub(crate) fn max_idle_time(&self) -> Option<Duration> {
        let breaks_often = |counts: &ReuseCounts| {
            counts.broken >= MIN_BROKEN_COUNT && counts.broken > counts.total * MAX_BROKEN_FRACTION
        };
        let first_breaking_bucket = self.0.iter().position(breaks_often)?;
        Some(
            first_breaking_bucket
                .checked_sub(1)
                .map_or(Duration::ZERO, |exponent| {
                    Duration::from_millis(1 << exponent)
                }),
        )
    }
}
