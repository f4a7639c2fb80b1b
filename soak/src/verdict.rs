//! The verdict on a run, and what is printed with it.

use crate::environment::Environment;
use crate::ledger::{Ledger, RequestRecord, Violation};
use crate::proxy::Proxy;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// A run in which this program was later than this is not judged.
const MAX_LATENESS: Duration = Duration::from_millis(60);
/// Events of so many seconds before a violation are printed with it.
const EVENTS_BEFORE_S: f64 = 3.0;
/// Events of so many seconds after a violation are printed with it.
const EVENTS_AFTER_S: f64 = 0.1;
/// Maximum number of the proxies' own failures that are printed.
const MAX_PRINTED_FAILURES: usize = 10;

/// Prints the results of a run; whether it passed. `lateness` is the longest time by which this
/// program was late.
pub(crate) fn verdict(
    environment: &Environment,
    proxies: &[Rc<Proxy>],
    seed: u64,
    lateness: Duration,
) -> bool {
    let violations = environment.ledger(|ledger| {
        ledger.record_unanswered();
        println!(
            "requests: {:?}, this program late by up to {lateness:?}",
            completions(ledger)
        );
        for violation in &ledger.violations {
            print_violation(ledger, violation);
        }
        count(
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
    let judged = lateness <= MAX_LATENESS;
    let passed = judged && violations.is_empty() && failures.is_empty();
    let result = match (judged, passed) {
        (false, _) => "NOT JUDGED, this program was late",
        (true, true) => "passed",
        (true, false) => "FAILED",
    };
    println!("seed {seed}: {result} {violations:?}");
    passed
}

/// How many requests ended in which way.
fn completions(ledger: &Ledger) -> BTreeMap<String, usize> {
    count(ledger.requests.values().map(completion))
}

fn completion(request: &RequestRecord) -> String {
    let status = request.completion.and_then(|completion| completion.status);
    match status {
        Some(status) => status.to_string(),
        None if request.disconnected_at.is_some() => "client disconnected".to_owned(),
        None if request.exempt => "exempt".to_owned(),
        None => "none".to_owned(),
    }
}

fn count(names: impl Iterator<Item = String>) -> BTreeMap<String, usize> {
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
