//! The resident memory of this process, as the system counts it, and its return to the system.

use super::account::MemoryAccount;
use super::costs::FIXED_BYTES;
use std::fs;

/// How much more than what is entered must be resident for free pages to be returned.
const MIN_RELEASED_BYTES: usize = 1 << 20;

impl MemoryAccount {
    /// Returns the allocator's free pages to the system, if there are many. To be called about once
    /// a second.
    pub(crate) fn release_unused_pages(&self) {
        let resident = resident_kilobytes().unwrap_or(0) as usize * 1_024;
        if resident > FIXED_BYTES + self.total() + MIN_RELEASED_BYTES {
            heap_trim::release_unused_pages();
        }
    }
}

/// Returns the number of descriptors that this process has open; `None` where the system does not
/// tell.
pub(crate) fn open_descriptors() -> Option<u32> {
    // The folder itself is open while it is read.
    let count = fs::read_dir("/proc/self/fd").ok()?.count();
    Some(count.saturating_sub(1) as u32)
}

/// Returns the resident memory of this process in kilobytes; `None` where the system does not tell.
pub(crate) fn resident_kilobytes() -> Option<u64> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
