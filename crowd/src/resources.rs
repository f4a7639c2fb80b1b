//! The memory and the descriptors that all processes of a proxy use together, sampled while they run.

use std::cell::{Cell, RefCell};
use std::fs;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Interval between samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Files of a proxy's folder that count as its memory begin with this.
const SHARED_FILE_PREFIX: &str = "request-ids";

/// What was used at a time, or the most of each over a time.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResourceUse {
    /// Resident memory and files, in bytes.
    pub memory: usize,
    /// Open descriptors.
    pub descriptors: usize,
}

/// Samples the resources of the processes that are added, until this is dropped by all.
#[derive(Clone, Debug)]
pub struct ResourceSampler {
    folder: PathBuf,
    processes: Rc<RefCell<Vec<u32>>>,
    most: Rc<Cell<ResourceUse>>,
}

impl ResourceSampler {
    /// Starts to sample. Must be called inside a `LocalSet`.
    pub fn start(folder: &Path) -> ResourceSampler {
        let sampler = ResourceSampler {
            folder: folder.to_owned(),
            processes: Rc::default(),
            most: Rc::default(),
        };
        let sampling = sampler.clone();
        spawn_local(async move {
            while Rc::strong_count(&sampling.processes) > 1 {
                sampling.now();
                sleep(SAMPLE_INTERVAL).await;
            }
        });
        sampler
    }

    /// Adds a process. One that has ended uses nothing.
    pub fn add(&self, process: u32) {
        self.processes.borrow_mut().push(process);
    }

    /// What is used now.
    pub fn now(&self) -> ResourceUse {
        let processes = self.processes.borrow();
        let now = ResourceUse {
            memory: processes
                .iter()
                .map(|id| resident_bytes(*id))
                .sum::<usize>()
                + file_bytes(&self.folder),
            descriptors: processes.iter().map(|id| descriptors(*id)).sum(),
        };
        let most = self.most.get();
        self.most.set(ResourceUse {
            memory: most.memory.max(now.memory),
            descriptors: most.descriptors.max(now.descriptors),
        });
        now
    }

    /// The most of each that was used so far.
    pub fn most(&self) -> ResourceUse {
        self.most.get()
    }
}

/// The resident memory of a process in bytes; 0 if it has ended.
pub fn resident_bytes(process: u32) -> usize {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<usize>().ok());
    kilobytes.unwrap_or(0) << 10
}

/// Number of descriptors that a process has open; 0 if it has ended, or if its program has not begun:
/// until then the descriptors are its parent's.
pub fn descriptors(process: u32) -> usize {
    // The system sets the command line after it has closed what the program does not keep.
    let command_line = fs::read(format!("/proc/{process}/cmdline")).unwrap_or_default();
    if command_line.is_empty() {
        return 0;
    }
    fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
}

fn file_bytes(folder: &Path) -> usize {
    let Ok(entries) = fs::read_dir(folder) else {
        return 0;
    };
    let is_shared = |entry: &fs::DirEntry| {
        let name = entry.file_name();
        name.to_string_lossy().starts_with(SHARED_FILE_PREFIX)
    };
    let entries = entries.filter_map(Result::ok).filter(is_shared);
    let bytes = entries.filter_map(|entry| Some(entry.metadata().ok()?.len() as usize));
    bytes.sum()
}

#[cfg(test)]
mod tests;
