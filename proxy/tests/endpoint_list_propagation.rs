//! The time from a change of the endpoint list until the proxy applies it, including all timeouts
//! and backoffs, on a clock that only the test advances. With a polled discovery service a change
//! counts as notified 6 s after the service both has the change and is reachable; in push mode, as
//! soon as the agent on the same machine has it.

mod common;

use common::paused_time::*;
use common::paused_time_proxy::*;
use common::scripted_discovery::WatchResponse::{Reset, Respond, Unreachable};
use common::scripted_discovery::*;
use common::*;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::advance;

/// The watch is silent from the beginning, or is reset after 0.5 s or 1.5 s; requests for the next
/// one may fail first.
#[test]
fn a_change_missed_by_a_lost_polled_watch_is_applied_within_6_s() {
    let reset_times = [None, Some(500 * MS), Some(1_500 * MS)];
    for (balancer_count, reset) in [5, 300]
        .into_iter()
        .flat_map(|count| reset_times.map(|reset| (count, reset)))
    {
        for failures in failure_sequences() {
            let case = format!("{balancer_count} balancers, reset after {reset:?}, {failures:?}");
            run_with_paused_time(async {
                let endpoint = TestEndpoint::start([ok("served")]).await;
                let script = [NO_UPDATES()]
                    .into_iter()
                    .chain(failures)
                    .chain([draining_response(&endpoint)]);
                let discovery = ScriptedDiscovery::start(script).await;
                let proxy =
                    PausedTimeProxy::start("ask", balancer_count, &discovery, endpoint).await;
                wait_without_advancing("the watch is open", || discovery.request_count.get() == 1)
                    .await;
                if let Some(after) = reset {
                    advance(after).await;
                    run_ready_tasks().await;
                    discovery.reset();
                }
                let elapsed = proxy
                    .advance_until_drained("the proxy applies the draining state")
                    .await;
                assert!(
                    elapsed <= 6_000 * MS + NOTIFICATION_MARGIN,
                    "{elapsed:?}: {case}"
                );
            });
        }
    }
}

/// Discovery is unreachable for 1 to 20 s, or leaves up to six requests without a response, so that
/// the backoffs grow. The 6 s begin when discovery is reachable again, or when the last request
/// that gets no response is sent.
#[test]
fn a_change_is_applied_within_6_s_once_a_polled_discovery_is_reachable_again() {
    for balancer_count in [5, 300] {
        for seconds in [1, 4, 8, 13, 20] {
            run_with_paused_time(async {
                let endpoint = TestEndpoint::start([ok("served")]).await;
                let unreachable = Unreachable(Duration::from_secs(seconds));
                let discovery = ScriptedDiscovery::start([
                    NO_UPDATES(),
                    unreachable,
                    draining_response(&endpoint),
                ])
                .await;
                let proxy =
                    PausedTimeProxy::start("ask", balancer_count, &discovery, endpoint).await;
                proxy
                    .advance_until_drained("the proxy applies the draining state")
                    .await;
                let reachable_since = discovery
                    .reachable_since
                    .get()
                    .expect("discovery was never unreachable");
                let elapsed = reachable_since.elapsed();
                assert!(
                    elapsed <= 6_000 * MS + NOTIFICATION_MARGIN,
                    "{elapsed:?}: unreachable for {seconds} s, {balancer_count} balancers"
                );
            });
        }
        for unanswered in 1..=6 {
            run_with_paused_time(async {
                let endpoint = TestEndpoint::start([ok("served")]).await;
                let script = [NO_UPDATES()]
                    .into_iter()
                    .chain(repeat_response(NO_RESPONSE, unanswered))
                    .chain([draining_response(&endpoint)]);
                let discovery = ScriptedDiscovery::start(script).await;
                let proxy =
                    PausedTimeProxy::start("ask", balancer_count, &discovery, endpoint).await;
                advance_until(
                    "discovery has the last request that gets no response",
                    || discovery.request_count.get() > unanswered,
                )
                .await;
                let elapsed = proxy
                    .advance_until_drained("the proxy applies the draining state")
                    .await;
                assert!(
                    elapsed <= 6_000 * MS + NOTIFICATION_MARGIN,
                    "{elapsed:?} after {unanswered} requests without a response, {balancer_count} balancers"
                );
            });
        }
    }
}

/// Time limit for applying a change that the agent has: the drain grace of 0.4 s and its slack of
/// 50 ms.
const DRAIN_GRACE_AND_SLACK: Duration = Duration::from_millis(450);

