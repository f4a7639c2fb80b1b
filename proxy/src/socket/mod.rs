//! A TCP stream that hyper's task and the connection's owner share. The owner can close it at once, whatever that
//! task does, can look at what has come and was not read, and knows what was written and read.

pub(crate) mod framing;

use crate::socket::framing::Framing;
use crate::write_guard::WriteGuard;
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

/// The stream for as long as others have it.
#[derive(Clone, Debug, Default)]
pub struct WeakSocket(Weak<Inner>);

impl WeakSocket {
    /// The stream, if others have it.
    pub fn upgrade(&self) -> Option<Socket> {
        self.0.upgrade().map(Socket)
    }
}

impl fmt::Debug for Inner {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Socket")
            .field("io", &self.io)
            .field("reads", &self.reads)
            .finish_non_exhaustive()
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
    pub fn of_client(stream: TcpStream) -> Socket {
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

    /// The stream for as long as others have it.
    pub fn downgrade(&self) -> WeakSocket {
        WeakSocket(Rc::downgrade(&self.0))
    }

    /// Closes it. Its descriptor is free when this returns; an aborted task would hold it for a while yet.
    pub fn close(&self) {
        self.0.end.borrow_mut().take();
        self.0.io.borrow_mut().take();
    }

    /// From here on, written bytes are counted here.
    pub fn count(&self, write_guard: &WriteGuard) {
        self.0.write_guard.replace(write_guard.clone());
    }

    /// The next byte is not written if something has come before it, an end or what would be taken for an answer: however
    /// long ago that was looked for, the last look is the writing's own.
    pub fn guard(&self) {
        self.0.guarded.set(true);
    }

    fn may_write(&self) -> io::Result<()> {
        let is_quiet = self.0.guarded.replace(false).then(|| self.is_quiet());
        Ok(self.0.write_guard.borrow().may_write(is_quiet)?)
    }

    /// How often something was read, its end included.
    pub fn reads(&self) -> u64 {
        self.0.reads.get()
    }

    /// When something was last read; at first, when it was opened.
    pub fn read_at(&self) -> Instant {
        self.0.read_at.get()
    }

    /// The earliest that what was read last can have come. While nobody reads, it may have been there since the read before
    /// that brought something; only a read that had to wait tells when it came.
    pub fn came_at(&self) -> Instant {
        self.0.came_at.get()
    }

    /// Since when what is to be written could not be, if it can't now.
    pub fn blocked_since(&self) -> Option<Instant> {
        self.0.blocked.get()
    }

    /// Whether the request of this number, from 0, can't be relied on to end where it seems to.
    pub fn is_doubtful(&self, number: u64) -> bool {
        self.0.framing.as_ref().is_some_and(|framing| framing.borrow().is_doubtful(number))
    }

    /// Whether nothing has come of a request whose end has not.
    pub fn is_between(&self) -> bool {
        self.0.framing.as_ref().is_none_or(|framing| framing.borrow().is_between())
    }

    fn wrote(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(count)) = written {
            self.0.write_guard.borrow().wrote(count);
        }
        let since = self.0.blocked.get().unwrap_or_else(Instant::now);
        self.0.blocked.set(written.is_pending().then_some(since));
        written
    }

    /// Whether it is open and nothing waits in it to be read, not even its end. This asks the system: what has
    /// come since the stream's task was last polled shows nowhere else.
    pub fn is_quiet(&self) -> bool {
        self.peek().is_some_and(|peeked| peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock))
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

    /// Whether the other side is known to have ended its sending, or to have broken the connection, also behind bytes that
    /// nobody has read: hyper finds an end only when it has read all that came before it.
    pub fn is_left(&self) -> bool {
        let io = self.0.io.borrow();
        let Some(io) = io.as_ref() else { return true };
        // What the system has told of ends stays known until the stream is closed.
        let ready = pin!(io.ready(Interest::READABLE));
        match ready.poll(&mut Context::from_waker(Waker::noop())) {
            Poll::Ready(ready) => ready.is_ok_and(|ready| ready.is_read_closed()),
            Poll::Pending => false,
        }
    }

