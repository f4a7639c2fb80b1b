//! Tests of the time until the endpoint list is polled again. A balancer counts as notified of a
//! change 6 s after discovery has received it and is reachable, so the balancer must have polled
//! the list by then, however earlier polls failed. The tests with 300 balancers use a model of
//! discovery with a fixed capacity: polls are queued, and one that has waited for longer than
//! `QUEUE_TIMEOUT` is rejected, which may cost as much of the capacity as a response.

mod common;
#[path = "models/discovery.rs"]
mod model;

use balancer::*;
use common::*;
use model::*;

/// Runs one balancer whose watch is lost at `watch_lost_at` or, if that is `None`, which starts
/// with a cached list. Poll number `i` fails after `failure_times[i]`. Returns when each poll
/// started, including the one after the last failure.
fn poll_start_times(
    balancer: &mut Balancer,
    watch_lost_at: Option<Micros>,
    failure_times: &[Micros],
) -> Vec<Micros> {
    let entries: Vec<_> = (1..=60).map(ready).collect();
    let list_event = |kind, entries| Event::EndpointList { kind, entries };
    let mut actions = Vec::new();
    balancer.handle(0, Event::Start, &mut actions);
    let mut started_at = Vec::new();
    let mut now = match watch_lost_at {
        Some(watch_lost_at) => {
            balancer.handle(0, list_event(ListUpdate::Full, entries), &mut actions);
            balancer.handle(
                watch_lost_at,
                list_event(ListUpdate::WatchLost, Vec::new()),
                &mut actions,
            );
            watch_lost_at
        }
        None => {
            balancer.handle(0, list_event(ListUpdate::Cached, entries), &mut actions);
            started_at.push(0);
            balancer.handle(
                failure_times[0],
                list_event(ListUpdate::PollFailed, Vec::new()),
                &mut actions,
            );
            failure_times[0]
        }
    };
    loop {
        now = next_poll(balancer, now, &mut actions);
        started_at.push(now);
        let Some(failure_time) = failure_times.get(started_at.len() - 1) else {
            return started_at;
        };
        now += failure_time;
        balancer.handle(
            now,
            list_event(ListUpdate::PollFailed, Vec::new()),
            &mut actions,
        );
    }
}

/// A poll is rejected immediately, rejected after it was queued for too long, or times out without
/// a response.
const FAILURE_TIMES: [Micros; 3] = [0, QUEUE_TIMEOUT, RESPONSE_TIMEOUT];

/// Discovery may become reachable at any time, and polls that start later succeed. A poll that is
/// in flight when discovery becomes reachable may still take `RESPONSE_TIMEOUT` to fail. So
/// `RESPONSE_TIMEOUT`, the delay until the next poll and `RESPONSE_TIME_ALLOWANCE` together must
/// not exceed `NOTIFICATION_DEADLINE`.
#[test]
fn after_any_sequence_of_failed_polls_the_next_poll_starts_in_time() {
    for (balancer_count, balancer_index) in [
        (5, 0),
        (5, 3),
        (MANY_BALANCERS, 0),
        (MANY_BALANCERS, 7),
        (MANY_BALANCERS, 299),
    ] {
        for sequence_index in 0..3_usize.pow(5) {
            let failure_times: Vec<_> = (0..5)
                .map(|position| FAILURE_TIMES[sequence_index / 3_usize.pow(position) % 3])
                .collect();
            for watch_lost_at in [None, Some(0), Some(RESPONSE_TIMEOUT)] {
                let started_at = poll_start_times(
                    &mut polling_balancer(balancer_count, balancer_index),
                    watch_lost_at,
                    &failure_times,
                );
                for (poll, failure_time) in failure_times.iter().enumerate() {
                    let delay = started_at[poll + 1] - (started_at[poll] + failure_time);
                    let sum = RESPONSE_TIMEOUT + delay + RESPONSE_TIME_ALLOWANCE;
                    assert!(
                        sum <= NOTIFICATION_DEADLINE,
                        "{balancer_count} balancers: the timeout, the delay after poll {poll} and \
                         the response time are {sum} us, allowed {NOTIFICATION_DEADLINE}; \
                         failure times {failure_times:?}, watch lost at {watch_lost_at:?}"
                    );
                }
            }
        }
    }
}

