//! Injects faults of proxies, their clients and their agents.

use crate::agent::AgentMode;
use crate::error::SetupError;
use crate::proxy::Proxy;
use crate::shared_state::SharedState;
use rand::seq::SliceRandom;
use rand::Rng;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::sleep;

/// Number of idle connections that are opened.
const IDLE_CONNECTIONS: usize = 100;

/// Draws between one and `max` proxies.
fn draw_proxies(shared: &SharedState, proxies: &[Rc<Proxy>], max: usize) -> Vec<Rc<Proxy>> {
    let count = shared.draw(|random| random.gen_range(1..=max));
    shared.draw(|random| proxies.choose_multiple(random, count).cloned().collect())
}

/// Shuts down (if `graceful`) or kills some proxies at the same time, and starts them again.
pub(super) async fn restart_proxies(
    shared: &SharedState,
    proxies: &[Rc<Proxy>],
    graceful: bool,
) -> Result<(), SetupError> {
    let chosen = draw_proxies(shared, proxies, 3);
    let restarts = chosen
        .into_iter()
        .map(|proxy| spawn_local(restart(proxy, graceful)));
    join_all(restarts.collect()).await
}

async fn restart(proxy: Rc<Proxy>, graceful: bool) -> Result<(), SetupError> {
    if !proxy.reserve() {
        return Ok(());
    }
    if graceful {
        proxy.shut_down().await;
    } else {
        proxy.kill();
    }
    let result = proxy.start().await;
    proxy.release();
    result
}

/// Draws one proxy and reserves it; `None` if it is reserved already.
fn reserve_one(shared: &SharedState, proxies: &[Rc<Proxy>]) -> Option<Rc<Proxy>> {
    let proxy = draw_proxies(shared, proxies, 1).pop()?;
    proxy.reserve().then_some(proxy)
}

/// Kills a proxy several times in a row, each time soon after it is ready again.
pub(super) async fn kill_in_series(
    shared: &SharedState,
    proxies: &[Rc<Proxy>],
) -> Result<(), SetupError> {
    let Some(proxy) = reserve_one(shared, proxies) else {
        return Ok(());
    };
    for _ in 0..3 {
        proxy.kill();
        proxy.start().await?;
        sleep(shared.draw_seconds(0.1, 0.6)).await;
    }
    proxy.release();
    Ok(())
}

/// Sends a proxy several signals in a row: SIGHUP again and again, in half of the cases with SIGTERM
/// at the end.
pub(super) async fn signal_in_series(
    shared: &SharedState,
    proxies: &[Rc<Proxy>],
) -> Result<(), SetupError> {
    let Some(proxy) = reserve_one(shared, proxies) else {
        return Ok(());
    };
    for _ in 0..5 {
        proxy.signal_hangup();
        sleep(shared.draw_millis(1, 60)).await;
    }
    let result = if shared.draw_bool(0.5) {
        proxy.shut_down().await;
        proxy.start().await
    } else {
        Ok(())
    };
    proxy.release();
    result
}

/// Pauses some proxies one after the other.
pub(super) async fn pause_proxies(shared: &SharedState, proxies: &[Rc<Proxy>]) {
    let duration = shared.draw_seconds(0.02, 0.14);
    for proxy in draw_proxies(shared, proxies, 4) {
        proxy.pause(duration).await;
    }
}

/// Reloads the configuration of some proxies one after the other.
pub(super) async fn reload_proxies(
    shared: &SharedState,
    proxies: &[Rc<Proxy>],
) -> Result<(), SetupError> {
    for proxy in draw_proxies(shared, proxies, 2) {
        if proxy.reserve() {
            if proxy.accepts_connections() {
                proxy.reload().await?;
            }
            proxy.release();
        }
    }
    Ok(())
}

/// Hands off some proxies to new processes at the same time.
pub(super) async fn hand_off_proxies(
    shared: &SharedState,
    proxies: &[Rc<Proxy>],
) -> Result<(), SetupError> {
    let chosen = draw_proxies(shared, proxies, 2);
    join_all(
        chosen
            .into_iter()
            .map(|proxy| spawn_local(hand_off(proxy)))
            .collect(),
    )
    .await
}

async fn hand_off(proxy: Rc<Proxy>) -> Result<(), SetupError> {
    if !proxy.reserve() {
        return Ok(());
    }
    let result = proxy.hand_off().await;
    proxy.release();
    result
}

async fn join_all(tasks: Vec<JoinHandle<Result<(), SetupError>>>) -> Result<(), SetupError> {
    for task in tasks {
        task.await??;
    }
    Ok(())
}

/// Puts the agents of some proxies into a failing mode for a random time.
pub(super) async fn fail_agents(shared: &SharedState, proxies: &[Rc<Proxy>], mode: AgentMode) {
    let mut chosen = draw_proxies(shared, proxies, 8);
    chosen.retain(|proxy| proxy.reserve());
    for proxy in &chosen {
        shared.log_event(format!("proxy {}: agent mode is {mode:?}", proxy.number));
        proxy.set_agent_mode(mode);
    }
    sleep(shared.draw_seconds(0.3, 4.0)).await;
    for proxy in chosen {
        shared.log_event(format!("proxy {}: agent responds again", proxy.number));
        proxy.set_agent_mode(AgentMode::Responding);
        proxy.release();
    }
}

/// Opens many connections to a proxy and keeps them idle for a random time.
pub(super) async fn open_idle_connections(shared: &SharedState, proxies: &[Rc<Proxy>]) {
    let Some(proxy) = draw_proxies(shared, proxies, 1).pop() else {
        return;
    };
    let mut idle = Vec::new();
    for _ in 0..IDLE_CONNECTIONS {
        if proxy.accepts_connections() {
            idle.extend(TcpStream::connect(proxy.address).await);
        }
    }
    sleep(shared.draw_seconds(0.5, 4.0)).await;
}
