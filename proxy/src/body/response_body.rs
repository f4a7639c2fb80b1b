//! The body of an endpoint's response as it is sent to the client: buffered, or streamed as it
//! arrives.

use super::transfer_timer::TransferTimer;
use crate::log;
use crate::memory::{compact_small_frame, TransferPermit};
use crate::message_limits::MAX_BODY_BYTES;
use crate::metrics::{RequestEnd, RequestTracker};
use crate::socket::Socket;
use http_body_util::Full;
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use std::fmt;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use thiserror::Error;

/// Minimum rate at which an endpoint must send a streamed response, measured over the time in which
/// the proxy waits for data. Without it, a slow response would keep the connections to the client
/// and to the endpoint open for an unlimited time.
const MIN_RESPONSE_BYTES_PER_SECOND: f64 = 1_000.0;
/// Maximum time that the proxy waits for more data of a streamed response.
const MAX_RESPONSE_WAIT: Duration = Duration::from_secs(10);

/// Why a streamed response did not arrive completely.
#[derive(Debug, Error)]
pub enum ResponseBodyError {
    /// The connection failed, or the response could not be parsed.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// The body is longer than the limit.
    #[error("the response body is longer than {MAX_BODY_BYTES} bytes")]
    TooLong,
    /// The body arrived too slowly.
    #[error(
        "the response body arrives more slowly than {MIN_RESPONSE_BYTES_PER_SECOND} bytes/s, and \
         the allowance of at most {MAX_RESPONSE_WAIT:?} for pauses is used up"
    )]
    TooSlow,
}

/// Called once a streamed response has been read completely; dropped without a call if reading
/// fails or stops early.
pub(crate) type OnCompleted = Box<dyn FnOnce()>;

/// A large response as it arrives from its endpoint, read only as fast as the client takes it.
pub struct StreamedResponse {
    /// Data that was read before the response turned out to be too long to buffer, if it has not
    /// been passed on yet.
    prefix: Option<Bytes>,
    rest: Incoming,
    /// The connection to the endpoint.
    socket: Socket,
    read_bytes: u64,
    timer: TransferTimer,
    /// Returns the connection to the pool for reuse. Dropping it instead closes the connection.
    on_completed: Option<OnCompleted>,
    tracker: Option<RequestTracker>,
    /// Data has been passed on that hyper may not have written yet.
    may_be_unwritten: bool,
    /// A failure that is reported once hyper has had the occasion to write.
    failure: Option<ResponseBodyError>,
    _permit: TransferPermit,
}

impl fmt::Debug for StreamedResponse {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "StreamedResponse after {} bytes",
            self.read_bytes
        )
    }
}

impl StreamedResponse {
    /// Creates the body of a response that arrives on `socket`. `prefix` is the data that has been
    /// read already; `on_completed` is called when the rest has been read as well.
    pub(crate) fn new(
        prefix: Bytes,
        rest: Incoming,
        socket: Socket,
        on_completed: OnCompleted,
        permit: TransferPermit,
    ) -> StreamedResponse {
        StreamedResponse {
            read_bytes: prefix.len() as u64,
            prefix: Some(prefix),
            rest,
            socket,
            timer: TransferTimer::new(
                MAX_RESPONSE_WAIT,
                MAX_RESPONSE_WAIT,
                MIN_RESPONSE_BYTES_PER_SECOND,
            ),
            on_completed: Some(on_completed),
            tracker: None,
            may_be_unwritten: false,
            failure: None,
            _permit: permit,
        }
    }

    fn finish(&mut self, end: RequestEnd) {
        if let Some(tracker) = self.tracker.take() {
            tracker.end(end);
        }
        if let (Some(on_completed), RequestEnd::Completed) = (self.on_completed.take(), end) {
            on_completed();
        }
    }

