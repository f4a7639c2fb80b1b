//! Numbers of servers: the ring that all proxies share is in their order.

use balancer::EndpointId;
use client_proxy::control::endpoint_ids::EndpointIds;

fn numbers(names: impl Iterator<Item = String>) -> Vec<(EndpointId, String)> {
    let mut ids = EndpointIds::default();
    names.map(|name| (ids.get(&name, |_| {}), name)).collect()
}

fn name(number: u32) -> String {
    format!("s-{number:04}")
}

#[test]
fn what_a_proxy_has_heard_of_before_does_not_change_a_servers_number() {
    let mut forward = numbers((0..2_000).map(name));
    let mut backward = numbers((0..2_000).rev().map(name));
    forward.sort();
    backward.sort();
    assert_eq!(forward, backward);
    assert!(forward.windows(2).all(|pair| pair[0].0 != pair[1].0), "no two have the same");
}

/// Servers that join together are cold together: side by side on the ring, the calls meant for them would all go to the few
/// servers behind them.
#[test]
fn servers_that_join_together_do_not_stand_side_by_side() {
    let joined = |number: u32| number >= 100;
    let mut ring = numbers((0..200).map(name));
    ring.sort();
    let fresh: Vec<bool> =
        ring.iter().map(|(_, name)| joined(name[2..].parse().expect("a number"))).collect();
    let longest = fresh.chunk_by(|a, b| a == b).map(<[bool]>::len).max();
    assert!(longest < Some(16), "{longest:?} of 100");
}

#[test]
fn a_name_is_new_once_and_again_when_it_was_forgotten() {
    let (mut ids, mut met) = (EndpointIds::default(), 0);
    let first = ids.get("a", |_| met += 1);
    assert_eq!(ids.get("a", |_| met += 1), first);
    ids.retain(|id| id != first);
    assert_eq!((ids.get("a", |_| met += 1), met), (first, 2));
}
