//! Bodies on their way through: a client's as it comes, one attempt's as it goes out, an answer's as it is passed on.
//! Small ones are gathered, larger ones are never held whole.

use crate::message_limits::MAX_BODY_BYTES;
use crate::metrics::{RequestEnd, RequestTracker};
use crate::socket::Socket;
use crate::upstream::BoxError;
use crate::write_guard::WriteGuard;
use http_body_util::Full;
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use hyper::StatusCode;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout, Instant, Sleep};

/// Most bytes of a body that is gathered.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;
/// What an honest client sends in a second at the least, with some slack, and the most that it can be ahead of that: one that
/// stops, however much it has sent, is owed its error within 3 s.
const PACE: f64 = 48_000.0;
const PATIENCE_MOST: Duration = Duration::from_millis(2_750);
/// What a host sends of an answer in a second at the least, and the most that it may be late: one that comes in small
/// pieces for good would hold its client and its connection for good.
const ANSWER_PACE: f64 = 1_000.0;
const SILENCE: Duration = Duration::from_secs(10);
/// How long what is still to come of a body that is of no use is read: closing on a client that is sending would reset
/// the connection, and the answer might be lost with it.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// The bytes that all gathered bodies together may take.
#[derive(Clone, Debug)]
pub struct BodyMemory(Arc<AtomicUsize>);

impl BodyMemory {
    /// So many bytes.
    pub fn new(bytes: usize) -> BodyMemory {
        BodyMemory(Arc::new(AtomicUsize::new(bytes)))
    }

    /// Room for a body of up to so many bytes, if there is any.
    pub fn reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        let left = self.0.load(Ordering::Relaxed).checked_sub(bytes)?;
        self.0.store(left, Ordering::Relaxed);
        Some(MemoryReservation { memory: self.clone(), bytes })
    }
}

/// Bytes reserved; they are given back when this is dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    memory: BodyMemory,
    bytes: usize,
}

impl MemoryReservation {
    /// Gives back what is more than so many bytes.
    fn shrink(&mut self, bytes: usize) {
        self.memory.0.fetch_add(self.bytes.saturating_sub(bytes), Ordering::Relaxed);
        self.bytes = self.bytes.min(bytes);
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.shrink(0);
    }
}

/// A body being gathered. What it takes is given back when the last reference to its bytes goes.
#[derive(Debug)]
pub struct BufferedBody {
    bytes: Vec<u8>,
    room: MemoryReservation,
}

impl AsRef<[u8]> for BufferedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BufferedBody {
    /// For a body of this length, if it is known; `None` if it is too long, or there is no room for it.
    pub fn new(memory: &BodyMemory, length: Option<u64>) -> Option<BufferedBody> {
        let length = length.map_or(Some(MAX_BUFFERED_BODY_BYTES), |length| usize::try_from(length).ok());
        let room = memory.reserve(length.filter(|length| *length <= MAX_BUFFERED_BODY_BYTES)?)?;
        Some(BufferedBody { bytes: Vec::new(), room })
    }

    /// Takes one more piece in; `false`: it does not fit any more, all the same it is there.
    pub fn push(&mut self, piece: &[u8]) -> bool {
        self.bytes.extend_from_slice(piece);
        self.bytes.len() <= self.room.bytes
    }

    /// All that was gathered.
    pub fn into_bytes(mut self) -> Bytes {
        self.bytes.shrink_to_fit();
        self.room.shrink(self.bytes.len());
        Bytes::from_owner(self)
    }
}

/// Why a client's body did not come whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UploadError {
    /// It came too slowly.
    TooSlow,
    /// It is too long.
    TooLong,
    /// It could not be read, or broke off.
    Unreadable,
}

impl UploadError {
    /// What the client is told.
    pub fn status(self) -> StatusCode {
        match self {
            UploadError::TooSlow => StatusCode::REQUEST_TIMEOUT,
            UploadError::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            UploadError::Unreadable => StatusCode::BAD_REQUEST,
        }
    }
}

