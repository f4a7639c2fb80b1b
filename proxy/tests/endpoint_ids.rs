//! Endpoint ids. Every proxy orders the ring of endpoints by them, so all proxies must assign the
//! same ids.

use balancer::EndpointId;
use client_proxy::control::endpoint_ids::EndpointIds;

fn assign_ids(names: impl Iterator<Item = String>) -> Vec<(EndpointId, String)> {
    let mut ids = EndpointIds::default();
    names.map(|name| (ids.get(&name, |_| {}), name)).collect()
}

fn name(number: u32) -> String {
    format!("s-{number:04}")
}

#[test]
fn an_endpoints_id_does_not_depend_on_the_order_of_the_names() {
    let mut forward = assign_ids((0..2_000).map(name));
    let mut backward = assign_ids((0..2_000).rev().map(name));
    forward.sort();
    backward.sort();
    assert_eq!(forward, backward);
    assert!(
        forward.windows(2).all(|pair| pair[0].0 != pair[1].0),
        "ids must be unique"
    );
}

/// Endpoints that join together are in slow start together. If they were neighbours on the ring,
/// the requests that they don't take would all go to the few endpoints that follow on the ring.
#[test]
fn endpoints_that_join_together_are_spread_over_the_ring() {
    let has_joined = |number: u32| number >= 100;
    let mut ring = assign_ids((0..200).map(name));
    ring.sort();
    let is_new: Vec<bool> = ring
        .iter()
        .map(|(_, name)| {
            has_joined(
                name[2..]
                    .parse()
                    .expect("the endpoint's name has no number"),
            )
        })
        .collect();
    let longest = is_new.chunk_by(|a, b| a == b).map(<[bool]>::len).max();
    assert!(
        longest < Some(16),
        "{longest:?} endpoints in a row are all new or all old; at most 15 may be"
    );
}

#[test]
fn a_name_is_reported_as_new_once_and_again_after_its_removal() {
    let (mut ids, mut new_names) = (EndpointIds::default(), 0);
    let first = ids.get("a", |_| new_names += 1);
    assert_eq!(ids.get("a", |_| new_names += 1), first);
    ids.retain(|id| id != first);
    assert_eq!((ids.get("a", |_| new_names += 1), new_names), (first, 2));
}
