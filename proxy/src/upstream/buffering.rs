//! Reads the body of a response as far as it is buffered before it is forwarded.

use super::response::ResponseError;
use crate::memory::{BufferError, BufferedBody, MemoryManager, TransferPermit};
use crate::message_limits::MAX_BODY_BYTES;
use crate::upstream::flush_request::FlushRequest;
use crate::write_guard::WriteGuard;
use balancer::{BodyFraming, Micros};
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Incoming};
use std::future::pending;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

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

/// What reading a response body needs besides the body.
pub(crate) struct BufferingContext<'a> {
    /// Memory for the body, and places for streamed ones.
    pub(crate) memory: &'a MemoryManager,
    /// Records what becomes of the response.
    pub(crate) write_guard: &'a WriteGuard,
    /// Until when the response counts, see [`balancer::Class::weighted_time`].
    pub(crate) response_due_at: Instant,
    /// Asks for the response to be forwarded as far as it has arrived.
    pub(crate) flush_request: &'a FlushRequest,
}

/// Reads a body and buffers it if it is small and arrives within its
/// [`BufferingTimes`](balancer::BufferingTimes).
pub(super) async fn read_body(
    body: Incoming,
    framing: BodyFraming,
    context: &BufferingContext<'_>,
) -> Result<ReadBody, ResponseError> {
    // A wait for memory would look to the balancer like a slow endpoint.
    let memory_until = Instant::now();
    let length = body.size_hint().exact();
    if length.is_some_and(|length| length > MAX_BODY_BYTES) {
        return Err(ResponseError::TooLong);
    }
    match BufferedBody::new(context.memory, length, memory_until).await {
        Ok(buffer) => buffer_body(body, buffer, framing, context).await,
        Err(BufferError::OutOfMemory) => Err(ResponseError::OutOfMemory),
        Err(BufferError::TooLong) => read_first_data(body, context.memory).await,
    }
}

/// Reads the first data of a body that is known to be too long to be buffered.
async fn read_first_data(
    mut body: Incoming,
    memory: &MemoryManager,
) -> Result<ReadBody, ResponseError> {
    let permit = reserve_transfer(memory).await?;
    let prefix = next_data(&mut body).await.transpose()?.unwrap_or_default();
    Ok(ReadBody::Partial {
        prefix,
        rest: body,
        permit,
    })
}

/// Buffers a body until it is complete, too long, or due to be forwarded.
async fn buffer_body(
    mut body: Incoming,
    mut buffer: BufferedBody,
    framing: BodyFraming,
    context: &BufferingContext<'_>,
) -> Result<ReadBody, ResponseError> {
    let mut progress = BufferingProgress::new(framing, context);
    let permit = loop {
        let may_buffer_on = match progress.next_step(&mut body).await? {
            BufferingStep::Complete => return Ok(ReadBody::Complete(buffer.into_bytes())),
            BufferingStep::Data(data) => {
                let fits = buffer.append(&data);
                if fits && !progress.is_forwarding_due() {
                    continue;
                }
                fits
            }
            BufferingStep::PauseOver => true,
            BufferingStep::FlushRequested => false,
        };
        match context.memory.reserve_transfer().await {
            Some(permit) => break permit,
            None if may_buffer_on => progress.await_more_data(),
            None => return Err(ResponseError::OutOfMemory),
        }
    };
    Ok(ReadBody::Partial {
        prefix: buffer.into_bytes(),
        rest: body,
        permit,
    })
}

/// What happens next to a body that is being buffered.
enum BufferingStep {
    /// Its end has arrived.
    Complete,
    /// More of it has arrived.
    Data(Bytes),
    /// Nothing more has arrived for the longest time for which its beginning is buffered.
    PauseOver,
    /// It is to be forwarded as far as it has arrived.
    FlushRequested,
}

/// The course of buffering one response. Dropping it while the body is neither complete nor
/// forwarded, as when the attempt times out, records that the response is given up.
struct BufferingProgress<'a> {
    framing: BodyFraming,
    context: &'a BufferingContext<'a>,
    started_at: Instant,
    buffered_bytes: usize,
    /// From when on the response is forwarded as soon as more data arrives. `None` before the first
    /// data, or if only the attempt's deadline limits the buffering.
    forward_from: Option<Instant>,
    /// When the response is forwarded even if nothing more arrives.
    flush_at: Option<Instant>,
    is_given_up_if_dropped: bool,
}

impl<'a> BufferingProgress<'a> {
    fn new(framing: BodyFraming, context: &'a BufferingContext<'a>) -> BufferingProgress<'a> {
        BufferingProgress {
            framing,
            context,
            started_at: Instant::now(),
            buffered_bytes: 0,
            forward_from: None,
            flush_at: None,
            is_given_up_if_dropped: true,
        }
    }

    /// Waits until the body goes on or ends, or until its beginning is to be forwarded.
    async fn next_step(&mut self, body: &mut Incoming) -> Result<BufferingStep, ResponseError> {
        self.is_given_up_if_dropped = true;
        let step = tokio::select! {
            // Polled in this order so that what has arrived is taken before a time limit applies.
            biased;
            data = next_data(body) => match data.transpose() {
                Ok(Some(data)) => Ok(BufferingStep::Data(data)),
                Ok(None) => Ok(BufferingStep::Complete),
                Err(error) => Err(error.into()),
            },
            () = self.context.flush_request.requested() => Ok(BufferingStep::FlushRequested),
            () = sleep_until_some(self.flush_at) => Ok(BufferingStep::PauseOver),
        };
        self.is_given_up_if_dropped = false;
        if let Ok(BufferingStep::Data(data)) = &step {
            self.record_data(data.len());
        }
        step
    }

    fn record_data(&mut self, bytes: usize) {
        if self.buffered_bytes == 0 {
            self.set_limits();
        }
        self.buffered_bytes += bytes;
    }

    /// Sets the limits on the time for which the body is buffered, when its first data arrives.
    fn set_limits(&mut self) {
        let now = Instant::now();
        let time_left = self.context.response_due_at.saturating_duration_since(now);
        let Some(times) = self
            .framing
            .buffering_times(time_left.as_micros() as Micros)
        else {
            return;
        };
        self.forward_from = Some(now + Duration::from_micros(times.forward_after));
        self.flush_at = Some(now + Duration::from_micros(times.flush_after));
        self.context.flush_request.set_possible(true);
    }

    fn is_forwarding_due(&self) -> bool {
        self.forward_from.is_some_and(|from| Instant::now() >= from)
    }

    /// There is no place for a stream: the response is buffered until more of it arrives.
    fn await_more_data(&mut self) {
        self.flush_at = None;
    }
}

impl Drop for BufferingProgress<'_> {
    fn drop(&mut self) {
        self.context.flush_request.set_possible(false);
        if self.is_given_up_if_dropped {
            let elapsed = self.started_at.elapsed();
            let write_guard = self.context.write_guard;
            write_guard.record_response_given_up(self.framing, self.buffered_bytes, elapsed);
        }
    }
}

async fn sleep_until_some(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline).await,
        None => pending().await,
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
