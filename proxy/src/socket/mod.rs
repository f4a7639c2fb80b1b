//! A TCP stream that hyper's task and the connection's owner share. The owner can close it at once, whatever that
//! task does, can look at what has come and was not read, and knows what was written and read.

pub(crate) mod framing;

use crate::socket::framing::Framing;
use crate::write_guard::{ClientPresence, WriteGuard};
use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::future::{poll_fn, Future};
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::{pin, Pin};
use std::rc::{Rc, Weak};
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::{timeout, Instant};

/// Most bytes that are read at once.
const PIECE_MOST: usize = 16 << 10;

struct Inner {
    /// `None`: closed by its owner.
    io: RefCell<Option<Rc<TcpStream>>>,
    /// Waits for the client's end; `None`: it has come, or nobody asks. It goes with the stream, whose descriptor it would
    /// keep open.
    end: RefCell<Option<Pin<Box<dyn Future<Output = ()>>>>>,
    /// Where the bytes of the attempt that has the connection now are counted.
    write_guard: RefCell<WriteGuard>,
    /// The next byte is to be written behind nothing that has come.
    guarded: Cell<bool>,
    reads: Cell<u64>,
    read_at: Cell<Instant>,
    /// The earliest that what was read last can have come; and whether a read waits for what comes.
    came_at: Cell<Instant>,
    waiting: Cell<bool>,
    /// Since when the other side takes nothing of what there is to write.
    blocked: Cell<Option<Instant>>,
    /// The messages that come, where it matters that they can be told apart.
    framing: Option<RefCell<Framing>>,
}

/// The stream; clones are the same stream.
#[derive(Clone)]
pub struct Socket(Rc<Inner>);

impl fmt::Debug for Inner {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Socket")
            .field("io", &self.io)
            .field("reads", &self.reads)
            .finish_non_exhaustive()
    }
}

impl Inner {
    /// Whether the other side is known to have ended its sending, or to have broken the connection, also behind bytes that
    /// nobody has read: hyper finds an end only when it has read all that came before it.
    pub fn is_known_disconnected(&self) -> bool {
        let io = self.io.borrow();
        let Some(io) = io.as_ref() else { return true };
        // What the system has told of ends stays known until the stream is closed.
        let ready = pin!(io.ready(Interest::READABLE));
        match ready.poll(&mut Context::from_waker(Waker::noop())) {
            Poll::Ready(ready) => ready.is_ok_and(|ready| ready.is_read_closed()),
            Poll::Pending => false,
        }
    }

    /// `None`: it is closed.
    fn peek(&self) -> Option<io::Result<usize>> {
        let mut byte = [MaybeUninit::uninit()];
        self.io.borrow().as_ref().map(|io| SockRef::from(&**io).peek(&mut byte))
    }
}

impl ClientPresence for Inner {
    fn has_disconnected(&self) -> bool {
        let peeked = self.peek();
        self.is_known_disconnected()
            || peeked.is_none_or(|peeked| match peeked {
                Ok(count) => count == 0,
                Err(error) => error.kind() != io::ErrorKind::WouldBlock,
            })
    }
}

impl fmt::Debug for Socket {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl Socket {
    /// Wraps a stream.
    pub fn new(stream: TcpStream) -> Socket {
        Socket::wrap(stream.into(), None, None)
    }

    /// Wraps the stream of a client, whose messages are followed and whose end is waited for.
    pub fn for_client(stream: TcpStream) -> Socket {
        let stream = Rc::new(stream);
        let end = end_of(stream.clone());
        Socket::wrap(stream, Some(RefCell::default()), Some(Box::pin(end)))
    }

    fn wrap(
        stream: Rc<TcpStream>,
        framing: Option<RefCell<Framing>>,
        end: Option<Pin<Box<dyn Future<Output = ()>>>>,
    ) -> Socket {
        Socket(Rc::new(Inner {
            io: RefCell::new(Some(stream)),
            end: RefCell::new(end),
            write_guard: RefCell::default(),
            guarded: Cell::new(false),
            reads: Cell::new(0),
            read_at: Cell::new(Instant::now()),
            came_at: Cell::new(Instant::now()),
            waiting: Cell::new(false),
            blocked: Cell::new(None),
            framing,
        }))
    }

