//! The ledger: records what clients and endpoints observed of each request, and which rules the
//! proxies broke. It uses nothing that the proxies report about themselves.

mod records;
mod rules;
mod slow_responses;
#[cfg(test)]
mod tests;
mod timeline;

pub(crate) use records::{
    AttemptRecord, Completion, Framing, RequestClass, RequestRecord, Rule, SlowResponse, Violation,
};
pub(crate) use rules::response_body;

use crate::config::RunConfig;
use rules::AttemptArrival;
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// A fault or a change of state of a proxy, an endpoint or an agent.
#[derive(Clone, Debug)]
pub(crate) struct LoggedEvent {
    /// Time of the event, in seconds since the start of the run.
    pub(crate) at_s: f64,
    /// Description that is printed with violations close to the event.
    pub(crate) description: String,
}

/// All requests, violations and events of a run.
#[derive(Debug)]
pub(crate) struct Ledger {
    start: Instant,
    deduplication_window: Duration,
    hedging: bool,
    /// All requests, by id.
    pub(crate) requests: HashMap<u64, RequestRecord>,
    /// All violations, in the order in which they were detected.
    pub(crate) violations: Vec<Violation>,
    /// All events, in chronological order.
    pub(crate) events: Vec<LoggedEvent>,
    killed_processes: HashSet<u64>,
}

impl Ledger {
    /// Creates an empty ledger for a run that begins at `start`.
    pub(crate) fn new(start: Instant, config: &RunConfig) -> Ledger {
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

    /// Logs an event at the current time.
    pub(crate) fn log_event(&mut self, description: String) {
        self.events.push(LoggedEvent {
            at_s: self.elapsed_s(),
            description,
        });
    }

    /// Records that an endpoint process was killed, which ends its attempts in flight.
    pub(crate) fn record_process_kill(&mut self, process: u64) {
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

    /// Records a violation of a rule at the current time.
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
                    timeline::format_request(self.start, request)
                )
            }
            None => format!("{reason}; no client sent request {id:016x}"),
        };
        self.record_violation(rule, description);
    }

    /// Records an attempt that arrived at an endpoint and checks it against the rules. Returns its
    /// index among the request's attempts, or `None` if no client has sent the request.
    pub(crate) fn record_attempt(
        &mut self,
        id: u64,
        mut attempt: AttemptRecord,
        advertised_timeout: Option<Duration>,
        body: &[u8],
    ) -> Option<usize> {
        if self.killed_processes.contains(&attempt.process) {
            // The endpoint's task still read the attempt while the process was being killed.
            attempt.ended_at = attempt.ended_at.or(Some(attempt.first_byte_at));
        }
        let Some(request) = self.requests.get_mut(&id) else {
            self.record_request_violation(
                Rule::RequestIntegrity,
                id,
                "an attempt of an unknown request",
            );
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
        let index = request.attempts.len();
        request.attempts.push(attempt);
        for finding in findings {
            self.record_request_violation(finding.rule, id, &finding.reason);
        }
        Some(index)
    }

    /// Updates the record of an attempt, if there is one.
    pub(crate) fn update_attempt(
        &mut self,
        id: u64,
        index: usize,
        update: impl FnOnce(&mut AttemptRecord),
    ) {
        let request = self.requests.get_mut(&id);
        if let Some(attempt) = request.and_then(|request| request.attempts.get_mut(index)) {
            update(attempt);
        }
    }

    /// Records how a request ended for its client: with a response of this status and body or, if
    /// the status is `None`, with a closed connection and no response. Checks the response against
    /// the rules unless none is required.
    pub(crate) fn record_completion(&mut self, id: u64, status: Option<u16>, body: &[u8]) {
        self.record_completion_at(id, status, body, Instant::now());
    }

    /// Like [`Ledger::record_completion`], at an earlier time: for a client that reads slowly, the
    /// beginning of the response.
    pub(crate) fn record_completion_at(
        &mut self,
        id: u64,
        status: Option<u16>,
        body: &[u8],
        at: Instant,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.completion = Some(Completion { status, at });
        if request.response_not_required {
            return;
        }
        if let Some(finding) = rules::completion_finding(id, request, body) {
            self.record_request_violation(finding.rule, id, &finding.reason);
        }
    }

    /// Checks a response that reached its client truncated: it was lost if an endpoint process that
    /// has not been killed wrote it completely.
    pub(crate) fn record_truncated_response(&mut self, id: u64) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let written_by_running_process = |attempt: &AttemptRecord| {
            attempt.fully_written && !self.killed_processes.contains(&attempt.process)
        };
        if request.attempts.iter().any(written_by_running_process) {
            let reason = "a response that its endpoint wrote completely was truncated";
            self.record_request_violation(Rule::Lost, id, reason);
        }
    }

    /// Records a violation for each framing in which most slow responses were not forwarded. To be
    /// called at the end of a run.
    pub(crate) fn record_cut_off_responses(&mut self) {
        for cut_off in slow_responses::mostly_cut_off(self.requests.values()) {
            self.record_violation(Rule::Lost, cut_off.to_string());
        }
    }

    /// Records a violation for each request that was written and still lacks its response. To be
    /// called at the end of a run.
    pub(crate) fn record_unanswered_requests(&mut self) {
        let unanswered = |request: &RequestRecord| {
            request.timeout_starts_at.is_some() && request.is_unanswered()
        };
        let requests = self
            .requests
            .iter()
            .filter(|(_, request)| unanswered(request));
        let lost: Vec<u64> = requests.map(|(id, _)| *id).collect();
        for id in lost {
            self.record_request_violation(Rule::Lost, id, "no response by the end of the run");
        }
    }
}
