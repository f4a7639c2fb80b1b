//! Operations on a bare TCP stream that several futures share: none of them needs the stream as its
//! own.

use socket2::SockRef;
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use tokio::io::{Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::yield_now;

/// Receives into `buffer`. A read may return less than there is, and edge-triggered readiness is
/// reported only once: so readiness is cleared only when the system reports that nothing is left.
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

/// Sends by `try_send` as soon as the stream is writable.
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

/// Whether an operation had no effect and is repeated, at once or when the stream is ready.
fn is_retryable(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
    )
}

/// Peeks at the next unread byte. This asks the operating system: what has arrived since the
/// stream's task was last polled shows nowhere else.
pub(super) fn peek(stream: &TcpStream) -> io::Result<usize> {
    let mut byte = [MaybeUninit::uninit()];
    SockRef::from(stream).peek(&mut byte)
}

/// Ends this side's sending; a connection that the peer has reset counts as ended.
pub(super) fn shutdown_write(stream: &TcpStream) -> io::Result<()> {
    match SockRef::from(stream).shutdown(Shutdown::Write) {
        Err(error) if error.kind() == io::ErrorKind::NotConnected => Ok(()),
        result => result,
    }
}

/// Whether readiness events have shown that the peer ended its sending or broke the connection.
pub(super) fn is_known_read_closed(stream: &TcpStream) -> bool {
    // Read-closed readiness is never cleared.
    let ready = pin!(stream.ready(Interest::READABLE));
    match ready.poll(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(ready) => ready.is_ok_and(|ready| ready.is_read_closed()),
        Poll::Pending => false,
    }
}

/// Waits until the peer is known to have ended its sending or to have broken the connection. Read
/// readiness lasts as long as anything is unread, and would hide an end behind it; priority
/// readiness comes with the end alone, as the stream is not registered for priority data.
pub(super) async fn read_closed(stream: Rc<TcpStream>) {
    while stream
        .ready(Interest::PRIORITY)
        .await
        .is_ok_and(|ready| !ready.is_read_closed())
    {
        yield_now().await;
    }
}