    /// Ready once a client is known to have left, as soon as the system tells, whatever has come before and is unread.
    /// One task alone may ask.
    pub fn poll_left(&self, context: &mut Context<'_>) -> Poll<()> {
        let mut end = self.0.end.borrow_mut();
        if let Some(waiting) = end.as_mut() {
            ready!(waiting.as_mut().poll(context));
            end.take();
        }
        Poll::Ready(())
    }

    /// The same, and asks the system: its word may not have been heard yet.
    pub fn has_left(&self) -> bool {
        let peeked = self.peek();
        self.is_left()
            || peeked.is_none_or(|peeked| match peeked {
                Ok(count) => count == 0,
                Err(error) => error.kind() != io::ErrorKind::WouldBlock,
            })
    }

    /// Ends the sending and reads what still comes, until the other side ends too, for so long at the most. Closed on bytes
    /// that nobody has read, the connection would be reset, and an answer on its way be lost with it.
    pub async fn linger(self, most: Duration) {
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

    /// `None`: it is closed.
    fn peek(&self) -> Option<io::Result<usize>> {
        let mut byte = [MaybeUninit::uninit()];
        self.0.io.borrow().as_ref().map(|io| SockRef::from(&**io).peek(&mut byte))
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
            self.0.write_guard.borrow().flushed();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.end_sending())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::invariants::{AttemptTarget, RequestPolicy, RequestRecord};
    use crate::metrics::Metrics;
    use balancer::Idempotency;
    use hyper::header::HeaderValue;
    use std::io::Write as _;
    use tokio::task::{spawn_local, LocalSet};

    fn pair() -> (Socket, std::net::TcpStream) {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let near =
            std::net::TcpStream::connect(listener.local_addr().expect("an address")).expect("connected");
        let (far, _) = listener.accept().expect("accepted");
        near.set_nonblocking(true).expect("nonblocking");
        (Socket::new(TcpStream::from_std(near).expect("a stream")), far)
    }

    /// Bytes behind an answer may come once its connection is idle, and no task has been polled since: they must
    /// be seen all the same, else they are taken for the next answer.
    #[tokio::test]
    async fn what_has_come_shows_without_being_polled_for() {
        let (socket, mut far) = pair();
        assert!(socket.is_quiet());
        far.write_all(b"x").expect("written");
        assert!(!socket.is_quiet());
        socket.close();
        assert!(!socket.is_quiet());
        assert!(
            std::io::Read::read(&mut far, &mut [0]).is_ok_and(|n| n == 0) || far.write_all(b"y").is_err()
        );
    }

    /// A second answer or the end may come after the connection was chosen and before the request is written: the bytes
    /// would be taken for its answer, and whether it ran would not be known.
    #[tokio::test]
    async fn nothing_is_written_behind_what_has_come_since_the_connection_was_chosen() {
        for second in [Some(b"HTTP/1.1 200 OK\r\n\r\n"), None] {
            let ((mut socket, mut far), write_guard) = (pair(), WriteGuard::default());
            socket.count(&write_guard);
            socket.guard();
            assert!(socket.is_quiet(), "chosen");
            match second {
                Some(bytes) => far.write_all(bytes).expect("written"),
                None => far.shutdown(std::net::Shutdown::Write).expect("ended"),
            }
            let write = poll_fn(|context| Pin::new(&mut socket).poll_write(context, b"GET"));
            assert!(write.await.is_err());
            assert_eq!(write_guard.written(), 0);
        }
    }

    /// Of an attempt that is looked at while it is written, only the first byte is held back by what has come.
    #[tokio::test]
    async fn what_comes_while_a_request_is_written_does_not_stop_it() {
        let ((mut socket, mut far), write_guard) = (pair(), WriteGuard::default());
        socket.count(&write_guard);
        socket.guard();
        for part in ["POST", "body"] {
            let write = poll_fn(|context| Pin::new(&mut socket).poll_write(context, part.as_bytes()));
            assert_eq!(write.await.expect("written"), 4);
            far.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").expect("written");
        }
        assert_eq!(write_guard.written(), 8);
    }

    fn write_guard(client: &Socket, begin_before: Option<Instant>) -> WriteGuard {
        let (id, idempotency) = (HeaderValue::from_static("1"), Idempotency::Idempotent);
        let policy =
            RequestPolicy { idempotency, max_attempts: 1, hedging: false, drain_grace: Duration::MAX };
        let request = RequestRecord::new(Metrics::default(), id, policy, None);
        WriteGuard::new(&Metrics::default(), client, begin_before, request.attempt(AttemptTarget::default()))
    }

    /// The look at the time is the writing's own too; what has begun in time is written to its end.
    #[tokio::test]
    async fn an_attempt_begins_in_its_time_or_not_at_all() {
        let (client, _far) = pair();
        for (before, written) in [(0, 0), (2, 4)] {
            let ((mut socket, _far), write_guard) = (pair(), write_guard(&client, Some(Instant::now())));
            write_guard.wrote(before);
            socket.count(&write_guard);
            let write = poll_fn(|context| Pin::new(&mut socket).poll_write(context, b"ST"));
            assert_eq!((write.await.is_ok(), write_guard.written()), (before > 0, written));
        }
    }

    /// A part that was written on a connection that broke is no part of what is written on the next.
    #[tokio::test]
    async fn an_attempt_is_not_whole_by_what_another_connection_took() {
        let ((mut first, _far), (mut second, _other), write_guard) = (pair(), pair(), WriteGuard::default());
        first.count(&write_guard);
        let write = poll_fn(|context| Pin::new(&mut first).poll_write(context, b"GET"));
        assert_eq!(write.await.expect("written"), 3);
        write_guard.set_ended();
        write_guard.restart();
        second.count(&write_guard);
        poll_fn(|context| Pin::new(&mut second).poll_flush(context)).await.expect("flushed");
        assert!(!write_guard.is_whole());
    }

    fn client() -> (Socket, std::net::TcpStream) {
        let (socket, far) = pair();
        let stream = socket.0.io.borrow_mut().take().and_then(Rc::into_inner);
        (Socket::of_client(stream.expect("unshared")), far)
    }

    /// A client leaves by a close or a reset.
    fn leave(far: std::net::TcpStream, reset: bool) {
        if reset {
            SockRef::from(&far).set_linger(Some(Duration::ZERO)).expect("lingers not");
        }
    }

    /// The end stands behind bytes that hyper does not read while a request is open. They wake nobody; the end does.
    #[tokio::test]
    async fn a_clients_end_is_told_of_behind_what_nobody_reads() {
        let test = async {
            for (reset, behind) in [(false, 0), (false, 9), (true, 0), (true, 9)] {
                let ((socket, mut far), looks) = (client(), Rc::new(Cell::new(0)));
                let (asked, seen) = (socket.clone(), looks.clone());
                let left = spawn_local(poll_fn(move |context| {
                    seen.set(seen.get() + 1);
                    asked.poll_left(context)
                }));
                yield_now().await;
                for _ in 0..behind {
                    far.write_all(b"x").expect("written");
                    // The system is asked before this goes on.
                    yield_now().await;
                }
                assert!((looks.get(), socket.is_left(), socket.is_quiet()) == (1, false, behind == 0));
                leave(far, reset);
                left.await.expect("told");
                assert!(looks.get() == 2 && socket.is_left());
            }
        };
        let tasks = LocalSet::new();
        timeout(Duration::from_secs(10), tasks.run_until(test)).await.expect("it is told of");
    }

    /// However long ago its client was looked at, the last look is the writing's own. An attempt that has begun goes on.
    #[tokio::test]
    async fn no_attempt_is_begun_for_a_client_that_has_left() {
        for reset in [false, true] {
            for begun in [false, true] {
                let ((client, far), (mut endpoint, _far)) = (client(), pair());
                let write_guard = write_guard(&client, None);
                endpoint.count(&write_guard);
                if begun {
                    let write = poll_fn(|context| Pin::new(&mut endpoint).poll_write(context, b"POST"));
                    assert_eq!(write.await.expect("written"), 4);
                }
                leave(far, reset);
                // No task has had a turn since, and the event queue was not asked.
                assert!(!client.is_left() && client.has_left());
                let write = poll_fn(|context| Pin::new(&mut endpoint).poll_write(context, b"body"));
                assert_eq!(write.await.is_ok(), begun, "reset: {reset}");
                assert_eq!(write_guard.written(), if begun { 8 } else { 0 });
            }
        }
    }
}
