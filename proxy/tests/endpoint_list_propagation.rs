//! A change of the list counts as told 6 s after discovery had it and could be reached, 4 s after a new configuration, and
//! where lists are pushed as soon as the agent has it. Here every wait on the way is added up, in time that only the test
//! moves.

mod common;

use client_proxy::config::Config;
use common::paused_time::*;
use common::scripted_discovery::WatchResponse::{Reset, Respond, RespondAfter, Unreachable};
use common::scripted_discovery::*;
use common::*;
use std::net::SocketAddr;
use std::slice::from_ref;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::advance;

/// What is left of the times of the pages for the drain grace; the tests' steps are in it.
const MARGIN: Duration = Duration::from_millis(200);

/// A watch that says at once that this host finishes its work.
fn notify_draining(endpoint: &TestEndpoint) -> WatchResponse {
    Respond(draining_list(endpoint))
}

fn draining_list(endpoint: &TestEndpoint) -> String {
    format!("{WATCH_HEAD}{}", chunk(&list(42, true, &[entry("s-0", endpoint.address, "Terminating")])))
}

/// A proxy in time that stands still, with a connection that rests at its one host until it hears that this drains.
struct PausedProxy {
    endpoint: TestEndpoint,
    address: SocketAddr,
    reload: mpsc::UnboundedSender<Config>,
    config: String,
}

impl PausedProxy {
    async fn start(
        mode: &str,
        balancer_count: u32,
        discovery: &ScriptedDiscovery,
        endpoint: TestEndpoint,
    ) -> PausedProxy {
        PausedProxy::with_seed(1, mode, balancer_count, discovery, endpoint).await
    }

    async fn with_seed(
        seed: u64,
        mode: &str,
        balancer_count: u32,
        discovery: &ScriptedDiscovery,
        endpoint: TestEndpoint,
    ) -> PausedProxy {
        let config = configuration(discovery.address, from_ref(&endpoint), |config| {
            config["seed"] = format!("{seed:x}").into();
            config["settings"]["discovery"] = mode.into();
            config["settings"]["balancers"] = balancer_count.into();
            config["settings"]["invariants"]["ask_every_us"] = 10_000_000.into();
        });
        let read = Config::parse(&config).expect("a good configuration");
        let clients = client_proxy::process_handoff::bind(read.listen).expect("bound");
        let address = clients.local_addr().expect("an address");
        let (reload, mut reloads) = mpsc::unbounded_channel();
        let listeners = client_proxy::Listeners { clients, operators: None };
        let next = async move || reloads.recv().await.map(Ok);
        spawn_local(client_proxy::run(read, listeners, None, next, std::future::pending()));
        settle().await;
        let mut client = MessageReader::new(TcpStream::connect(address).await.expect("it listens"));
        assert_eq!(client.exchange(&request("free", "", "")).await.status(), 200);
        wait_without_time("a connection rests", || endpoint.open_connections.get() == 1).await;
        // Its client stays.
        spawn_local(async move {
            std::future::pending::<()>().await;
            drop(client)
        });
        PausedProxy { endpoint, address, reload, config }
    }

    fn reload_with_discovery(&self, from: &ScriptedDiscovery, to: &ScriptedDiscovery) {
        let config = self.config.replace(&from.address.to_string(), &to.address.to_string());
        self.reload.send(Config::parse(&config).expect("a good configuration")).expect("it runs");
    }

    /// Until the proxy acts on what it was told last.
    async fn until_draining(&self, what: &str) -> Duration {
        advance_until(what, || self.endpoint.open_connections.get() == 0).await
    }
}

fn repeated(failure: fn() -> WatchResponse, count: usize) -> Vec<WatchResponse> {
    std::iter::repeat_with(failure).take(count).collect()
}

/// What calls for a watch that was lost may meet before one is answered, discovery being within reach.
fn failure_sequences() -> Vec<Vec<WatchResponse>> {
    let one = [REJECTED, LATE_REJECTED, NO_RESPONSE, PARTIAL_HEAD, NO_UPDATES, || Reset];
    let mut paths: Vec<_> = one.into_iter().map(|call| vec![call()]).collect();
    paths.push(Vec::new());
    paths
}

