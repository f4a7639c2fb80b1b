//! Tests of hedging: which requests are hedged, that the slower attempt is cancelled, and that
//! hedging leaves retry budget for failed attempts.

mod common;
use balancer::*;
use common::*;

#[test]
fn requests_are_hedged_only_where_allowed_and_the_slower_attempt_is_cancelled() {
    for (idempotency, allowed, hedges) in [
        (Idempotency::Idempotent, true, 1),
        (Idempotency::Idempotent, false, 0),
        (Idempotency::NonIdempotent, true, 0),
    ] {
        let mut settings = settings(idempotency);
        settings.limits.hedging = allowed;
        let mut proxy = Proxy::new(settings, 3);
        for _ in 0..20 {
            proxy.serve_request(40 * MS);
        }
        let (request, actions) = proxy.request();
        let first_endpoint = forwarded(&actions)[0].1;
        let actions = proxy.advance(430 * MS);
        let hedged = forwarded(&actions);
        assert_eq!(hedged.len(), hedges);
        if hedges == 1 {
            assert_ne!(hedged[0].1, first_endpoint);
            let actions = proxy.end_attempt(request, 1, Outcome::Served, 30 * MS);
            assert!(actions.contains(&Action::CancelAttempt {
                request,
                attempt: 0
            }));
        }
    }
}

#[test]
fn a_request_whose_response_has_started_gets_no_further_attempt() {
    let mut settings = settings(Idempotency::Idempotent);
    settings.limits.hedging = true;
    let mut proxy = Proxy::new(settings, 3);
    let (request, _) = proxy.request();
    proxy.handle(Event::ResponseStarted {
        request,
        attempt: 0,
    });
    assert!(
        forwarded(&proxy.advance(450 * MS)).is_empty(),
        "hedged although its response has started"
    );
    let actions = proxy.end_attempt(request, 0, Outcome::Reset, 450 * MS);
    assert!(forwarded(&actions).is_empty());
}

/// Hedging a request that is merely slow may be unnecessary, while a request whose only attempt was
/// lost needs its retry. Hedged requests must not use up the retry budget.
#[test]
fn hedged_requests_leave_retry_budget_for_failed_attempts() {
    let mut settings = settings(Idempotency::Idempotent);
    settings.limits.hedging = true;
    let mut proxy = Proxy::new(settings, 6);
    for _ in 0..20 {
        proxy.serve_request(40 * MS);
    }
    let mut hedges = 0;
    for _ in 0..60 {
        let (request, _) = proxy.request();
        let is_hedged = !forwarded(&proxy.advance(490 * MS)).is_empty();
        hedges += usize::from(is_hedged);
        if is_hedged {
            proxy.end_attempt(request, 1, Outcome::Served, 10 * MS);
            proxy.end_attempt(request, 0, Outcome::Cancelled, 490 * MS);
        } else {
            proxy.handle(Event::RequestCancelled { request });
            proxy.end_attempt(request, 0, Outcome::Cancelled, 490 * MS);
        }
    }
    assert!(hedges >= 10, "only {hedges} of 60 requests were hedged");
    for _ in 0..3 {
        let (request, _) = proxy.request();
        let retry_actions = proxy.end_attempt(request, 0, Outcome::Reset, 10 * MS);
        assert_eq!(
            forwarded(&retry_actions).len(),
            1,
            "the lost attempt was not retried: {retry_actions:?}"
        );
        proxy.end_attempt(request, 1, Outcome::Served, 10 * MS);
    }
}

/// Where latencies vary widely, a request that takes twice the mean is normal, and hedging it would
/// only add load.
#[test]
fn a_request_within_the_usual_latencies_of_its_class_is_not_hedged() {
    let mut settings = settings(Idempotency::Idempotent);
    settings.limits.hedging = true;
    let mut proxy = Proxy::new(settings, 6);
    for _ in 0..40 {
        for elapsed in [60 * MS, 60 * MS, 60 * MS, 60 * MS, 400 * MS] {
            proxy.serve_request(elapsed);
        }
    }
    proxy.request();
    for _ in 0..12 {
        let actions = proxy.advance(30 * MS);
        assert!(
            forwarded(&actions).is_empty(),
            "hedged although one in five requests takes 400 ms"
        );
    }
}
