//! Requests in flight and their attempts.

use crate::control::clock::to_micros;
use crate::control::endpoints::EndpointProcess;
use crate::control::request::{ForwardedRequest, Reply};
use crate::invariants::RequestRecord;
use crate::task::ScopedTask;
use crate::write_guard::WriteGuard;
use balancer::{Event, LoadReport, Micros, Outcome, RequestId};
use hyper::header::HeaderValue;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Owns the requests in flight: from their arrival until they have their reply and none of their
/// attempts is in flight.
#[derive(Default)]
pub(super) struct InFlightRequests {
    by_id: BTreeMap<RequestId, InFlightRequest>,
    /// The clients' ids of these requests. Endpoints would take two requests with one id for the
    /// same.
    client_ids: HashSet<HeaderValue>,
    last_id: u64,
}

impl InFlightRequests {
    /// A number for a request with this id. `None`: there is one with this id already.
    pub(super) fn reserve_id(&mut self, client_id: &HeaderValue) -> Option<RequestId> {
        if !self.client_ids.insert(client_id.clone()) {
            return None;
        }
        self.last_id += 1;
        Some(RequestId(self.last_id))
    }

    /// Adds a request under its reserved number.
    pub(super) fn insert(&mut self, id: RequestId, request: InFlightRequest) {
        self.by_id.insert(id, request);
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut InFlightRequest> {
        self.by_id.get_mut(&id)
    }

    /// Takes an attempt that has ended out of its request.
    pub(super) fn take_attempt(
        &mut self,
        id: RequestId,
        attempt: u32,
    ) -> Option<(&mut InFlightRequest, InFlightAttempt)> {
        let request = self.by_id.get_mut(&id)?;
        let ended = request.attempts.get_mut(attempt as usize)?.take()?;
        Some((request, ended))
    }

    /// Lets no request end later than this.
    pub(super) fn limit_deadlines(&mut self, end: Instant) {
        for request in self.by_id.values_mut() {
            request.deadline = request.deadline.min(end);
        }
    }

    /// Ends the unwritten attempts of all requests for processes that take none now.
    pub(super) fn withdraw_attempts(
        &mut self,
        events: &mut VecDeque<Event>,
        is_accepted: impl Fn(EndpointProcess) -> bool,
    ) {
        for (&id, request) in &mut self.by_id {
            request.end_unwritten_attempts(id, events, |attempt| !is_accepted(attempt.process));
        }
    }

    /// Once a request has its reply, nothing more is written for it, and it is removed when none of
    /// its attempts is in flight.
    pub(super) fn clean_up(&mut self, id: RequestId, events: &mut VecDeque<Event>) {
        let Some(request) = self
            .by_id
            .get_mut(&id)
            .filter(|request| request.has_reply())
        else {
            return;
        };
        request.end_incomplete_attempts(id, events);
        if request.attempts.iter().all(Option::is_none) {
            if let Some(request) = self.by_id.remove(&id) {
                self.client_ids.remove(&request.client_id);
            }
        }
    }
}

/// A request in flight.
pub(super) struct InFlightRequest {
    client_id: HeaderValue,
    pub(super) forwarded: Rc<ForwardedRequest>,
    pub(super) deadline: Instant,
    pub(super) record: RequestRecord,
    /// `None`: it has its reply, or its client has disconnected.
    pub(super) reply: Option<oneshot::Sender<Reply>>,
    /// `None`: that attempt has ended.
    pub(super) attempts: Vec<Option<InFlightAttempt>>,
}

impl InFlightRequest {
    /// A request without attempts, and where its reply arrives.
    pub(super) fn new(
        client_id: HeaderValue,
        forwarded: ForwardedRequest,
        deadline: Instant,
        record: RequestRecord,
    ) -> (InFlightRequest, oneshot::Receiver<Reply>) {
        let (sender, receiver) = oneshot::channel();
        let request = InFlightRequest {
            client_id,
            forwarded: Rc::new(forwarded),
            deadline,
            record,
            reply: Some(sender),
            attempts: Vec::new(),
        };
        (request, receiver)
    }

