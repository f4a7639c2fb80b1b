//! A client's request: the part that is forwarded, the part that the balancer needs, and the reply.

use crate::body::{AttemptBody, RequestBody, ResponseBody};
use crate::header_list::HeaderList;
use crate::memory::MemoryReservation;
use crate::socket::Socket;
use crate::write_guard::WriteGuard;
use balancer::{ClassId, TenantId};
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, Uri};
use std::time::Duration;
use tokio::time::Instant;

/// Header with the time in milliseconds for which the client still waits for the response.
const TIMEOUT_MS_HEADER: &str = "x-budget-ms";

/// The part of a client's request that is forwarded to endpoints.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// The HTTP method.
    pub method: Method,
    /// The path and query.
    pub target: Uri,
    /// The end-to-end headers, without the hop-by-hop headers of the client's connection.
    pub headers: HeaderList,
    /// The body, buffered or streamed.
    pub body: RequestBody,
    /// Time after the request's last byte within which the proxy must have the response: the
    /// client's timeout less the time that is reserved for returning the response to the client.
    pub response_timeout: Duration,
    /// Time after the request's last byte within which a response still counts, at least in part:
    /// see [`balancer::Class::weighted_time`].
    pub weighted_time: Duration,
    /// The client's connection.
    pub client: Socket,
    /// The memory of the request and its attempts.
    pub(crate) _memory: MemoryReservation,
}

impl ForwardedRequest {
    /// Builds the message for an attempt that times out at `deadline`. Its header advertises the
    /// time left.
    pub(super) fn message(
        &self,
        deadline: Instant,
        write_guard: &WriteGuard,
    ) -> Request<AttemptBody> {
        let mut message = Request::new(AttemptBody::new(&self.body, write_guard));
        *message.method_mut() = self.method.clone();
        *message.uri_mut() = self.target.clone();
        *message.headers_mut() = self.headers.to_map();
        let deadline = self.provisional_deadline().unwrap_or(deadline);
        let time_left = deadline.saturating_duration_since(Instant::now());
        let time_left_ms = time_left.as_millis() as u64;
        write_guard.record_advertised_time(Duration::from_millis(time_left_ms));
        message
            .headers_mut()
            .insert(TIMEOUT_MS_HEADER, HeaderValue::from(time_left_ms.max(1)));
        message
    }

    /// When the client's timeout may end at the earliest, if the body is still being read: its last
    /// byte may have arrived although it has not been read. `None` if the body is complete.
    pub(super) fn provisional_deadline(&self) -> Option<Instant> {
        let upload = self.body.upload().filter(|_| !self.is_complete())?;
        Some(upload.earliest_completion() + self.response_timeout)
    }

    /// Whether the request's last byte has arrived, which starts the client's timeout.
    pub(super) fn is_complete(&self) -> bool {
        self.body
            .upload()
            .is_none_or(|upload| upload.result().is_some())
    }
}

/// The part of a request that the balancer needs.
#[derive(Clone, Debug)]
pub struct RequestMetadata {
    /// The client's request id, which must be unique among the requests in flight.
    pub id: HeaderValue,
    /// The request's class.
    pub class: ClassId,
    /// The tenant, if the client named a known one.
    pub tenant: Option<TenantId>,
    /// When the client must have its response.
    pub deadline: Instant,
    /// Whether the client marked this request as its own retry of an earlier one.
    pub is_client_retry: bool,
}

/// The final reply to a request.
#[derive(Debug)]
pub enum Reply {
    /// The response of an endpoint.
    Served(Response<ResponseBody>),
    /// The request was rejected; the client may retry after this time.
    Rejected(Duration),
    /// The request failed and may have been executed.
    Failed,
}
