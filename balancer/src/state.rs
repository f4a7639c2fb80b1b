//! What the decision module keeps of calls and attempts: types and look-ups, every decision is in
//! `balance.rs`.

use crate::*;

/// Which budget a trial call may raise: its server's, or the one that all servers share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Trial {
    None,
    Endpoint,
    Shared,
}

/// An attempt, as it was sent and as it ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointId,
    pub(crate) started_at: Micros,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) class_id: usize,
    pub(crate) sent: Micros,
    pub(crate) trial: Trial,
    /// It is being written as its call comes: its server has nothing to work on yet.
    pub(crate) streaming: bool,
    /// `None`: it is out.
    pub(crate) outcome: Option<Outcome>,
}

/// What a server makes of the calls of one class.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ClassRejections {
    /// Turned away in a row, and when the first of those was sent.
    pub(crate) refused: u32,
    pub(crate) since: Micros,
    /// When the last one that was served had been sent.
    pub(crate) served: Micros,
    /// Others are tried first before this time.
    pub(crate) not_before: Micros,
}

/// A call from its arrival until it has ended and no attempt is out.
#[derive(Debug, Default)]
pub(crate) struct Request {
    pub(crate) class: Class,
    pub(crate) class_id: usize,
    pub(crate) arrived: Micros,
    pub(crate) deadline: Micros,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) queued: bool,
    /// What is sent of it can't be sent again; and whether it is still coming.
    pub(crate) non_replayable: bool,
    pub(crate) streaming: bool,
    pub(crate) ended: bool,
    /// When the call is looked at next; 0: not by time.
    pub(crate) wake: Micros,
}

impl Request {
    pub(crate) fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.outcome.is_none()).count()
    }

    /// The first attempt that may have run: the one that binds a guarded call.
    pub(crate) fn binding(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| !a.outcome.is_some_and(Outcome::never_ran))
    }

    pub(crate) fn untried(&self, endpoint: EndpointId) -> bool {
        self.attempts.iter().all(|a| a.endpoint != endpoint)
    }
}

/// Answer times of a class: the present mean and the least it has been, which stands for an
/// unloaded server.
#[derive(Debug, Default)]
pub(crate) struct LatencyEstimate {
    pub(crate) mean: f64,
    pub(crate) base: f64,
    /// Nearly all answers come within this: a percentile that is followed step by step.
    pub(crate) tail: f64,
    pub(crate) seen: u32,
    /// The class's aim, and when an aim has gone by since the first answer.
    pub(crate) latency_objective: Micros,
    pub(crate) fair_from: Micros,
    pub(crate) at: Micros,
    pub(crate) asked: f64,
}

/// Where a call goes.
pub(crate) enum Route {
    Forward { endpoint: usize, trial: Trial },
    Queue,
    Reject { retry_after: Micros },
}
