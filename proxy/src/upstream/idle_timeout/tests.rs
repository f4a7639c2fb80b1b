//! Tests of the idle timeout estimate.

use super::*;

#[test]
fn idle_times_with_many_broken_connections_are_over_the_limit_until_the_counts_decay() {
    let mut estimate = IdleTimeoutEstimate::default();
    for _ in 0..10 {
        estimate.record_reuse(Duration::from_millis(20), false);
        estimate.record_reuse(Duration::from_millis(150), false);
        estimate.record_reuse(Duration::from_millis(150), true);
    }
    assert_eq!(estimate.max_idle_time(), Some(Duration::from_millis(128)));
    for _ in 0..100 {
        estimate.decay();
    }
    assert_eq!(estimate.max_idle_time(), None);
}

#[test]
fn connections_that_break_rarely_whatever_their_idle_time_set_no_limit() {
    let mut estimate = IdleTimeoutEstimate::default();
    estimate.record_reuse(Duration::from_millis(0), true);
    for ms in [0, 5, 50, 500, 5_000] {
        for n in 0..100 {
            estimate.record_reuse(Duration::from_millis(ms), n % 10 == 0);
        }
    }
    assert_eq!(estimate.max_idle_time(), None);
}