    /// What a write for this client's request asks whether the client is still there. It does not keep the stream.
    pub fn client_presence(&self) -> Weak<dyn ClientPresence> {
        let stream: Rc<dyn ClientPresence> = self.0.clone();
        Rc::downgrade(&stream)
    }

    /// Closes it. Its descriptor is free when this returns; an aborted task would hold it for a while yet.
    pub fn close(&self) {
        self.0.end.borrow_mut().take();
        self.0.io.borrow_mut().take();
    }

    /// From here on, written bytes are counted here.
    pub fn set_write_guard(&self, write_guard: &WriteGuard) {
        self.0.write_guard.replace(write_guard.clone());
    }

    /// The next byte is not written if something has come before it, an end or what would be taken for an answer: however
    /// long ago that was looked for, the last look is the writing's own.
    pub fn forbid_write_on_unread_input(&self) {
        self.0.guarded.set(true);
    }

    fn may_write(&self) -> io::Result<()> {
        let is_quiet = self.0.guarded.replace(false).then(|| self.has_no_unread_input());
        Ok(self.0.write_guard.borrow().may_write(is_quiet)?)
    }

    /// How often something was read, its end included.
    pub fn read_count(&self) -> u64 {
        self.0.reads.get()
    }

    /// When something was last read; at first, when it was opened.
    pub fn last_read_at(&self) -> Instant {
        self.0.read_at.get()
    }

    /// The earliest that what was read last can have come. While nobody reads, it may have been there since the read before
    /// that brought something; only a read that had to wait tells when it came.
    pub fn earliest_arrival(&self) -> Instant {
        self.0.came_at.get()
    }

    /// Since when what is to be written could not be, if it can't now.
    pub fn write_blocked_since(&self) -> Option<Instant> {
        self.0.blocked.get()
    }

    /// Whether the request of this number, from 0, can't be relied on to end where it seems to.
    pub fn is_framing_ambiguous(&self, number: u64) -> bool {
        self.0.framing.as_ref().is_some_and(|framing| framing.borrow().is_framing_ambiguous(number))
    }

    /// Whether nothing has come of a request whose end has not.
    pub fn is_between_messages(&self) -> bool {
        self.0.framing.as_ref().is_none_or(|framing| framing.borrow().is_between_messages())
    }

    fn wrote(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(count)) = written {
            self.0.write_guard.borrow().record_written(count);
        }
        let since = self.0.blocked.get().unwrap_or_else(Instant::now);
        self.0.blocked.set(written.is_pending().then_some(since));
        written
    }

    /// Whether it is open and nothing waits in it to be read, not even its end. This asks the system: what has
    /// come since the stream's task was last polled shows nowhere else.
    pub fn has_no_unread_input(&self) -> bool {
        self.0.peek().is_some_and(|peeked| peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock))
    }
}

impl Socket {
    /// What is read once its owner has closed it: the end of a client, whose messages tell where they end; of a host's answer
    /// the end may be that of its connection, so this is no end.
    fn read_when_closed(&self) -> io::Result<()> {
        match self.0.framing {
            Some(_) => Ok(()),
            None => Err(io::ErrorKind::NotConnected.into()),
        }
    }

    /// A read brought something or an end, or has to wait.
    fn note_read(&self, is_ready: bool) {
        let has_waited = self.0.waiting.replace(!is_ready);
        if !is_ready {
            return;
        }
        let now = Instant::now();
        self.0.reads.set(self.0.reads.get() + 1);
        self.0.read_at.set(now);
        if has_waited {
            self.0.came_at.set(now);
        }
    }

    /// Ready once a client is known to have left, as soon as the system tells, whatever has come before and is unread.
    /// One task alone may ask.
    pub fn poll_disconnected(&self, context: &mut Context<'_>) -> Poll<()> {
        let mut end = self.0.end.borrow_mut();
        if let Some(waiting) = end.as_mut() {
            ready!(waiting.as_mut().poll(context));
            end.take();
        }
        Poll::Ready(())
    }

    /// Whether the other side is known to have ended its sending, or to have broken the connection.
    pub fn is_known_disconnected(&self) -> bool {
        self.0.is_known_disconnected()
    }

    /// The same, and asks the system: its word may not have been heard yet.
    pub fn has_disconnected(&self) -> bool {
        self.0.has_disconnected()
    }

