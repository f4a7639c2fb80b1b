//! What a process shares with other processes of the program during a handoff: the limits of
//! descriptors and memory, and the ids of requests.

use crate::control::Control;
use crate::log;
use crate::process_handoff;
use crate::request_ids::ProcessUsage;
use std::cell::Cell;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::sleep;

/// Interval at which this process looks for others, and tells them what it uses. Until the old process
/// has told it, a new one takes it to leave nothing.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Whether other processes of the program run, by the two ways in which they are noticed.
struct OtherProcesses {
    control: Control,
    /// Another process holds the lock that announces the present process.
    holds_lock: Cell<bool>,
    /// What other processes use that write the ids of their requests; `None` if there is none.
    used_by_others: Cell<Option<ProcessUsage>>,
}

impl OtherProcesses {
    fn set_holds_lock(&self, holds_lock: bool) {
        let before = self.exist();
        self.holds_lock.set(holds_lock);
        self.apply_change(before);
    }

    fn set_used_by_others(&self, used_by_others: Option<ProcessUsage>) {
        let before = self.exist();
        self.used_by_others.set(used_by_others);
        self.apply_change(before);
    }

    fn exist(&self) -> bool {
        self.holds_lock.get() || self.used_by_others.get().is_some()
    }

    fn apply_change(&self, before: bool) {
        let exist = self.exist();
        match (before, exist) {
            (false, true) => log::line(
                "another process serves too; each uses half of the file descriptors and memory",
            ),
            (true, false) => log::line(
                "no other process serves any more; this one uses all file descriptors and memory",
            ),
            (true, true) | (false, false) => {}
        }
        if before || exist {
            // Only the newer process, which waits for the lock, keeps to what the other one leaves.
            let used_by_others = self.used_by_others.get().filter(|_| self.holds_lock.get());
            let used_by_others = used_by_others.unwrap_or_default();
            let process_count = if exist { 2 } else { 1 };
            self.control.share_limits(process_count, used_by_others);
        }
    }
}

/// Shares limits and ids with the other processes that use this folder, for as long as the future
/// runs.
pub(crate) async fn share(folder: PathBuf, control: Control) {
    let others = OtherProcesses {
        control,
        holds_lock: Cell::new(false),
        used_by_others: Cell::new(None),
    };
    tokio::join!(share_lock(&folder, &others), share_ids(&folder, &others));
}

async fn share_lock(folder: &Path, others: &OtherProcesses) {
    let on_change = |has_other_process| others.set_holds_lock(has_other_process);
    let Err(error) = process_handoff::maintain_presence(folder, on_change).await;
    log::line(&format!(
        "cannot use the lock file in {}: {error}; other processes are not detected by it any more",
        folder.display()
    ));
}

/// Shares the ids of requests, and looks for processes that share theirs.
async fn share_ids(folder: &Path, others: &OtherProcesses) {
    let mut has_logged = false;
    while let Err(error) = others.control.share_request_ids(folder) {
        if !has_logged {
            has_logged = true;
            log::line(&format!(
                "request ids are not shared with other processes: {error}; retrying"
            ));
        }
        sleep(PEER_CHECK_INTERVAL).await;
    }
    loop {
        others.set_used_by_others(others.control.check_peers());
        sleep(PEER_CHECK_INTERVAL).await;
    }
}
