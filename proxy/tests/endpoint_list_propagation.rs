//! A change of the endpoint list counts as notified 6 s after discovery had it and could be
//! reached, 4 s after a new configuration, and where lists are pushed as soon as the agent has it.
//! Here every wait on the way is added up, in time that only the test advances.

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

/// What the operators' times leave for the drain grace; the steps of the test's clock are in it.
const MARGIN: Duration = Duration::from_millis(200);

/// A watch whose first list says that this endpoint is draining.
fn notify_draining(endpoint: &TestEndpoint) -> WatchResponse {
    Respond(draining_list(endpoint))
}

fn draining_list(endpoint: &TestEndpoint) -> String {
    format!("{WATCH_HEAD}{}", chunk(&list(42, true, &[entry("s-0", endpoint.address, "Terminating")])))
}

/// A proxy in paused time, with a connection to its one endpoint that is idle until the proxy is
/// notified that the endpoint is draining.
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
        wait_without_time("a connection is idle", || endpoint.open_connections.get() == 1).await;
        // Its client stays connected.
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

    /// Advances the clock until the proxy has closed its idle connection, and returns by how much.
    async fn until_draining(&self, what: &str) -> Duration {
        advance_until(what, || self.endpoint.open_connections.get() == 0).await
    }
}

fn repeated(failure: fn() -> WatchResponse, count: usize) -> Vec<WatchResponse> {
    std::iter::repeat_with(failure).take(count).collect()
}

/// The responses that requests for a watch may get before one succeeds, with discovery in reach.
fn failure_sequences() -> Vec<Vec<WatchResponse>> {
    let one = [REJECTED, LATE_REJECTED, NO_RESPONSE, PARTIAL_HEAD, NO_UPDATES, || Reset];
    let mut paths: Vec<_> = one.into_iter().map(|failure| vec![failure()]).collect();
    paths.push(Vec::new());
    paths
}

/// The watch is silent from the beginning, or is reset soon or later.
#[test]
fn a_change_that_a_lost_polled_watch_missed_is_applied_in_time() {
    let ends = [None, Some(500 * MS), Some(1_500 * MS)];
    for (balancer_count, reset) in [5, 300].into_iter().flat_map(|count| ends.map(|reset| (count, reset))) {
        for path in failure_sequences() {
            let name = format!("{balancer_count} balancers, reset after {reset:?}, {path:?}");
            run_with_paused_time(async {
                let endpoint = TestEndpoint::start([ok("served")]).await;
                let script = [NO_UPDATES()].into_iter().chain(path).chain([notify_draining(&endpoint)]);
                let discovery = ScriptedDiscovery::start(script).await;
                let proxy = PausedProxy::start("ask", balancer_count, &discovery, endpoint).await;
                wait_without_time("the watch", || discovery.request_count.get() == 1).await;
                if let Some(after) = reset {
                    advance(after).await;
                    settle().await;
                    discovery.reset();
                }
                let elapsed = proxy.until_draining("the drain").await;
                assert!(elapsed <= 6_000 * MS + MARGIN, "{elapsed:?}: {name}");
            });
        }
    }
}

