//! Operations on a TCP stream that need only a shared reference, so that several futures can use
//! the stream.

use nix::libc;
use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use socket2::SockRef;
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::os::fd::AsFd;
use std::pin::pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use tokio::io::{Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::yield_now;

/// Receives into `buffer`. A read may return less than is available, and edge-triggered readiness
/// is reported only once, so readiness is cleared only when the operating system reports that
/// nothing is left (`EWOULDBLOCK`).
pub(super) fn poll_receive(
    stream: &TcpStream,
    context: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_read_ready(context))?;
        match stream.try_read_buf(buffer) {
            Err(error) if is_retryable(&error) => {}
            received => return Poll::Ready(received.map(drop)),
        }
    }
}

/// Calls `try_send` as soon as the stream is writable.
pub(super) fn poll_send(
    stream: &TcpStream,
    context: &mut Context<'_>,
    try_send: impl Fn() -> io::Result<usize>,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(context))?;
        match try_send() {
            Err(error) if is_retryable(&error) => {}
            sent => return Poll::Ready(sent),
        }
    }
}

/// Whether an operation had no effect and is to be retried, immediately or when the stream is
/// ready.
fn is_retryable(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
    )
}

/// Peeks at the next unread byte. This asks the operating system, because readiness events do not
/// show input that has arrived since the event queue was last polled.
pub(super) fn peek(stream: &TcpStream) -> io::Result<usize> {
    let mut byte = [MaybeUninit::uninit()];
    SockRef::from(stream).peek(&mut byte)
}

/// Whether the peer has ended its sending or the connection has failed. Asks the operating system,
/// which tells this also while earlier input is unread.
pub(super) fn is_read_closed(stream: &TcpStream) -> bool {
    // `PollFlags` has no name for this flag, so `revents` returns `None` if it is set.
    let read_closed = PollFlags::from_bits_retain(libc::POLLRDHUP);
    let mut poll_fds = [PollFd::new(stream.as_fd(), read_closed)];
    let has_event = poll(&mut poll_fds, PollTimeout::ZERO).is_ok_and(|count| count > 0);
    let failed = PollFlags::POLLHUP | PollFlags::POLLERR;
    has_event
        && poll_fds[0]
            .revents()
            .is_none_or(|events| events.intersects(failed))
}

/// Ends this side's sending. Succeeds if the peer has already reset the connection.
pub(super) fn shutdown_write(stream: &TcpStream) -> io::Result<()> {
    match SockRef::from(stream).shutdown(Shutdown::Write) {
        Err(error) if error.kind() == io::ErrorKind::NotConnected => Ok(()),
        result => result,
    }
}

/// Whether readiness events have shown that the peer ended its sending or the connection failed.
pub(super) fn is_known_read_closed(stream: &TcpStream) -> bool {
    // Read-closed readiness is never cleared.
    let ready = pin!(stream.ready(Interest::READABLE));
    match ready.poll(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(ready) => ready.is_ok_and(|ready| ready.is_read_closed()),
        Poll::Pending => false,
    }
}

/// Waits until the peer has ended its sending or the connection has failed. Waiting for read
/// readiness would not work: it stays set while earlier input is unread, so the end would go
/// unnoticed. Priority readiness is signalled only at the end, as the stream is not registered for
/// priority data.
pub(super) async fn wait_read_closed(stream: Rc<TcpStream>) {
    while stream
        .ready(Interest::PRIORITY)
        .await
        .is_ok_and(|ready| !ready.is_read_closed())
    {
        yield_now().await;
    }
}
