//! Reads from a shared stream, and records when they returned input.

use super::framing::Framing;
use super::input_times::last_input_at;
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
    /// Number of reads that have completed, with data, end of stream or an error.
    pub fn read_count(&self) -> u64 {
        self.0.reads.count.get()
    }

    /// Number of bytes that were read.
    pub fn read_byte_count(&self) -> u64 {
        self.0.reads.byte_count.get()
    }

    /// Number of times that reading had to wait for input. A connection on which this does not grow
    /// always has more input, so its task runs on without a pause.
    pub fn wait_count(&self) -> u64 {
        self.0.reads.wait_count.get()
    }

    /// When the connection was established. A client's one may have waited to be accepted since.
    pub fn established_at(&self) -> Instant {
        self.0.reads.established_at()
    }

    /// When the last read completed; before the first one, when the stream was wrapped.
    pub fn last_read_at(&self) -> Instant {
        self.0.reads.last_at.get()
    }

    /// The earliest time at which the input of the last read can have arrived. Only a read that had
    /// to wait shows when its input arrived. The input of any other read may have arrived at any
    /// time since the last read that had to wait, or since the connection was established.
    pub fn earliest_arrival(&self) -> Instant {
        self.0.reads.earliest_arrival.get()
    }

    /// Records that a read has completed (`is_ready`) or has to wait. Only for a client the system
    /// is asked when the input arrived: its time counts from there.
    fn record_read(&self, stream: &TcpStream, is_ready: bool) {
        let reads = &self.0.reads;
        if !is_ready {
            return reads.record_wait();
        }
        let is_client = self.0.framing.is_some();
        reads.record_completion(|| {
            if is_client {
                last_input_at(stream)
            } else {
                None
            }
        });
        self.note_request_end();
    }

    /// Enters the memory of a large head in the account.
    fn ensure_head_memory(&self) -> io::Result<()> {
        match (&self.0.framing, &self.0.head_memory) {
            (Some(framing), Some(memory)) => memory.ensure(framing.borrow().head_bytes()),
            _ => Ok(()),
        }
    }

    /// The result of a read after the owner has closed the stream. For a client it is end of
    /// stream, as requests never end with the connection. For an endpoint it is an error, as the
    /// end of the connection may delimit a response, which must not be taken for complete.
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
        self.record_read(stream, read.is_ready());
        let byte_count = &self.0.reads.byte_count;
        byte_count.set(byte_count.get() + ready!(read)? as u64);
        Poll::Ready(self.ensure_head_memory())
    }
}

/// Reads up to [`MAX_READ_BYTES`] into hyper's buffer, and passes them to the framing parser. Returns
/// the number of bytes.
fn poll_read_chunk(
    stream: &TcpStream,
    context: &mut Context<'_>,
    mut buffer: ReadBufCursor<'_>,
    framing: Option<&RefCell<Framing>>,
) -> Poll<io::Result<usize>> {
    let mut bytes = [MaybeUninit::uninit(); MAX_READ_BYTES];
    let size = buffer.remaining().min(MAX_READ_BYTES);
    let mut chunk = ReadBuf::uninit(&mut bytes[..size]);
    ready!(poll_receive(stream, context, &mut chunk))?;
    if let Some(framing) = framing {
        framing.borrow_mut().parse(chunk.filled());
    }
    buffer.put_slice(chunk.filled());
    Poll::Ready(Ok(chunk.filled().len()))
}
