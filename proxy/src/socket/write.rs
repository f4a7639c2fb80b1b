//! Writes to a shared stream. The write guard of the attempt that uses the stream checks each write
//! and counts its bytes.

use super::stream::{poll_send, shutdown_write};
use super::Socket;
use crate::write_guard::WriteGuard;
use hyper::rt::Write;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::net::TcpStream;
use tokio::time::Instant;

impl Socket {
    /// Sets the guard that checks and counts all further writes.
    pub fn set_write_guard(&self, write_guard: &WriteGuard) {
        self.0.write_guard.replace(write_guard.clone());
    }

    /// Makes the next write fail if there is unread input, which is either the end of the
    /// connection or bytes that would be taken for the response. The check is made each time that
    /// the write is tried, because input may have arrived since the caller checked.
    pub fn forbid_write_on_unread_input(&self) {
        self.0.forbids_write_on_unread_input.set(true);
    }

    /// Since when writes have been waiting for the socket to become writable, or `None` if the last
    /// write did not have to wait.
    pub fn write_blocked_since(&self) -> Option<Instant> {
        self.0.write_blocked_since.get()
    }

    /// Writes what the system takes at once, and nothing more: the connection is closed next.
    pub(crate) fn write_at_once(&self, bytes: &[u8]) {
        if let Some(stream) = self.0.stream.borrow().as_ref() {
            // A client that does not take it gets the close alone.
            let _ = stream.try_write(bytes);
            let _ = shutdown_write(stream);
        }
    }

    fn check_write(&self) -> io::Result<()> {
        let must_have_no_input = self.0.forbids_write_on_unread_input.get();
        let has_no_unread_input = must_have_no_input.then(|| self.has_no_unread_input());
        self.0
            .write_guard
            .borrow()
            .check_write(has_no_unread_input)?;
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
            self.0.forbids_write_on_unread_input.set(false);
            self.0.write_guard.borrow().record_written(*count);
        }
        let blocked_since = self.0.write_blocked_since.get();
        match (blocked_since, written.is_pending()) {
            (None, true) => {
                self.0.write_blocked_since.set(Some(Instant::now()));
                self.0.write_guard.borrow().record_write_blocked();
            }
            (Some(since), false) => {
                self.0.write_blocked_since.set(None);
                let write_guard = self.0.write_guard.borrow();
                write_guard.record_write_unblocked(since.elapsed());
            }
            (None, false) | (Some(_), true) => {}
        }
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

    // Without vectored writes, hyper would copy each body into a buffer and keep that buffer for
    // the life of the connection.
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
        // hyper flushes when it has nothing left to write. The stream itself has no buffer.
        if self.0.stream.borrow().is_some() {
            self.0.write_guard.borrow().record_flush();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.shutdown_write())
    }
}
