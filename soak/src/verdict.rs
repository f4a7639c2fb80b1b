//! Decides whether a run passed, and prints its report.

use crate::environment::Environment;
use crate::ledger::{Ledger, RequestRecord, Violation};
use crate::proxy::Proxy;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Longest scheduling delay of this program with which a run is judged. Observed times are not
/// reliable beyond it.
const MAX_SCHEDULING_DELAY: Duration = Duration::from_millis(60);
/// Time before a violation from which events are printed with it.
const EVENTS_BEFORE_S: f64 = 3.0;
/// Time after a violation until which events are printed with it.
const EVENTS_AFTER_S: f64 = 0.1;
/// Maximum number of failures from the proxies' logs that are printed.
const MAX_PRINTED_FAILURES: usize = 10;

/// Prints the report of a run and returns whether it passed. `scheduling_delay` is the longest
/// scheduling delay of this program.
pub(crate) fn print_verdict(
    environment: &Environment,
    proxies: &[Rc<Proxy>],
    seed: u64,
    scheduling_delay: Duration,
) -> bool {
    let violations = environment.with_ledger(|ledger| {
        ledger.record_unanswered_requests();
        println!(
            "requests: {:?}, longest scheduling delay of this program: {scheduling_delay:?}",
            count_completions(ledger)
        );
        for violation in &ledger.violations {
            print_violation(ledger, violation);
        }
        count_by_name(
            ledger
                .violations
                .iter()
                .map(|violation| violation.rule.to_string()),
        )
    });
    let failures: Vec<String> = proxies
        .iter()
        .flat_map(|proxy| proxy.logged_failures())
        .collect();
    for line in failures.iter().take(MAX_PRINTED_FAILURES) {
        println!("  logged: {line}");
    }
    let judged = scheduling_delay <= MAX_SCHEDULING_DELAY;
    let passed = judged && violations.is_empty() && failures.is_empty();
    let result = match (judged, passed) {
        (false, _) => {
            format!("NOT JUDGED, this program's scheduling delay exceeded {MAX_SCHEDULING_DELAY:?}")
        }
        (true, true) => "passed".to_owned(),
        (true, false) => "FAILED".to_owned(),
    };
    println!("seed {seed}: {result} {violations:?}");
    passed
}

/// Counts the requests by how they ended.
fn count_completions(ledger: &Ledger) -> BTreeMap<String, usize> {
    count_by_name(ledger.requests.values().map(completion_label))
}

fn completion_label(request: &RequestRecord) -> String {
    let status = request.completion.and_then(|completion| completion.status);
    match status {
        Some(status) => status.to_string(),
        None if request.disconnected_at.is_some() => "client disconnected".to_owned(),
        None if request.exempt => "exempt".to_owned(),
        None => "none".to_owned(),
    }
}

fn count_by_name(names: impl Iterator<Item = String>) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for name in names {
        *counts.entry(name).or_default() += 1;
    }
    counts
}

fn print_violation(ledger: &Ledger, violation: &Violation) {
    println!(
        "  {}: {:.3} s: {}",
        violation.rule, violation.at_s, violation.description
    );
    let near = violation.at_s - EVENTS_BEFORE_S..=violation.at_s + EVENTS_AFTER_S;
    for event in ledger
        .events
        .iter()
        .filter(|event| near.contains(&event.at_s))
    {
        println!("      {:.3} {}", event.at_s, event.description);
    }
}
