//! Tests that the ledger records each violation of a rule for requests, and that allowed attempts
//! and responses cause no violation.

use super::*;
use crate::config::DiscoveryMode;
use crate::test_support::config;

const ID: u64 = 1;
const PROCESS: u64 = 7;

fn ledger(hedging: bool) -> Ledger {
    let config = config(DiscoveryMode::Push, hedging);
    Ledger::new(Instant::now(), &config)
}

fn request(class: RequestClass) -> RequestRecord {
    let now = Instant::now();
    RequestRecord {
        proxy: 0,
        class,
        client_timeout: Duration::from_secs(1),
        started_at: now,
        timeout_starts_at: Some(now),
        disconnected_at: None,
        completion: None,
        new_connection: true,
        response_not_required: false,
        body: b"body".to_vec(),
        attempts: Vec::new(),
    }
}

/// Returns an attempt that arrives `after_ms` from now, complete, and ends at the same instant.
fn attempt(after_ms: u64) -> AttemptRecord {
    let at = Instant::now() + Duration::from_millis(after_ms);
    AttemptRecord {
        process: PROCESS,
        zone: 'a',
        first_byte_at: at,
        complete_at: Some(at),
        ended_at: Some(at),
        rejected: false,
        served: false,
        fully_written: false,
        slow_response: None,
    }
}

/// Records a request with its attempts and returns the rules that they break, in order.
fn broken_rules(
    ledger: &mut Ledger,
    request: RequestRecord,
    attempts: Vec<AttemptRecord>,
) -> Vec<Rule> {
    ledger.requests.insert(ID, request);
    for attempt in attempts {
        ledger.record_attempt(ID, attempt, Some(Duration::from_millis(10)), b"body");
    }
    recorded_rules(ledger)
}

fn recorded_rules(ledger: &Ledger) -> Vec<Rule> {
    ledger
        .violations
        .iter()
        .map(|violation| violation.rule)
        .collect()
}

#[test]
fn a_third_retry_of_an_idempotent_request_is_a_violation() {
    let attempts = |count| (0..count).map(|_| attempt(0)).collect();
    assert_eq!(
        broken_rules(
            &mut ledger(false),
            request(RequestClass::Idempotent),
            attempts(3)
        ),
        []
    );
    let rules = broken_rules(
        &mut ledger(false),
        request(RequestClass::Idempotent),
        attempts(4),
    );
    assert_eq!(rules, [Rule::Duplicate]);
}

#[test]
fn a_retry_of_a_non_idempotent_request_that_may_have_been_executed_is_a_violation() {
    let rejected = AttemptRecord {
        rejected: true,
        ..attempt(0)
    };
    let incomplete = AttemptRecord {
        complete_at: None,
        ..attempt(0)
    };
    let allowed = vec![rejected, incomplete, attempt(0)];
    assert_eq!(
        broken_rules(
            &mut ledger(true),
            request(RequestClass::NonIdempotent),
            allowed
        ),
        []
    );
    let repeated = vec![attempt(0), attempt(0)];
    let rules = broken_rules(
        &mut ledger(true),
        request(RequestClass::NonIdempotent),
        repeated,
    );
    assert_eq!(rules, [Rule::Duplicate]);
}

#[test]
fn a_retry_of_a_keyed_request_in_another_zone_or_past_its_window_is_a_violation() {
    let keyed = || request(RequestClass::Keyed);
    assert_eq!(
        broken_rules(&mut ledger(false), keyed(), vec![attempt(0), attempt(300)]),
        []
    );
    let other_zone = AttemptRecord {
        zone: 'b',
        ..attempt(0)
    };
    let rules = broken_rules(&mut ledger(false), keyed(), vec![attempt(0), other_zone]);
    assert_eq!(rules, [Rule::Duplicate]);
    let rules = broken_rules(&mut ledger(false), keyed(), vec![attempt(0), attempt(450)]);
    assert_eq!(rules, [Rule::Duplicate]);
}

#[test]
fn two_attempts_in_flight_are_a_violation_without_hedging() {
    let attempts = || {
        vec![
            AttemptRecord {
                ended_at: None,
                ..attempt(0)
            },
            attempt(10),
        ]
    };
    assert_eq!(
        broken_rules(
            &mut ledger(true),
            request(RequestClass::Idempotent),
            attempts()
        ),
        []
    );
    let rules = broken_rules(
        &mut ledger(false),
        request(RequestClass::Idempotent),
        attempts(),
    );
    assert_eq!(rules, [Rule::Duplicate]);
}

#[test]
fn an_attempt_after_the_client_disconnected_or_was_answered_is_a_violation() {
    let now = Instant::now();
    let disconnected = RequestRecord {
        disconnected_at: Some(now),
        ..request(RequestClass::Idempotent)
    };
    assert_eq!(
        broken_rules(&mut ledger(false), disconnected.clone(), vec![attempt(150)]),
        []
    );
    assert_eq!(
        broken_rules(&mut ledger(false), disconnected, vec![attempt(250)]),
        [Rule::Lost]
    );
    let completion = Some(Completion {
        status: Some(200),
        at: now,
    });
    let answered = RequestRecord {
        completion,
        ..request(RequestClass::Idempotent)
    };
    assert_eq!(
        broken_rules(&mut ledger(false), answered, vec![attempt(250)]),
        [Rule::Lost]
    );
}

