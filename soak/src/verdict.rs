//! Decides whether a run passed, and prints its report.

use crate::ledger::{Ledger, RequestRecord, Violation};
use crate::proxy::Proxy;
use crate::shared_state::SharedState;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Maximum scheduling delay of this program for a run to pass. After a longer delay the times that
/// clients and endpoints observed are not reliable: the run is reported as not judged, and counts
/// as failed in the total and in the exit code.
const MAX_SCHEDULING_DELAY: Duration = Duration::from_millis(60);
/// Time before a violation from which events are printed with it.
const EVENTS_BEFORE_S: f64 = 3.0;
/// Time after a violation until which events are printed with it.
const EVENTS_AFTER_S: f64 = 0.1;
/// Maximum number of panics and violated invariants from the proxies' logs that are printed.
const MAX_PRINTED_FAILURES: usize = 10;

/// Prints the report of a run and returns whether it passed. `scheduling_delay` is the longest
/// scheduling delay of this program.
pub(crate) fn print_verdict(
    shared: &SharedState,
    proxies: &[Rc<Proxy>],
    seed: u64,
    scheduling_delay: Duration,
) -> bool {
    let violations = shared.with_ledger(|ledger| {
        ledger.record_unanswered_requests();
        ledger.record_cut_off_responses();
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
    for (number, line) in (1..).zip(failures.iter().take(MAX_PRINTED_FAILURES)) {
        println!(
            "  panic or violated invariant {number} of {} in the proxies' logs: {line}",
            failures.len()
        );
    }
    let judged = scheduling_delay <= MAX_SCHEDULING_DELAY;
    let passed = judged && violations.is_empty() && failures.is_empty();
    let result = match (judged, passed) {
        (false, _) => format!(
            "NOT JUDGED, a task of this program ran {scheduling_delay:?} late, allowed \
             {MAX_SCHEDULING_DELAY:?}; run it again on a less loaded machine"
        ),
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
        None if request.response_not_required => "no response required".to_owned(),
        None => "no response".to_owned(),
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
