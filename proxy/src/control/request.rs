//! A client's request: what is forwarded of it, what the balancer needs to know, and its reply.

use crate::body::{AttemptBody, RequestBody, ResponseBody};
use crate::socket::Socket;
use crate::write_guard::WriteGuard;
use balancer::{ClassId, TenantId};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, Uri};
use std::time::Duration;
use tokio::time::Instant;

/// How long the client still waits, in milliseconds, as advertised to endpoints.
const TIMEOUT_MS_HEADER: &str = "x-budget-ms";

/// A client's request as it is forwarded to endpoints.
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
    /// How long the client waits for the response, from the request's last byte on.
    pub budget: Duration,
    /// The client's connection.
    pub client: Socket,
}

impl ForwardedRequest {
    /// The message for an attempt that times out at `deadline`. It advertises the time left.
    pub(super) fn message(
        &self,
        deadline: Instant,
        write_guard: &WriteGuard,
    ) -> Request<AttemptBody> {
        let mut message = Request::new(AttemptBody::new(&self.payload, write_guard));
        *message.method_mut() = self.method.clone();
        *message.uri_mut() = self.target.clone();
        *message.headers_mut() = self.headers.clone();
        // The last byte of one that is still being read may have arrived by now.
        let deadline = if self.is_complete() {
            deadline
        } else {
            self.client.earliest_arrival() + self.budget
        };
        let time_left = deadline.saturating_duration_since(Instant::now());
        let time_left_ms = time_left.as_millis() as u64;
        write_guard.advertise_timeout(Duration::from_millis(time_left_ms));
        message
            .headers_mut()
            .insert(TIMEOUT_MS_HEADER, HeaderValue::from(time_left_ms.max(1)));
        message
    }

    /// Whether its last byte has arrived: the client's time has begun.
    pub(super) fn is_complete(&self) -> bool {
        self.payload
            .upload()
            .is_none_or(|upload| upload.result().is_some())
    }
}

/// What the balancer needs to know of a request.
#[derive(Clone, Debug)]
pub struct RequestDescriptor {
    /// Its id, which no other request in flight has.
    pub id: HeaderValue,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// By when the client must have its response.
    pub deadline: Instant,
    /// The client says that this is a retry of its own.
    pub client_retry: bool,
}

/// The final reply to a request.
#[derive(Debug)]
pub enum Reply {
    /// An endpoint's response.
    Served(Response<ResponseBody>),
    /// Rejected; the client may retry after this time.
    Rejected(Duration),
    /// Failed; it may have been executed.
    Failed,
}
