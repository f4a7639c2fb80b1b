//! Writing to a shared stream: each write is checked against the write guard of the attempt that
//! uses the stream, and counted by it.

use super::stream::poll_send;
use super::Socket;
use crate::write_guard::WriteGuard;
use hyper::rt::Write;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::net::TcpStream;
use tokio::time::Instant;

impl Socket {
    /// From here on, written bytes are checked and counted by this guard.
    pub fn set_write_guard(&self, write_guard: &WriteGuard) {
        self.0.write_guard.replace(write_guard.clone());
    }

    /// The next byte is not written if something arrives before it, an end or what would be taken
    /// for a response: this is checked again as that byte is written, however long ago the caller
    /// checked it.
    pub fn forbid_write_on_unread_input(&self) {
        self.0.forbids_write_on_unread_input.set(true);
    }

    /// Since when what is to be written could not be, if that still holds.
    pub fn write_blocked_since(&self) -> Option<Instant> {
        self.0.write_blocked_since.get()
    }

    fn check_write(&self) -> io::Result<()> {
        let must_have_no_input = self.0.forbids_write_on_unread_input.replace(false);
        let has_no_unread_input = must_have_no_input.then(|| self.has_no_unread_input());
        self.0.write_guard.borrow().may_write(has_no_unread_input)?;
        Ok(())
    }

    fn poll_guarded_write(
        &self,
        context: &mut Context<'_>,
        try_write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        self.check_write()?;
        let stream = self.0.stream.borrow();
        let Some(stream) = stream.as_ref() else {
            return Poll::Ready(Err(io::ErrorKind::NotConnected.into()));
        };
        let written = poll_send(stream, context, || try_write(stream));
        self.record_write(&written);
        written
    }

    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(count)) = written {
            self.0.write_guard.borrow().record_written(*count);
        }
        let since = self
            .0
            .write_blocked_since
            .get()
            .unwrap_or_else(Instant::now);
        self.0
            .write_blocked_since
            .set(written.is_pending().then_some(since));
    }
}

impl Write for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_guarded_write(context, |stream| stream.try_write(bytes))
    }

    // Without this, hyper would copy each body into a buffer that the connection then retains.
    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_guarded_write(context, |stream| stream.try_write_vectored(slices))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes when it has nothing left to write; the stream itself buffers nothing.
        if self.0.stream.borrow().is_some() {
            self.0.write_guard.borrow().record_flush();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.shutdown_write())
    }
}