/// Discovery was unreachable for so long that all backoffs have grown: the time counts from its
/// return, or from the beginning of a request that is abandoned.
#[test]
fn a_change_is_applied_in_time_once_a_polled_discovery_is_reachable_again() {
    for balancer_count in [5, 300] {
        for seconds in [1, 4, 8, 13, 20] {
            run_with_paused_time(async {
                let endpoint = TestEndpoint::start([ok("served")]).await;
                let unreachable = Unreachable(Duration::from_secs(seconds));
                let discovery =
                    ScriptedDiscovery::start([NO_UPDATES(), unreachable, notify_draining(&endpoint)]).await;
                let proxy = PausedProxy::start("ask", balancer_count, &discovery, endpoint).await;
                proxy.until_draining("the drain").await;
                let reachable_since = discovery.reachable_since.get().expect("it was unreachable");
                let elapsed = reachable_since.elapsed();
                assert!(
                    elapsed <= 6_000 * MS + MARGIN,
                    "{elapsed:?}: unreachable for {seconds} s, {balancer_count} balancers"
                );
            });
        }
        for silent in 1..=6 {
            run_with_paused_time(async {
                let endpoint = TestEndpoint::start([ok("served")]).await;
                let script = [NO_UPDATES()]
                    .into_iter()
                    .chain(repeated(NO_RESPONSE, silent))
                    .chain([notify_draining(&endpoint)]);
                let discovery = ScriptedDiscovery::start(script).await;
                let proxy = PausedProxy::start("ask", balancer_count, &discovery, endpoint).await;
                advance_until("the last request without a response", || {
                    discovery.request_count.get() > silent
                })
                .await;
                let elapsed = proxy.until_draining("the drain").await;
                assert!(
                    elapsed <= 6_000 * MS + MARGIN,
                    "{elapsed:?} after {silent} requests without a response, {balancer_count} balancers"
                );
            });
        }
    }
}

/// Whatever happened to the request before, what the agent has counts as notified at once: the
/// bound is the drain grace of 0.4 s and its slack of 50 ms.
#[test]
fn a_change_that_the_agent_has_is_applied_within_the_drain_grace() {
    let grace = Duration::from_millis(450);
    let fails = [REJECTED, NO_RESPONSE, PARTIAL_HEAD, || Reset, || Unreachable(Duration::from_secs(8))];
    for path in fails.into_iter().map(|failure| vec![failure()]).chain([
        Vec::new(),
        repeated(NO_RESPONSE, 9),
        repeated(REJECTED, 9),
    ]) {
        let name = format!("{path:?}");
        run_with_paused_time(async {
            let endpoint = TestEndpoint::start([ok("served")]).await;
            let (count, is_unreachable) =
                (path.len(), path.iter().any(|response| matches!(response, Unreachable(_))));
            let script = [NO_UPDATES()].into_iter().chain(path).chain([notify_draining(&endpoint)]);
            let discovery = ScriptedDiscovery::start(script).await;
            let proxy = PausedProxy::start("push", 5, &discovery, endpoint).await;
            wait_without_time("the watch", || discovery.request_count.get() == 1).await;
            advance(Duration::from_secs(1)).await;
            settle().await;
            discovery.reset();
            advance_until("the last that fails", || is_unreachable || discovery.request_count.get() > count)
                .await;
            let elapsed = proxy.until_draining("the drain").await;
            let elapsed =
                discovery.reachable_since.get().map_or(elapsed, |reachable_since| reachable_since.elapsed());
            assert!(elapsed <= grace, "{elapsed:?}: {name}");
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
            let elapsed = proxy.until_draining("the drain").await;
            assert!(elapsed <= 6_000 * MS + MARGIN, "silent for {elapsed:?}: {name}");
        });
    }
}

/// What the watch is at when a new configuration arrives.
#[derive(Clone, Copy, Debug)]
enum WatchPhase {
    /// It is open.
    Open,
    /// It is being opened, and the old discovery has not responded.
    Opening,
    /// It waits for its backoff.
    Backoff,
}

/// The time counts from the reload, whatever the watch was at, and the old discovery sends nothing
/// more.
#[test]
fn a_change_that_a_new_discovery_has_is_applied_in_time() {
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
                wait_without_time("the old discovery has a request", || old.request_count.get() == 1).await;
                advance(50 * MS).await;
                settle().await;
                proxy.reload_with_discovery(&old, &new);
                let elapsed = proxy.until_draining("the drain").await;
                assert!(elapsed <= 4_000 * MS + MARGIN, "{elapsed:?}: {name}");
            });
        }
    }
}

