//! The memory that all buffered bodies share, and a body that is being buffered in it.

use hyper::body::Bytes;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Maximum size of a body that is buffered.
pub(crate) const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;

/// The bytes that all buffered bodies together may still reserve; clones share them.
#[derive(Clone, Debug)]
pub struct BodyMemory(Arc<AtomicUsize>);

impl BodyMemory {
    /// A memory limit of this many bytes.
    pub(crate) fn new(bytes: usize) -> BodyMemory {
        BodyMemory(Arc::new(AtomicUsize::new(bytes)))
    }

    /// Reserves this many bytes; `None` if fewer are available.
    pub(crate) fn reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        let available = self.0.load(Ordering::Relaxed).checked_sub(bytes)?;
        self.0.store(available, Ordering::Relaxed);
        Some(MemoryReservation {
            memory: self.clone(),
            bytes,
        })
    }
}

/// Reserved bytes, which are released when this is dropped.
#[derive(Debug)]
pub(crate) struct MemoryReservation {
    memory: BodyMemory,
    bytes: usize,
}

impl MemoryReservation {
    /// Releases what exceeds this many bytes.
    fn shrink(&mut self, bytes: usize) {
        self.memory
            .0
            .fetch_add(self.bytes.saturating_sub(bytes), Ordering::Relaxed);
        self.bytes = self.bytes.min(bytes);
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.shrink(0);
    }
}

/// A body that is being buffered. Its reservation is released when the last reference to its bytes
/// is dropped.
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
    /// An empty buffer for a body of this length, or of unknown length. `None` if the body is too
    /// long to be buffered, or the memory for it is not available.
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

    /// All data that was appended; what else was reserved is released.
    pub(crate) fn into_bytes(mut self) -> Bytes {
        self.bytes.shrink_to_fit();
        self.reservation.shrink(self.bytes.len());
        Bytes::from_owner(self)
    }
}
