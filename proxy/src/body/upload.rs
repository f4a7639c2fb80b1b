//! A client's request body as it arrives.

use super::memory::{BodyMemory, BufferedBody};
use super::transfer_timer::TransferTimer;
use crate::message_limits::MAX_BODY_BYTES;
use crate::socket::Socket;
use hyper::body::{Body, Bytes, Incoming};
use hyper::StatusCode;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use thiserror::Error;
use tokio::sync::Notify;
use tokio::time::{timeout, Instant};

/// Lowest rate at which an honest client sends, with some slack.
const MIN_UPLOAD_BYTES_PER_SECOND: f64 = 48_000.0;
/// Maximum time that the proxy waits for more of an upload: a client that stalls is owed its error
/// within 3 s, however much it has sent.
const MAX_UPLOAD_WAIT: Duration = Duration::from_millis(2_750);
/// How long the rest of an upload that is of no use is read: closing while the client sends would
/// reset the connection, and the response could be lost with it.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a client's body did not arrive completely.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(crate) enum UploadError {
    /// It arrived too slowly.
    #[error("the request body arrives too slowly")]
    TooSlow,
    /// It is longer than any body may be.
    #[error("the request body is longer than {MAX_BODY_BYTES} bytes")]
    TooLong,
    /// It could not be parsed, or its connection broke.
    #[error("the request body can't be read")]
    Unreadable,
}

impl UploadError {
    /// The status that the client gets.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            UploadError::TooSlow => StatusCode::REQUEST_TIMEOUT,
            UploadError::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            UploadError::Unreadable => StatusCode::BAD_REQUEST,
        }
    }
}

/// Where an upload's data is read from.
#[derive(Debug)]
struct UploadSource {
    body: Incoming,
    /// Data that was read before the upload turned out to be too long to buffer; it is returned
    /// first.
    unread_prefix: Option<Bytes>,
    read_bytes: u64,
    timer: TransferTimer,
}

/// A client's body as it arrives.
#[derive(Debug)]
pub struct Upload {
    source: RefCell<UploadSource>,
    socket: Socket,
    length: Option<u64>,
    is_consumed: Cell<bool>,
    result: Cell<Option<Result<Instant, UploadError>>>,
    finished: Notify,
}

impl Upload {
    /// A body that arrives on this socket, with its first data expected by the instant
    /// `first_data_by`.
    pub(crate) fn new(body: Incoming, socket: Socket, first_data_by: Instant) -> Upload {
        let length = body.size_hint().exact();
        let allowance = first_data_by.saturating_duration_since(Instant::now());
        let timer = TransferTimer::new(allowance, MAX_UPLOAD_WAIT, MIN_UPLOAD_BYTES_PER_SECOND);
        let source = UploadSource {
            body,
            unread_prefix: None,
            read_bytes: 0,
            timer,
        };
        Upload {
            source: RefCell::new(source),
            socket,
            length,
            is_consumed: Cell::default(),
            result: Cell::default(),
            finished: Notify::default(),
        }
    }

    /// Its length in bytes, if the head gives it.
    pub(crate) fn length(&self) -> Option<u64> {
        self.length
    }

    /// Whether part of it was passed to an attempt, so that no other attempt can have all of it.
    pub(crate) fn is_consumed(&self) -> bool {
        self.is_consumed.get()
    }

    /// When its last byte arrived, or why that will not arrive; `None` while it is still arriving.
    pub(crate) fn result(&self) -> Option<Result<Instant, UploadError>> {
        self.result.get()
    }

    /// Waits for its result.
    pub(crate) async fn finished(&self) -> Result<Instant, UploadError> {
        loop {
            let finished = self.finished.notified();
            match self.result.get() {
                Some(result) => return result,
                None => finished.await,
            }
        }
    }

    /// Reads it into memory, if it is small enough. `None`: it is too long; what was read of it is
    /// returned first when it is read again.
    pub(crate) async fn buffer(&self, memory: &BodyMemory) -> Result<Option<Bytes>, UploadError> {
        let Some(mut buffer) = BufferedBody::new(memory, self.length) else {
            return Ok(None);
        };
        while let Some(data) = poll_fn(|context| self.poll_data(context)).await {
            if !buffer.append(&data?) {
                self.source.borrow_mut().unread_prefix = Some(buffer.into_bytes());
                return Ok(None);
            }
        }
        Ok(Some(buffer.into_bytes()))
    }

    /// Reads the rest for a bounded time and discards it.
    pub(crate) async fn discard(&self) {
        let rest =
            async { while let Some(Ok(_)) = poll_fn(|context| self.poll_data(context)).await {} };
        // A rest that takes longer is left unread.
        let _ = timeout(DISCARD_TIMEOUT, rest).await;
    }

    /// The next data for an attempt: from now on the upload is consumed.
    pub(super) fn poll_consume(
        &self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, UploadError>>> {
        let data = ready!(self.poll_data(context));
        self.is_consumed.set(true);
        Poll::Ready(data)
    }

    /// Whether all of it has arrived and been read.
    pub(super) fn is_read_to_end(&self) -> bool {
        matches!(self.result(), Some(Ok(_))) && self.source.borrow().unread_prefix.is_none()
    }

    fn finish(&self, result: Result<Instant, UploadError>) {
        self.result.set(Some(result));
        self.finished.notify_waiters();
    }

    fn poll_data(&self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, UploadError>>> {
        // The upload may have finished while it was buffered.
        if let Some(prefix) = self.source.borrow_mut().unread_prefix.take() {
            return Poll::Ready(Some(Ok(prefix)));
        }
        match self.result.get() {
            Some(Ok(_)) => return Poll::Ready(None),
            Some(Err(error)) => return Poll::Ready(Some(Err(error))),
            None => {}
        }
        let data = ready!(self.source.borrow_mut().poll_data(context));
        match data {
            Some(Err(error)) => self.finish(Err(error)),
            None => self.finish(Ok(self.socket.earliest_arrival())),
            // With a known length the last byte is the end: the body may never be polled again.
            Some(Ok(_)) if self.source.borrow().body.is_end_stream() => {
                self.finish(Ok(self.socket.earliest_arrival()));
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
            self.timer.extend(data.len());
            return Poll::Ready(Some(Ok(data)));
        }
        ready!(self.timer.poll_expired(context));
        Poll::Ready(Some(Err(UploadError::TooSlow)))
    }
}
