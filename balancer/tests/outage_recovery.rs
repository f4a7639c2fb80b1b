//! A fleet in virtual time, fixed by its seed: many balancers before servers that queue, refuse when they are full and
//! slow down for long when they were crowded for some seconds. A zone is lost and comes back cold while another is cut
//! off; clients come again when they were refused. What is counted is who was answered in time.

#[path = "models/outage.rs"]
mod model;

use model::Fleet;

/// Held down by calls that come too late at servers that are slow because they are crowded, a fleet stays down long
/// after the servers are back.
#[test]
fn a_fleet_recovers_soon_after_a_lost_zone_returns() {
    let fleets: Vec<Fleet> = (1..=3).map(|seed| Fleet::new(seed, 100, 60, 0.85).run()).collect();
    let mean = |from, to| fleets.iter().map(|fleet| fleet.in_time(from, to)).sum::<f64>() / 3.0;
    let (before, apart, soon, later) = (mean(0, 4), mean(5, 11), mean(12, 16), mean(16, 22));
    let opened: u32 = fleets.iter().flat_map(|fleet| &fleet.seconds).map(|second| second[2]).sum();
    println!("in time {before:.3}, apart {apart:.3}, back {soon:.3}, later {later:.3}; {opened} connections");
    assert!(before >= 0.85, "no trouble yet: {before:.3}");
    assert!(soon >= 0.68, "within 5 s of the return: {soon:.3}");
    assert!(later >= 0.8, "later: {later:.3}");
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let seconds = || Fleet::new(1, 30, 20, 0.85).run().seconds;
    assert_eq!(seconds(), seconds());
}
