//! Lingering close of a connection: closing a socket with unread input resets the connection, and
//! the peer may then lose a response that is still in transit.

use super::stream::{poll_receive, shutdown_write};
use super::{Socket, MAX_READ_BYTES};
use socket2::SockRef;
use std::future::poll_fn;
use std::io;
use std::mem::MaybeUninit;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::ReadBuf;
use tokio::time::timeout;

impl Socket {
    /// Ends this side's sending, discards input until the peer ends its sending too or `limit` has
    /// passed, and closes the stream.
    pub async fn lingering_close(self, limit: Duration) {
        if self.0.ends_with_reset.get() {
            return self.close();
        }
        let _ = timeout(limit, self.shutdown_and_discard()).await;
        self.close();
    }

    /// From now on the stream ends with a reset instead of an orderly end.
    pub fn end_with_reset(&self) {
        self.0.ends_with_reset.set(true);
        if let Some(stream) = self.0.stream.borrow().as_ref() {
            // Without it the stream ends in order at the close, which cannot be helped.
            let _ = SockRef::from(&**stream).set_linger(Some(Duration::ZERO));
        }
    }

    async fn shutdown_and_discard(&self) {
        if self.shutdown_write().is_err() {
            return;
        }
        while poll_fn(|context| self.poll_discard(context))
            .await
            .is_ok_and(|count| count > 0)
        {}
    }

    /// Ends this side's sending, unless the stream is to end with a reset.
    pub(super) fn shutdown_write(&self) -> io::Result<()> {
        if self.0.ends_with_reset.get() {
            return Ok(());
        }
        match self.0.stream.borrow().as_ref() {
            Some(stream) => shutdown_write(stream),
            None => Ok(()),
        }
    }

    fn poll_discard(&self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let stream = self.0.stream.borrow();
        let Some(stream) = stream.as_ref() else {
            return Poll::Ready(Ok(0));
        };
        let mut bytes = [MaybeUninit::uninit(); MAX_READ_BYTES];
        let mut chunk = ReadBuf::uninit(&mut bytes);
        ready!(poll_receive(stream, context, &mut chunk))?;
        Poll::Ready(Ok(chunk.filled().len()))
    }
}
