//! Tests that violations of the rules for draining endpoints and for endpoints in slow start are
//! recorded, and that allowed requests cause no violation.

use super::*;
use crate::config::DiscoveryMode;
use crate::endpoint::{Behaviour, ProcessState};
use crate::ledger::RequestClass;
use crate::test_support::config;
use std::cell::Cell;
use tokio::task::{spawn_local, LocalSet};

const PROXY: usize = 0;
const PROCESS: u64 = 7;

/// Runs a test in a context where local tasks can be spawned.
fn run(test: impl FnOnce()) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("the runtime can be built");
    LocalSet::new().block_on(&runtime, async { test() });
}

/// Returns the state of a run with one endpoint, which has just started, and the id of a request.
fn shared_state(discovery: DiscoveryMode) -> (SharedState, u64) {
    let shared = SharedState::new(1, config(discovery, false));
    shared.with_notifications(PROXY, |notifications| {
        notifications.record_process_start(Instant::now())
    });
    shared.add_endpoint(EndpointProcess {
        number: PROCESS,
        name: "s-00000007".to_owned(),
        zone: 'a',
        address: ([127, 0, 0, 1], 1).into(),
        started_at: Instant::now(),
        started_unix_ms: 0,
        state: ProcessState {
            behaviour: Rc::new(Cell::new(Behaviour::Normal)),
            draining: Rc::new(Cell::new(false)),
        },
        arrivals: Vec::new(),
        task: spawn_local(async {}).abort_handle(),
    });
    let request = shared.add_request(RequestRecord {
        proxy: PROXY,
        class: RequestClass::Idempotent,
        client_timeout: Duration::from_secs(1),
        started_at: Instant::now(),
        timeout_starts_at: None,
        disconnected_at: None,
        completion: None,
        new_connection: true,
        response_not_required: false,
        body: Vec::new(),
        attempts: Vec::new(),
    });
    (shared, request)
}

/// Records an attempt whose first byte arrives `after_ms` from now; returns whether it breaks the
/// drain rule.
fn breaks_drain_rule(shared: &SharedState, request: u64, after_ms: u64) -> bool {
    let attempt = AttemptRecord {
        process: PROCESS,
        zone: 'a',
        first_byte_at: Instant::now() + Duration::from_millis(after_ms),
        complete_at: None,
        ended_at: None,
        rejected: false,
        served: false,
        fully_written: false,
        slow_response: None,
    };
    let before = count_violations(shared, Rule::Drain);
    shared.record_attempt(request, attempt, None, &[]);
    count_violations(shared, Rule::Drain) > before
}

fn count_violations(shared: &SharedState, rule: Rule) -> usize {
    shared.with_ledger(|ledger| {
        ledger
            .violations
            .iter()
            .filter(|violation| violation.rule == rule)
            .count()
    })
}

#[test]
fn an_attempt_past_the_grace_of_a_pushed_drain_is_a_violation_until_the_endpoint_is_ready_again() {
    run(|| {
        let (shared, request) = shared_state(DiscoveryMode::Push);
        assert!(
            !breaks_drain_rule(&shared, request, 10_000),
            "a ready endpoint may be sent requests"
        );
        shared.set_listed_health(PROCESS, EndpointHealth::Draining);
        assert!(!breaks_drain_rule(&shared, request, 400));
        assert!(breaks_drain_rule(&shared, request, 600));
        shared.set_listed_health(PROCESS, EndpointHealth::Ready);
        assert!(
            !breaks_drain_rule(&shared, request, 600),
            "an endpoint that is ready again may be sent requests"
        );
    });
}

#[test]
fn the_grace_of_a_polled_drain_starts_at_its_delivery_or_at_the_notification_timeout() {
    run(|| {
        let (shared, request) = shared_state(DiscoveryMode::Poll);
        shared.set_listed_health(PROCESS, EndpointHealth::Draining);
        assert!(!breaks_drain_rule(&shared, request, 6_300));
        assert!(breaks_drain_rule(&shared, request, 6_700));
        let version = shared.with_list(EndpointList::version);
        shared.with_notifications(PROXY, |notifications| {
            notifications.record_delivery(version - 1)
        });
        assert!(
            !breaks_drain_rule(&shared, request, 600),
            "the version that was delivered is older than the drain"
        );
        shared.with_notifications(PROXY, |notifications| {
            notifications.record_delivery(version)
        });
        assert!(breaks_drain_rule(&shared, request, 600));
    });
}

#[test]
fn an_agent_outage_or_a_reload_postpones_the_grace_of_a_pushed_drain() {
    run(|| {
        let (shared, request) = shared_state(DiscoveryMode::Push);
        shared.with_notifications(PROXY, Notifications::record_outage_start);
        shared.set_listed_health(PROCESS, EndpointHealth::Draining);
        assert!(
            !breaks_drain_rule(&shared, request, 60_000),
            "a proxy is not notified during an outage of its agent"
        );
        shared.with_notifications(PROXY, Notifications::record_outage_end);
        assert!(!breaks_drain_rule(&shared, request, 6_300));
        assert!(breaks_drain_rule(&shared, request, 6_700));
    });
    run(|| {
        let (shared, request) = shared_state(DiscoveryMode::Push);
        shared.with_notifications(PROXY, Notifications::record_reload);
        shared.set_listed_health(PROCESS, EndpointHealth::Draining);
        assert!(!breaks_drain_rule(&shared, request, 4_300));
        assert!(breaks_drain_rule(&shared, request, 4_700));
    });
}

#[test]
fn too_many_requests_to_an_endpoint_are_a_violation_only_during_its_slow_start() {
    run(|| {
        let (shared, _) = shared_state(DiscoveryMode::Push);
        let started_at = shared.with_processes(|processes| processes[0].started_at);
        // At its start the endpoint has a tenth of its capacity: c = 2 * 60 * 0.1 * 2 = 24 requests
        // are allowed, and a tolerance of 3 * sqrt(c) + 3.
        let allowed = 41;
        for _ in 0..allowed {
            shared.check_slow_start(PROCESS, started_at);
        }
        assert_eq!(count_violations(&shared, Rule::SlowStart), 0);
        shared.check_slow_start(PROCESS, started_at);
        assert_eq!(count_violations(&shared, Rule::SlowStart), 1);
        for _ in 0..10 * allowed {
            shared.check_slow_start(PROCESS, started_at + Duration::from_secs(9));
        }
        assert_eq!(
            count_violations(&shared, Rule::SlowStart),
            1,
            "after the slow start there is no limit"
        );
    });
}
