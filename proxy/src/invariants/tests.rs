//! Tests that each violation is counted when it happens, and that permitted behaviour is not
//! counted.

use super::*;
use balancer::{CellId, DeduplicationScope, Idempotency};

const SECOND: Duration = Duration::from_secs(1);

/// A request with a deadline in one second, and the metrics that count its violations.
fn request(idempotency: Idempotency) -> (RequestRecord, Metrics) {
    let metrics = Metrics::new(1);
    let policy = RequestPolicy {
        idempotency,
        max_attempts: 2,
        hedging: false,
        drain_grace: SECOND / 10,
    };
    let deadline = Some(Instant::now() + SECOND);
    let id = HeaderValue::from_static("7");
    (
        RequestRecord::new(metrics.clone(), id, policy, deadline),
        metrics,
    )
}

fn keyed(scope: DeduplicationScope) -> Idempotency {
    Idempotency::Keyed {
        scope,
        window: 1_000_000,
    }
}

fn violations(metrics: &Metrics) -> String {
    let counters = metrics.counters().to_string();
    counters
        .split("invariant_violations: ")
        .nth(1)
        .expect("the metrics end with the violations")
        .to_owned()
}

fn in_cell(cell: u32) -> AttemptTarget {
    AttemptTarget {
        cell: CellId(cell),
        ..AttemptTarget::default()
    }
}

/// Starts an attempt, and ends it if an outcome is given.
fn run_attempt(
    request: &RequestRecord,
    target: AttemptTarget,
    outcome: Option<Outcome>,
) -> AttemptRecord {
    let attempt = request.add_attempt(target);
    attempt.record_advertised_time(SECOND);
    attempt.started();
    if let Some(outcome) = outcome {
        attempt.ended(outcome, !outcome.was_not_executed());
    }
    attempt
}

#[tokio::test(start_paused = true)]
async fn permitted_attempts_and_retries_are_not_counted_as_violations() {
    for idempotency in [
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
        keyed(DeduplicationScope::Cell),
    ] {
        let (request, metrics) = request(idempotency);
        run_attempt(&request, in_cell(1), Some(Outcome::ConnectFailed));
        run_attempt(&request, in_cell(2), Some(Outcome::Served));
        request.replied(ReplyKind::Served);
        assert_eq!(violations(&metrics), "{}", "{idempotency:?}");
    }
    let (request, metrics) = request(keyed(DeduplicationScope::Cell));
    run_attempt(&request, in_cell(1), Some(Outcome::Reset));
    run_attempt(&request, in_cell(1), Some(Outcome::TimedOut));
    request.replied(ReplyKind::Failed);
    assert_eq!(violations(&metrics), "{}");
}

#[tokio::test(start_paused = true)]
async fn retrying_a_possibly_executed_request_against_its_idempotency_is_a_violation() {
    for (idempotency, cell, wait, violation) in [
        (
            Idempotency::NonIdempotent,
            1,
            SECOND / 10,
            "{RetriedNonIdempotent: 1}",
        ),
        (
            keyed(DeduplicationScope::Cell),
            2,
            SECOND / 10,
            "{RetriedOutOfScope: 1}",
        ),
        (
            keyed(DeduplicationScope::Cell),
            1,
            SECOND * 2,
            "{RetriedAfterWindow: 1}",
        ),
    ] {
        let (request, metrics) = request(idempotency);
        run_attempt(&request, in_cell(1), Some(Outcome::Reset));
        tokio::time::advance(wait).await;
        let retry = request.add_attempt(in_cell(cell));
        retry.started();
        assert_eq!(violations(&metrics), violation);
    }
}

#[tokio::test(start_paused = true)]
async fn a_forbidden_hedge_and_an_attempt_beyond_the_maximum_are_violations() {
    let (request, metrics) = request(Idempotency::Idempotent);
    let first = run_attempt(&request, in_cell(1), None);
    run_attempt(&request, in_cell(1), Some(Outcome::Error));
    assert_eq!(violations(&metrics), "{ForbiddenHedge: 1}");
    first.ended(Outcome::Error, true);
    run_attempt(&request, in_cell(1), Some(Outcome::Error));
    assert_eq!(
        violations(&metrics),
        "{ForbiddenHedge: 1, TooManyAttempts: 1}"
    );
}

#[tokio::test(start_paused = true)]
async fn attempts_after_drain_grace_disconnect_or_reply_are_violations() {
    let target = in_cell(1);
    target.drain_status.set_ready(false);
    let (request_to_draining, metrics) = request(Idempotency::Idempotent);
    run_attempt(
        &request_to_draining,
        target.clone(),
        Some(Outcome::Rejected),
    );
    assert_eq!(violations(&metrics), "{}", "the drain grace has not passed");
    tokio::time::advance(SECOND / 5).await;
    request_to_draining.add_attempt(target.clone()).started();
    assert_eq!(violations(&metrics), "{SentToDrainingEndpoint: 1}");
    target.drain_status.set_ready(true);

    let (request_of_disconnected, metrics) = request(Idempotency::Idempotent);
    request_of_disconnected.client_disconnected();
    tokio::time::advance(SECOND / 5).await;
    request_of_disconnected
        .add_attempt(target.clone())
        .started();
    assert_eq!(violations(&metrics), "{SentForDisconnectedClient: 1}");

    let (request, metrics) = request(Idempotency::Idempotent);
    request.replied(ReplyKind::Failed);
    run_attempt(&request, target, None);
    assert_eq!(violations(&metrics), "{SentAfterReply: 1}");
}

#[tokio::test(start_paused = true)]
async fn excessive_advertised_times_false_outcomes_and_unsafe_or_late_replies_are_violations() {
    let (request, metrics) = request(Idempotency::NonIdempotent);
    let attempt = request.add_attempt(in_cell(1));
    attempt.record_advertised_time(SECOND);
    tokio::time::advance(SECOND / 5).await;
    attempt.started();
    assert_eq!(violations(&metrics), "{AdvertisedTimeTooLong: 1}");
    attempt.ended(Outcome::NeverSent, true);
    assert_eq!(
        violations(&metrics),
        "{AdvertisedTimeTooLong: 1, WrittenButNeverRan: 1}"
    );
    run_attempt(&request, in_cell(1), None);
    tokio::time::advance(SECOND * 2).await;
    request.replied(ReplyKind::Rejected);
    let all =
        "{AdvertisedTimeTooLong: 2, WrittenButNeverRan: 1, RejectedAfterRun: 1, RepliedLate: 1}";
    assert_eq!(violations(&metrics), all);
}

/// A client that leaves without a reply is no fault of the proxy unless the reply was overdue.
#[tokio::test(start_paused = true)]
async fn a_client_that_disconnects_long_after_its_reply_was_due_is_a_violation() {
    for (waited, expected) in [(SECOND * 3 / 2, "{}"), (SECOND * 2, "{NeverReplied: 1}")] {
        let (request, metrics) = request(Idempotency::Idempotent);
        tokio::time::advance(waited).await;
        request.client_disconnected();
        assert_eq!(violations(&metrics), expected, "after {waited:?}");
    }
    // A body that is still arriving moves the deadline.
    let (request, metrics) = request(Idempotency::Idempotent);
    tokio::time::advance(SECOND * 2).await;
    request.set_provisional_deadline(Instant::now());
    request.client_disconnected();
    assert_eq!(violations(&metrics), "{}");
}
