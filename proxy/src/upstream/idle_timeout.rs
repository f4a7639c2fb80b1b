//! How long a connection to a host may stand idle and still be used. The settings tell when hosts close theirs at the
//! latest; something on the way may drop them far sooner, and says so only when the next request is written.

use std::time::Duration;

/// Spans of idle time are told apart by doublings of a millisecond; the last holds all that is longer.
const SPANS: usize = 16;
/// Share of broken ones beyond which connections that stood for so long are not used: a new one costs less.
const BROKEN_MOST: f64 = 0.3;
/// Broken ones that must be known of before it counts: some break after any time, and a few may be chance.
const BROKEN_LEAST: f64 = 5.0;
/// What a second leaves of what is known: after about a minute a span that was given up is tried again.
const MEMORY: f64 = 0.98;

/// What became of connections that were used again.
#[derive(Clone, Copy, Debug, Default)]
struct Used {
    all: f64,
    broken: f64,
}

/// What use shows of idle times, over all hosts.
#[derive(Debug, Default)]
pub struct IdleTimeoutEstimate([Used; SPANS]);

fn span(idle: Duration) -> usize {
    let doublings = (idle.as_millis() as u64).checked_ilog2().map_or(0, |log| log as usize + 1);
    doublings.min(SPANS - 1)
}

impl IdleTimeoutEstimate {
    /// Notes that a connection was used after it had been idle for this long, and whether it broke at once.
    pub fn record_reuse(&mut self, idle: Duration, broken: bool) {
        let used = &mut self.0[span(idle)];
        used.all += 1.0;
        used.broken += f64::from(u8::from(broken));
    }

    /// Another second has passed.
    pub fn decay(&mut self) {
        for used in &mut self.0 {
            (used.all, used.broken) = (used.all * MEMORY, used.broken * MEMORY);
        }
    }

    /// From which idle time on too many break; `None`: none is known.
    pub fn limit(&self) -> Option<Duration> {
        let bad = |used: &Used| used.broken >= BROKEN_LEAST && used.broken > used.all * BROKEN_MOST;
        let first = self.0.iter().position(bad)?;
        Some(first.checked_sub(1).map_or(Duration::ZERO, |log| Duration::from_millis(1 << log)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: fn(u64) -> Duration = Duration::from_millis;

    #[test]
    fn idle_times_after_which_many_break_are_given_up_until_that_is_forgotten() {
        let mut idle = IdleTimeoutEstimate::default();
        for _ in 0..10 {
            idle.record_reuse(MS(20), false);
            idle.record_reuse(MS(150), false);
            idle.record_reuse(MS(150), true);
        }
        assert_eq!(idle.limit(), Some(MS(128)));
        (0..100).for_each(|_| idle.decay());
        assert_eq!(idle.limit(), None);
    }

    #[test]
    fn a_few_that_break_at_any_time_give_nothing_up() {
        let mut idle = IdleTimeoutEstimate::default();
        idle.record_reuse(MS(0), true);
        for ms in [0, 5, 50, 500, 5_000] {
            (0..100).for_each(|n| idle.record_reuse(MS(ms), n % 10 == 0));
        }
        assert_eq!(idle.limit(), None);
    }
}
