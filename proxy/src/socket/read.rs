//! Reading from a shared stream, and the record of what was read when.

use super::framing::Framing;
use super::stream::poll_receive;
use super::{Socket, MAX_READ_BYTES};
use hyper::rt::{Read, ReadBufCursor};
use std::cell::RefCell;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;

impl Socket {
    /// Number of reads that returned something, the end of the stream included.
    pub fn read_count(&self) -> u64 {
        self.0.reads.count.get()
    }

    /// When something was last read; at first, when the stream was wrapped.
    pub fn last_read_at(&self) -> Instant {
        self.0.reads.last_at.get()
    }

    /// The earliest time at which what was read last can have arrived. While nobody reads, it may
    /// have been there since the previous read that returned something; only a read that had to
    /// wait shows when it arrived.
    pub fn earliest_arrival(&self) -> Instant {
        self.0.reads.earliest_arrival.get()
    }

    /// Notes that a read returned something or an end, or has to wait.
    fn record_read(&self, is_ready: bool) {
        let reads = &self.0.reads;
        let has_waited = reads.is_waiting.replace(!is_ready);
        if !is_ready {
            return;
        }
        let now = Instant::now();
        reads.count.set(reads.count.get() + 1);
        reads.last_at.set(now);
        if has_waited {
            reads.earliest_arrival.set(now);
        }
    }

    /// The result of a read after the owner has closed the stream: an end for a client, whose
    /// messages are delimited; an error for an endpoint, whose response may be delimited by the end
    /// of its connection.
    fn read_when_closed(&self) -> io::Result<()> {
        match self.0.framing {
            Some(_) => Ok(()),
            None => Err(io::ErrorKind::NotConnected.into()),
        }
    }
}

impl Read for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let stream = self.0.stream.borrow();
        let Some(stream) = stream.as_ref() else {
            return Poll::Ready(self.read_when_closed());
        };
        let read = poll_read_chunk(stream, context, buffer, self.0.framing.as_ref());
        self.record_read(read.is_ready());
        read
    }
}

/// Reads one chunk into hyper's buffer, and passes it to the message framing on the way.
fn poll_read_chunk(
    stream: &TcpStream,
    context: &mut Context<'_>,
    mut buffer: ReadBufCursor<'_>,
    framing: Option<&RefCell<Framing>>,
) -> Poll<io::Result<()>> {
    let mut bytes = [MaybeUninit::uninit(); MAX_READ_BYTES];
    let size = buffer.remaining().min(MAX_READ_BYTES);
    let mut chunk = ReadBuf::uninit(&mut bytes[..size]);
    ready!(poll_receive(stream, context, &mut chunk))?;
    if let Some(framing) = framing {
        framing.borrow_mut().read(chunk.filled());
    }
    buffer.put_slice(chunk.filled());
    Poll::Ready(Ok(()))
}
