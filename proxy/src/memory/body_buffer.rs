//! The buffer for one body, whose memory is entered in the account.

use super::account::{MemoryReservation, MemoryUse};
use super::manager::MemoryManager;
use hyper::body::Bytes;
use thiserror::Error;
use tokio::time::Instant;

/// Maximum size of a body that is buffered.
pub(crate) const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;

/// Why a body cannot be buffered.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(crate) enum BufferError {
    /// It is longer than [`MAX_BUFFERED_BODY_BYTES`].
    #[error("the body is longer than {MAX_BUFFERED_BODY_BYTES} bytes")]
    TooLong,
    /// No memory is left, and no room can be made.
    #[error("no memory is left for the body")]
    OutOfMemory,
}

/// A body that is being buffered. Its memory reservation is released when the last reference to its
/// bytes is dropped.
#[derive(Debug)]
pub(crate) struct BufferedBody {
    bytes: Vec<u8>,
    max_length: usize,
    reservation: MemoryReservation,
}

impl AsRef<[u8]> for BufferedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BufferedBody {
    /// Creates an empty buffer for a body of this length, or of unknown length. Waits for memory
    /// until `until`.
    pub(crate) async fn new(
        memory: &MemoryManager,
        length: Option<u64>,
        until: Instant,
    ) -> Result<BufferedBody, BufferError> {
        let max_length = match length {
            Some(length) => usize::try_from(length).map_err(|_| BufferError::TooLong)?,
            None => MAX_BUFFERED_BODY_BYTES,
        };
        if max_length > MAX_BUFFERED_BODY_BYTES {
            return Err(BufferError::TooLong);
        }
        let reservation = memory.reserve(MemoryUse::Body, max_length, until).await;
        Ok(BufferedBody {
            bytes: Vec::new(),
            max_length,
            reservation: reservation.ok_or(BufferError::OutOfMemory)?,
        })
    }

    /// Appends data, and returns whether the body still fits into its buffer. The data is appended
    /// in either case.
    pub(crate) fn append(&mut self, data: &[u8]) -> bool {
        let length = self.bytes.len() + data.len();
        if length > self.bytes.capacity() {
            // Doubles as `Vec` does, but not beyond what is reserved.
            let capacity = (2 * self.bytes.capacity()).min(self.max_length).max(length);
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        length <= self.max_length
    }

    /// Returns all data that was appended, and releases the unused part of the reservation.
    pub(crate) fn into_bytes(mut self) -> Bytes {
        self.bytes.shrink_to_fit();
        self.reservation.shrink_to(self.bytes.len());
        Bytes::from_owner(self)
    }
}
