//! Requests that are forwarded while their body is still arriving.

mod common;
use balancer::*;
use common::*;

fn receive_upload(proxy: &mut Proxy, number: u64) -> Vec<Action> {
    let (request, class) = (RequestId(1_000 + number), ClassId(0));
    let event = Event::RequestReceived {
        request,
        class,
        tenant: None,
        time_left: 1_200 * MS,
        client_retry: false,
        non_replayable: true,
    };
    proxy.handle(event)
}

/// An endpoint cannot work on a request that is still arriving: it does not count towards the
/// limit, and its client's deadline is set only when it is complete.
#[test]
fn a_request_that_is_still_arriving_takes_no_capacity_and_has_no_deadline() {
    let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 1);
    for number in 0..4 {
        assert_eq!(forwarded(&receive_upload(&mut proxy, number)).len(), 1);
    }
    proxy.now += 10_000 * MS;
    assert!(
        proxy.handle(Event::Timer).is_empty(),
        "a request that is still arriving has no deadline"
    );
    // One complete request reaches the limit, the next exceeds it as a trial, and the one after
    // that is queued.
    proxy.handle(Event::UploadCompleted {
        request: RequestId(1_000),
        time_left: 1_200 * MS,
    });
    let (trial, actions) = proxy.request();
    assert_eq!(forwarded(&actions), [(trial, EndpointId(1))]);
    let (queued, actions) = proxy.request();
    assert!(forwarded(&actions).is_empty());
    proxy.now += 50 * MS;
    assert!(
        forwarded(&proxy.end_attempt(RequestId(1_000), 0, Outcome::Served, 50 * MS)).is_empty(),
        "the trial is in flight"
    );
    assert_eq!(
        forwarded(&proxy.end_attempt(trial, 0, Outcome::Served, 50 * MS)),
        [(queued, EndpointId(1))]
    );
}

/// A non-replayable request is retried only if nothing of it was written. If it was truncated, it
/// was not executed, so it is rejected.
#[test]
fn a_non_replayable_request_is_retried_only_if_nothing_was_written() {
    for (outcome, is_retried) in [(Outcome::ConnectFailed, true), (Outcome::Truncated, false)] {
        let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 3);
        receive_upload(&mut proxy, 0);
        let actions = proxy.end_attempt(RequestId(1_000), 0, outcome, 0);
        assert_eq!(
            forwarded(&actions).len(),
            usize::from(is_retried),
            "{outcome:?}"
        );
        assert_eq!(
            is_rejected(&actions, RequestId(1_000)),
            !is_retried,
            "{outcome:?}"
        );
    }
    // After the same outcome a request whose body is buffered is retried.
    let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 3);
    let (request, _) = proxy.request();
    assert_eq!(
        forwarded(&proxy.end_attempt(request, 0, Outcome::Truncated, 0)).len(),
        1
    );
}

/// Sends short requests one after the other, and returns whether any goes to this endpoint.
fn is_sent_requests(proxy: &mut Proxy, endpoint: EndpointId) -> bool {
    (0..32).any(|_| {
        let (request, actions) = proxy.request();
        proxy.now += MS;
        proxy.end_attempt(request, 0, Outcome::Served, MS);
        forwarded(&actions) == [(request, endpoint)]
    })
}

fn change_upload_wait(proxy: &mut Proxy, waits_for_client: bool) {
    proxy.handle(Event::UploadWaitChanged {
        request: RequestId(1_000),
        waits_for_client,
    });
}

/// Guards against an endpoint that looks idle while it does not read the requests that are being
/// written to it, and so is sent more than its share: an upload counts there from its start to its
/// end, however it ends.
#[test]
fn an_endpoint_with_an_upload_is_not_preferred_to_an_idle_one() {
    for outcome in [Outcome::Truncated, Outcome::Cancelled, Outcome::Served] {
        let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 2);
        let uploading = forwarded(&receive_upload(&mut proxy, 0))[0].1;
        assert!(!is_sent_requests(&mut proxy, uploading));
        proxy.end_attempt(RequestId(1_000), 0, outcome, 0);
        // An endpoint that did not take a whole request gets a trial once its backoff is over.
        proxy.now += 20_000 * MS;
        assert!(is_sent_requests(&mut proxy, uploading), "after {outcome:?}");
    }
}

/// Guards against slow clients that make endpoints look busy: an upload counts at its endpoint only
/// while the endpoint has something to read.
#[test]
fn an_upload_that_waits_for_its_client_does_not_count_at_its_endpoint() {
    // It ends both while it counts and while it does not.
    for waits_for_client in [false, true] {
        let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 2);
        let uploading = forwarded(&receive_upload(&mut proxy, 0))[0].1;
        for _ in 0..2 {
            change_upload_wait(&mut proxy, true);
            assert!(is_sent_requests(&mut proxy, uploading));
            change_upload_wait(&mut proxy, false);
            assert!(!is_sent_requests(&mut proxy, uploading));
        }
        change_upload_wait(&mut proxy, waits_for_client);
        proxy.end_attempt(RequestId(1_000), 0, Outcome::Cancelled, 0);
        assert!(is_sent_requests(&mut proxy, uploading));
    }
}