/// A watch that falls silent at once, or is reset soon or later.
#[test]
fn what_a_lost_asked_watch_missed_is_acted_on_in_time() {
    let ends = [None, Some(500 * MS), Some(1_500 * MS)];
    for (balancer_count, reset) in [5, 300].into_iter().flat_map(|count| ends.map(|reset| (count, reset))) {
        for path in failure_sequences() {
            let name = format!("{balancer_count} balancers, reset after {reset:?}, {path:?}");
            run_with_paused_time(async {
                let endpoint = TestEndpoint::start([ok("served")]).await;
                let calls = [NO_UPDATES()].into_iter().chain(path).chain([notify_draining(&endpoint)]);
                let discovery = ScriptedDiscovery::start(calls).await;
                let proxy = PausedProxy::start("ask", balancer_count, &discovery, endpoint).await;
                wait_without_time("the watch", || discovery.request_count.get() == 1).await;
                if let Some(after) = reset {
                    advance(after).await;
                    settle().await;
                    discovery.reset();
                }
                let took = proxy.until_draining("the drain").await;
                assert!(took <= 6_000 * MS + MARGIN, "{took:?}: {name}");
            });
        }
    }
}

/// Discovery was away for so long that all waits have grown: from its return on, or from the beginning of a call that
/// is given up, no more than the time goes by.
#[test]
fn what_an_asked_discovery_has_on_its_return_is_acted_on_in_time() {
    for balancer_count in [5, 300] {
        for seconds in [1, 4, 8, 13, 20] {
            run_with_paused_time(async {
                let endpoint = TestEndpoint::start([ok("served")]).await;
                let away = Unreachable(Duration::from_secs(seconds));
                let discovery =
                    ScriptedDiscovery::start([NO_UPDATES(), away, notify_draining(&endpoint)]).await;
                let proxy = PausedProxy::start("ask", balancer_count, &discovery, endpoint).await;
                proxy.until_draining("the drain").await;
                let back = discovery.reachable_since.get().expect("it was away");
                let took = back.elapsed();
                assert!(
                    took <= 6_000 * MS + MARGIN,
                    "{took:?}: away for {seconds} s, {balancer_count} balancers"
                );
            });
        }
        for silent in 1..=6 {
            run_with_paused_time(async {
                let endpoint = TestEndpoint::start([ok("served")]).await;
                let calls = [NO_UPDATES()]
                    .into_iter()
                    .chain(repeated(NO_RESPONSE, silent))
                    .chain([notify_draining(&endpoint)]);
                let discovery = ScriptedDiscovery::start(calls).await;
                let proxy = PausedProxy::start("ask", balancer_count, &discovery, endpoint).await;
                advance_until("the last silent call", || discovery.request_count.get() > silent).await;
                let took = proxy.until_draining("the drain").await;
                assert!(
                    took <= 6_000 * MS + MARGIN,
                    "{took:?} after {silent} silent calls, {balancer_count} balancers"
                );
            });
        }
    }
}

