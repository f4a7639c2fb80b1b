//! Tests of the idle timeout estimate.

use super::*;

const MS: fn(u64) -> Duration = Duration::from_millis;

#[test]
fn idle_times_after_which_many_connections_break_are_not_reused_until_the_counts_decay() {
    let mut estimate = IdleTimeoutEstimate::default();
    for _ in 0..10 {
        estimate.record_reuse(MS(20), false);
        estimate.record_reuse(MS(150), false);
        estimate.record_reuse(MS(150), true);
    }
    assert_eq!(estimate.limit(), Some(MS(128)));
    for _ in 0..100 {
        estimate.decay();
    }
    assert_eq!(estimate.limit(), None);
}

#[test]
fn a_few_connections_that_break_after_any_idle_time_set_no_limit() {
    let mut estimate = IdleTimeoutEstimate::default();
    estimate.record_reuse(MS(0), true);
    for ms in [0, 5, 50, 500, 5_000] {
        for n in 0..100 {
            estimate.record_reuse(MS(ms), n % 10 == 0);
        }
    }
    assert_eq!(estimate.limit(), None);
}
