//! Counts of durations by size.

use std::fmt;
use std::time::Duration;

/// Upper bounds of the buckets in milliseconds. Longer durations are counted apart.
const BUCKET_BOUNDS_MS: [u64; 6] = [10, 30, 100, 300, 1_000, 3_000];

/// Counts of durations by size.
#[derive(Clone, Copy, Debug, Default)]
pub struct DurationHistogram {
    counts: [u64; BUCKET_BOUNDS_MS.len()],
    longer: u64,
}

impl DurationHistogram {
    /// Counts a duration.
    pub fn record(&mut self, duration: Duration) {
        let bound = |&bound: &u64| duration <= Duration::from_millis(bound);
        match BUCKET_BOUNDS_MS.iter().position(bound) {
            Some(bucket) => self.counts[bucket] += 1,
            None => self.longer += 1,
        }
    }
}

/// Formats the buckets that are not empty, with their upper bounds in milliseconds.
impl fmt::Display for DurationHistogram {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut map = formatter.debug_map();
        let buckets = BUCKET_BOUNDS_MS.iter().zip(&self.counts);
        map.entries(buckets.filter(|(_, count)| **count > 0));
        if self.longer > 0 {
            map.entry(&format_args!("longer"), &self.longer);
        }
        map.finish()
    }
}