/// A watch has been silent since time 0. After one poll that times out, one that is rejected after
/// it was queued, or any number that are rejected immediately, another poll must start early enough
/// for its response to arrive by the notification deadline. The deadline is shorter after a new
/// configuration.
#[test]
fn changes_since_a_watch_was_lost_are_polled_before_the_notification_deadline() {
    let failure_sequences: [&[Micros]; 4] = [&[], &[QUEUE_TIMEOUT], &[RESPONSE_TIMEOUT], &[0; 40]];
    for (balancer_count, balancer_index) in
        (0..40).flat_map(|balancer_index| [(5, balancer_index), (MANY_BALANCERS, balancer_index)])
    {
        for (watch_lost_at, deadline) in [
            (RESPONSE_TIMEOUT, NOTIFICATION_DEADLINE),
            (0, NOTIFICATION_DEADLINE_AFTER_RECONFIGURATION),
        ] {
            for failure_times in failure_sequences {
                let started_at = poll_start_times(
                    &mut polling_balancer(balancer_count, balancer_index),
                    Some(watch_lost_at),
                    failure_times,
                );
                let last = started_at
                    .iter()
                    .rfind(|started_at| **started_at + RESPONSE_TIME_ALLOWANCE <= deadline)
                    .expect("no poll starts early enough for its response to meet the deadline");
                // With polls that are rejected immediately, the last one before the deadline starts
                // as late as possible.
                assert!(
                    failure_times.len() < 40 || *last >= watch_lost_at + 2_750 * MS,
                    "{balancer_count} balancers: {started_at:?}"
                );
                assert!(
                    failure_times.len() > 1 || started_at.last() == Some(last),
                    "{balancer_count} balancers, {failure_times:?}: {started_at:?}"
                );
            }
        }
    }
}

/// Two watches in a row break right after they were opened, and then one poll may fail in any way.
/// The list was current until the second watch broke; later changes must be polled early enough for
/// the response to arrive by the notification deadline.
#[test]
fn changes_since_two_flapping_watches_are_polled_before_the_notification_deadline() {
    for (balancer_count, balancer_index) in
        (0..40).flat_map(|balancer_index| [(5, balancer_index), (MANY_BALANCERS, balancer_index)])
    {
        for failure_time in [None, Some(0), Some(QUEUE_TIMEOUT), Some(RESPONSE_TIMEOUT)] {
            let mut balancer = polling_balancer(balancer_count, balancer_index);
            let list_event = |kind, entries| Event::EndpointList { kind, entries };
            let (mut actions, mut now) = (Vec::new(), 0);
            balancer.handle(now, Event::Start, &mut actions);
            balancer.handle(
                now,
                list_event(ListUpdate::Full, vec![ready(1)]),
                &mut actions,
            );
            balancer.handle(
                now,
                list_event(ListUpdate::WatchLost, Vec::new()),
                &mut actions,
            );
            now = next_poll(&mut balancer, now, &mut actions);
            balancer.handle(
                now,
                list_event(ListUpdate::Full, vec![ready(1)]),
                &mut actions,
            );
            let broken_at = now + 900 * MS;
            balancer.handle(
                broken_at,
                list_event(ListUpdate::WatchFlapping, Vec::new()),
                &mut actions,
            );
            now = next_poll(&mut balancer, broken_at, &mut actions);
            if let Some(failure_time) = failure_time {
                now += failure_time;
                balancer.handle(
                    now,
                    list_event(ListUpdate::PollFailed, Vec::new()),
                    &mut actions,
                );
                now = next_poll(&mut balancer, now, &mut actions);
            }
            assert!(
                now + RESPONSE_TIME_ALLOWANCE <= broken_at + NOTIFICATION_DEADLINE,
                "{balancer_count} balancers, {failure_time:?}: \
                 next poll {} us after the watch broke",
                now - broken_at
            );
        }
    }
}

