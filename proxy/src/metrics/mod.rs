//! The figures since the start. They are counted here alone, at the event itself, and read by operators' calls and the
//! log alike.

mod reasons;

pub use reasons::{ClientCloseReason, EndpointCloseReason, RequestEnd, Violation, WriteDenial};

use balancer::{ClassId, FailureReason, Outcome};
use hyper::StatusCode;
use serde_json::{json, Value};
use std::cell::{Ref, RefCell, RefMut};
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

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
mod tests;
