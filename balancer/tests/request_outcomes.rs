//! Tests that each request gets its reply by its deadline, that none is executed twice, that none
//! is sent to an endpoint that is draining or removed, and that the time in the queue and the
//! number of timers are bounded.

mod common;
use balancer::*;
use common::*;

const KEYED_BY_CELL: Idempotency = Idempotency::Keyed {
    scope: DeduplicationScope::Cell,
    window: 400 * MS,
};

fn endpoints_of_two_cells() -> Vec<EndpointEntry> {
    (1..=4)
        .map(|i| EndpointEntry {
            cell: CellId(i % 2),
            zone: ZoneId(i % 2),
            ..ready(i)
        })
        .collect()
}

// Each request gets a reply.

#[test]
fn queued_requests_get_a_reply_before_their_client_stops_waiting() {
    for idempotency in [
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
        KEYED_BY_CELL,
    ] {
        let mut proxy = Proxy::new(settings(idempotency), 0);
        let (request, mut actions) = proxy.request();
        assert!(forwarded(&actions).is_empty());
        while !is_rejected(&actions, request) {
            let after = timer_after(&actions);
            actions = proxy.advance(after.expect("a timer for the queued request"));
        }
        assert!(proxy.now < 1_000_000 + 1_200 * MS);
    }
}

#[test]
fn a_request_that_timed_out_is_rejected_if_repeatable_and_failed_otherwise() {
    for (idempotency, is_repeatable) in [
        (Idempotency::Idempotent, true),
        (Idempotency::NonIdempotent, false),
        (KEYED_BY_CELL, false),
    ] {
        let mut proxy = Proxy::new(settings(idempotency), 1);
        let (request, _) = proxy.request();
        proxy.now += 1_200 * MS;
        let actions = proxy.end_attempt(request, 0, Outcome::TimedOut, 1_200 * MS);
        assert_eq!(is_rejected(&actions, request), is_repeatable);
        assert_eq!(is_failed(&actions, request), !is_repeatable);
        assert!(forwarded(&proxy.request().1)
            .iter()
            .all(|attempt| attempt.0 != request));
    }
}

/// A proxy that shuts down replies to its queued requests before its shutdown ends, however long
/// their clients would wait.
#[test]
fn queued_requests_get_a_reply_before_the_shutdown_ends() {
    for late_weight_fraction in [0.0, 0.5] {
        let mut settings = settings(Idempotency::Idempotent);
        settings.classes[0] = Class {
            latency_objective: 1_100 * MS,
            late_weight_fraction,
            ..settings.classes[0]
        };
        let mut proxy = Proxy::new(settings, 0);
        let (request, _) = proxy.request();
        let mut actions = proxy.handle(Event::ShutdownStarted {
            time_left: 100 * MS,
        });
        while !is_rejected(&actions, request) {
            let after = timer_after(&actions);
            actions = proxy.advance(after.expect("a timer for the queued request"));
        }
        assert!(proxy.now < 1_000_000 + 100 * MS);
    }
}

// No request is executed twice.

const FAILED_OUTCOMES: [Outcome; 8] = [
    Outcome::Error,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NeverSent,
    Outcome::Unknown,
];

/// Ends two attempts of a request with these outcomes and checks the retry or reply after each.
fn check_two_attempts(idempotency: Idempotency, first: Outcome, second: Outcome) {
    let mut proxy = Proxy::new(settings(idempotency), 0);
    proxy.update_list(ListUpdate::Full, endpoints_of_two_cells());
    let (request, actions) = proxy.request();
    let first_endpoint = forwarded(&actions)[0].1;
    proxy.now += MS;
    let actions = proxy.end_attempt(request, 0, first, MS);
    let retries = forwarded(&actions);
    let never_executed = first.was_not_executed();
    if idempotency == Idempotency::NonIdempotent && !never_executed {
        assert!(
            retries.is_empty() && is_failed(&actions, request),
            "{first:?}"
        );
        return;
    }
    assert_eq!(retries.len(), 1, "{idempotency:?} after {first:?}");
    let is_scoped = matches!(
        idempotency,
        Idempotency::Keyed {
            scope: DeduplicationScope::Zone | DeduplicationScope::Cell,
            ..
        }
    );
    if is_scoped && !never_executed {
        assert_eq!(
            retries[0].1 .0 % 2,
            first_endpoint.0 % 2,
            "the retry left the zone or cell of the first attempt"
        );
    }
    // The second attempt ends too late for another: the request is rejected only if its client may
    // safely retry it.
    proxy.now += 450 * MS;
    let actions = proxy.end_attempt(request, 1, second, MS);
    let is_repeatable = match idempotency {
        Idempotency::Idempotent
        | Idempotency::Keyed {
            scope: DeduplicationScope::All,
            ..
        } => true,
        _ => never_executed && second.was_not_executed(),
    };
    assert!(
        forwarded(&actions).is_empty(),
        "retried although a response would be late"
    );
    assert_eq!(
        is_rejected(&actions, request),
        is_repeatable,
        "{idempotency:?} {first:?} {second:?}"
    );
    assert_eq!(is_failed(&actions, request), !is_repeatable);
}

#[test]
fn retries_and_replies_respect_idempotency_after_any_two_outcomes() {
    let keyed = |scope| Idempotency::Keyed {
        scope,
        window: 400 * MS,
    };
    let kinds = [
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
        keyed(DeduplicationScope::All),
        keyed(DeduplicationScope::Zone),
        keyed(DeduplicationScope::Cell),
    ];
    for idempotency in kinds {
        for first in FAILED_OUTCOMES {
            for second in FAILED_OUTCOMES {
                check_two_attempts(idempotency, first, second);
            }
        }
    }
}

