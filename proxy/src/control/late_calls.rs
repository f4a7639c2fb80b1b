//! Calls to discovery that were not answered in time. They are still waited for, beside the calls
//! that follow them, and the first answer wins: discovery may be slow instead of silent.

use crate::task::ScopedTask;
use crate::upstream::ConnectionPermit;
use std::time::Duration;

/// Maximum number of calls that are waited for beside the current one.
pub(super) const MAX_LATE_CALLS: usize = 4;

/// Identifies a late call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LateCallId(u64);

/// A call that is still waited for.
struct LateCall {
    id: LateCallId,
    patience: Duration,
    task: ScopedTask,
    _permit: ConnectionPermit,
}

/// The calls that are still waited for.
#[derive(Default)]
pub(super) struct LateCalls {
    calls: Vec<LateCall>,
    last_id: u64,
}

impl LateCalls {
    /// Number of calls that are waited for.
    pub(super) fn count(&self) -> usize {
        self.calls.len()
    }

    /// For how long each call is waited for.
    pub(super) fn patiences(&self) -> Vec<Duration> {
        self.calls.iter().map(|call| call.patience).collect()
    }

    /// Adds a call that is waited for by the task which `spawn` starts. `permit` stands for its
    /// descriptor and memory.
    pub(super) fn add(
        &mut self,
        patience: Duration,
        permit: ConnectionPermit,
        spawn: impl FnOnce(LateCallId) -> ScopedTask,
    ) {
        self.last_id += 1;
        let id = LateCallId(self.last_id);
        self.calls.push(LateCall {
            id,
            patience,
            task: spawn(id),
            _permit: permit,
        });
    }

    /// Removes a call and returns its task. `None` if it is no longer waited for.
    pub(super) fn take(&mut self, id: LateCallId) -> Option<ScopedTask> {
        let index = self.calls.iter().position(|call| call.id == id)?;
        Some(self.calls.swap_remove(index).task)
    }

    /// Gives up all calls, and returns their number.
    pub(super) fn give_up(&mut self) -> usize {
        self.calls.drain(..).count()
    }
}
