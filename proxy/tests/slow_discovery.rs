//! Discovery that is slow: each call, or only some, is answered late. A change is applied all the
//! same, on a clock that only the test advances.

mod common;

use common::paused_time::*;
use common::paused_time_proxy::*;
use common::scripted_discovery::WatchResponse::{Reset, RespondAfter};
use common::scripted_discovery::*;
use common::*;
use std::time::Duration;
use tokio::time::advance;

/// Time after which a change counts as notified at the latest.
const NOTIFICATION_TIMEOUT: Duration = Duration::from_secs(6);
/// Slack on the drain grace.
const SLACK: Duration = Duration::from_millis(50);
const DELAYS_MS: [u64; 6] = [50, 150, 300, 500, 1_000, 2_000];
const MODES: [&str; 2] = ["push", "ask"];
const GRACES_MS: [u64; 2] = [200, 400];
/// More responses than any of these proxies asks for.
const MANY: usize = 100;

/// Starts a proxy whose list is pushed or polled, with this drain grace.
async fn start_proxy(
    mode: &str,
    grace: Duration,
    discovery: &ScriptedDiscovery,
    endpoint: TestEndpoint,
) -> PausedTimeProxy {
    PausedTimeProxy::start_with(discovery, endpoint, |config| {
        config["seed"] = "1".into();
        config["settings"]["discovery"] = mode.into();
        config["settings"]["balancers"] = 5.into();
        config["settings"]["invariants"]["drain_grace_us"] = (grace.as_micros() as u64).into();
    })
    .await
}

/// The response to a watch request after this delay: the endpoint is draining.
fn late_draining_response(delay: Duration, endpoint: &TestEndpoint) -> WatchResponse {
    RespondAfter(delay, draining_list(endpoint))
}

/// How long a proxy takes to apply a change that discovery has when the open watch is reset. The
/// calls after that get these responses, then late ones with the change.
async fn time_to_apply(
    mode: &str,
    grace: Duration,
    failures: Vec<WatchResponse>,
    delay: Duration,
) -> Duration {
    let endpoint = TestEndpoint::start([ok("served")]).await;
    let late = vec![late_draining_response(delay, &endpoint); MANY];
    let script = [NO_UPDATES()].into_iter().chain(failures).chain(late);
    let discovery = ScriptedDiscovery::start(script).await;
    let proxy = start_proxy(mode, grace, &discovery, endpoint).await;
    wait_without_advancing("the watch is open", || discovery.request_count.get() == 1).await;
    advance(Duration::from_millis(1_500)).await;
    run_ready_tasks().await;
    discovery.reset();
    proxy
        .advance_until_drained("the proxy applies the draining state")
        .await
}

/// The proxy waited for each answer for the same short time, and called again: a discovery that
/// took longer was never heard.
#[test]
fn a_change_is_applied_although_each_call_to_discovery_is_answered_late() {
    for mode in MODES {
        for (grace_ms, delay_ms) in GRACES_MS
            .into_iter()
            .flat_map(|grace| DELAYS_MS.map(|delay| (grace, delay)))
        {
            run_with_paused_time(async {
                let grace = Duration::from_millis(grace_ms);
                let delay = Duration::from_millis(delay_ms);
                let elapsed = time_to_apply(mode, grace, Vec::new(), delay).await;
                let limit = NOTIFICATION_TIMEOUT + grace;
                assert!(
                    elapsed <= limit,
                    "{mode}, {grace:?}, {delay:?}: {elapsed:?}"
                );
            });
        }
    }
}

/// What the agent has counts as notified at once. An answer that takes half of the drain grace is
/// soon enough.
#[test]
fn a_pushed_change_that_comes_within_the_drain_grace_is_applied_within_it() {
    for grace_ms in GRACES_MS {
        run_with_paused_time(async {
            let grace = Duration::from_millis(grace_ms);
            let elapsed = time_to_apply("push", grace, Vec::new(), grace / 2).await;
            assert!(elapsed <= grace + SLACK, "{grace:?}: {elapsed:?}");
        });
    }
}

/// A new process whose discovery is slow from its start on learns that its cached list is outdated.
#[test]
fn a_new_process_learns_the_list_from_a_slow_discovery() {
    for mode in MODES {
        for delay in DELAYS_MS.map(Duration::from_millis) {
            run_with_paused_time(async {
                let endpoint = TestEndpoint::start([ok("served")]).await;
                let script = vec![late_draining_response(delay, &endpoint); MANY];
                let discovery = ScriptedDiscovery::start(script).await;
                let grace = Duration::from_millis(400);
                let proxy = start_proxy(mode, grace, &discovery, endpoint).await;
                let elapsed = proxy
                    .advance_until_drained("the proxy applies the draining state")
                    .await;
                assert!(
                    elapsed <= NOTIFICATION_TIMEOUT,
                    "{mode}, {delay:?}: {elapsed:?}"
                );
            });
        }
    }
}

