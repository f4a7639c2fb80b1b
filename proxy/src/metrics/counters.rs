//! The counters, and their formats for operators and for the log.

use crate::log;
use crate::metrics::{
    ClientCloseReason, DiscoveryCallEnd, DurationHistogram, EndpointCloseReason, RequestEnd,
    Violation, WriteDenial,
};
use balancer::{BodyFraming, ClassId, FailureReason, Outcome};
use hyper::StatusCode;
use serde_json::{json, Map, Value};
use std::collections::BTreeMap;
use std::fmt;

/// The ended requests of one class by how they ended.
#[derive(Clone, Copy, Debug, Default)]
struct ClassCounts {
    completed: u64,
    rejected: u64,
    failed: u64,
}

impl ClassCounts {
    fn to_json(self) -> Value {
        let ClassCounts {
            completed,
            rejected,
            failed,
        } = self;
        json!({"completed": completed, "rejected": rejected, "failed": failed})
    }
}

/// The counters since the start of the process.
#[derive(Debug, Default)]
pub struct Counters {
    classes: Vec<ClassCounts>,
    /// Number of complete requests that have not ended.
    pub(super) pending: u64,
    /// Attempts whose last byte was written.
    upstream_requests: u64,
    /// Attempts that the balancer has started.
    pub attempts: u64,
    /// Connections to endpoints that were established.
    pub opened: u64,
    /// Connections to endpoints that could not be established.
    pub open_failed: u64,
    /// Connections to endpoints that were reused and turned out to be broken.
    pub broken_reuse: u64,
    /// Connections on which an endpoint sent something that was not asked for.
    pub unsolicited_responses: u64,
    /// Requests that were refused because their id is in flight or may have been executed.
    pub repeated_ids: u64,
    /// Requests that were rejected before anything of them was sent, as their clients may have closed
    /// behind unread input.
    pub clients_out_of_sight: u64,
    outcomes: BTreeMap<Outcome, u64>,
    /// Responses whose head had arrived and that were given up while their bodies were buffered.
    responses_given_up: BTreeMap<BodyFraming, u64>,
    /// Invalid requests by the status of their response.
    invalid_requests: BTreeMap<u16, u64>,
    write_denials: BTreeMap<WriteDenial, u64>,
    /// Requests that the balancer rejected or failed.
    abandoned_requests: BTreeMap<FailureReason, u64>,
    discovery_calls: BTreeMap<DiscoveryCallEnd, u64>,
    /// How long discovery took to answer the calls that opened a watch.
    pub discovery_answer_times: DurationHistogram,
    /// How long client connections waited to be accepted.
    pub accept_waits: DurationHistogram,
    /// Client connections that the proxy closed.
    client_closes: BTreeMap<ClientCloseReason, u64>,
    /// Idle connections to endpoints that the proxy closed.
    endpoint_closes: BTreeMap<EndpointCloseReason, u64>,
    violations: BTreeMap<Violation, u64>,
}

impl Counters {
    pub(super) fn new(class_count: usize) -> Counters {
        let classes = vec![ClassCounts::default(); class_count];
        Counters {
            classes,
            ..Counters::default()
        }
    }

    /// Counts an attempt that has ended.
    pub fn attempt_ended(&mut self, outcome: Outcome) {
        *self.outcomes.entry(outcome).or_default() += 1;
    }

    /// Counts a response that was given up while it was buffered.
    pub fn response_given_up(&mut self, framing: BodyFraming) {
        *self.responses_given_up.entry(framing).or_default() += 1;
    }

    /// Counts an invalid request, which was answered with this status and never reached the
    /// balancer.
    pub fn request_invalid(&mut self, status: StatusCode) {
        *self.invalid_requests.entry(status.as_u16()).or_default() += 1;
    }

    /// Counts a denied write of an attempt.
    pub fn write_denied(&mut self, denial: WriteDenial) {
        *self.write_denials.entry(denial).or_default() += 1;
    }

