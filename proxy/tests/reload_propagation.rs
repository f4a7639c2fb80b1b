//! After a reload the proxy must apply the list of the new discovery within 4 s of the signal,
//! because the list counts as notified 4 s after the signal. The tests run on a clock that only
//! they advance.

mod common;

use common::paused_time::*;
use common::paused_time_proxy::*;
use common::scripted_discovery::WatchResponse::{RespondAfter, Unreachable};
use common::scripted_discovery::*;
use common::*;
use std::time::Duration;
use tokio::time::advance;

/// State of the watch when a new configuration arrives.
#[derive(Clone, Copy, Debug)]
enum WatchState {
    /// It is open.
    Open,
    /// It is requested, and the old discovery has not responded.
    Opening,
    /// It has failed, and is in backoff before the next request.
    Backoff,
}

/// The 4 s begin at the reload, in each state of the old watch and with each failure of the new
/// discovery before its first list. The old discovery sends no list after the reload.
#[test]
fn a_list_of_a_new_discovery_is_applied_within_4_s_of_the_reload() {
    let modes = [
        ("ask", 300, 2),
        ("ask", 300, 3),
        ("ask", 300, 4),
        ("ask", 300, 1),
        ("ask", 5, 1),
        ("push", 5, 1),
    ];
    for ((mode, balancer_count, seed), state) in modes.into_iter().flat_map(|m| {
        [WatchState::Open, WatchState::Opening, WatchState::Backoff].map(|state| (m, state))
    }) {
        for failures in failure_sequences() {
            let name =
                format!("{mode}, {balancer_count} balancers, seed {seed}, {state:?}, {failures:?}");
            run_with_paused_time(async {
                let endpoint = TestEndpoint::start([ok("served")]).await;
                let old = match state {
                    WatchState::Open => vec![NO_UPDATES()],
                    WatchState::Opening => vec![NO_RESPONSE()],
                    WatchState::Backoff => vec![REJECTED(), Unreachable(Duration::from_secs(100))],
                };
                let (old, new) = (
                    ScriptedDiscovery::start(old).await,
                    ScriptedDiscovery::start(
                        failures.into_iter().chain([draining_response(&endpoint)]),
                    )
                    .await,
                );
                let proxy =
                    PausedTimeProxy::start_with_seed(seed, mode, balancer_count, &old, endpoint)
                        .await;
                wait_without_advancing("the old discovery has a request", || {
                    old.request_count.get() == 1
                })
                .await;
                advance(50 * MS).await;
                run_ready_tasks().await;
                proxy.reload_with_discovery(&old, &new);
                let elapsed = proxy
                    .advance_until_drained("the connection to the draining endpoint is closed")
                    .await;
                assert!(
                    elapsed <= 4_000 * MS + NOTIFICATION_MARGIN,
                    "{elapsed:?}: {name}"
                );
            });
        }
    }
}

/// A new discovery may take 2 s to respond. The watch request that waits for it must not be
/// replaced by one that was scheduled before the reload, and a list that the old discovery sends
/// after the reload must be ignored.
#[test]
fn a_watch_request_that_waits_for_a_new_discovery_is_not_abandoned() {
    for balancer_count in [5, 300] {
        for state in [WatchState::Open, WatchState::Opening, WatchState::Backoff] {
            run_with_paused_time(async {
                let endpoint = TestEndpoint::start([ok("served")]).await;
                let old = match state {
                    WatchState::Open => vec![NO_UPDATES()],
                    WatchState::Opening => vec![RespondAfter(500 * MS, draining_list(&endpoint))],
                    WatchState::Backoff => vec![REJECTED(), Unreachable(Duration::from_secs(100))],
                };
                let delayed_list = RespondAfter(Duration::from_secs(2), draining_list(&endpoint));
                let (old, new) = (
                    ScriptedDiscovery::start(old).await,
                    ScriptedDiscovery::start([delayed_list]).await,
                );
                let proxy = PausedTimeProxy::start("ask", balancer_count, &old, endpoint).await;
                wait_without_advancing("the old discovery has a request", || {
                    old.request_count.get() == 1
                })
                .await;
                advance(50 * MS).await;
                run_ready_tasks().await;
                proxy.reload_with_discovery(&old, &new);
                let elapsed = proxy
                    .advance_until_drained("the connection to the draining endpoint is closed")
                    .await;
                assert!(
                    elapsed >= Duration::from_secs(2),
                    "{balancer_count} balancers, {state:?}: the old discovery was not ignored, {elapsed:?}"
                );
                assert_eq!(
                    new.request_count.get(),
                    1,
                    "{balancer_count} balancers, {state:?}"
                );
            });
        }
    }
}

/// Where lists are pushed, a list that the old discovery sends only after the reload must be
/// ignored.
#[test]
fn a_late_list_of_the_old_discovery_is_ignored_after_a_reload() {
    for delay in [60 * MS, 100 * MS, 110 * MS] {
        run_with_paused_time(async {
            let endpoint = TestEndpoint::start([ok("served")]).await;
            let old =
                ScriptedDiscovery::start([RespondAfter(delay, draining_list(&endpoint))]).await;
            let new = ScriptedDiscovery::start([NO_UPDATES()]).await;
            let proxy = PausedTimeProxy::start("push", 5, &old, endpoint).await;
            wait_without_advancing("the old discovery has a request", || {
                old.request_count.get() == 1
            })
            .await;
            advance(50 * MS).await;
            run_ready_tasks().await;
            proxy.reload_with_discovery(&old, &new);
            wait_without_advancing("the new discovery has a request", || {
                new.request_count.get() == 1
            })
            .await;
            advance_until("the old discovery has responded", || {
                !old.open_connections.borrow().is_empty()
            })
            .await;
            run_ready_tasks().await;
            assert_eq!(
                proxy.endpoint.open_connection_count.get(),
                1,
                "the old discovery's list, sent after {delay:?}, must be ignored"
            );
            assert_eq!(
                (old.request_count.get(), new.request_count.get()),
                (1, 1),
                "neither discovery may get another request"
            );
        });
    }
}
