//! The figures since the start. They are counted here alone, at the event itself, and read by operators' calls and the
//! log alike.

use crate::invariants::Violation;
use crate::write_guard::WriteDenial;
use balancer::{ClassId, FailureReason, Outcome};
use hyper::StatusCode;
use serde_json::{json, Value};
use std::cell::{Ref, RefCell, RefMut};
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

/// How a request ended that its client waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// Its whole answer was passed on.
    Completed,
    /// It was refused.
    Rejected,
    /// Anything else.
    Failed,
}

/// Why this side closed a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClientCloseReason {
    /// It has been idle, or silent from its start, for as long as it may.
    Idle,
    /// Its request did not come whole in time.
    Slow,
    /// It took nothing of its answer for too long.
    Stuck,
    /// Its place was needed.
    Evicted,
    /// Its client has left while a request was open.
    Left,
}

/// Why this side closed an idle connection to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointCloseReason {
    /// It has been idle for as long as hosts keep one.
    Idle,
    /// Its host takes nothing new, or its process is another one now.
    Leaving,
    /// Its place was needed.
    MemoryReservation,
    /// Something has come on it, its end or what would be taken for an answer.
    Used,
}

/// Requests of one class by how they ended.
#[derive(Clone, Copy, Debug, Default)]
struct ClassCounts {
    completed: u64,
    rejected: u64,
    failed: u64,
}

/// The figures.
#[derive(Debug, Default)]
pub struct MetricsSnapshot {
    classes: Vec<ClassCounts>,
    /// Requests taken and not ended.
    pending: u64,
    /// Attempts whose last byte was written.
    upstream_requests: u64,
    /// Attempts that the module asked for.
    pub attempts: u64,
    /// Connections to hosts that came up, that did not, and that were kept and had broken.
    pub opened: u64,
    /// See `opened`.
    pub open_failed: u64,
    /// See `opened`.
    pub broken_reuse: u64,
    outcomes: BTreeMap<Outcome, u64>,
    /// Requests that could not be used, by the status that they got.
    unusable: BTreeMap<u16, u64>,
    /// Attempts that were not written, by the reason.
    denied: BTreeMap<WriteDenial, u64>,
    /// Requests that got no server's answer, by the reason.
    given_up: BTreeMap<FailureReason, u64>,
    /// Connections of clients that this side closed, by the reason.
    closed: BTreeMap<ClientCloseReason, u64>,
    /// Idle connections to hosts that this side closed, by the reason.
    closed_to_hosts: BTreeMap<EndpointCloseReason, u64>,
    /// Rules that were broken: faults of this program.
    violations: BTreeMap<Violation, u64>,
}

impl MetricsSnapshot {
    /// An attempt ended.
    pub fn outcome(&mut self, outcome: Outcome) {
        *self.outcomes.entry(outcome).or_default() += 1;
    }

    /// A request that could not be used got this status; the module never saw it.
    pub fn unusable(&mut self, status: StatusCode) {
        *self.unusable.entry(status.as_u16()).or_default() += 1;
    }

    /// An attempt may not be written now.
    pub fn denied(&mut self, denial: WriteDenial) {
        *self.denied.entry(denial).or_default() += 1;
    }

    /// A request was given up.
    pub fn given_up(&mut self, reason: FailureReason) {
        *self.given_up.entry(reason).or_default() += 1;
    }

    /// A client's connection was closed.
    pub fn closed(&mut self, close: ClientCloseReason) {
        *self.closed.entry(close).or_default() += 1;
    }

    /// So many idle connections to hosts were closed.
    pub fn closed_to_hosts(&mut self, close: EndpointCloseReason, count: usize) {
        if count > 0 {
            *self.closed_to_hosts.entry(close).or_default() += count as u64;
            tracing::debug!(reason = ?close, count, "idle connections to a host closed");
        }
    }

    /// A rule was broken.
    pub fn violation(&mut self, violation: Violation) {
        *self.violations.entry(violation).or_default() += 1;
    }

    /// An attempt's last byte was written.
    pub fn sent_whole(&mut self) {
        self.upstream_requests += 1;
    }

    fn end(&mut self, class: ClassId, ending: RequestEnd) {
        let Some(tally) = self.classes.get_mut(class.0) else { return };
        *match ending {
            RequestEnd::Completed => &mut tally.completed,
            RequestEnd::Rejected => &mut tally.rejected,
            RequestEnd::Failed => &mut tally.failed,
        } += 1;
    }