/// Calls that fail or are never answered come before the late ones. The 6 s begin with the first
/// call that is answered, however long discovery was silent.
#[test]
fn a_change_is_applied_once_discovery_is_slow_after_it_was_silent_or_failed() {
    for mode in MODES {
        for delay in DELAYS_MS.map(Duration::from_millis) {
            for failures in [
                vec![Reset],
                vec![REJECTED(), NO_RESPONSE()],
                vec![NO_RESPONSE(), PARTIAL_HEAD(), REJECTED_LATE()],
                repeat_response(NO_RESPONSE, 2),
                repeat_response(NO_RESPONSE, 20),
            ] {
                let case = format!("{mode}, {delay:?}, {failures:?}");
                run_with_paused_time(async {
                    let endpoint = TestEndpoint::start([ok("served")]).await;
                    let failure_count = failures.len();
                    let late = vec![late_draining_response(delay, &endpoint); MANY];
                    let script = [NO_UPDATES()].into_iter().chain(failures).chain(late);
                    let discovery = ScriptedDiscovery::start(script).await;
                    let grace = Duration::from_millis(400);
                    let proxy = start_proxy(mode, grace, &discovery, endpoint).await;
                    wait_without_advancing("the watch is open", || {
                        discovery.request_count.get() == 1
                    })
                    .await;
                    advance(Duration::from_millis(1_500)).await;
                    run_ready_tasks().await;
                    discovery.reset();
                    for count in 1..=failure_count {
                        advance_until("discovery has the next call that fails", || {
                            discovery.request_count.get() > count
                        })
                        .await;
                    }
                    let elapsed = proxy
                        .advance_until_drained("the proxy applies the draining state")
                        .await;
                    assert!(
                        elapsed <= NOTIFICATION_TIMEOUT + grace,
                        "{case}: {elapsed:?}"
                    );
                });
            }
        }
    }
}

/// A silent agent is called as often as before other calls were waited for beside, and only a
/// bounded number of calls is waited for at once.
#[test]
fn calls_to_a_silent_discovery_are_bounded_in_rate_and_number() {
    run_with_paused_time(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let script = repeat_response(NO_RESPONSE, 2 * MANY);
        let discovery = ScriptedDiscovery::start(script).await;
        let grace = Duration::from_millis(400);
        let _proxy = start_proxy("push", grace, &discovery, endpoint).await;
        let interval = grace / 3 + grace / 10;
        let max_calls = (20_000 * MS).as_micros() / interval.as_micros() + 1;
        for _ in 0..2_000 {
            advance(10 * MS).await;
            run_ready_tasks().await;
            let open = discovery.open_connection_count();
            assert!(open <= 5, "{open} calls at once");
        }
        let calls = discovery.request_count.get() as u128;
        assert!((100..=max_calls).contains(&calls), "{calls} calls in 20 s");
    });
}

/// A discovery that answers at once is called once.
#[test]
fn a_quick_discovery_is_called_once() {
    for mode in MODES {
        run_with_paused_time(async {
            let endpoint = TestEndpoint::start([ok("served")]).await;
            let discovery = ScriptedDiscovery::start([NO_UPDATES()]).await;
            let grace = Duration::from_millis(400);
            let _proxy = start_proxy(mode, grace, &discovery, endpoint).await;
            // Shorter than the time without a heartbeat after which a watch counts as silent.
            advance(Duration::from_secs(2)).await;
            run_ready_tasks().await;
            assert_eq!(discovery.request_count.get(), 1, "{mode}");
        });
    }
}

/// The balancer plans the next poll when one was not answered in time. A late answer that opens the
/// watch meanwhile makes that poll unnecessary; it would replace the watch before its list arrives.
#[test]
fn a_watch_that_a_late_answer_opened_is_not_replaced_by_a_planned_poll() {
    run_with_paused_time(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let opened_after = Duration::from_millis(2_600);
        let script = [RespondAfter(opened_after, WATCH_HEAD.to_owned())]
            .into_iter()
            .chain(repeat_response(REJECTED, MANY));
        let discovery = ScriptedDiscovery::start(script).await;
        let grace = Duration::from_millis(400);
        let _proxy = start_proxy("ask", grace, &discovery, endpoint).await;
        // Until shortly before the watch has been silent for 2.5 s.
        for _ in 0..490 {
            advance(10 * MS).await;
            run_ready_tasks().await;
        }
        assert_eq!(discovery.open_connection_count(), 1);
    });
}

/// Once a call has opened a watch, the earlier ones are not waited for any more.
#[test]
fn other_calls_are_given_up_when_one_is_answered() {
    run_with_paused_time(async {
        let endpoint = TestEndpoint::start([ok("served")]).await;
        let script = repeat_response(NO_RESPONSE, 4);
        let discovery = ScriptedDiscovery::start(script.into_iter().chain([NO_UPDATES()])).await;
        let grace = Duration::from_millis(400);
        let _proxy = start_proxy("push", grace, &discovery, endpoint).await;
        advance_until("discovery has the call that it answers", || {
            discovery.request_count.get() == 5
        })
        .await;
        run_ready_tasks().await;
        assert_eq!(discovery.open_connection_count(), 1);
    });
}