    fn poll_data(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, ResponseBodyError>>> {
        if let Some(prefix) = self.prefix.take().filter(|prefix| !prefix.is_empty()) {
            return Poll::Ready(Some(Ok(prefix)));
        }
        while let Poll::Ready(frame) = Pin::new(&mut self.rest).poll_frame(context) {
            // Counts the wait only up to the last read: the data may have arrived long ago, while
            // the client did not read.
            self.timer.stop_waiting(|| self.socket.last_read_at());
            let Some(frame) = frame else {
                return Poll::Ready(None);
            };
            // Trailers are not forwarded.
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            self.read_bytes += data.len() as u64;
            if self.read_bytes > MAX_BODY_BYTES {
                return Poll::Ready(Some(Err(ResponseBodyError::TooLong)));
            }
            self.timer.extend_allowance(data.len());
            return Poll::Ready(Some(Ok(compact_small_frame(data))));
        }
        ready!(self.timer.poll_expired(context));
        Poll::Ready(Some(Err(ResponseBodyError::TooSlow)))
    }

    /// Like [`StreamedResponse::poll_data`], but a failure waits until the data before it can have
    /// been written. hyper discards what it has not written when a body fails, and a client would
    /// see its connection close without a byte of an answer.
    fn poll_data_before_failure(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, ResponseBodyError>>> {
        if let Some(failure) = self.failure.take() {
            return Poll::Ready(Some(Err(failure)));
        }
        let data = self.poll_data(context);
        // hyper writes what it has whenever the body is not ready.
        let may_be_unwritten = self.may_be_unwritten;
        self.may_be_unwritten = data.is_ready();
        match data {
            Poll::Ready(Some(Err(failure))) if may_be_unwritten => {
                self.failure = Some(failure);
                context.waker().wake_by_ref();
                Poll::Pending
            }
            data => data,
        }
    }

    fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseBodyError>>> {
        let data = ready!(self.poll_data_before_failure(context));
        match &data {
            Some(Err(error)) => {
                log::line(&format!(
                    "an endpoint's response failed after {} bytes of its body: {error}; the \
                     client's response is truncated",
                    self.read_bytes
                ));
                self.finish(RequestEnd::Failed);
            }
            Some(Ok(_)) if !self.rest.is_end_stream() => {}
            Some(Ok(_)) | None => self.finish(RequestEnd::Completed),
        }
        Poll::Ready(data.map(|data| data.map(Frame::data)))
    }

    fn size_hint(&self) -> SizeHint {
        let prefix = self.prefix.as_ref().map_or(0, Bytes::len) as u64;
        let rest = self.rest.size_hint().exact();
        rest.map_or_else(SizeHint::new, |rest| SizeHint::with_exact(prefix + rest))
    }
}

/// The body of a response.
#[derive(Debug)]
pub enum ResponseBody {
    /// The complete body is in memory.
    Buffered(Full<Bytes>),
    /// The body is streamed as it arrives.
    Streamed(Box<StreamedResponse>),
}

impl ResponseBody {
    /// Creates a body that is completely in memory.
    pub(crate) fn buffered(bytes: Bytes) -> ResponseBody {
        ResponseBody::Buffered(Full::new(bytes))
    }

    /// Whether the body is streamed as it arrives.
    pub(crate) fn is_streamed(&self) -> bool {
        matches!(self, ResponseBody::Streamed(_))
    }

    /// Ends the tracked request together with this body: immediately if the body is buffered,
    /// otherwise when it has been streamed completely or has failed.
    pub(crate) fn track(&mut self, tracker: RequestTracker) {
        match self {
            ResponseBody::Buffered(_) => tracker.end(RequestEnd::Completed),
            ResponseBody::Streamed(stream) => stream.tracker = Some(tracker),
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ResponseBodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseBodyError>>> {
        match &mut *self {
            ResponseBody::Buffered(bytes) => {
                let frame = ready!(Pin::new(bytes).poll_frame(context));
                Poll::Ready(frame.map(|frame| frame.map_err(|never| match never {})))
            }
            ResponseBody::Streamed(stream) => stream.poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Buffered(bytes) => bytes.is_end_stream(),
            ResponseBody::Streamed(stream) => {
                stream.prefix.is_none() && stream.rest.is_end_stream()
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(bytes) => bytes.size_hint(),
            ResponseBody::Streamed(stream) => stream.size_hint(),
        }
    }
}
