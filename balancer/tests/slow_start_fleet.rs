//! Tests that all balancers together don't overload an endpoint during slow start, with a model in
//! virtual time that is reproducible by its seed.

mod common;
#[path = "models/slow_start_fleet/mod.rs"]
mod model;

use common::SECOND;
use model::*;

/// Runs a scenario with few and with many balancers, and asserts that no new endpoint is overloaded
/// in any window, and that new endpoints are used.
fn assert_safe_slow_start(scenario: Scenario) {
    for (balancer_count, max_warm_count, seeds) in [
        (1, 9, 1..=1),
        (6, 9, 1..=2),
        (30, 9, 1..=2),
        (300, 29, 1..=1),
    ] {
        let warm_count = scenario.warm_count.min(max_warm_count);
        for seed in seeds {
            let (peak_load, utilization) = Fleet::new(
                Scenario {
                    balancer_count,
                    warm_count,
                    ..scenario
                },
                seed,
            )
            .run()
            .peak_load_and_utilization();
            println!(
                "{balancer_count} balancers, seed {seed}: \
                 peak load {peak_load:.2} of the load that overloads a new endpoint, \
                 {utilization:.2} of the new endpoints' capacity used"
            );
            assert!(
                peak_load <= 1.0,
                "{balancer_count} balancers, seed {seed}: \
                 {peak_load:.2} of the load that overloads a new endpoint"
            );
            assert!(
                utilization >= 0.2,
                "{balancer_count} balancers, seed {seed}: \
                 only {utilization:.2} of the new endpoints' capacity used"
            );
        }
    }
}

#[test]
fn a_new_endpoint_that_joins_during_a_burst_is_not_overloaded_by_all_balancers_together() {
    assert_safe_slow_start(BURST);
}

#[test]
fn a_new_endpoint_that_is_first_in_a_full_list_is_not_overloaded() {
    assert_safe_slow_start(Scenario {
        notified_by_full_list: true,
        ..BURST
    });
}

#[test]
fn a_new_endpoint_that_all_balancers_are_notified_of_at_the_same_time_is_not_overloaded() {
    assert_safe_slow_start(Scenario {
        notified_by_full_list: true,
        notification_spread: 1,
        burst_factor: 2.0,
        ..BURST
    });
}

#[test]
fn a_new_endpoint_that_balancers_are_notified_of_over_two_seconds_is_not_overloaded() {
    assert_safe_slow_start(Scenario {
        notification_spread: 2 * SECOND,
        ..BURST
    });
}

#[test]
fn an_endpoint_that_returns_with_its_previous_id_is_not_overloaded() {
    assert_safe_slow_start(Scenario {
        reuses_ids: true,
        ..BURST
    });
    assert_safe_slow_start(Scenario {
        reuses_ids: true,
        notified_by_full_list: true,
        ..BURST
    });
}

#[test]
fn balancers_with_uneven_traffic_overload_no_new_endpoint() {
    assert_safe_slow_start(Scenario {
        is_load_uneven: true,
        ..BURST
    });
}

#[test]
fn balancers_killed_during_slow_start_overload_no_new_endpoint() {
    assert_safe_slow_start(Scenario {
        restart: Restart::Killed,
        ..BURST
    });
}

#[test]
fn overlapping_processes_of_upgraded_balancers_overload_no_new_endpoint() {
    assert_safe_slow_start(Scenario {
        restart: Restart::Upgraded,
        ..BURST
    });
}

#[test]
fn several_new_endpoints_among_few_warm_ones_are_not_overloaded() {
    assert_safe_slow_start(Scenario {
        new_count: 6,
        warm_count: 3,
        utilization: 0.9,
        ..BURST
    });
}

#[test]
fn a_new_endpoint_with_a_long_queue_is_not_overloaded() {
    assert_safe_slow_start(Scenario {
        max_queued: 40,
        ..BURST
    });
}

#[test]
fn killed_balancers_with_uneven_traffic_do_not_overload_a_returning_endpoint() {
    assert_safe_slow_start(Scenario {
        reuses_ids: true,
        notified_by_full_list: true,
        is_load_uneven: true,
        restart: Restart::Killed,
        ..BURST
    });
}

/// Under a shared limit a balancer's subset is small, and grows when its requests arrive faster. If
/// balancers collected credit for a new endpoint outside their subsets, or credit based on the few
/// endpoints inside, they would all use it on that endpoint at the same time.
#[test]
fn balancers_whose_subsets_grow_in_a_burst_overload_no_slow_new_endpoint() {
    for (seed, warm_endpoint_weight, max_queued) in [
        (1, 1.0, 40),
        (2, 1.0, 40),
        (1, 1.0, 3),
        (2, 1.0, 3),
        (1, 0.3, 40),
        (1, 0.3, 3),
    ] {
        let many_endpoints = Scenario {
            balancer_count: 100,
            warm_count: 54,
            new_count: 6,
            reuses_ids: true,
            warm_endpoint_weight,
            max_queued,
            ..BURST
        };
        let slow_endpoints = Scenario {
            new_endpoint_speed: 0.7,
            end_at: NEW_ENDPOINTS_START + 4 * SECOND,
            ..many_endpoints
        };
        let (peak_load, utilization) = Fleet::new(slow_endpoints, seed)
            .run()
            .peak_load_and_utilization();
        println!(
            "weight {warm_endpoint_weight}, queue of {max_queued}, seed {seed}: \
             peak load {peak_load:.2} of the load that overloads a new endpoint, \
             {utilization:.2} of the new endpoints' capacity used"
        );
        assert!(
            peak_load <= 1.0,
            "weight {warm_endpoint_weight}, queue of {max_queued}, seed {seed}: \
             {peak_load:.2} of the load that overloads a new endpoint"
        );
        assert!(
            utilization >= 0.3,
            "weight {warm_endpoint_weight}, queue of {max_queued}, seed {seed}: \
             only {utilization:.2} of the new endpoints' capacity used"
        );
    }
}
