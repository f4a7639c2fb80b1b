//! Requests on their way: what hosts get of one, the answer that it gets, and the attempts that are out for it.

use crate::body::{AttemptBody, RequestBody, ResponseBody};
use crate::control::endpoints::EndpointProcess;
use crate::invariants::RequestRecord;
use crate::socket::Socket;
use crate::task::ScopedTask;
use crate::write_guard::WriteGuard;
use balancer::{ClassId, Event, LoadReport, Micros, Outcome, RequestId, TenantId};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, Uri};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A client's request as hosts get it.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub target: Uri,
    /// Its headers, without those of the client's connection.
    pub headers: HeaderMap,
    /// Its body.
    pub payload: RequestBody,
    /// How long its client waits for the answer, from its last byte on.
    pub budget: Duration,
    /// Where it came.
    pub client: Socket,
}

impl ForwardedRequest {
    /// The request for one attempt, which is given up at `until`.
    pub(crate) fn request(&self, until: Instant, write_guard: &WriteGuard) -> Request<AttemptBody> {
        let mut request = Request::new(AttemptBody::new(&self.payload, write_guard));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        *request.headers_mut() = self.headers.clone();
        let whole = self.payload.upload().is_none_or(|upload| upload.result().is_some());
        // All of one that is still being read may have come by now.
        let until = if whole { until } else { self.client.earliest_arrival() + self.budget };
        let left = until.saturating_duration_since(Instant::now());
        let left = left.as_millis() as u64;
        write_guard.advertise_timeout(Duration::from_millis(left));
        request.headers_mut().insert("x-budget-ms", HeaderValue::from(left.max(1)));
        request
    }
}

/// What the decision module is told of a request.
#[derive(Clone, Debug)]
pub struct RequestDescriptor {
    /// Its id, which no other open request has.
    pub id: HeaderValue,
    /// Its class.
    pub class: ClassId,
    /// Whose it is.
    pub tenant: Option<TenantId>,
    /// Until when the client is to have its answer.
    pub deadline: Instant,
    /// The client has tried before.
    pub client_retry: bool,
}

/// The one final answer of a request.
#[derive(Debug)]
pub enum Reply {
    /// A host's answer.
    Served(Response<ResponseBody>),
    /// Turned away; the client may come again after this time.
    Rejected(Duration),
    /// Failed; it may have run.
    Failed,
}

/// A call from its request until it is answered and none of its attempts is out.
pub(crate) struct InFlightRequest {
    pub(crate) id: HeaderValue,
    pub(crate) forward: Rc<ForwardedRequest>,
    pub(crate) deadline: Instant,
    pub(crate) record: RequestRecord,
    /// `None`: it is over.
    pub(crate) reply: Option<oneshot::Sender<Reply>>,
    /// `None`: that attempt has ended.
    pub(crate) attempts: Vec<Option<InFlightAttempt>>,
}

impl InFlightRequest {
    /// Whether the client's time has begun: all of its request has come.
    pub(crate) fn is_whole(&self) -> bool {
        self.forward.payload.upload().is_none_or(|upload| upload.result().is_some())
    }

    /// How long an attempt has taken so far; not while its request is still coming.
    pub(crate) fn took(&self, sent: Instant) -> Micros {
        if self.is_whole() {
            sent.elapsed().as_micros() as Micros
        } else {
            0
        }
    }

    /// Ends the attempts that are unwanted and of which nothing is written yet. Unlike one that is called off,
    /// such an attempt surely never ran.
    pub(crate) fn withdraw(
        &mut self,
        id: RequestId,
        events: &mut VecDeque<Event>,
        unwanted: impl Fn(&InFlightAttempt) -> bool,
    ) {
        self.take_back(id, events, Outcome::NeverSent, |out| {
            out.write_guard.bytes_written() == 0 && unwanted(out)
        });
    }

    /// Ends the attempts of a call that is over of which a part is not written yet: nothing more is sent for it. No host
    /// begins with such an attempt.
    pub(crate) fn cut_off(&mut self, id: RequestId, events: &mut VecDeque<Event>) {
        self.withdraw(id, events, |_| true);
        self.take_back(id, events, Outcome::Cancelled, |out| !out.write_guard.is_fully_written());
    }

    pub(crate) fn take_back(
        &mut self,
        id: RequestId,
        events: &mut VecDeque<Event>,
        outcome: Outcome,
        unwanted: impl Fn(&InFlightAttempt) -> bool,
    ) {
        let closed = self.reply.is_none();
        for (attempt, out) in (0..).zip(&mut self.attempts) {
            if let Some(out) = out.take_if(|out| unwanted(out)) {
                out.write_guard.withdraw();
                out.write_guard.finish(outcome);
                events.push_back(ended(id, attempt, outcome, out.sent.elapsed(), closed));
            }
        }
    }
}

/// The outcome of an attempt that the proxy itself has ended.
pub(crate) fn ended(
    request: RequestId,
    attempt: u32,
    outcome: Outcome,
    elapsed: Duration,
    request_finished: bool,
) -> Event {
    let (elapsed, load) = (elapsed.as_micros() as Micros, LoadReport::default());
    Event::AttemptEnded { request, attempt, outcome, elapsed, request_finished, load }
}

/// An attempt that is out.
pub(crate) struct InFlightAttempt {
    pub(crate) to: EndpointProcess,
    pub(crate) sent: Instant,
    pub(crate) write_guard: WriteGuard,
    /// Ends the exchange and closes its connection when dropped.
    pub(crate) _task: ScopedTask,
}
