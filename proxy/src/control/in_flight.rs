//! Requests in flight and their attempts.

use crate::body::ResponseBody;
use crate::control::clock::to_micros;
use crate::control::endpoints::EndpointProcess;
use crate::control::request::{ForwardedRequest, Reply};
use crate::invariants::{ReplyKind, RequestRecord};
use crate::request_ids::{ClaimedId, IdRetention, RequestIds};
use crate::task::ScopedTask;
use crate::write_guard::WriteGuard;
use balancer::{Event, LoadReport, Micros, Outcome, RequestId};
use hyper::header::HeaderValue;
use hyper::Response;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Owns the requests in flight. A request is in flight from its arrival until it has a reply and
/// none of its attempts is in flight.
#[derive(Default)]
pub(super) struct InFlightRequests {
    by_id: BTreeMap<RequestId, InFlightRequest>,
    /// The request ids that the clients chose. No two requests in flight may share one: endpoints
    /// would take them for the same request.
    pub(super) client_ids: RequestIds,
    last_id: u64,
}

impl InFlightRequests {
    /// Claims the client's id for a new request and assigns it an internal id. Returns `None` if a
    /// request with this client id is in flight, or may have been executed.
    pub(super) fn claim_id(
        &mut self,
        client_id: &HeaderValue,
        retention: IdRetention,
        deadline: Instant,
    ) -> Option<(RequestId, ClaimedId)> {
        let claimed = self.client_ids.claim(client_id, retention, deadline)?;
        self.last_id += 1;
        Some((RequestId(self.last_id), claimed))
    }

    /// Adds a request under its reserved id.
    pub(super) fn insert(&mut self, id: RequestId, request: InFlightRequest) {
        self.by_id.insert(id, request);
    }

    /// The request, if it is in flight.
    pub(super) fn get(&self, id: RequestId) -> Option<&InFlightRequest> {
        self.by_id.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut InFlightRequest> {
        self.by_id.get_mut(&id)
    }

    /// Removes an ended attempt from its request and returns both. `None` if the attempt has
    /// already been removed.
    pub(super) fn take_attempt(
        &mut self,
        id: RequestId,
        attempt: u32,
    ) -> Option<(&mut InFlightRequest, InFlightAttempt)> {
        let request = self.by_id.get_mut(&id)?;
        let ended = request.attempts.get_mut(attempt as usize)?.take()?;
        Some((request, ended))
    }

    /// Moves the deadlines of all requests that are later than `end` to `end`.
    pub(super) fn limit_deadlines(&mut self, end: Instant) {
        for request in self.by_id.values_mut() {
            request.deadline = request.deadline.min(end);
        }
    }

    /// Ends all unwritten attempts for processes that no longer accept new attempts.
    pub(super) fn withdraw_attempts(
        &mut self,
        events: &mut VecDeque<Event>,
        is_accepted: impl Fn(EndpointProcess) -> bool,
    ) {
        for (&id, request) in &mut self.by_id {
            request.end_unwritten_attempts(id, events, |attempt| !is_accepted(attempt.process));
        }
    }

    /// If the request has its reply, ends the attempts that are not completely written, and removes
    /// the request once none of its attempts is in flight.
    pub(super) fn finish_if_replied(&mut self, id: RequestId, events: &mut VecDeque<Event>) {
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
                let may_have_been_executed = request.record.may_have_been_executed();
                self.client_ids
                    .release(request.client_id, may_have_been_executed);
            }
        }
    }
}

/// A request in flight.
pub(super) struct InFlightRequest {
    client_id: ClaimedId,
    pub(super) forwarded: Rc<ForwardedRequest>,
    pub(super) deadline: Instant,
    pub(super) record: RequestRecord,
    /// `None` once the reply has been sent or the client has disconnected.
    pub(super) reply: Option<oneshot::Sender<Reply>>,
    /// The attempts by number; `None` for those that have ended.
    pub(super) attempts: Vec<Option<InFlightAttempt>>,
}

