//! The account of all memory that peers can make the process hold. Everything that grows with what
//! clients and endpoints send is entered here before it is allocated, at the cost of the dearest
//! state that it can be in, so the most that the process can hold is the sum of the account's limit
//! and a constant part. See `docs/capacity.md`, "Memory".

mod account;
mod body_buffer;
mod costs;
mod limits;
mod manager;
mod resident;
#[cfg(test)]
mod tests;

pub(crate) use account::MemoryReservation;
pub use account::{MemoryAccount, MemoryUse};
pub(crate) use body_buffer::{BufferError, BufferedBody, MAX_BUFFERED_BODY_BYTES};
pub(crate) use costs::{
    attempt_head_bytes, compact_small_frame, CLIENT_CONNECTION_BYTES, ENDPOINT_CONNECTION_BYTES,
    ENDPOINT_ENTRY_BYTES, LARGE_HEAD_BYTES, MAX_UNGROWN_HEAD_BYTES, REQUEST_BYTES,
};
pub use limits::MemoryLimits;
pub use manager::MemoryManager;
pub(crate) use manager::{Need, TransferPermit};
pub(crate) use resident::{open_descriptors, resident_kilobytes};