    /// Counts a request that the balancer has rejected or failed.
    pub fn request_rejected_or_failed(&mut self, reason: FailureReason) {
        *self.abandoned_requests.entry(reason).or_default() += 1;
    }

    /// Counts calls to discovery that have ended.
    pub fn discovery_calls_ended(&mut self, end: DiscoveryCallEnd, count: usize) {
        if count > 0 {
            *self.discovery_calls.entry(end).or_default() += count as u64;
        }
    }

    /// Counts a client connection that the proxy has closed.
    pub fn client_connection_closed(&mut self, reason: ClientCloseReason) {
        *self.client_closes.entry(reason).or_default() += 1;
    }

    /// Counts idle connections to endpoints that the proxy has closed.
    pub fn endpoint_connections_closed(&mut self, reason: EndpointCloseReason, count: usize) {
        if count > 0 {
            *self.endpoint_closes.entry(reason).or_default() += count as u64;
            tracing::debug!(reason = ?reason, count, "idle connections to an endpoint closed");
        }
    }

    /// Counts a violated invariant.
    pub fn invariant_violated(&mut self, violation: Violation) {
        *self.violations.entry(violation).or_default() += 1;
    }

    /// Counts an attempt whose last byte has been written.
    pub fn attempt_written(&mut self) {
        self.upstream_requests += 1;
    }

    /// Counts a request that has ended.
    pub(super) fn request_ended(&mut self, class: ClassId, end: RequestEnd) {
        let Some(counts) = self.classes.get_mut(class.0) else {
            return;
        };
        match end {
            RequestEnd::Completed => counts.completed += 1,
            RequestEnd::Rejected => counts.rejected += 1,
            RequestEnd::Failed => counts.failed += 1,
        }
    }

    /// The counters under the names that operators read. `class_names` are in the order of the
    /// settings; `endpoints` is the number of listed endpoints, and `unavailable` the number of
    /// those that are not used.
    pub fn to_json(&self, class_names: &[String], endpoints: usize, unavailable: usize) -> Value {
        let classes = class_names
            .iter()
            .cloned()
            .zip(self.classes.iter().map(|class| class.to_json()));
        json!({
            "downstream_requests": classes.collect::<Map<_, _>>(),
            "upstream_requests": self.upstream_requests,
            "pending": self.pending,
            "members": endpoints,
            "members_unavailable": unavailable,
        })
    }
}

/// Formats the counters that only the log shows.
impl fmt::Display for Counters {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "attempts: {}, opened: {}, ",
            self.attempts, self.opened
        )?;
        write!(
            formatter,
            "open_failed: {}, broken_reuse: {}, ",
            self.open_failed, self.broken_reuse
        )?;
        write!(
            formatter,
            "unsolicited_responses: {}, ",
            self.unsolicited_responses
        )?;
        write!(formatter, "repeated_ids: {}, ", self.repeated_ids)?;
        write!(
            formatter,
            "clients_out_of_sight: {}, ",
            self.clients_out_of_sight
        )?;
        write!(formatter, "outcomes: {:?}, ", self.outcomes)?;
        write!(
            formatter,
            "responses_given_up: {:?}, ",
            self.responses_given_up
        )?;
        write!(formatter, "invalid_requests: {:?}, ", self.invalid_requests)?;
        write!(formatter, "write_denials: {:?}, ", self.write_denials)?;
        write!(
            formatter,
            "abandoned_requests: {:?}, ",
            self.abandoned_requests
        )?;
        write!(formatter, "discovery_calls: {:?}, ", self.discovery_calls)?;
        write!(
            formatter,
            "discovery_answer_ms: {}, ",
            self.discovery_answer_times
        )?;
        write!(formatter, "accept_wait_ms: {}, ", self.accept_waits)?;
        write!(formatter, "client_closes: {:?}, ", self.client_closes)?;
        write!(formatter, "endpoint_closes: {:?}, ", self.endpoint_closes)?;
        write!(formatter, "log_dropped: {}, ", log::dropped_line_count())?;
        write!(formatter, "invariant_violations: {:?}", self.violations)
    }
}
