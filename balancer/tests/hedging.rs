//! Hedged requests.

mod common;
use balancer::*;
use common::*;

#[test]
fn second_copies_go_out_only_where_allowed_and_their_losers_are_called_off() {
    for (idempotency, allowed, copies) in [
        (Idempotency::Idempotent, true, 1),
        (Idempotency::Idempotent, false, 0),
        (Idempotency::NonIdempotent, true, 0),
    ] {
        let mut settings = settings(idempotency);
        settings.limits.hedging = allowed;
        let mut proxy = Proxy::new(settings, 3);
        for _ in 0..20 {
            proxy.serve(40 * MS);
        }
        let (request, actions) = proxy.request();
        let home = sent(&actions)[0].1;
        let actions = proxy.wait(430 * MS);
        let copy = sent(&actions);
        assert_eq!(copy.len(), copies);
        if copies == 1 {
            assert_ne!(copy[0].1, home);
            let actions = proxy.end(request, 1, Outcome::Served, 30 * MS);
            assert!(actions.contains(&Action::CancelAttempt { request, attempt: 0 }));
        }
    }
}

#[test]
fn a_stream_is_bound_to_its_attempt() {
    let mut settings = settings(Idempotency::Idempotent);
    settings.limits.hedging = true;
    let mut proxy = Proxy::new(settings, 3);
    let (request, _) = proxy.request();
    proxy.event(Event::ResponseStarted { request, attempt: 0 });
    assert!(sent(&proxy.wait(450 * MS)).is_empty(), "no second copy");
    let actions = proxy.end(request, 0, Outcome::Reset, 450 * MS);
    assert!(sent(&actions).is_empty());
}

/// A copy is a guess, a failed attempt a fact: on a day of broken connections, copies for calls that were merely slow
/// had spent what would have saved those whose only attempt was lost.
#[test]
fn second_copies_leave_credit_for_calls_whose_attempt_failed() {
    let mut config = settings(Idempotency::Idempotent);
    config.limits.hedging = true;
    let mut proxy = Proxy::new(config, 6);
    for _ in 0..20 {
        proxy.serve(40 * MS);
    }
    let mut copies = 0;
    for _ in 0..60 {
        let (request, _) = proxy.request();
        let copied = !sent(&proxy.wait(490 * MS)).is_empty();
        copies += usize::from(copied);
        if copied {
            proxy.end(request, 1, Outcome::Served, 10 * MS);
            proxy.end(request, 0, Outcome::Cancelled, 490 * MS);
        } else {
            proxy.event(Event::RequestCancelled { request });
            proxy.end(request, 0, Outcome::Cancelled, 490 * MS);
        }
    }
    assert!(copies >= 10, "{copies}");
    for _ in 0..3 {
        let (request, _) = proxy.request();
        let again = proxy.end(request, 0, Outcome::Reset, 10 * MS);
        assert_eq!(sent(&again).len(), 1, "{again:?}");
        proxy.end(request, 1, Outcome::Served, 10 * MS);
    }
}

/// Where answer times are spread, a call that takes twice the mean is nothing unusual: a copy of it would be work that
/// the servers do for nothing.
#[test]
fn a_call_within_its_classs_usual_spread_gets_no_second_copy() {
    let mut config = settings(Idempotency::Idempotent);
    config.limits.hedging = true;
    let mut proxy = Proxy::new(config, 6);
    for _ in 0..40 {
        for elapsed in [60 * MS, 60 * MS, 60 * MS, 60 * MS, 400 * MS] {
            proxy.serve(elapsed);
        }
    }
    proxy.request();
    for _ in 0..12 {
        let actions = proxy.wait(30 * MS);
        assert!(sent(&actions).is_empty(), "one in five takes 400 ms");
    }
}
