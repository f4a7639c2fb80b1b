//! Requests that are forwarded while they arrive.

mod common;
use balancer::*;
use common::*;

fn receive_upload(proxy: &mut Proxy, request: u64) -> Vec<Action> {
    let (request, class) = (RequestId(1_000 + request), ClassId(0));
    let request = Event::RequestReceived {
        request,
        class,
        tenant: None,
        time_left: 1_200 * MS,
        client_retry: false,
        non_replayable: true,
    };
    proxy.handle(request)
}

/// A server has no work with a call that is still coming: it fills no budget, and its time begins when it is whole.
#[test]
fn a_request_that_is_still_arriving_takes_no_capacity() {
    let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 1);
    for request in 0..4 {
        assert_eq!(forwarded(&receive_upload(&mut proxy, request)).len(), 1);
    }
    proxy.now += 10_000 * MS;
    assert!(proxy.handle(Event::Timer).is_empty(), "its client does not wait yet");
    // One whole call fills the budget, one more passes as the trial, and the next waits.
    proxy.handle(Event::RequestCompleted { request: RequestId(1_000), time_left: 1_200 * MS });
    let (trial, actions) = proxy.request();
    assert_eq!(forwarded(&actions), [(trial, EndpointId(1))]);
    let (held, actions) = proxy.request();
    assert!(forwarded(&actions).is_empty());
    proxy.now += 50 * MS;
    assert!(
        forwarded(&proxy.end_attempt(RequestId(1_000), 0, Outcome::Served, 50 * MS)).is_empty(),
        "the trial is out"
    );
    assert_eq!(forwarded(&proxy.end_attempt(trial, 0, Outcome::Served, 50 * MS)), [(held, EndpointId(1))]);
}

/// What can be sent once goes again only while nothing of it was written; cut short, it never ran and is refused.
#[test]
fn a_non_replayable_request_is_retried_only_if_nothing_was_written() {
    for (outcome, again) in [(Outcome::ConnectFailed, true), (Outcome::Truncated, false)] {
        let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 3);
        receive_upload(&mut proxy, 0);
        let actions = proxy.end_attempt(RequestId(1_000), 0, outcome, 0);
        assert_eq!(forwarded(&actions).len(), usize::from(again), "{outcome:?}");
        assert_eq!(rejected(&actions, RequestId(1_000)), !again, "{outcome:?}");
    }
    // The same outcome lets a call go again whose body is at hand.
    let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 3);
    let (request, _) = proxy.request();
    assert_eq!(forwarded(&proxy.end_attempt(request, 0, Outcome::Truncated, 0)).len(), 1);
}
