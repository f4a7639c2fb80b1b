//! The request body of a client while it arrives.

use super::transfer_timer::TransferTimer;
use crate::memory::{compact_small_frame, BufferedBody, MAX_BUFFERED_BODY_BYTES};
use crate::message_limits::MAX_BODY_BYTES;
use crate::socket::{RequestArrival, Socket};
use hyper::body::{Body, Bytes, Incoming};
use hyper::StatusCode;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use thiserror::Error;
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Minimum upload rate, measured over the time in which the proxy waits for data. It is below the
/// lowest rate of a client that does not stall.
const MIN_UPLOAD_BYTES_PER_SECOND: f64 = 48_000.0;
/// Maximum time that the proxy waits for more data of an upload. It is below 3 s because a client
/// that stalls must get its error response within 3 s, whatever part of the body it has sent.
const MAX_UPLOAD_WAIT: Duration = Duration::from_millis(2_750);
/// How long the rest of an upload that is no longer needed is read and discarded. Closing the
/// connection while the client is sending would reset it, and the response could be lost.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// How often an upload is checked for unread data, which shows whether the proxy waits for the
/// client.
const ARRIVAL_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Why the request body of a client did not arrive completely.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(crate) enum UploadError {
    /// The body arrived too slowly.
    #[error(
        "the request body arrives more slowly than {MIN_UPLOAD_BYTES_PER_SECOND} bytes/s, and the \
         allowance of at most {MAX_UPLOAD_WAIT:?} for pauses is used up"
    )]
    TooSlow,
    /// The body is longer than the limit.
    #[error("the request body is longer than {MAX_BODY_BYTES} bytes")]
    TooLong,
    /// The body could not be parsed, or the connection failed.
    #[error("the request body cannot be read")]
    Unreadable,
    /// There was no memory for the request.
    #[error("there is no memory for the request")]
    Abandoned,
}

impl UploadError {
    /// The HTTP status that the client gets for this error.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            UploadError::TooSlow => StatusCode::REQUEST_TIMEOUT,
            UploadError::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            UploadError::Unreadable => StatusCode::BAD_REQUEST,
            UploadError::Abandoned => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// The wait for a client that has not sent all of its body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClientWait {
    /// When the last data arrived.
    pub(crate) since: Instant,
    /// When the client will have kept the proxy waiting for too long.
    pub(crate) stalled_at: Instant,
}

/// The source of an upload's data, and the limits on reading it.
#[derive(Debug)]
struct UploadSource {
    body: Incoming,
    /// Data that was read before the upload turned out to be too long to buffer; it is returned
    /// first.
    unread_prefix: Option<Bytes>,
    read_bytes: u64,
    timer: TransferTimer,
}

/// The request body of a client while it arrives.
#[derive(Debug)]
pub struct Upload {
    source: RefCell<UploadSource>,
    socket: Socket,
    length: Option<u64>,
    head_arrived_at: Instant,
    /// Whether the client waits for a 100 response, which hyper sends when the body is first read.
    awaits_continue: Cell<bool>,
    is_consumed: Cell<bool>,
    result: Cell<Option<Result<Instant, UploadError>>>,
    finished: Notify,
}

impl Upload {
    /// Creates the upload of a body that arrives on this socket. The first data must arrive by
    /// `first_data_deadline`. `awaits_continue`: the client waits for a 100 response before it
    /// sends the body.
    pub(crate) fn new(
        body: Incoming,
        socket: Socket,
        first_data_deadline: Instant,
        awaits_continue: bool,
    ) -> Upload {
        let length = body.size_hint().exact();
        let allowance = first_data_deadline.saturating_duration_since(Instant::now());
        let timer = TransferTimer::new(allowance, MAX_UPLOAD_WAIT, MIN_UPLOAD_BYTES_PER_SECOND);
        let source = UploadSource {
            body,
            unread_prefix: None,
            read_bytes: 0,
            timer,
        };
        Upload {
            source: RefCell::new(source),
            head_arrived_at: socket.earliest_arrival(),
            socket,
            length,
            awaits_continue: Cell::new(awaits_continue),
            is_consumed: Cell::default(),
            result: Cell::default(),
            finished: Notify::default(),
        }
    }