/// Whatever became of the call before, what the agent has counts as told at once: here are the drain grace of 0.4 s and
/// its slack of 50 ms.
#[test]
fn what_the_agent_has_is_acted_on_within_the_drain_grace() {
    let grace = Duration::from_millis(450);
    let fails = [REJECTED, NO_RESPONSE, PARTIAL_HEAD, || Reset, || Unreachable(Duration::from_secs(8))];
    for path in fails.into_iter().map(|call| vec![call()]).chain([
        Vec::new(),
        repeated(NO_RESPONSE, 9),
        repeated(REJECTED, 9),
    ]) {
        let name = format!("{path:?}");
        run_with_paused_time(async {
            let endpoint = TestEndpoint::start([ok("served")]).await;
            let (count, away) = (path.len(), path.iter().any(|call| matches!(call, Unreachable(_))));
            let calls = [NO_UPDATES()].into_iter().chain(path).chain([notify_draining(&endpoint)]);
            let discovery = ScriptedDiscovery::start(calls).await;
            let proxy = PausedProxy::start("push", 5, &discovery, endpoint).await;
            wait_without_time("the watch", || discovery.request_count.get() == 1).await;
            advance(Duration::from_secs(1)).await;
            settle().await;
            discovery.reset();
            advance_until("the last that fails", || away || discovery.request_count.get() > count).await;
            let took = proxy.until_draining("the drain").await;
            let took = discovery.reachable_since.get().map_or(took, |back| back.elapsed());
            assert!(took <= grace, "{took:?}: {name}");
        });
    }
    for path in failure_sequences() {
        let name = format!("{path:?}");
        run_with_paused_time(async {
            let endpoint = TestEndpoint::start([ok("served")]).await;
            let discovery = ScriptedDiscovery::start(
                [NO_UPDATES()].into_iter().chain(path).chain([notify_draining(&endpoint)]),
            )
            .await;
            let proxy = PausedProxy::start("push", 5, &discovery, endpoint).await;
            let took = proxy.until_draining("the drain").await;
            assert!(took <= 6_000 * MS + MARGIN, "silent for {took:?}: {name}");
        });
    }
}

/// What the proxy is at when a new configuration comes.
#[derive(Clone, Copy, Debug)]
enum WatchPhase {
    /// Its watch is open.
    Open,
    /// It is opening one, and the old discovery has not answered.
    Opening,
    /// It waits before it calls again.
    Backoff,
}

/// The time is counted from the signal on, whatever the proxy was at, and the old discovery says nothing more.
#[test]
fn what_a_new_discovery_has_is_acted_on_in_time() {
    let modes =
        [("ask", 300, 2), ("ask", 300, 3), ("ask", 300, 4), ("ask", 300, 1), ("ask", 5, 1), ("push", 5, 1)];
    for ((mode, balancer_count, seed), at) in modes
        .into_iter()
        .flat_map(|m| [WatchPhase::Open, WatchPhase::Opening, WatchPhase::Backoff].map(|at| (m, at)))
    {
        for path in failure_sequences() {
            let name = format!("{mode}, {balancer_count} balancers, seed {seed}, {at:?}, {path:?}");
            run_with_paused_time(async {
                let endpoint = TestEndpoint::start([ok("served")]).await;
                let old = match at {
                    WatchPhase::Open => vec![NO_UPDATES()],
                    WatchPhase::Opening => vec![NO_RESPONSE()],
                    WatchPhase::Backoff => vec![REJECTED(), Unreachable(Duration::from_secs(100))],
                };
                let (old, new) = (
                    ScriptedDiscovery::start(old).await,
                    ScriptedDiscovery::start(path.into_iter().chain([notify_draining(&endpoint)])).await,
                );
                let proxy = PausedProxy::with_seed(seed, mode, balancer_count, &old, endpoint).await;
                wait_without_time("the old one is called", || old.request_count.get() == 1).await;
                advance(50 * MS).await;
                settle().await;
                proxy.reload_with_discovery(&old, &new);
                let took = proxy.until_draining("the drain").await;
                assert!(took <= 4_000 * MS + MARGIN, "{took:?}: {name}");
            });
        }
    }
}