    /// Whether it needs no further reply.
    pub(super) fn has_reply(&self) -> bool {
        self.reply.is_none()
    }

    /// Whether an attempt may start now.
    pub(super) fn may_start_attempt(&self, now: Instant) -> bool {
        !self.has_reply() && (now < self.deadline || !self.forwarded.is_complete())
    }

    /// The request has become complete: its deadline is known, and its attempts' time begins.
    pub(super) fn complete(&mut self, deadline: Instant) {
        self.deadline = deadline;
        self.record.completed(deadline);
        for attempt in self.attempts.iter_mut().flatten() {
            attempt.started_at = Instant::now();
        }
    }

    /// Cancels it, as its client has disconnected. `false`: it had its reply before.
    pub(super) fn cancel(&mut self, id: RequestId, events: &mut VecDeque<Event>) -> bool {
        if self.reply.take().is_none() {
            return false;
        }
        self.record.client_disconnected();
        events.push_back(Event::RequestCancelled { request: id });
        true
    }

    /// How long an attempt has taken so far; 0 while the request is still being read.
    pub(super) fn elapsed(&self, attempt: &InFlightAttempt) -> Micros {
        if self.forwarded.is_complete() {
            to_micros(attempt.started_at.elapsed())
        } else {
            0
        }
    }

    /// Ends the unwanted attempts of which nothing is written yet. Unlike cancelled ones, these
    /// were certainly not executed.
    fn end_unwritten_attempts(
        &mut self,
        id: RequestId,
        events: &mut VecDeque<Event>,
        is_unwanted: impl Fn(&InFlightAttempt) -> bool,
    ) {
        self.end_attempts(id, events, Outcome::NeverSent, |attempt| {
            attempt.write_guard.bytes_written() == 0 && is_unwanted(attempt)
        });
    }

    /// Ends the attempts that are not completely written. No endpoint executes those.
    fn end_incomplete_attempts(&mut self, id: RequestId, events: &mut VecDeque<Event>) {
        self.end_unwritten_attempts(id, events, |_| true);
        self.end_attempts(id, events, Outcome::Cancelled, |attempt| {
            !attempt.write_guard.is_fully_written()
        });
    }

    fn end_attempts(
        &mut self,
        id: RequestId,
        events: &mut VecDeque<Event>,
        outcome: Outcome,
        is_unwanted: impl Fn(&InFlightAttempt) -> bool,
    ) {
        let request_finished = self.has_reply();
        for (number, attempt) in (0..).zip(&mut self.attempts) {
            if let Some(attempt) = attempt.take_if(|attempt| is_unwanted(attempt)) {
                attempt.end_by_proxy(outcome);
                let elapsed = attempt.started_at.elapsed();
                events.push_back(ended_by_proxy(
                    id,
                    number,
                    outcome,
                    elapsed,
                    request_finished,
                ));
            }
        }
    }
}

/// An attempt in flight.
pub(super) struct InFlightAttempt {
    pub(super) process: EndpointProcess,
    /// When it started, or its request became complete if that was later.
    pub(super) started_at: Instant,
    pub(super) write_guard: WriteGuard,
    /// Ends the exchange and closes its connection when dropped.
    pub(super) _task: ScopedTask,
}

impl InFlightAttempt {
    /// Ends it: nothing more of it is written.
    pub(super) fn end_by_proxy(&self, outcome: Outcome) {
        self.write_guard.withdraw();
        self.write_guard.finish(outcome);
    }
}

/// The end of an attempt that the proxy itself has ended.
pub(super) fn ended_by_proxy(
    request: RequestId,
    attempt: u32,
    outcome: Outcome,
    elapsed: Duration,
    request_finished: bool,
) -> Event {
    let elapsed = to_micros(elapsed);
    let load = LoadReport::default();
    Event::AttemptEnded {
        request,
        attempt,
        outcome,
        elapsed,
        request_finished,
        load,
    }
}