    /// The length of the body in bytes, if the request head gives it.
    pub(crate) fn length(&self) -> Option<u64> {
        self.length
    }

    /// Whether part of the body was passed to an attempt, so that no other attempt can send all of
    /// it.
    pub(crate) fn is_consumed(&self) -> bool {
        self.is_consumed.get()
    }

    /// Whether the body is passed on as it arrives, because it is too long to be buffered.
    pub(crate) fn is_streamed(&self) -> bool {
        let max_length = MAX_BUFFERED_BODY_BYTES as u64;
        self.is_consumed() || self.length.is_some_and(|length| length > max_length)
    }

    /// When the last byte arrived, or why it will not arrive. `None` while the body is arriving.
    pub(crate) fn result(&self) -> Option<Result<Instant, UploadError>> {
        self.result.get()
    }

    /// Waits until the body has arrived or failed, and returns the result.
    pub(crate) async fn finished(&self) -> Result<Instant, UploadError> {
        loop {
            let finished = self.finished.notified();
            match self.result.get() {
                Some(result) => return result,
                None => finished.await,
            }
        }
    }

    /// The earliest time at which the last byte of the body can have arrived. While the proxy waits
    /// for the client, that byte has not arrived. While the proxy does not read, because the
    /// request is queued or its endpoint does not read, the client may have sent all of it.
    pub(crate) fn earliest_completion(&self) -> Instant {
        match (self.result.get(), self.arrival()) {
            (Some(Ok(completed_at)), _) => completed_at,
            (_, RequestArrival::Awaited(_)) => Instant::now(),
            (_, RequestArrival::PossibleSince(at) | RequestArrival::Complete(at)) => at,
        }
    }

    /// Completes once the client may have waited this long for the response since it sent the last
    /// byte of the body.
    pub(crate) async fn response_timed_out(&self, response_timeout: Duration) {
        loop {
            let deadline = self.earliest_completion() + response_timeout;
            let now = Instant::now();
            if now >= deadline {
                return;
            }
            // The deadline can only become later in the meantime.
            sleep_until(deadline.min(now + ARRIVAL_CHECK_INTERVAL)).await;
        }
    }

    /// Completes once the client has kept the proxy waiting for too long, and fails the upload.
    /// Unlike [`Upload::poll_data`] this also notices a client that stalls while nobody reads the
    /// upload. Reports each change of whether the upload waits for its client, which it is taken
    /// not to do at first.
    pub(crate) async fn client_stalled(&self, report_wait: impl Fn(bool)) {
        let mut waits_for_client = false;
        sleep(ARRIVAL_CHECK_INTERVAL).await;
        loop {
            let now = Instant::now();
            let awaited_since = match self.arrival() {
                RequestArrival::Awaited(since) => Some(since),
                RequestArrival::PossibleSince(_) | RequestArrival::Complete(_) => None,
            };
            if waits_for_client != awaited_since.is_some() {
                waits_for_client = !waits_for_client;
                report_wait(waits_for_client);
            }
            let allowance = self.source.borrow().timer.allowance();
            let stalled_at = awaited_since.unwrap_or(now) + allowance;
            if now >= stalled_at {
                return self.finish(Err(UploadError::TooSlow));
            }
            sleep_until(stalled_at.min(now + ARRIVAL_CHECK_INTERVAL)).await;
        }
    }

    /// The wait for the client since the last read, which is one only if there is no unread input.
    /// `None` if the body has arrived, or the client waits for a 100 response.
    pub(crate) fn last_client_wait(&self) -> Option<ClientWait> {
        if self.result.get().is_some() || self.awaits_continue.get() {
            return None;
        }
        let since = self.socket.last_read_at();
        let stalled_at = since + self.source.borrow().timer.allowance();
        Some(ClientWait { since, stalled_at })
    }