impl fmt::Display for UploadError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "the client's body: {self:?}")
    }
}

impl std::error::Error for UploadError {}

#[derive(Debug)]
struct Source {
    body: Incoming,
    /// What was gathered before it turned out to be long.
    first: Option<Bytes>,
    read: u64,
    /// How much longer the client may take, while it is waited for.
    patience: Duration,
    waiting: Option<(Instant, Pin<Box<Sleep>>)>,
}

/// A client's body as it comes. Time counts only while the client is waited for, not while nobody reads.
#[derive(Debug)]
pub struct Upload {
    source: RefCell<Source>,
    socket: Socket,
    length: Option<u64>,
    spent: Cell<bool>,
    /// When its last byte came, or why it will not.
    end: Cell<Option<Result<Instant, UploadError>>>,
    ended: Notify,
}

impl Upload {
    /// A body that comes on this socket, of which something must have come by then.
    pub fn new(body: Incoming, socket: Socket, by: Instant) -> Upload {
        let length = body.size_hint().exact();
        let patience = by.saturating_duration_since(Instant::now());
        let source = Source { body, first: None, read: 0, patience, waiting: None };
        let (spent, end, ended) = Default::default();
        Upload { source: RefCell::new(source), socket, length, spent, end, ended }
    }

    /// Its length, if the head tells.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Whether something of it was handed on, and can't be had again.
    pub fn is_consumed(&self) -> bool {
        self.spent.get()
    }

    /// How it ended, if it has.
    pub fn result(&self) -> Option<Result<Instant, UploadError>> {
        self.end.get()
    }

    /// Returns once it has ended, and how.
    pub async fn finished(&self) -> Result<Instant, UploadError> {
        loop {
            let ended = self.ended.notified();
            match self.end.get() {
                Some(end) => return end,
                None => ended.await,
            }
        }
    }

    /// Gathers it, if it is short: then this is all of it. `None`: it is long; what was read of it comes first when it
    /// is read again.
    pub async fn buffer(&self, memory: &BodyMemory) -> Result<Option<Bytes>, UploadError> {
        let Some(mut gathered) = BufferedBody::new(memory, self.length) else { return Ok(None) };
        while let Some(piece) = poll_fn(|context| self.poll_piece(context)).await {
            if !gathered.push(&piece?) {
                self.source.borrow_mut().first = Some(gathered.into_bytes());
                return Ok(None);
            }
        }
        Ok(Some(gathered.into_bytes()))
    }

    /// Reads on and throws away, within bounds.
    pub async fn discard(&self) {
        let rest = async { while let Some(Ok(_)) = poll_fn(|context| self.poll_piece(context)).await {} };
        let _ = timeout(DRAIN_TIME, rest).await;
    }

    fn finish(&self, end: Result<Instant, UploadError>) {
        self.end.set(Some(end));
        self.ended.notify_waiters();
    }