/// Advances time until the next poll starts, and returns that time.
fn next_poll(balancer: &mut Balancer, mut now: Micros, actions: &mut Vec<Action>) -> Micros {
    loop {
        let mut timers = actions.iter().filter_map(|action| match action {
            Action::SetTimer { after } => Some(*after),
            _ => None,
        });
        now += timers
            .next_back()
            .expect("no timer is set for the next poll");
        actions.clear();
        balancer.handle(now, Event::Timer, actions);
        if actions.contains(&Action::Subscribe) {
            return now;
        }
    }
}

/// If discovery has enough capacity to answer all polls before they time out, all balancers must be
/// notified by the deadline. With a third of that capacity, polls that fail must not keep discovery
/// from answering others: all balancers must be notified within 20 s.
#[test]
fn all_of_300_balancers_that_lose_their_watches_together_are_notified_in_time() {
    for (noticed_at, deadline) in [
        (RESPONSE_TIMEOUT, NOTIFICATION_DEADLINE),
        (MS, NOTIFICATION_DEADLINE_AFTER_RECONFIGURATION),
    ] {
        for rejection_cost in [0.0, 1.0] {
            let mut fleet = fleet_losing_watches_at(noticed_at, 120, rejection_cost);
            fleet.run_until(10 * SECOND);
            assert_eq!(
                fleet.late_count(0, deadline),
                0,
                "loss noticed at {noticed_at} us, a rejection costs {rejection_cost} of a response"
            );
            let (max_per_second, failed_fraction) = fleet.poll_load(0);
            assert!(
                max_per_second <= 320 && failed_fraction < 0.2,
                "{max_per_second} polls in a second, {failed_fraction} of all failed"
            );
            let mut fleet = fleet_losing_watches_at(noticed_at, 40, rejection_cost);
            fleet.run_until(21 * SECOND);
            assert_eq!(
                fleet.late_count(0, 20 * SECOND),
                0,
                "with a third of the capacity, a rejection costs {rejection_cost} of a response"
            );
            let (_, failed_fraction) = fleet.poll_load(0);
            assert!(
                failed_fraction < 0.6,
                "{failed_fraction} of the polls failed"
            );
        }
    }
}

#[test]
fn all_of_300_balancers_that_restart_together_are_notified_in_time() {
    for rejection_cost in [0.0, 1.0] {
        for capacity in [120, 60] {
            let mut fleet = fleet_losing_watches_at(Micros::MAX, capacity, rejection_cost);
            fleet.run_until(SECOND);
            fleet.restart();
            fleet.run_until(10 * SECOND);
            let (max_per_second, failed_fraction) = fleet.poll_load(SECOND);
            assert_eq!(
                fleet.late_count(SECOND, NOTIFICATION_DEADLINE),
                0,
                "capacity of {capacity} a second, a rejection costs {rejection_cost} of a response"
            );
            assert!(
                max_per_second <= 320 && failed_fraction < 0.4,
                "{max_per_second} polls in a second, {failed_fraction} of all failed"
            );
        }
    }
}

/// While discovery is unreachable no balancer can be notified. When it recovers, all must get its
/// changes by the notification deadline, whatever the state of their backoff.
#[test]
fn all_of_300_balancers_are_notified_in_time_after_discovery_recovers() {
    for (availability, rejection_cost) in [
        (Availability::RefusesConnections, 0.0),
        (Availability::RefusesConnections, 1.0),
        (Availability::Silent, 0.0),
        (Availability::Silent, 1.0),
    ] {
        let mut fleet = fleet_losing_watches_at(MS, 100, rejection_cost);
        fleet.availability = availability;
        fleet.run_until(8 * SECOND);
        fleet.availability = Availability::Up;
        fleet.run_until(20 * SECOND);
        assert_eq!(
            fleet.late_count(8 * SECOND, NOTIFICATION_DEADLINE),
            0,
            "a rejection costs {rejection_cost} of a response"
        );
        let (max_per_second, failed_fraction) = fleet.poll_load(8 * SECOND);
        assert!(
            max_per_second <= 150 && failed_fraction < 0.1,
            "{max_per_second} polls in a second, {failed_fraction} of all failed"
        );
    }
}