    /// What is known about the arrival of the last byte. A client that waits for a 100 response
    /// waits for the proxy, so its timeout counts from the request's head until the proxy reads.
    fn arrival(&self) -> RequestArrival {
        if self.awaits_continue.get() {
            return RequestArrival::PossibleSince(self.head_arrived_at);
        }
        self.socket.request_arrival()
    }

    /// Reads the body into this buffer. Returns `None` if it is too long; the data that was read by
    /// then is returned first by the next read.
    pub(crate) async fn buffer(
        &self,
        mut buffer: BufferedBody,
    ) -> Result<Option<Bytes>, UploadError> {
        while let Some(data) = poll_fn(|context| self.poll_data(context)).await {
            if !buffer.append(&data?) {
                self.source.borrow_mut().unread_prefix = Some(buffer.into_bytes());
                return Ok(None);
            }
        }
        Ok(Some(buffer.into_bytes()))
    }

    /// Gives the body up, as there is no memory for its request. What is left of it is not read, so
    /// its connection closes after the response.
    pub(crate) fn abandon(&self) {
        if self.result.get().is_none() {
            self.finish(Err(UploadError::Abandoned));
        }
    }

    /// Reads and discards the rest of the body for at most [`DISCARD_TIMEOUT`].
    pub(crate) async fn discard(&self) {
        let rest =
            async { while let Some(Ok(_)) = poll_fn(|context| self.poll_data(context)).await {} };
        // What arrives after the timeout is left unread.
        let _ = timeout(DISCARD_TIMEOUT, rest).await;
    }

    /// Returns the next data for an attempt, and marks the upload as consumed.
    pub(super) fn poll_consume(
        &self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, UploadError>>> {
        let data = ready!(self.poll_data(context));
        self.is_consumed.set(true);
        Poll::Ready(data)
    }

    /// Whether the body has arrived and been read completely.
    pub(super) fn is_read_to_end(&self) -> bool {
        matches!(self.result(), Some(Ok(_))) && self.source.borrow().unread_prefix.is_none()
    }

    fn finish(&self, result: Result<Instant, UploadError>) {
        self.result.set(Some(result));
        self.finished.notify_waiters();
    }

    fn poll_data(&self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, UploadError>>> {
        // This precedes the check of the result: the upload may have finished while it was
        // buffered.
        if let Some(prefix) = self.source.borrow_mut().unread_prefix.take() {
            return Poll::Ready(Some(Ok(prefix)));
        }
        match self.result.get() {
            Some(Ok(_)) => return Poll::Ready(None),
            Some(Err(error)) => return Poll::Ready(Some(Err(error))),
            None => {}
        }
        self.awaits_continue.set(false);
        let data = ready!(self.source.borrow_mut().poll_data(context));
        match data {
            Some(Err(error)) => self.finish(Err(error)),
            None => self.finish(Ok(self.earliest_completion())),
            // With a known length, the body may not be polled again after its last byte.
            Some(Ok(_)) if self.source.borrow().body.is_end_stream() => {
                self.finish(Ok(self.earliest_completion()));
            }
            Some(Ok(_)) => {}
        }
        Poll::Ready(data)
    }
}

impl UploadSource {
    fn poll_data(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, UploadError>>> {
        while let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(context) {
            self.timer.stop_waiting(Instant::now);
            let data = match frame {
                None => return Poll::Ready(None),
                Some(Err(_)) => return Poll::Ready(Some(Err(UploadError::Unreadable))),
                Some(Ok(frame)) => frame.into_data(),
            };
            // Trailers are not forwarded.
            let Ok(data) = data else { continue };
            self.read_bytes += data.len() as u64;
            if self.read_bytes > MAX_BODY_BYTES {
                return Poll::Ready(Some(Err(UploadError::TooLong)));
            }
            self.timer.extend_allowance(data.len());
            return Poll::Ready(Some(Ok(compact_small_frame(data))));
        }
        ready!(self.timer.poll_expired(context));
        Poll::Ready(Some(Err(UploadError::TooSlow)))
    }
}
