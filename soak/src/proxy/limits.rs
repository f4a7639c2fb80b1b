//! Checks that a proxy runs and keeps within its limits, and finds failures in its log.

use super::configuration::{MAX_DESCRIPTORS, MAX_MEMORY_MB};
use super::process::Proxy;
use crate::ledger::Rule;
use crowd::resources::{descriptors, resident_bytes};
use std::fs;
use std::process::Child;

impl Proxy {
    /// Records a violation if the proxy has ended by itself or exceeds its limits.
    pub(crate) fn check(&self) {
        if !self.accepts_connections() {
            return;
        }
        if self.has_ended() {
            self.record_violation(
                Rule::Crash,
                &format!("ended by itself with {}", self.exit_status_text()),
            );
            self.accepts_connections.set(false);
            return;
        }
        let current = self.child.borrow().as_ref().map(Child::id);
        let Some(current) = current else { return };
        let previous = self.previous.borrow().as_ref().map(Child::id);
        let open: usize = [Some(current), previous]
            .into_iter()
            .flatten()
            .map(descriptors)
            .sum();
        if open > MAX_DESCRIPTORS {
            self.record_violation(
                Rule::Limit,
                &format!("has {open} open descriptors, allowed {MAX_DESCRIPTORS}"),
            );
        }
        let processes = [Some(current), previous].into_iter().flatten();
        let memory_kb = processes.map(resident_bytes).sum::<usize>() / 1_024;
        if memory_kb > MAX_MEMORY_MB * 1_024 {
            self.record_violation(
                Rule::Limit,
                &format!("has {memory_kb} kB of resident memory, allowed {MAX_MEMORY_MB} MB"),
            );
        }
    }

    /// Returns the lines of the proxy's log that report panics and violated invariants.
    pub(crate) fn logged_failures(&self) -> Vec<String> {
        let log = fs::read_to_string(self.log_path()).unwrap_or_default();
        let failure =
            |line: &&str| line.contains("panicked") || line.contains("invariant violated");
        log.lines()
            .filter(failure)
            .map(|line| format!("proxy {}: {line}", self.number))
            .collect()
    }
}
