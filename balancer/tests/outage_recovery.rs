//! Tests of the recovery from outages with a model of many balancers and endpoints in virtual time,
//! reproducible by its seed. Endpoints queue requests and reject them when they are full. After an
//! overload of 1.7 s some endpoints are three times slower, until their load has been low for 4 s.
//! One zone is lost and its endpoints return with a slow start, while another zone is partitioned;
//! clients retry requests that were not served. The tests measure the fraction of requests that are
//! served within their objective.

#[path = "models/outage/mod.rs"]
mod model;

use model::{Fleet, CONNECTIONS_OPENED};

/// Overloaded endpoints are slow, so that their requests time out and are retried, which keeps the
/// endpoints overloaded. A fleet in this state could fail requests long after the lost endpoints
/// have returned.
#[test]
fn most_requests_are_served_in_time_again_within_seconds_of_the_return_of_a_lost_zone() {
    let fleets: Vec<Fleet> = (1..=3)
        .map(|seed| Fleet::new(seed, 100, 60, 0.85).run())
        .collect();
    let mean = |from, to| {
        fleets
            .iter()
            .map(|fleet| fleet.fraction_in_time(from, to))
            .sum::<f64>()
            / 3.0
    };
    let (before, during, soon_after, long_after) =
        (mean(0, 4), mean(5, 11), mean(12, 16), mean(16, 22));
    let opened_connections: u32 = fleets
        .iter()
        .flat_map(|fleet| &fleet.counts_per_second)
        .map(|counts| counts[CONNECTIONS_OPENED])
        .sum();
    println!(
        "served in time: before the faults {before:.3}, during them {during:.3}, \
         within 5 s of the return {soon_after:.3}, later {long_after:.3}"
    );
    println!("{opened_connections} connections opened");
    assert!(
        before >= 0.85,
        "served in time before the faults: {before:.3}"
    );
    assert!(
        soon_after >= 0.68,
        "served in time within 5 s of the zone's return: {soon_after:.3}"
    );
    assert!(
        long_after >= 0.8,
        "served in time more than 5 s after the zone's return: {long_after:.3}"
    );
}

#[test]
fn the_same_seed_reproduces_the_same_run() {
    let counts = || Fleet::new(1, 30, 20, 0.85).run().counts_per_second;
    assert_eq!(counts(), counts());
}
