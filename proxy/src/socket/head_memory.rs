//! The memory of a client connection whose buffers a large head has made grow. It stays entered in the
//! account until the connection is closed, as hyper keeps the buffers.

use super::Socket;
use crate::memory::{
    MemoryAccount, MemoryReservation, MemoryUse, LARGE_HEAD_BYTES, MAX_UNGROWN_HEAD_BYTES,
};
use std::cell::RefCell;
use std::io;

#[derive(Debug)]
pub(super) struct HeadMemory {
    account: MemoryAccount,
    reservation: RefCell<Option<MemoryReservation>>,
}

impl HeadMemory {
    pub(super) fn new(account: &MemoryAccount) -> HeadMemory {
        HeadMemory {
            account: account.clone(),
            reservation: RefCell::default(),
        }
    }

    /// Enters the memory of a large head when this many bytes of one have arrived.
    ///
    /// # Errors
    /// No memory is left.
    pub(super) fn ensure(&self, head_bytes: usize) -> io::Result<()> {
        let mut reservation = self.reservation.borrow_mut();
        if head_bytes > MAX_UNGROWN_HEAD_BYTES && reservation.is_none() {
            *reservation = self.account.reserve(MemoryUse::LargeHead, LARGE_HEAD_BYTES);
            if reservation.is_none() {
                return Err(io::ErrorKind::OutOfMemory.into());
            }
        }
        Ok(())
    }
}

impl Socket {
    /// Whether a large head has made the connection's buffers grow.
    pub(crate) fn has_grown(&self) -> bool {
        let memory = self.0.head_memory.as_ref();
        memory.is_some_and(|memory| memory.reservation.borrow().is_some())
    }
}
