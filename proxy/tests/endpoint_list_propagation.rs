//! A change of the endpoint list counts as notified 6 s after discovery had it and could be
//! reached, and where lists are pushed as soon as the agent has it.
//! Here every wait on the way is added up, in time that only the test advances.

mod common;

use common::paused_proxy::*;
use common::paused_time::*;
use common::scripted_discovery::WatchResponse::{Reset, Respond, Unreachable};
use common::scripted_discovery::*;
use common::*;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::advance;

/// The watch is silent from the beginning, or is reset soon or later.
#[test]
fn a_change_that_a_lost_polled_watch_missed_is_applied_in_time() {
    let ends = [None, Some(500 * MS), Some(1_500 * MS)];
    for (balancer_count, reset) in [5, 300]
        .into_iter()
        .flat_map(|count| ends.map(|reset| (count, reset)))
    {
        for path in failure_sequences() {
            let name = format!("{balancer_count} balancers, reset after {reset:?}, {path:?}");
            run_with_paused_time(async {
                let endpoint = TestEndpoint::start([ok("served")]).await;
                let script = [NO_UPDATES()]
                    .into_iter()
                    .chain(path)
                    .chain([notify_draining(&endpoint)]);
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
                let discovery = ScriptedDiscovery::start([
                    NO_UPDATES(),
                    unreachable,
                    notify_draining(&endpoint),
                ])
                .await;
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

/// Until when a change that the agent has is applied: the drain grace of 0.4 s and its slack of
/// 50 ms.
const DRAIN_GRACE: Duration = Duration::from_millis(450);

/// The pushed watch is reset, and requests for the next one fail in this way before one succeeds.
async fn assert_applied_within_the_grace(path: Vec<WatchResponse>) {
    let name = format!("{path:?}");
    let endpoint = TestEndpoint::start([ok("served")]).await;
    let count = path.len();
    let is_unreachable = path
        .iter()
        .any(|response| matches!(response, Unreachable(_)));
    let script = [NO_UPDATES()]
        .into_iter()
        .chain(path)
        .chain([notify_draining(&endpoint)]);
    let discovery = ScriptedDiscovery::start(script).await;
    let proxy = PausedProxy::start("push", 5, &discovery, endpoint).await;
    wait_without_time("the watch", || discovery.request_count.get() == 1).await;
    advance(Duration::from_secs(1)).await;
    settle().await;
    discovery.reset();
    advance_until("the last that fails", || {
        is_unreachable || discovery.request_count.get() > count
    })
    .await;
    let elapsed = proxy.until_draining("the drain").await;
    let elapsed = discovery
        .reachable_since
        .get()
        .map_or(elapsed, |reachable_since| reachable_since.elapsed());
    assert!(elapsed <= DRAIN_GRACE, "{elapsed:?}: {name}");
}

/// The pushed watch is silent from the beginning, and requests for the next one fail in this way
/// before one succeeds.
async fn assert_applied_after_a_silent_watch(path: Vec<WatchResponse>) {
    let name = format!("{path:?}");
    let endpoint = TestEndpoint::start([ok("served")]).await;
    let script = [NO_UPDATES()]
        .into_iter()
        .chain(path)
        .chain([notify_draining(&endpoint)]);
    let discovery = ScriptedDiscovery::start(script).await;
    let proxy = PausedProxy::start("push", 5, &discovery, endpoint).await;
    let elapsed = proxy.until_draining("the drain").await;
    assert!(
        elapsed <= 6_000 * MS + MARGIN,
        "silent for {elapsed:?}: {name}"
    );
}

/// Whatever happened to the request before, what the agent has counts as notified at once: the
/// bound is the drain grace and its slack.
#[test]
fn a_change_that_the_agent_has_is_applied_within_the_drain_grace() {
    let fails = [
        REJECTED,
        NO_RESPONSE,
        PARTIAL_HEAD,
        || Reset,
        || Unreachable(Duration::from_secs(8)),
    ];
    let once = fails.into_iter().map(|failure| vec![failure()]);
    for path in once.chain([Vec::new(), repeated(NO_RESPONSE, 9), repeated(REJECTED, 9)]) {
        run_with_paused_time(assert_applied_within_the_grace(path));
    }
    for path in failure_sequences() {
        run_with_paused_time(assert_applied_after_a_silent_watch(path));
    }
}

/// A new process serves by the list in its configuration, which may be old, while its agent sends
/// nothing, accepts no connections or rejects requests. What the agent has when it responds counts
/// as notified at once.
#[test]
fn a_new_process_serves_by_its_configured_list_until_its_agent_responds() {
    let absent = [
        NO_RESPONSE,
        PARTIAL_HEAD,
        REJECTED,
        || Reset,
        || Unreachable(Duration::from_secs(5)),
    ];
    for failure in absent {
        let is_unreachable = matches!(failure(), Unreachable(_));
        let path = repeated(failure, if is_unreachable { 1 } else { 30 });
        let name = format!("{:?}", path[0]);
        run_with_paused_time(async {
            let old = TestEndpoint::start([ok("old")]).await;
            let new = TestEndpoint::start([ok("new")]).await;
            let count = path.len();
            // It omits the old endpoint: that is removed, though it still responds.
            let full = list(42, true, &[entry("s-1", new.address, "Ready")]);
            let script = path
                .into_iter()
                .chain([Respond(format!("{WATCH_HEAD}{}", chunk(&full)))]);
            let discovery = ScriptedDiscovery::start(script).await;
            // The start sends a request by the configured list.
            let proxy = PausedProxy::start("push", 5, &discovery, old.clone()).await;
            advance_until("the last that fails", || {
                is_unreachable || discovery.request_count.get() >= count
            })
            .await;
            assert_eq!(old.request_count(), 1, "{name}");
            let elapsed = proxy.until_draining("the removed endpoint").await;
            let elapsed = discovery
                .reachable_since
                .get()
                .map_or(elapsed, |reachable_since| reachable_since.elapsed());
            assert!(elapsed <= DRAIN_GRACE, "{elapsed:?}: {name}");
            let mut client =
                MessageReader::new(TcpStream::connect(proxy.address).await.expect("it listens"));
            assert_eq!(
                client.exchange(&request("unsafe", "", "")).await.body,
                b"new",
                "{name}"
            );
            assert_eq!(
                (old.request_count(), old.opened_connections.get()),
                (1, 1),
                "the old endpoint gets nothing more: {name}"
            );
        });
    }
}
