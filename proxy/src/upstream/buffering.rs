//! Reads the body of a response as far as it is buffered before it is forwarded.

use super::response::ResponseError;
use crate::memory::{BufferError, BufferedBody, MemoryManager, TransferPermit};
use crate::message_limits::MAX_BODY_BYTES;
use crate::write_guard::WriteGuard;
use balancer::BodyFraming;
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Incoming};
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// How long a chunked body of unknown length is buffered, counted from the response head. Its first
/// data is awaited even after that, until the attempt's deadline.
const BUFFERING_TIMEOUT: Duration = Duration::from_millis(20);

/// The part of a response body that is read before the response is forwarded.
pub(super) enum ReadBody {
    /// The whole body.
    Complete(Bytes),
    /// The beginning of a body that is too long, or arrives too slowly, to be buffered completely.
    Partial {
        /// The data that has been read.
        prefix: Bytes,
        /// The remaining body.
        rest: Incoming,
        /// The place of the transfer.
        permit: TransferPermit,
    },
}

/// Reads a body and buffers it if it is small. A chunked body is buffered only for a bounded time,
/// so that its first bytes are not delayed. A body that ends with its connection may be cut off at
/// any byte, and its request can be retried only while nothing of it has been forwarded, so it is
/// buffered for as long as it fits.
pub(super) async fn read_body(
    mut body: Incoming,
    framing: BodyFraming,
    memory: &MemoryManager,
    write_guard: &WriteGuard,
) -> Result<ReadBody, ResponseError> {
    // A wait for memory would look to the balancer like a slow endpoint.
    let memory_until = Instant::now();
    let length = body.size_hint().exact();
    if length.is_some_and(|length| length > MAX_BODY_BYTES) {
        return Err(ResponseError::TooLong);
    }
    let mut buffer = match BufferedBody::new(memory, length, memory_until).await {
        Ok(buffer) => buffer,
        Err(BufferError::OutOfMemory) => return Err(ResponseError::OutOfMemory),
        Err(BufferError::TooLong) => {
            let permit = reserve_transfer(memory).await?;
            let prefix = next_data(&mut body).await.transpose()?.unwrap_or_default();
            return Ok(ReadBody::Partial {
                prefix,
                rest: body,
                permit,
            });
        }
    };
    let buffer_until = Instant::now() + BUFFERING_TIMEOUT;
    let has_time_limit = framing == BodyFraming::Chunked;
    let mut progress = BufferingProgress::new(write_guard, framing);
    let mut has_begun = false;
    loop {
        let data = if has_time_limit && has_begun {
            match timeout_at(buffer_until, next_data(&mut body)).await {
                Ok(data) => data,
                Err(_) => break,
            }
        } else {
            next_data(&mut body).await
        };
        let Some(data) = data.transpose().inspect_err(|_| progress.finish())? else {
            progress.finish();
            return Ok(ReadBody::Complete(buffer.into_bytes()));
        };
        has_begun = true;
        progress.add(data.len());
        if !buffer.append(&data) {
            break;
        }
    }
    progress.finish();
    Ok(ReadBody::Partial {
        permit: reserve_transfer(memory).await?,
        prefix: buffer.into_bytes(),
        rest: body,
    })
}

/// Records a response that is given up while it is buffered, as when its attempt times out: the
/// progress is dropped then.
struct BufferingProgress<'a> {
    write_guard: &'a WriteGuard,
    framing: BodyFraming,
    started_at: Instant,
    buffered_bytes: usize,
    is_finished: bool,
}

impl BufferingProgress<'_> {
    fn new(write_guard: &WriteGuard, framing: BodyFraming) -> BufferingProgress<'_> {
        BufferingProgress {
            write_guard,
            framing,
            started_at: Instant::now(),
            buffered_bytes: 0,
            is_finished: false,
        }
    }

    fn add(&mut self, bytes: usize) {
        self.buffered_bytes += bytes;
    }

    fn finish(&mut self) {
        self.is_finished = true;
    }
}

impl Drop for BufferingProgress<'_> {
    fn drop(&mut self) {
        if !self.is_finished {
            let elapsed = self.started_at.elapsed();
            self.write_guard
                .record_response_given_up(self.framing, self.buffered_bytes, elapsed);
        }
    }
}

async fn reserve_transfer(memory: &MemoryManager) -> Result<TransferPermit, ResponseError> {
    let permit = memory.reserve_transfer().await;
    permit.ok_or(ResponseError::OutOfMemory)
}

/// Reads the next data of a body. Trailers are skipped, as they are not forwarded.
async fn next_data(body: &mut Incoming) -> Option<Result<Bytes, hyper::Error>> {
    loop {
        match body.frame().await? {
            Ok(frame) => match frame.into_data() {
                Ok(data) => return Some(Ok(data)),
                Err(_) => continue,
            },
            Err(error) => return Some(Err(error)),
        }
    }
}
