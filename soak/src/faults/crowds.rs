//! Injects crowds of difficult clients. None of their requests is ever complete and valid, so none may
//! reach an endpoint.

use crate::proxy::Proxy;
use crate::shared_state::SharedState;
use crowd::{Behaviour, Flood, FloodKind};
use rand::seq::SliceRandom;
use std::rc::Rc;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Number of clients of a crowd: more than a proxy's descriptors allow.
const CLIENTS: usize = 150;
/// The floods to draw from.
const FLOODS: [FloodKind; 4] = [
    FloodKind::Health,
    FloodKind::NewClasses,
    FloodKind::Unsound,
    FloodKind::Garbage,
];

/// Runs a crowd against a proxy for a random time, in a quarter of the cases beside a flood.
pub(super) async fn run_crowd(shared: &SharedState, proxies: &[Rc<Proxy>]) {
    let Some(proxy) = shared.draw(|random| proxies.choose(random).cloned()) else {
        return;
    };
    if !proxy.accepts_connections() {
        return;
    }
    let kinds = shared.draw(|random| {
        Behaviour::INCOMPLETE
            .choose_multiple(random, 2)
            .copied()
            .collect()
    });
    let kinds: Vec<Behaviour> = kinds;
    let flood = shared.draw(|random| FLOODS.choose(random).copied());
    let flood = flood.filter(|_| shared.draw_bool(0.25));
    shared.log_event(format!(
        "proxy {}: a crowd of {kinds:?} and a flood of {flood:?}",
        proxy.number
    ));
    let address = proxy.address;
    let _flood = flood.map(|kind| Flood::start(address, kind));
    let behaviours = kinds.into_iter().cycle().take(CLIENTS);
    // A client whose connection the proxy closes has left.
    let clients =
        behaviours.map(|behaviour| spawn_local(async move { drop(behaviour.run(address).await) }));
    let clients: Vec<_> = clients.collect();
    sleep(shared.draw_seconds(0.5, 4.0)).await;
    for client in clients {
        client.abort();
    }
}
