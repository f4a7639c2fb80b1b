//! Tests of the delays between polls of a balancer.

mod common;
use balancer::*;
use common::*;

/// A watch that was open shows that polls succeed, even if it delivered no change: the backoff must
/// be reset.
#[test]
fn a_watch_that_was_open_resets_the_poll_backoff() {
    let mut proxy = Proxy::new(
        Settings {
            balancer_count: 5,
            discovery: polled_discovery(),
            ..settings(Idempotency::Idempotent)
        },
        60,
    );
    let mut delay_after = |kinds: &[ListUpdate]| {
        kinds
            .iter()
            .for_each(|kind| drop(proxy.update_list(*kind, Vec::new())));
        let failed_at = proxy.now;
        while !proxy.advance(10 * MS).contains(&Action::Subscribe) {}
        proxy.now - failed_at
    };
    let longest_after_failures = (0..5)
        .map(|_| delay_after(&[ListUpdate::PollFailed]))
        .max()
        .expect("five delays");
    let after_watch = delay_after(&[ListUpdate::WatchLost, ListUpdate::PollFailed]);
    assert!(
        longest_after_failures >= SECOND && after_watch <= 480 * MS,
        "{longest_after_failures} us after five failed polls, {after_watch} us after the watch"
    );
}

#[test]
fn a_failed_poll_is_repeated_after_a_delay_unless_the_list_is_pushed() {
    let mut proxy = Proxy::new(
        Settings {
            discovery: polled_discovery(),
            ..settings(Idempotency::Idempotent)
        },
        2,
    );
    assert!(
        proxy.actions.contains(&Action::Subscribe),
        "the list is not polled at the start"
    );
    let actions = proxy.update_list(ListUpdate::PollFailed, vec![]);
    assert!(
        !actions.contains(&Action::Subscribe),
        "a failed poll is repeated without a delay"
    );
    let delay = timer_after(&actions);
    assert!(proxy
        .advance(delay.expect("no timer is set for the next poll"))
        .contains(&Action::Subscribe));
    assert_eq!(
        proxy.serve_request(MS).map(|endpoint| endpoint.0 <= 2),
        Some(true),
        "the previous list is not used after a failed poll"
    );
    let mut push_proxy = Proxy::new(settings(Idempotency::Idempotent), 1);
    push_proxy.update_list(ListUpdate::PollFailed, vec![]);
    push_proxy.advance(60_000 * MS);
    assert!(
        !push_proxy.actions.contains(&Action::Subscribe),
        "a list that is pushed is polled"
    );
}

/// Returns the delays of a balancer before it polls again after each of four failed polls.
fn poll_delays(balancer_count: u32, balancer_index: u32) -> Vec<Micros> {
    let settings = Settings {
        balancer_count,
        balancer_index,
        discovery: polled_discovery(),
        ..settings(Idempotency::Idempotent)
    };
    // `Proxy::new` gives each balancer the same seed, with which all delays would be the same. The
    // balancer needs no endpoint list to poll.
    let mut proxy = one_of_100_balancers();
    proxy.balancer = Balancer::new(u64::from(balancer_index), settings);
    let delays = (0..4).map(|_| {
        proxy.update_list(ListUpdate::PollFailed, Vec::new());
        let failed_at = proxy.now;
        while !proxy.advance(10 * MS).contains(&Action::Subscribe) {
            assert!(proxy.now < failed_at + 40_000 * MS, "no poll within 40 s");
        }
        proxy.now - failed_at
    });
    delays.collect()
}

/// So that discovery is not overloaded, 100 balancers must spread their polls over the available
/// time, which is half of the notification deadline. The other half is needed to detect that a poll
/// has timed out and to receive a response. `models/discovery.rs` models the load of discovery.
#[test]
fn a_hundred_balancers_spread_their_polls_over_half_of_the_notification_deadline() {
    let discovery = settings(Idempotency::Idempotent).discovery;
    let max_delay = discovery.notification_deadline / 2;
    let delays_of_many: Vec<_> = (0..100)
        .map(|balancer_index| poll_delays(100, balancer_index))
        .collect();
    assert!(
        delays_of_many
            .iter()
            .flatten()
            .all(|delay| *delay <= max_delay + 10 * MS),
        "a delay is longer than half of the notification deadline: {delays_of_many:?}"
    );
    let mean = |number: usize| {
        delays_of_many
            .iter()
            .map(|delays| delays[number])
            .sum::<Micros>()
            / 100
    };
    assert!(
        mean(0) >= max_delay * 2 / 5,
        "mean delay after the first failed poll: {} us",
        mean(0)
    );
    for tenth in 0..10 {
        let interval = max_delay * tenth / 10..max_delay * (tenth + 1) / 10;
        let balancers_in_interval = delays_of_many
            .iter()
            .filter(|delays| interval.contains(&delays[0]))
            .count();
        assert!(
            balancers_in_interval <= 20,
            "{balancers_in_interval} of 100 balancers poll {interval:?} us \
             after their first failed poll"
        );
    }
    for number in 1..4 {
        assert!(
            delays_of_many
                .iter()
                .all(|delays| delays[number] >= max_delay / 2),
            "a delay after a repeated failure is too short: {delays_of_many:?}"
        );
        assert!(
            mean(number) >= max_delay * 7 / 10,
            "mean delay after failed poll {number}: {} us",
            mean(number)
        );
    }
    let delays_of_few = poll_delays(5, 0);
    assert!(
        delays_of_few[0] < discovery.max_poll_interval / 16,
        "five balancers do not poll again within 1/16 of the interval: {delays_of_few:?}"
    );
    assert!(
        delays_of_few
            .iter()
            .all(|delay| *delay <= max_delay + 10 * MS),
        "a delay is longer than half of the notification deadline: {delays_of_few:?}"
    );
}

/// A balancer counts as notified 6 s after a change. Detecting that a watch is silent takes 2.5 s
/// of them, so the watch must be reopened within 1/32 of `max_poll_interval`. It must not be
/// reopened immediately, as many balancers may lose their watches at the same time.
#[test]
fn a_lost_watch_is_reopened_within_a_32nd_of_the_poll_interval_but_not_immediately() {
    for balancer_count in [5, 100] {
        let mut proxy = Proxy::new(
            Settings {
                balancer_count,
                discovery: polled_discovery(),
                ..settings(Idempotency::Idempotent)
            },
            60,
        );
        let max_poll_interval = settings(Idempotency::Idempotent)
            .discovery
            .max_poll_interval;
        for _ in 0..10 {
            let lost_at = proxy.now;
            let actions = proxy.update_list(ListUpdate::WatchLost, Vec::new());
            assert!(
                !actions.contains(&Action::Subscribe),
                "the watch is reopened without a delay"
            );
            while !proxy.advance(10 * MS).contains(&Action::Subscribe) {
                assert!(
                    proxy.now < lost_at + max_poll_interval / 32,
                    "{balancer_count} balancers: the watch is not reopened within {} us",
                    max_poll_interval / 32
                );
            }
            proxy.update_list(ListUpdate::Full, (1..=60).map(ready).collect());
        }
    }
}