/// A call that waits for its turn at the new discovery is not broken off for one that was planned before, and what the
/// old one answers after the signal is not taken.
#[test]
fn a_call_to_a_new_discovery_is_left_its_turn() {
    for balancer_count in [5, 300] {
        for at in [WatchPhase::Open, WatchPhase::Opening, WatchPhase::Backoff] {
            run_with_paused_time(async {
                let endpoint = TestEndpoint::start([ok("served")]).await;
                let old = match at {
                    WatchPhase::Open => vec![NO_UPDATES()],
                    WatchPhase::Opening => vec![RespondAfter(500 * MS, draining_list(&endpoint))],
                    WatchPhase::Backoff => vec![REJECTED(), Unreachable(Duration::from_secs(100))],
                };
                let turn = RespondAfter(Duration::from_secs(2), draining_list(&endpoint));
                let (old, new) =
                    (ScriptedDiscovery::start(old).await, ScriptedDiscovery::start([turn]).await);
                let proxy = PausedProxy::start("ask", balancer_count, &old, endpoint).await;
                wait_without_time("the old one is called", || old.request_count.get() == 1).await;
                advance(50 * MS).await;
                settle().await;
                proxy.reload_with_discovery(&old, &new);
                let took = proxy.until_draining("the drain").await;
                assert!(took >= Duration::from_secs(2), "{took:?}: the old one was heard, {at:?}");
                assert_eq!(new.request_count.get(), 1, "{balancer_count} balancers, {at:?}");
            });
        }
    }
}

/// The same where lists are pushed: an agent that is slow to answer until the signal is not heard after it.
#[test]
fn an_old_agent_that_answers_after_the_signal_is_not_heard() {
    for delay in [60 * MS, 100 * MS, 110 * MS] {
        run_with_paused_time(async {
            let endpoint = TestEndpoint::start([ok("served")]).await;
            let old = ScriptedDiscovery::start([RespondAfter(delay, draining_list(&endpoint))]).await;
            let new = ScriptedDiscovery::start([NO_UPDATES()]).await;
            let proxy = PausedProxy::start("push", 5, &old, endpoint).await;
            wait_without_time("the old one is called", || old.request_count.get() == 1).await;
            advance(50 * MS).await;
            settle().await;
            proxy.reload_with_discovery(&old, &new);
            wait_without_time("the new one is called", || new.request_count.get() == 1).await;
            advance_until("the old one has answered", || !old.open_connections.borrow().is_empty()).await;
            settle().await;
            assert_eq!(proxy.endpoint.open_connections.get(), 1, "heard after {delay:?}");
            assert_eq!(
                (old.request_count.get(), new.request_count.get()),
                (1, 1),
                "and nobody is called again"
            );
        });
    }
}

/// A new process serves by the list that it was given, which may be old, while its agent says nothing, takes no
/// connections or refuses. What the agent has when it speaks counts as told at once.
#[test]
fn a_new_process_serves_by_an_old_list_until_its_agent_speaks() {
    let absent = [NO_RESPONSE, PARTIAL_HEAD, REJECTED, || Reset, || Unreachable(Duration::from_secs(5))];
    for path in absent
        .into_iter()
        .map(|failure| repeated(failure, if matches!(failure(), Unreachable(_)) { 1 } else { 30 }))
    {
        let name = format!("{:?}", path[0]);
        run_with_paused_time(async {
            let (old, new) = (TestEndpoint::start([ok("old")]).await, TestEndpoint::start([ok("new")]).await);
            let (count, away) = (path.len(), matches!(path[0], Unreachable(_)));
            // It leaves the old one out: that has gone, though it still answers.
            let whole = list(42, true, &[entry("s-1", new.address, "Ready")]);
            let calls = path.into_iter().chain([Respond(format!("{WATCH_HEAD}{}", chunk(&whole)))]);
            let discovery = ScriptedDiscovery::start(calls).await;
            // The start sends a request by the list that it knows.
            let proxy = PausedProxy::start("push", 5, &discovery, old.clone()).await;
            advance_until("the last that fails", || away || discovery.request_count.get() >= count).await;
            assert_eq!(old.request_count(), 1, "{name}");
            let took = proxy.until_draining("what has gone").await;
            let took = discovery.reachable_since.get().map_or(took, |back| back.elapsed());
            assert!(took <= Duration::from_millis(450), "{took:?}: {name}");
            let mut client = MessageReader::new(TcpStream::connect(proxy.address).await.expect("it listens"));
            assert_eq!(client.exchange(&request("unsafe", "", "")).await.body, b"new", "{name}");
            assert_eq!(
                (old.request_count(), old.opened_connections.get()),
                (1, 1),
                "nothing more to the old one: {name}"
            );
        });
    }
}