    fn poll_piece(&self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, UploadError>>> {
        // It may have ended while it was gathered.
        if let Some(first) = self.source.borrow_mut().first.take() {
            return Poll::Ready(Some(Ok(first)));
        }
        match self.end.get() {
            Some(Ok(_)) => return Poll::Ready(None),
            Some(Err(fault)) => return Poll::Ready(Some(Err(fault))),
            None => {}
        }
        let piece = ready!(self.source.borrow_mut().poll_piece(context));
        match piece {
            Some(Err(fault)) => self.finish(Err(fault)),
            None => self.finish(Ok(self.socket.earliest_arrival())),
            // The last byte of a known length is the end: none may ask for what follows it.
            Some(Ok(_)) if self.source.borrow().body.is_end_stream() => {
                self.finish(Ok(self.socket.earliest_arrival()))
            }
            Some(Ok(_)) => {}
        }
        Poll::Ready(piece)
    }
}

impl Source {
    fn poll_piece(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, UploadError>>> {
        loop {
            let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(context) else { break };
            self.stop_waiting();
            let data = match frame {
                None => return Poll::Ready(None),
                Some(Err(_)) => return Poll::Ready(Some(Err(UploadError::Unreadable))),
                Some(Ok(frame)) => frame.into_data(),
            };
            // What follows the last chunk is not passed on.
            let Ok(data) = data else { continue };
            self.read += data.len() as u64;
            if self.read > MAX_BODY_BYTES {
                return Poll::Ready(Some(Err(UploadError::TooLong)));
            }
            let earned = Duration::from_secs_f64(data.len() as f64 / PACE);
            self.patience = (self.patience + earned).min(PATIENCE_MOST);
            return Poll::Ready(Some(Ok(data)));
        }
        let patience = self.patience;
        let (_, timer) = self.waiting.get_or_insert_with(|| (Instant::now(), Box::pin(sleep(patience))));
        ready!(timer.as_mut().poll(context));
        Poll::Ready(Some(Err(UploadError::TooSlow)))
    }

    fn stop_waiting(&mut self) {
        if let Some((since, _)) = self.waiting.take() {
            self.patience = self.patience.saturating_sub(since.elapsed());
        }
    }
}

/// A request's body, for its attempts.
#[derive(Clone, Debug)]
pub enum RequestBody {
    /// All of it.
    Buffered(Bytes),
    /// As it comes; it can be had once.
    Upload(Rc<Upload>),
}

impl RequestBody {
    /// Whether it can be had once only.
    pub fn upload(&self) -> Option<&Rc<Upload>> {
        match self {
            RequestBody::Buffered(_) => None,
            RequestBody::Upload(upload) => Some(upload),
        }
    }
}

/// The body of one attempt. It tells the attempt's meter when its end has been handed over.
#[derive(Debug)]
pub struct AttemptBody {
    whole: Full<Bytes>,
    upload: Option<Rc<Upload>>,
    write_guard: WriteGuard,
}

impl AttemptBody {
    /// For an attempt with this meter.
    pub fn new(payload: &RequestBody, write_guard: &WriteGuard) -> AttemptBody {
        let (whole, upload) = match payload {
            RequestBody::Buffered(bytes) => (Full::new(bytes.clone()), None),
            RequestBody::Upload(upload) => (Full::default(), Some(upload.clone())),
        };
        let outgoing = AttemptBody { whole, upload, write_guard: write_guard.clone() };
        outgoing.note_end();
        outgoing
    }

    fn note_end(&self) {
        if self.is_end_stream() {
            self.write_guard.set_request_ended();
        }
    }
}

impl Body for AttemptBody {
    type Data = Bytes;
    type Error = UploadError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, UploadError>>> {
        let frame = match &self.upload {
            Some(upload) => {
                let piece = ready!(upload.poll_piece(context));
                upload.spent.set(true);
                piece.map(|piece| piece.map(Frame::data))
            }
            None => ready!(Pin::new(&mut self.whole).poll_frame(context)).map(|Ok(frame)| Ok(frame)),
        };
        self.note_end();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        match &self.upload {
            Some(upload) => matches!(upload.result(), Some(Ok(_))) && upload.source.borrow().first.is_none(),
            None => self.whole.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.upload {
            Some(upload) => upload.length.map_or_else(SizeHint::new, SizeHint::with_exact),
            None => self.whole.size_hint(),
        }
    }
}

/// What becomes of a large answer's connection once all of it has been read.
pub type Return = Box<dyn FnOnce()>;

/// A large answer on its way from a host: what is read of it is what the client takes.
pub struct StreamedResponse {
    first: Option<Bytes>,
    rest: Incoming,
    /// Where it comes from.
    socket: Socket,
    read: u64,
    /// How much longer the host may take, while it is waited for.
    patience: Duration,
    waiting: Option<(Instant, Pin<Box<Sleep>>)>,
    /// Ends its exchange well, and closes its connection when dropped.
    back: Option<Return>,
    taken: Option<RequestTracker>,
}

impl fmt::Debug for StreamedResponse {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Stream after {} bytes", self.read)
    }
}

impl StreamedResponse {
    /// An answer that comes on this socket, of which `first` has been read; `back` is called when the rest has been read
    /// as well.
    pub fn new(first: Bytes, rest: Incoming, socket: Socket, back: Return) -> StreamedResponse {
        let (read, first, back) = (first.len() as u64, Some(first), Some(back));
        StreamedResponse { first, rest, socket, read, patience: SILENCE, waiting: None, back, taken: None }
    }