    /// Ends the sending and reads what still comes, until the other side ends too, for so long at the most. Closed on bytes
    /// that nobody has read, the connection would be reset, and an answer on its way be lost with it.
    pub async fn lingering_close(self, most: Duration) {
        let ended = async {
            let shutdown = self.end_sending();
            while shutdown.is_ok() && poll_fn(|context| self.poll_discard(context)).await.is_ok_and(|n| n > 0)
            {
            }
        };
        let _ = timeout(most, ended).await;
        self.close();
    }

    fn end_sending(&self) -> io::Result<()> {
        let io = self.0.io.borrow();
        let Some(io) = io.as_ref() else { return Ok(()) };
        match SockRef::from(&**io).shutdown(Shutdown::Write) {
            // The other side has reset it.
            Err(error) if error.kind() == io::ErrorKind::NotConnected => Ok(()),
            ended => ended,
        }
    }

    fn poll_discard(&self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let io = self.0.io.borrow();
        let Some(io) = io.as_ref() else { return Poll::Ready(Ok(0)) };
        let mut bytes = [MaybeUninit::uninit(); PIECE_MOST];
        let mut piece = ReadBuf::uninit(&mut bytes);
        ready!(poll_receive(io, context, &mut piece))?;
        Poll::Ready(Ok(piece.filled().len()))
    }
}

impl Read for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let io = self.0.io.borrow();
        let Some(io) = io.as_ref() else { return Poll::Ready(self.read_when_closed()) };
        let read = poll_read_piece(io, context, buffer, self.0.framing.as_ref());
        self.note_read(read.is_ready());
        read
    }
}

/// Waits until the other side is known to have ended its sending or to have broken the connection. Readiness to be read
/// is there as long as anything is unread, and would hide the end behind it; that of priority data holds with the end
/// alone, as such data is not registered for.
async fn end_of(stream: Rc<TcpStream>) {
    while stream.ready(Interest::PRIORITY).await.is_ok_and(|ready| !ready.is_read_closed()) {
        yield_now().await;
    }
}

/// Reads without a stream of one's own. A read may bring less than there was, and the event queue tells of bytes only once:
/// so readiness ends only when the system says that nothing is left.
pub fn poll_receive(
    stream: &TcpStream,
    context: &mut Context<'_>,
    piece: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_read_ready(context))?;
        match stream.try_read_buf(piece) {
            Err(error) if is_to_be_repeated(&error) => {}
            read => return Poll::Ready(read.map(drop)),
        }
    }
}

/// Whether a call on a stream did nothing and is made again, at once or when the stream is ready.
fn is_to_be_repeated(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

/// Writes without a stream of one's own.
fn poll_send(
    stream: &TcpStream,
    context: &mut Context<'_>,
    send: impl Fn() -> io::Result<usize>,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(context))?;
        match send() {
            Err(error) if is_to_be_repeated(&error) => {}
            sent => return Poll::Ready(sent),
        }
    }
}

/// Reads, and shows what came to those who follow it.
fn poll_read_piece(
    stream: &TcpStream,
    context: &mut Context<'_>,
    mut buffer: ReadBufCursor<'_>,
    framing: Option<&RefCell<Framing>>,
) -> Poll<io::Result<()>> {
    let mut bytes = [MaybeUninit::uninit(); PIECE_MOST];
    let most = buffer.remaining().min(PIECE_MOST);
    let mut piece = ReadBuf::uninit(&mut bytes[..most]);
    ready!(poll_receive(stream, context, &mut piece))?;
    framing.into_iter().for_each(|framing| framing.borrow_mut().read(piece.filled()));
    buffer.put_slice(piece.filled());
    Poll::Ready(Ok(()))
}

impl Write for Socket {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.may_write()?;
        let io = self.0.io.borrow();
        let Some(io) = io.as_ref() else { return Poll::Ready(Err(io::ErrorKind::NotConnected.into())) };
        self.wrote(poll_send(io, context, || io.try_write(bytes)))
    }

    // Without this, hyper would copy each body into a buffer that the connection then keeps.
    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.may_write()?;
        let io = self.0.io.borrow();
        let Some(io) = io.as_ref() else { return Poll::Ready(Err(io::ErrorKind::NotConnected.into())) };
        self.wrote(poll_send(io, context, || io.try_write_vectored(slices)))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes when it has nothing left to write; the stream itself holds nothing back.
        if self.0.io.borrow().is_some() {
            self.0.write_guard.borrow().record_flush();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.end_sending())
    }
}

#[cfg(test)]
mod tests;
