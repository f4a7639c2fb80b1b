//! Each breach is counted when it happens, and what is allowed is none.

use super::*;

const SECOND: Duration = Duration::from_secs(1);

/// A request of this kind that is to be answered in a second, and what is counted of it.
fn request(idempotency: Idempotency) -> (RequestRecord, Metrics) {
    let metrics = Metrics::new(1);
    let policy = RequestPolicy { idempotency, attempts: 2, copies: false, drain_grace: SECOND / 10 };
    let deadline = Some(Instant::now() + SECOND);
    let id = HeaderValue::from_static("7");
    (RequestRecord::new(metrics.clone(), id, policy, deadline), metrics)
}

fn guarded(scope: DeduplicationScope) -> Idempotency {
    Idempotency::Keyed { scope, window: 1_000_000 }
}

fn violations(metrics: &Metrics) -> String {
    let figures = metrics.get().to_string();
    figures.split("invariant_violations: ").nth(1).expect("the last of the figures").to_owned()
}

fn in_cell(cell: u32) -> AttemptTarget {
    AttemptTarget { cell: CellId(cell), ..AttemptTarget::default() }
}

/// An attempt that begins and, if it has an outcome, ends.
fn tried(request: &RequestRecord, target: AttemptTarget, outcome: Option<Outcome>) -> AttemptRecord {
    let attempt = request.attempt(target);
    attempt.tell(SECOND);
    attempt.begun();
    outcome.into_iter().for_each(|outcome| attempt.ended(outcome, !outcome.never_ran()));
    attempt
}

#[tokio::test(start_paused = true)]
async fn what_is_allowed_breaks_no_rule() {
    for idempotency in
        [Idempotency::Idempotent, Idempotency::NonIdempotent, guarded(DeduplicationScope::Cell)]
    {
        let (request, metrics) = request(idempotency);
        tried(&request, in_cell(1), Some(Outcome::ConnectFailed));
        tried(&request, in_cell(2), Some(Outcome::Served));
        request.answered(AnswerKind::Served);
        assert_eq!(violations(&metrics), "{}", "{idempotency:?}");
    }
    let (request, metrics) = request(guarded(DeduplicationScope::Cell));
    tried(&request, in_cell(1), Some(Outcome::Reset));
    tried(&request, in_cell(1), Some(Outcome::TimedOut));
    request.answered(AnswerKind::Failed);
    assert_eq!(violations(&metrics), "{}");
}

#[tokio::test(start_paused = true)]
async fn what_may_have_run_begins_again_only_as_its_class_allows() {
    for (idempotency, cell, wait, violation) in [
        (Idempotency::NonIdempotent, 1, SECOND / 10, "{RepeatedOnce: 1}"),
        (guarded(DeduplicationScope::Cell), 2, SECOND / 10, "{RepeatedOutOfScope: 1}"),
        (guarded(DeduplicationScope::Cell), 1, SECOND * 2, "{RepeatedLate: 1}"),
    ] {
        let (request, metrics) = request(idempotency);
        tried(&request, in_cell(1), Some(Outcome::Reset));
        tokio::time::advance(wait).await;
        let again = request.attempt(in_cell(cell));
        again.begun();
        assert_eq!(violations(&metrics), violation);
    }
}

#[tokio::test(start_paused = true)]
async fn an_attempt_too_many_is_counted() {
    let (request, metrics) = request(Idempotency::Idempotent);
    let first = tried(&request, in_cell(1), None);
    tried(&request, in_cell(1), Some(Outcome::Error));
    assert_eq!(violations(&metrics), "{TwoOut: 1}");
    first.ended(Outcome::Error, true);
    tried(&request, in_cell(1), Some(Outcome::Error));
    assert_eq!(violations(&metrics), "{TwoOut: 1, TooManyAttempts: 1}");
}

#[tokio::test(start_paused = true)]
async fn what_begins_for_nobody_or_at_a_server_that_leaves_is_counted() {
    let target = in_cell(1);
    target.drain_status.listed(false);
    let (request_to_leaving, metrics) = request(Idempotency::Idempotent);
    tried(&request_to_leaving, target.clone(), Some(Outcome::Rejected));
    assert_eq!(violations(&metrics), "{}", "within the grace");
    tokio::time::advance(SECOND / 5).await;
    request_to_leaving.attempt(target.clone()).begun();
    assert_eq!(violations(&metrics), "{SentToLeavingServer: 1}");
    target.drain_status.listed(true);

    let (request_of_left, metrics) = request(Idempotency::Idempotent);
    request_of_left.left();
    tokio::time::advance(SECOND / 5).await;
    request_of_left.attempt(target.clone()).begun();
    assert_eq!(violations(&metrics), "{SentForLeftClient: 1}");

    let (request, metrics) = request(Idempotency::Idempotent);
    request.answered(AnswerKind::Failed);
    tried(&request, target, None);
    assert_eq!(violations(&metrics), "{SentAfterAnswer: 1}");
}

#[tokio::test(start_paused = true)]
async fn what_is_told_wrongly_or_late_is_counted() {
    let (request, metrics) = request(Idempotency::NonIdempotent);
    let attempt = request.attempt(in_cell(1));
    attempt.tell(SECOND);
    tokio::time::advance(SECOND / 5).await;
    attempt.begun();
    assert_eq!(violations(&metrics), "{BudgetTooLong: 1}");
    attempt.ended(Outcome::NeverSent, true);
    assert_eq!(violations(&metrics), "{BudgetTooLong: 1, WrittenButDenied: 1}");
    tried(&request, in_cell(1), None);
    tokio::time::advance(SECOND * 2).await;
    request.answered(AnswerKind::Rejected);
    let all = "{BudgetTooLong: 2, WrittenButDenied: 1, RefusedAfterRun: 1, AnsweredLate: 1}";
    assert_eq!(violations(&metrics), all);
}