/// In push mode the watch is reset, and requests for the next one fail in this way before one
/// succeeds.
async fn assert_applied_within_drain_grace(failures: Vec<WatchResponse>) {
    let case = format!("{failures:?}");
    let endpoint = TestEndpoint::start([ok("served")]).await;
    let count = failures.len();
    let is_unreachable = failures
        .iter()
        .any(|response| matches!(response, Unreachable(_)));
    let script = [NO_UPDATES()]
        .into_iter()
        .chain(failures)
        .chain([draining_response(&endpoint)]);
    let discovery = ScriptedDiscovery::start(script).await;
    let proxy = PausedTimeProxy::start("push", 5, &discovery, endpoint).await;
    wait_without_advancing("the watch is open", || discovery.request_count.get() == 1).await;
    advance(Duration::from_secs(1)).await;
    run_ready_tasks().await;
    discovery.reset();
    advance_until(
        "discovery has the last request that fails, or was unreachable",
        || is_unreachable || discovery.request_count.get() > count,
    )
    .await;
    let elapsed = proxy
        .advance_until_drained("the proxy applies the draining state")
        .await;
    let elapsed = discovery
        .reachable_since
        .get()
        .map_or(elapsed, |reachable_since| reachable_since.elapsed());
    assert!(elapsed <= DRAIN_GRACE_AND_SLACK, "{elapsed:?}: {case}");
}

/// In push mode the watch is silent from the beginning, and requests for the next one fail in this
/// way before one succeeds.
async fn assert_applied_after_a_silent_watch(failures: Vec<WatchResponse>) {
    let case = format!("{failures:?}");
    let endpoint = TestEndpoint::start([ok("served")]).await;
    let script = [NO_UPDATES()]
        .into_iter()
        .chain(failures)
        .chain([draining_response(&endpoint)]);
    let discovery = ScriptedDiscovery::start(script).await;
    let proxy = PausedTimeProxy::start("push", 5, &discovery, endpoint).await;
    let elapsed = proxy
        .advance_until_drained("the proxy applies the draining state")
        .await;
    assert!(
        elapsed <= 6_000 * MS + NOTIFICATION_MARGIN,
        "applied {elapsed:?} after the watch fell silent: {case}"
    );
}

/// Whatever happened to earlier requests, a change counts as notified as soon as the agent has it:
/// it is applied within the drain grace and its slack.
#[test]
fn a_change_that_the_agent_has_is_applied_within_the_drain_grace() {
    let failure_kinds = [
        REJECTED,
        NO_RESPONSE,
        PARTIAL_HEAD,
        || Reset,
        || Unreachable(Duration::from_secs(8)),
    ];
    let single_failures = failure_kinds.into_iter().map(|failure| vec![failure()]);
    for failures in single_failures.chain([
        Vec::new(),
        repeat_response(NO_RESPONSE, 9),
        repeat_response(REJECTED, 9),
    ]) {
        run_with_paused_time(assert_applied_within_drain_grace(failures));
    }
    for failures in failure_sequences() {
        run_with_paused_time(assert_applied_after_a_silent_watch(failures));
    }
}

/// A new process uses the list in its configuration, which may be outdated, while its agent sends
/// nothing, accepts no connections or rejects requests. The list that the agent has when it
/// responds counts as notified at once.
#[test]
fn a_new_process_uses_its_configured_list_until_its_agent_responds() {
    let failure_kinds = [
        NO_RESPONSE,
        PARTIAL_HEAD,
        REJECTED,
        || Reset,
        || Unreachable(Duration::from_secs(5)),
    ];
    for failure in failure_kinds {
        let is_unreachable = matches!(failure(), Unreachable(_));
        let failures = repeat_response(failure, if is_unreachable { 1 } else { 30 });
        let case = format!("{:?}", failures[0]);
        run_with_paused_time(async {
            let old = TestEndpoint::start([ok("old")]).await;
            let new = TestEndpoint::start([ok("new")]).await;
            let count = failures.len();
            // The full list omits the old endpoint, which is thereby removed although it still
            // responds.
            let full = endpoint_list(42, true, &[endpoint_entry("s-1", new.address, "Ready")]);
            let script = failures
                .into_iter()
                .chain([Respond(format!("{WATCH_HEAD}{}", chunk(&full)))]);
            let discovery = ScriptedDiscovery::start(script).await;
            // `start` sends one request, which goes to the endpoint in the configured list.
            let proxy = PausedTimeProxy::start("push", 5, &discovery, old.clone()).await;
            advance_until(
                "discovery has the last request that fails, or was unreachable",
                || is_unreachable || discovery.request_count.get() >= count,
            )
            .await;
            assert_eq!(old.request_count(), 1, "{case}");
            let elapsed = proxy
                .advance_until_drained("the proxy applies the removal of the endpoint")
                .await;
            let elapsed = discovery
                .reachable_since
                .get()
                .map_or(elapsed, |reachable_since| reachable_since.elapsed());
            assert!(elapsed <= DRAIN_GRACE_AND_SLACK, "{elapsed:?}: {case}");
            let mut client = MessageReader::new(
                TcpStream::connect(proxy.address)
                    .await
                    .expect("cannot connect to the proxy"),
            );
            assert_eq!(
                client.exchange(&request("unsafe", "", "")).await.body,
                b"new",
                "{case}"
            );
            assert_eq!(
                (old.request_count(), old.accepted_connection_count.get()),
                (1, 1),
                "the old endpoint must get no more requests: {case}"
            );
        });
    }
}