impl InFlightRequest {
    /// Sends the reply to a request that an endpoint has served. `None`: there was no memory for
    /// its response, so the client may send it again if that is safe.
    pub(super) fn reply_served(&mut self, response: Option<Response<ResponseBody>>) {
        let Some(sender) = self.reply.take() else {
            return;
        };
        let (reply, kind) = match response {
            Some(response) => (Reply::Served(response), ReplyKind::Served),
            None if self.record.is_repeatable_anywhere() => {
                (Reply::Rejected(Duration::ZERO), ReplyKind::Rejected)
            }
            None => (Reply::Failed, ReplyKind::Failed),
        };
        self.record.replied(kind);
        // Fails only if the client has just disconnected.
        let _ = sender.send(reply);
    }
}

impl InFlightRequest {
    /// Creates a request without attempts, and the receiver of its reply.
    pub(super) fn new(
        client_id: ClaimedId,
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

    /// Whether the request has its reply or needs none because its client has disconnected.
    pub(super) fn has_reply(&self) -> bool {
        self.reply.is_none()
    }

    /// Whether an attempt may start now.
    pub(super) fn may_start_attempt(&self, now: Instant) -> bool {
        !self.has_reply() && (now < self.deadline || !self.forwarded.is_complete())
    }

    /// Called when the request's last byte has arrived: sets the deadline, which is known only now,
    /// and restarts the attempts' elapsed time.
    pub(super) fn complete(&mut self, deadline: Instant) {
        self.deadline = deadline;
        self.record.upload_completed(deadline);
        for attempt in self.attempts.iter_mut().flatten() {
            attempt.started_at = Instant::now();
        }
    }

    /// Updates the record of a request whose body is still arriving, and whose deadline moves.
    pub(super) fn update_record_deadline(&self) {
        if let Some(deadline) = self.forwarded.provisional_deadline() {
            self.record.set_provisional_deadline(deadline);
        }
    }

    /// Cancels the request because its client has disconnected. Returns `false` if it already had
    /// its reply.
    pub(super) fn cancel(&mut self, id: RequestId, events: &mut VecDeque<Event>) -> bool {
        if self.reply.take().is_none() {
            return false;
        }
        self.update_record_deadline();
        self.record.client_disconnected();
        events.push_back(Event::RequestCancelled { request: id });
        true
    }

    /// How long an attempt has taken so far; 0 while the request's body is still being uploaded.
    pub(super) fn elapsed(&self, attempt: &InFlightAttempt) -> Micros {
        if self.forwarded.is_complete() {
            to_micros(attempt.started_at.elapsed())
        } else {
            0
        }
    }

    /// Ends the unwritten attempts for which `should_end` returns `true`. Unlike cancelled
    /// attempts, these are known not to have been executed.
    fn end_unwritten_attempts(
        &mut self,
        id: RequestId,
        events: &mut VecDeque<Event>,
        should_end: impl Fn(&InFlightAttempt) -> bool,
    ) {
        self.end_attempts(id, events, Outcome::NeverSent, |attempt| {
            attempt.write_guard.bytes_written() == 0 && should_end(attempt)
        });
    }

    /// Ends the attempts that are not completely written. Endpoints do not execute a request that
    /// they have not received completely.
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
        should_end: impl Fn(&InFlightAttempt) -> bool,
    ) {
        let request_finished = self.has_reply();
        for (number, attempt) in (0..).zip(&mut self.attempts) {
            if let Some(attempt) = attempt.take_if(|attempt| should_end(attempt)) {
                attempt.end_by_proxy(outcome);
                let elapsed = attempt.started_at.elapsed();
                events.push_back(attempt_ended_event(
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
    /// When the attempt started, or when the request's last byte arrived if that was later.
    pub(super) started_at: Instant,
    pub(super) write_guard: WriteGuard,
    /// Dropping the task ends the exchange and closes its connection.
    pub(super) _task: ScopedTask,
}

impl InFlightAttempt {
    /// Ends the attempt: no more of it is written, and the outcome is recorded.
    pub(super) fn end_by_proxy(&self, outcome: Outcome) {
        self.write_guard.withdraw();
        self.write_guard.record_outcome(outcome);
    }
}

/// The event for an attempt that was ended by the proxy and not by its task.
pub(super) fn attempt_ended_event(
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