#[test]
fn a_keyed_request_is_not_retried_after_its_deduplication_window() {
    let mut proxy = Proxy::new(
        settings(Idempotency::Keyed {
            scope: DeduplicationScope::Cell,
            window: 100 * MS,
        }),
        4,
    );
    let (request, _) = proxy.request();
    proxy.now += 100 * MS;
    let actions = proxy.end_attempt(request, 0, Outcome::Error, 100 * MS);
    assert!(forwarded(&actions).is_empty() && is_failed(&actions, request));
}

/// A queued retry gets its reply as soon as its deduplication window ends, as it may not be sent to
/// any endpoint any more.
#[test]
fn a_queued_retry_is_failed_at_the_end_of_its_deduplication_window() {
    let window = 100 * MS;
    let mut proxy = Proxy::new(
        settings(Idempotency::Keyed {
            scope: DeduplicationScope::Cell,
            window,
        }),
        1,
    );
    let (start, (request, _), (trial, trial_actions)) =
        (proxy.now, proxy.request(), proxy.request());
    assert_eq!(
        forwarded(&trial_actions).len(),
        1,
        "the trial should use up the capacity that the retry needs"
    );
    proxy.now += 10 * MS;
    let mut actions = proxy.end_attempt(request, 0, Outcome::Error, 10 * MS);
    while !is_failed(&actions, request) {
        assert!(forwarded(&actions).is_empty());
        let after = timer_after(&actions);
        actions = proxy.advance(after.expect("a timer for the queued request"));
    }
    assert_eq!(proxy.now, start + window);
    assert!(forwarded(&proxy.end_attempt(trial, 0, Outcome::Served, window)).is_empty());
}

/// The connection for a retry may take long to be established: the deduplication window bounds when
/// its first byte may be written, not when its endpoint is selected.
#[test]
fn a_retry_must_start_within_the_rest_of_its_deduplication_window() {
    let scope = DeduplicationScope::Cell;
    let cases = [
        (Idempotency::Idempotent, None),
        (
            Idempotency::Keyed {
                scope,
                window: 100 * MS,
            },
            // 30 ms of the window have passed, and the clock's resolution of 1 ms is subtracted.
            Some(70 * MS - 1_000),
        ),
    ];
    for (idempotency, expected) in cases {
        let mut proxy = Proxy::new(settings(idempotency), 4);
        let (request, actions) = proxy.request();
        let start_within_of = |actions: &[Action]| match actions
            .iter()
            .find(|action| matches!(action, Action::Forward { .. }))
        {
            Some(Action::Forward { start_within, .. }) => *start_within,
            _ => panic!("the request was not forwarded"),
        };
        assert_eq!(
            start_within_of(&actions),
            None,
            "the first attempt is not bound by a window"
        );
        proxy.now += 30 * MS;
        assert_eq!(
            start_within_of(&proxy.end_attempt(request, 0, Outcome::Error, 30 * MS)),
            expected,
            "{idempotency:?}"
        );
    }
}

// Nothing is sent to draining or removed endpoints.

#[test]
fn nothing_is_forwarded_to_a_draining_or_removed_endpoint_even_if_a_cached_list_had_it_ready() {
    for kind in [ListUpdate::Delta, ListUpdate::Full] {
        for state in [EndpointState::Draining, EndpointState::Removed] {
            let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 0);
            proxy.update_list(ListUpdate::Cached, vec![ready(1), ready(2)]);
            proxy.update_list(kind, vec![EndpointEntry { state, ..ready(1) }, ready(2)]);
            for _ in 0..50 {
                assert_eq!(proxy.serve_request(MS), Some(EndpointId(2)));
            }
        }
    }
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 2);
    proxy.update_list(ListUpdate::Full, vec![ready(2)]);
    for _ in 0..50 {
        assert_eq!(
            proxy.serve_request(MS),
            Some(EndpointId(2)),
            "an endpoint that a full list omits was used"
        );
    }
}

// The queue and the timers are bounded.

#[test]
fn requests_that_would_be_queued_for_too_long_are_rejected_on_arrival() {
    let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 1);
    let mut rejected_count = 0;
    for _ in 0..60 {
        proxy.now += 10 * MS;
        let (request, actions) = proxy.request();
        rejected_count += usize::from(is_rejected(&actions, request));
    }
    assert!(
        rejected_count > 20,
        "only {rejected_count} requests were rejected on arrival although they would wait too long"
    );
}

#[test]
fn timers_do_not_keep_setting_further_timers_after_all_requests_have_ended() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 0);
    (0..50).for_each(|_| drop(proxy.request()));
    let mut due = std::collections::BinaryHeap::new();
    let (mut timers, mut handled_action_count) = (0, 0);
    loop {
        for action in &proxy.actions[handled_action_count..] {
            if let Action::SetTimer { after } = action {
                due.push(std::cmp::Reverse(proxy.now + after));
            }
        }
        handled_action_count = proxy.actions.len();
        let Some(std::cmp::Reverse(at)) = due.pop() else {
            break;
        };
        proxy.now = proxy.now.max(at);
        proxy.handle(Event::Timer);
        timers += 1;
        assert!(
            timers < 1_000,
            "{timers} timers have fired for 50 requests, which end within a second"
        );
    }
}
