//! The memory limit that all buffered bodies share, and the buffer for one body.

use hyper::body::Bytes;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Maximum size of a body that is buffered.
pub(crate) const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;

/// The number of bytes that buffered bodies may still reserve; clones share it.
#[derive(Clone, Debug)]
pub struct BodyMemory(Arc<AtomicUsize>);

impl BodyMemory {
    /// Creates a memory limit of this many bytes.
    pub(crate) fn new(bytes: usize) -> BodyMemory {
        BodyMemory(Arc::new(AtomicUsize::new(bytes)))
    }

    /// Reserves this many bytes; `None` if fewer are available. The load and the store need not be
    /// one atomic operation, because one thread makes and releases all reservations. The counter is
    /// atomic only because [`Bytes::from_owner`] requires an owner that is `Send`.
    pub(crate) fn reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        let available = self.0.load(Ordering::Relaxed).checked_sub(bytes)?;
        self.0.store(available, Ordering::Relaxed);
        Some(MemoryReservation {
            memory: self.clone(),
            bytes,
        })
    }
}

/// A reservation of bytes, which is released when this is dropped.
#[derive(Debug)]
pub(crate) struct MemoryReservation {
    memory: BodyMemory,
    bytes: usize,
}

impl MemoryReservation {
    /// Reduces the reservation to at most this many bytes and releases the rest.
    fn shrink_to(&mut self, bytes: usize) {
        self.memory
            .0
            .fetch_add(self.bytes.saturating_sub(bytes), Ordering::Relaxed);
        self.bytes = self.bytes.min(bytes);
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}

/// A body that is being buffered. Its memory reservation is released when the last reference to its
/// bytes is dropped.
#[derive(Debug)]
pub(crate) struct BufferedBody {
    bytes: Vec<u8>,
    reservation: MemoryReservation,
}

impl AsRef<[u8]> for BufferedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BufferedBody {
    /// Creates an empty buffer for a body of this length, or of unknown length. Returns `None` if
    /// the body is too long to be buffered or not enough memory is available.
    pub(crate) fn new(memory: &BodyMemory, length: Option<u64>) -> Option<BufferedBody> {
        let max_length = match length {
            Some(length) => usize::try_from(length).ok()?,
            None => MAX_BUFFERED_BODY_BYTES,
        };
        if max_length > MAX_BUFFERED_BODY_BYTES {
            return None;
        }
        let reservation = memory.reserve(max_length)?;
        Some(BufferedBody {
            bytes: Vec::new(),
            reservation,
        })
    }

    /// Appends data, and returns whether the body still fits into its reservation. The data is
    /// appended in either case.
    pub(crate) fn append(&mut self, data: &[u8]) -> bool {
        self.bytes.extend_from_slice(data);
        self.bytes.len() <= self.reservation.bytes
    }

    /// Returns all data that was appended, and releases the unused part of the reservation.
    pub(crate) fn into_bytes(mut self) -> Bytes {
        self.bytes.shrink_to_fit();
        self.reservation.shrink_to(self.bytes.len());
        Bytes::from_owner(self)
    }
}