/// A request that waits for its turn at the new discovery is not replaced by one that was planned
/// before, and what the old one sends after the reload is ignored.
#[test]
fn a_request_that_queues_at_a_new_discovery_is_not_abandoned() {
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
                wait_without_time("the old discovery has a request", || old.request_count.get() == 1).await;
                advance(50 * MS).await;
                settle().await;
                proxy.reload_with_discovery(&old, &new);
                let elapsed = proxy.until_draining("the drain").await;
                assert!(
                    elapsed >= Duration::from_secs(2),
                    "{elapsed:?}: the old discovery was not ignored, {at:?}"
                );
                assert_eq!(new.request_count.get(), 1, "{balancer_count} balancers, {at:?}");
            });
        }
    }
}

/// The same where lists are pushed: an agent that responds only after the reload is ignored.
#[test]
fn a_late_response_of_the_old_agent_is_ignored_after_a_reload() {
    for delay in [60 * MS, 100 * MS, 110 * MS] {
        run_with_paused_time(async {
            let endpoint = TestEndpoint::start([ok("served")]).await;
            let old = ScriptedDiscovery::start([RespondAfter(delay, draining_list(&endpoint))]).await;
            let new = ScriptedDiscovery::start([NO_UPDATES()]).await;
            let proxy = PausedProxy::start("push", 5, &old, endpoint).await;
            wait_without_time("the old discovery has a request", || old.request_count.get() == 1).await;
            advance(50 * MS).await;
            settle().await;
            proxy.reload_with_discovery(&old, &new);
            wait_without_time("the new discovery has a request", || new.request_count.get() == 1).await;
            advance_until("the old discovery has responded", || !old.open_connections.borrow().is_empty())
                .await;
            settle().await;
            assert_eq!(proxy.endpoint.open_connections.get(), 1, "applied after {delay:?}");
            assert_eq!(
                (old.request_count.get(), new.request_count.get()),
                (1, 1),
                "neither gets another request"
            );
        });
    }
}

/// A new process serves by the list in its configuration, which may be old, while its agent sends
/// nothing, accepts no connections or rejects requests. What the agent has when it responds counts
/// as notified at once.
#[test]
fn a_new_process_serves_by_its_configured_list_until_its_agent_responds() {
    let absent = [NO_RESPONSE, PARTIAL_HEAD, REJECTED, || Reset, || Unreachable(Duration::from_secs(5))];
    for path in absent
        .into_iter()
        .map(|failure| repeated(failure, if matches!(failure(), Unreachable(_)) { 1 } else { 30 }))
    {
        let name = format!("{:?}", path[0]);
        run_with_paused_time(async {
            let (old, new) = (TestEndpoint::start([ok("old")]).await, TestEndpoint::start([ok("new")]).await);
            let (count, is_unreachable) = (path.len(), matches!(path[0], Unreachable(_)));
            // It omits the old endpoint: that is removed, though it still responds.
            let full = list(42, true, &[entry("s-1", new.address, "Ready")]);
            let script = path.into_iter().chain([Respond(format!("{WATCH_HEAD}{}", chunk(&full)))]);
            let discovery = ScriptedDiscovery::start(script).await;
            // The start sends a request by the configured list.
            let proxy = PausedProxy::start("push", 5, &discovery, old.clone()).await;
            advance_until("the last that fails", || is_unreachable || discovery.request_count.get() >= count)
                .await;
            assert_eq!(old.request_count(), 1, "{name}");
            let elapsed = proxy.until_draining("the removed endpoint").await;
            let elapsed =
                discovery.reachable_since.get().map_or(elapsed, |reachable_since| reachable_since.elapsed());
            assert!(elapsed <= Duration::from_millis(450), "{elapsed:?}: {name}");
            let mut client = MessageReader::new(TcpStream::connect(proxy.address).await.expect("it listens"));
            assert_eq!(client.exchange(&request("unsafe", "", "")).await.body, b"new", "{name}");
            assert_eq!(
                (old.request_count(), old.opened_connections.get()),
                (1, 1),
                "the old endpoint gets nothing more: {name}"
            );
        });
    }
}
