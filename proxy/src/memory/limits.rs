//! How the configured memory is divided: between the processes of a handoff, and within a process.

use super::costs::FIXED_BYTES;

/// Of each byte that is entered in the account, so much more may be resident: what the allocator
/// adds to a block, and free blocks between used ones. In percent.
pub(super) const ALLOCATOR_OVERHEAD_PERCENT: usize = 25;
/// Part of the memory of one of two processes that requests and their bodies may use, in percent.
/// The rest is for connections without a request.
const WORK_PERCENT: usize = 65;
/// The least that the account allows, however little memory is configured.
const MIN_ACCOUNT_BYTES: usize = 1 << 20;

/// The limits of the account, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Everything that is entered together.
    pub total: usize,
    /// Requests, their bodies and what is being streamed: what cannot be given up when a second
    /// process starts. It is the same with one and with two processes.
    pub work: usize,
}

impl MemoryLimits {
    /// The limits of one of `process_count` processes that share `memory_bytes`, of which the others
    /// use `used_by_others`: its part, or what they leave if that is less.
    pub fn new(memory_bytes: usize, process_count: usize, used_by_others: usize) -> MemoryLimits {
        let part = memory_bytes / process_count.max(1);
        let total = account_bytes(part.min(memory_bytes.saturating_sub(used_by_others)));
        let half = account_bytes(memory_bytes / 2);
        MemoryLimits {
            total,
            work: half * WORK_PERCENT / 100,
        }
    }

    /// The most memory that a process with these limits can have resident.
    pub fn max_resident(&self) -> usize {
        FIXED_BYTES + self.total * (100 + ALLOCATOR_OVERHEAD_PERCENT) / 100
    }
}

/// What remains of a process's memory for the account.
fn account_bytes(process_memory: usize) -> usize {
    let variable = process_memory.saturating_sub(FIXED_BYTES);
    let account = variable * 100 / (100 + ALLOCATOR_OVERHEAD_PERCENT);
    account.max(MIN_ACCOUNT_BYTES)
}