#[test]
fn a_changed_body_an_excessive_advertised_timeout_and_an_unknown_request_are_violations() {
    let mut ledger = ledger(false);
    ledger
        .requests
        .insert(ID, request(RequestClass::Idempotent));
    let too_long = Some(Duration::from_secs(2));
    assert_eq!(
        ledger.record_attempt(ID, attempt(0), too_long, b"changed"),
        Some(0)
    );
    assert_eq!(ledger.record_attempt(ID + 1, attempt(0), None, b""), None);
    assert_eq!(
        recorded_rules(&ledger),
        [
            Rule::RequestIntegrity,
            Rule::AdvertisedTimeout,
            Rule::RequestIntegrity
        ]
    );
}

#[test]
fn a_made_up_wrong_or_missing_response_and_a_rejection_after_execution_are_violations() {
    let completed = |class, served, status, body: &[u8]| {
        let mut ledger = ledger(false);
        let attempts = vec![AttemptRecord {
            served,
            ..attempt(0)
        }];
        ledger.requests.insert(
            ID,
            RequestRecord {
                attempts,
                ..request(class)
            },
        );
        ledger.record_completion(ID, status, body);
        recorded_rules(&ledger)
    };
    let body = response_body(ID, 100);
    let idempotent = RequestClass::Idempotent;
    assert_eq!(completed(idempotent, true, Some(200), &body), []);
    assert_eq!(completed(idempotent, false, Some(200), &body), [Rule::Lost]);
    assert_eq!(
        completed(idempotent, true, Some(200), b"other"),
        [Rule::Lost]
    );
    assert_eq!(completed(idempotent, true, Some(404), b""), [Rule::Lost]);
    assert_eq!(completed(idempotent, true, None, b""), [Rule::Lost]);
    assert_eq!(completed(idempotent, false, Some(503), b""), []);
    assert_eq!(
        completed(RequestClass::Keyed, false, Some(503), b""),
        [Rule::Duplicate]
    );
}

#[test]
fn late_missing_and_truncated_responses_are_violations_unless_not_required_or_endpoint_killed() {
    let past = Instant::now()
        .checked_sub(Duration::from_secs(2))
        .expect("the monotonic clock reads at least 2 s");
    let late = RequestRecord {
        timeout_starts_at: Some(past),
        ..request(RequestClass::Idempotent)
    };
    let mut ledger = ledger(false);
    ledger.requests.insert(ID, late);
    ledger.record_completion(ID, Some(502), b"");
    ledger
        .requests
        .insert(ID + 1, request(RequestClass::Idempotent));
    ledger.requests.insert(
        ID + 2,
        RequestRecord {
            response_not_required: true,
            ..request(RequestClass::Keyed)
        },
    );
    ledger.record_unanswered_requests();
    assert_eq!(recorded_rules(&ledger), [Rule::Lost, Rule::Lost]);
    ledger.update_attempt(ID, 0, |_| unreachable!("the request has no attempts yet"));
    ledger.record_attempt(ID, attempt(0), None, b"body");
    ledger.update_attempt(ID, 0, |attempt| attempt.fully_written = true);
    let before = ledger.violations.len();
    ledger.record_truncated_response(ID);
    assert_eq!(ledger.violations.len(), before + 1);
    ledger.record_process_kill(PROCESS);
    ledger.record_truncated_response(ID);
    assert_eq!(
        ledger.violations.len(),
        before + 1,
        "an endpoint that was killed may truncate its responses"
    );
}

/// Adds requests whose endpoints responded slowly with this framing, and the statuses that their
/// clients got, and returns the rules that this breaks.
fn rules_broken_by_slow_responses(framing: Framing, statuses: [u16; 4]) -> Vec<Rule> {
    let mut ledger = ledger(false);
    for (id, status) in (1..).zip(statuses) {
        let mut request = request(RequestClass::Keyed);
        request.completion = Some(Completion {
            status: Some(status),
            at: Instant::now(),
        });
        request.attempts.push(AttemptRecord {
            slow_response: Some(SlowResponse {
                framing,
                began_at: Instant::now(),
            }),
            ..attempt(0)
        });
        ledger.requests.insert(id, request);
    }
    ledger.record_cut_off_responses();
    recorded_rules(&ledger)
}

#[test]
fn less_than_half_of_the_slow_responses_of_a_framing_forwarded_is_a_loss() {
    for framing in [Framing::Close, Framing::Chunks, Framing::Length] {
        let broken = rules_broken_by_slow_responses(framing, [200, 502, 502, 503]);
        assert_eq!(broken, [Rule::Lost]);
        let broken = rules_broken_by_slow_responses(framing, [200, 502, 200, 503]);
        assert_eq!(broken, []);
    }
}