    /// As operators read them. `names` are those of the classes, in their order.
    pub fn to_json(&self, names: &[String], members: usize, unavailable: usize) -> Value {
        let classes = names.iter().zip(&self.classes).map(|(name, tally)| {
            let ClassCounts { completed, rejected, failed } = tally;
            (name.clone(), json!({"completed": completed, "rejected": rejected, "failed": failed}))
        });
        json!({
            "downstream_requests": classes.collect::<serde_json::Map<_, _>>(),
            "upstream_requests": self.upstream_requests,
            "pending": self.pending,
            "members": members,
            "members_unavailable": unavailable,
        })
    }
}

/// What only the log shows.
impl fmt::Display for MetricsSnapshot {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let MetricsSnapshot { attempts, opened, open_failed, broken_reuse, outcomes, unusable, .. } = self;
        let MetricsSnapshot { denied, given_up, closed, closed_to_hosts, violations, .. } = self;
        write!(formatter, "attempts: {attempts}, opened: {opened}, open_failed: {open_failed}, ")?;
        write!(formatter, "broken_reuse: {broken_reuse}, outcomes: {outcomes:?}, unusable: {unusable:?}, ")?;
        write!(formatter, "denied: {denied:?}, given_up: {given_up:?}, closed: {closed:?}, ")?;
        write!(formatter, "closed_to_hosts: {closed_to_hosts:?}, ")?;
        write!(formatter, "log_dropped: {}, invariant_violations: {violations:?}", crate::log::dropped())
    }
}

/// The figures, shared by all that counts.
#[derive(Clone, Debug, Default)]
pub struct Metrics(Rc<RefCell<MetricsSnapshot>>);

impl Metrics {
    /// All zero.
    pub fn new(classes: usize) -> Metrics {
        let figures =
            MetricsSnapshot { classes: vec![ClassCounts::default(); classes], ..MetricsSnapshot::default() };
        Metrics(Rc::new(RefCell::new(figures)))
    }

    /// To read.
    pub fn get(&self) -> Ref<'_, MetricsSnapshot> {
        self.0.borrow()
    }

    /// To count.
    pub fn count(&self) -> RefMut<'_, MetricsSnapshot> {
        self.0.borrow_mut()
    }

    /// A request has been taken, or (without its last byte) begun to come.
    pub fn take(&self, class: ClassId, whole: bool) -> RequestTracker {
        let mut taken =
            RequestTracker { metrics: self.clone(), class, whole: false, ending: RequestEnd::Failed };
        if whole {
            taken.set_whole();
        }
        taken
    }
}

/// Goes with a request that was taken, until its end. Dropped without one, its client had gone: it has failed.
#[derive(Debug)]
pub struct RequestTracker {
    metrics: Metrics,
    class: ClassId,
    /// Its last byte has come: it is pending.
    whole: bool,
    ending: RequestEnd,
}

impl RequestTracker {
    /// The request's last byte has come.
    pub fn set_whole(&mut self) {
        if !std::mem::replace(&mut self.whole, true) {
            self.metrics.count().pending += 1;
        }
    }

    /// The request ended so.
    pub fn end(mut self, ending: RequestEnd) {
        self.set_whole();
        self.ending = ending;
    }
}

impl Drop for RequestTracker {
    fn drop(&mut self) {
        if self.whole {
            let mut figures = self.metrics.count();
            figures.pending -= 1;
            figures.end(self.class, self.ending);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_request_is_pending_until_it_ends_or_its_client_goes_and_is_counted_once() {
        let metrics = Metrics::new(2);
        let names = ["a".to_owned(), "b".to_owned()];
        let taken: Vec<RequestTracker> = [0, 1, 1, 1].map(|class| metrics.take(ClassId(class), true)).into();
        let _begun = metrics.take(ClassId(1), false);
        assert_eq!(metrics.get().to_json(&names, 0, 0)["pending"], 4);
        for (taken, ending) in
            taken.into_iter().zip([RequestEnd::Completed, RequestEnd::Rejected, RequestEnd::Failed])
        {
            taken.end(ending);
        }
        let figures = metrics.get().to_json(&names, 3, 1);
        let expected = json!({
            "downstream_requests": {
                "a": {"completed": 1, "rejected": 0, "failed": 0},
                "b": {"completed": 0, "rejected": 1, "failed": 2},
            },
            "upstream_requests": 0, "pending": 0, "members": 3, "members_unavailable": 1,
        });
        assert_eq!(figures, expected);
    }

    #[test]
    fn closes_of_connections_to_hosts_are_counted_by_their_reason() {
        let metrics = Metrics::new(1);
        metrics.count().closed_to_hosts(EndpointCloseReason::Idle, 2);
        metrics.count().closed_to_hosts(EndpointCloseReason::Leaving, 0);
        metrics.count().closed_to_hosts(EndpointCloseReason::Idle, 1);
        assert!(metrics.get().to_string().contains("closed_to_hosts: {Idle: 3}, "));
    }
}
