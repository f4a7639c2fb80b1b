//! Requests and closed connections are counted once, by how they ended.

use super::*;

#[test]
fn a_request_is_pending_until_it_ends_or_its_client_goes_and_is_counted_once() {
    let metrics = Metrics::new(2);
    let names = ["a".to_owned(), "b".to_owned()];
    let taken: Vec<RequestTracker> = [0, 1, 1, 1].map(|class| metrics.take(ClassId(class), true)).into();
    let _begun = metrics.take(ClassId(1), false);
    assert_eq!(metrics.get().to_json(&names, 0, 0)["pending"], 4);
    for (taken, ending) in
        taken.into_iter().zip([RequestEnd::Completed, RequestEnd::Rejected, RequestEnd::Failed])
    {
        taken.end(ending);
    }
    let figures = metrics.get().to_json(&names, 3, 1);
    let expected = json!({
        "downstream_requests": {
            "a": {"completed": 1, "rejected": 0, "failed": 0},
            "b": {"completed": 0, "rejected": 1, "failed": 2},
        },
        "upstream_requests": 0, "pending": 0, "members": 3, "members_unavailable": 1,
    });
    assert_eq!(figures, expected);
}

#[test]
fn closes_of_connections_to_hosts_are_counted_by_their_reason() {
    let metrics = Metrics::new(1);
    metrics.count().closed_to_hosts(EndpointCloseReason::Idle, 2);
    metrics.count().closed_to_hosts(EndpointCloseReason::Leaving, 0);
    metrics.count().closed_to_hosts(EndpointCloseReason::Idle, 1);
    assert!(metrics.get().to_string().contains("closed_to_hosts: {Idle: 3}, "));
}