    fn end(&mut self, ending: RequestEnd) {
        self.taken.take().into_iter().for_each(|taken| taken.end(ending));
        if let (Some(back), RequestEnd::Completed) = (self.back.take(), ending) {
            back();
        }
    }

    fn poll_piece(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, BoxError>>> {
        if let Some(first) = self.first.take().filter(|first| !first.is_empty()) {
            return Poll::Ready(Some(Ok(first)));
        }
        loop {
            let Poll::Ready(frame) = Pin::new(&mut self.rest).poll_frame(context) else { break };
            if let Some((since, _)) = self.waiting.take() {
                // It may have been there for long, while its client took nothing.
                let took = self.socket.last_read_at().saturating_duration_since(since);
                self.patience = self.patience.saturating_sub(took);
            }
            let Some(frame) = frame else { return Poll::Ready(None) };
            let Ok(data) = frame?.into_data() else { continue };
            self.read += data.len() as u64;
            if self.read > MAX_BODY_BYTES {
                return Poll::Ready(Some(Err("the answer is too long".into())));
            }
            let earned = Duration::from_secs_f64(data.len() as f64 / ANSWER_PACE);
            self.patience = (self.patience + earned).min(SILENCE);
            return Poll::Ready(Some(Ok(data)));
        }
        let patience = self.patience;
        let (_, timer) = self.waiting.get_or_insert_with(|| (Instant::now(), Box::pin(sleep(patience))));
        ready!(timer.as_mut().poll(context));
        Poll::Ready(Some(Err("the answer comes too slowly".into())))
    }
}

/// An answer's body.
#[derive(Debug)]
pub enum ResponseBody {
    /// All of it.
    Buffered(Full<Bytes>),
    /// As it comes.
    Streamed(Box<StreamedResponse>),
}

impl ResponseBody {
    /// All of it.
    pub fn buffered(bytes: Bytes) -> ResponseBody {
        ResponseBody::Buffered(Full::new(bytes))
    }

    /// Ends the request when the answer has been passed on: at once if it is there.
    pub fn track(&mut self, taken: RequestTracker) {
        match self {
            ResponseBody::Buffered(_) => taken.end(RequestEnd::Completed),
            ResponseBody::Streamed(stream) => stream.taken = Some(taken),
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        match &mut *self {
            ResponseBody::Buffered(whole) => {
                let frame = ready!(Pin::new(whole).poll_frame(context));
                Poll::Ready(frame.map(|frame| frame.map_err(|never| match never {})))
            }
            ResponseBody::Streamed(stream) => {
                let piece = ready!(stream.poll_piece(context));
                match &piece {
                    Some(Err(error)) => {
                        crate::log::line(&format!(
                            "an answer broke off after {} bytes: {error}",
                            stream.read
                        ));
                        stream.end(RequestEnd::Failed);
                    }
                    Some(Ok(_)) if !stream.rest.is_end_stream() => {}
                    Some(Ok(_)) | None => stream.end(RequestEnd::Completed),
                }
                Poll::Ready(piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Buffered(whole) => whole.is_end_stream(),
            ResponseBody::Streamed(stream) => stream.first.is_none() && stream.rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(whole) => whole.size_hint(),
            ResponseBody::Streamed(stream) => {
                let first = stream.first.as_ref().map_or(0, Bytes::len) as u64;
                stream
                    .rest
                    .size_hint()
                    .exact()
                    .map_or_else(SizeHint::new, |rest| SizeHint::with_exact(first + rest))
            }
        }
    }
}
