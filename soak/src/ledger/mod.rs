//! The ledger of what clients and endpoints saw, and of the rules that it breaks. The proxies' own
//! account is not used here.

mod records;
mod rules;
#[cfg(test)]
mod tests;
mod timeline;

pub(crate) use records::{AttemptRecord, Completion, RequestClass, RequestRecord, Rule, Violation};
pub(crate) use rules::response_body;

use crate::config::SimulationConfig;
use rules::AttemptArrival;
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// Something that was done to a proxy, an endpoint or an agent.
#[derive(Clone, Debug)]
pub(crate) struct LoggedEvent {
    /// When, in seconds since the start.
    pub(crate) at_s: f64,
    /// What.
    pub(crate) description: String,
}

/// Everything that was seen.
#[derive(Debug)]
pub(crate) struct Ledger {
    start: Instant,
    deduplication_window: Duration,
    hedging: bool,
    /// All requests by their ids.
    pub(crate) requests: HashMap<u64, RequestRecord>,
    /// All rules that were broken, in order.
    pub(crate) violations: Vec<Violation>,
    /// What was done to proxies, endpoints and agents, in order.
    pub(crate) events: Vec<LoggedEvent>,
    killed_processes: HashSet<u64>,
}

impl Ledger {
    /// An empty ledger.
    pub(crate) fn new(start: Instant, config: &SimulationConfig) -> Ledger {
        Ledger {
            start,
            deduplication_window: config.deduplication_window,
            hedging: config.hedging,
            requests: HashMap::new(),
            violations: Vec::new(),
            events: Vec::new(),
            killed_processes: HashSet::new(),
        }
    }

    fn elapsed_s(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Logs what was done.
    pub(crate) fn log_event(&mut self, description: String) {
        self.events.push(LoggedEvent {
            at_s: self.elapsed_s(),
            description,
        });
    }

    /// An endpoint's process was killed: its attempts in flight end.
    pub(crate) fn record_kill(&mut self, process: u64) {
        let now = Some(Instant::now());
        self.killed_processes.insert(process);
        let attempts = self
            .requests
            .values_mut()
            .flat_map(|request| &mut request.attempts);
        for attempt in attempts.filter(|attempt| attempt.process == process) {
            attempt.ended_at = attempt.ended_at.or(now);
        }
    }

    /// Records that a rule was broken.
    pub(crate) fn record_violation(&mut self, rule: Rule, description: String) {
        self.violations.push(Violation {
            rule,
            at_s: self.elapsed_s(),
            description,
        });
    }

    fn record_request_violation(&mut self, rule: Rule, id: u64, reason: &str) {
        let description = match self.requests.get(&id) {
            Some(request) => {
                format!(
                    "{reason}; request {id:016x}\n{}",
                    timeline::timeline(self.start, request)
                )
            }
            None => format!("{reason}; request {id:016x} of no client"),
        };
        self.record_violation(rule, description);
    }

    /// The first bytes of an attempt have arrived at an endpoint: checks it. Returns the attempt's
    /// number; `None`: no client has sent the request.
    pub(crate) fn record_attempt(
        &mut self,
        id: u64,
        mut attempt: AttemptRecord,
        advertised_timeout: Option<Duration>,
        body: &[u8],
    ) -> Option<usize> {
        if self.killed_processes.contains(&attempt.process) {
            // The endpoint read it while it was being killed.
            attempt.ended_at = attempt.ended_at.or(Some(attempt.first_byte_at));
        }
        let Some(request) = self.requests.get_mut(&id) else {
            self.record_request_violation(Rule::Void, id, "an attempt of no request");
            return None;
        };
        let arrival = AttemptArrival {
            request,
            attempt: &attempt,
            advertised_timeout,
            body,
            deduplication_window: self.deduplication_window,
            hedging: self.hedging,
        };
        let findings = arrival.findings();
        let number = request.attempts.len();
        request.attempts.push(attempt);
        for finding in findings {
            self.record_request_violation(finding.rule, id, &finding.reason);
        }
        Some(number)
    }

    /// Changes the record of an attempt.
    pub(crate) fn update_attempt(
        &mut self,
        id: u64,
        number: usize,
        update: impl FnOnce(&mut AttemptRecord),
    ) {
        let request = self.requests.get_mut(&id);
        if let Some(attempt) = request.and_then(|request| request.attempts.get_mut(number)) {
            update(attempt);
        }
    }

    /// A client got the response with this status and body, or, with `None`, its connection ended
    /// without one.
    pub(crate) fn record_completion(&mut self, id: u64, status: Option<u16>, body: &[u8]) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.completion = Some(Completion {
            status,
            at: Instant::now(),
        });
        if request.exempt {
            return;
        }
        if let Some(finding) = rules::completion_finding(id, request, body) {
            self.record_request_violation(finding.rule, id, &finding.reason);
        }
    }

    /// A client got a part of a response: lost, if an endpoint that still runs has written all of
    /// it.
    pub(crate) fn record_truncated_response(&mut self, id: u64) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let available = |attempt: &AttemptRecord| {
            attempt.fully_written && !self.killed_processes.contains(&attempt.process)
        };
        if request.attempts.iter().any(available) {
            let reason = "a response that its endpoint wrote completely was truncated";
            self.record_request_violation(Rule::Lost, id, reason);
        }
    }

    /// At the end of a run: complete requests without a response are lost.
    pub(crate) fn record_unanswered(&mut self) {
        let unanswered =
            |request: &RequestRecord| request.complete_at.is_some() && request.is_unanswered();
        let requests = self
            .requests
            .iter()
            .filter(|(_, request)| unanswered(request));
        let lost: Vec<u64> = requests.map(|(id, _)| *id).collect();
        for id in lost {
            self.record_request_violation(Rule::Lost, id, "no response");
        }
    }
}
