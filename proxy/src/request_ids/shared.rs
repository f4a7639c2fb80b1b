//! Ids that the processes of a handoff share. Each process writes a file of its own and reads those
//! of the others. A process records a claim first and looks for others' claims after that, so of two
//! that claim the same id at the same time at least one sees the other's.

use super::recent::{IdHash, RecentIds};
use super::ring_file::{IdRecord, ProcessUsage, RingFile};
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::Instant;

/// Number of processes that can share ids: the present one, the one that it replaces, and the one
/// before, which may still be sending a long response.
const MAX_PROCESSES: usize = 3;

/// The file of another process, and its ids.
#[derive(Debug)]
struct Peer {
    file: RingFile,
    ids: RecentIds,
}

impl Peer {
    fn new(file: RingFile) -> Peer {
        Peer {
            file,
            ids: RecentIds::default(),
        }
    }

    /// Reads what is new in the file. Returns the number of records that were missed.
    fn read(&mut self, now: Instant) -> io::Result<u64> {
        let ids = &mut self.ids;
        self.file.read_new(|record| apply(ids, record, now))
    }
}

fn apply(ids: &mut RecentIds, record: IdRecord, now: Instant) {
    if record.lifetime.is_zero() {
        ids.remove(record.id);
    } else {
        ids.insert(record.id, now + record.lifetime, now);
    }
}

/// The ids that the processes of a folder share.
#[derive(Debug)]
pub(super) struct SharedIds {
    folder: PathBuf,
    own: RingFile,
    /// Ids of the process that wrote this process's file before and has ended.
    inherited: RecentIds,
    peers: Vec<Peer>,
    /// Records that could not be written, or not be read before they were overwritten.
    unshared: u64,
}

fn path(folder: &Path, number: usize) -> PathBuf {
    folder.join(format!("request-ids.{number}"))
}

impl SharedIds {
    /// Opens the files of a folder, and takes one that no other process writes.
    pub(super) fn open(folder: &Path, now: Instant) -> io::Result<SharedIds> {
        let mut own = None;
        let mut peers = Vec::new();
        for number in 0..MAX_PROCESSES {
            let file = RingFile::open(&path(folder, number))?;
            if own.is_none() && file.try_lock()? {
                own = Some(file);
            } else {
                peers.push(Peer::new(file));
            }
        }
        let mut own = own.ok_or(io::ErrorKind::ResourceBusy)?;
        let mut inherited = RecentIds::default();
        let unshared = own.read_new(|record| apply(&mut inherited, record, now))?;
        own.begin_writing()?;
        let mut shared = SharedIds {
            folder: folder.to_owned(),
            own,
            inherited,
            peers,
            unshared,
        };
        shared.read_peers(now);
        Ok(shared)
    }

    /// Claims an id for this process, and tells the others for how long. Returns `false` if another
    /// process has or had it.
    pub(super) fn claim(&mut self, id: IdHash, lifetime: Duration, now: Instant) -> bool {
        self.read_peers(now);
        if self.is_known(id, now) {
            return false;
        }
        self.write(id, lifetime);
        self.read_peers(now);
        let is_known = self.is_known(id, now);
        if is_known {
            self.write(id, Duration::ZERO);
        }
        !is_known
    }

    /// Tells the others for how long an id is kept now that its request has ended; `None`: it is
    /// free.
    pub(super) fn record_end(&mut self, id: IdHash, lifetime: Option<Duration>) {
        self.write(id, lifetime.unwrap_or(Duration::ZERO));
    }

    /// Reopens files that are no longer in the folder, and returns what the other processes use
    /// together; `None` if there is none.
    pub(super) fn check_peers(&mut self) -> Option<ProcessUsage> {
        if !self.own.is_at_path() || self.peers.iter().any(|peer| !peer.file.is_at_path()) {
            self.reopen();
        }
        self.read_peers(Instant::now());
        let running = self
            .peers
            .iter()
            .filter(|peer| peer.file.has_other_writer());
        let usages = running.map(|peer| match peer.file.usage() {
            usage if usage.is_known() => usage,
            _ => ProcessUsage::UNKNOWN,
        });
        usages.reduce(ProcessUsage::plus)
    }

    /// Tells the others what this process uses.
    pub(super) fn publish(&mut self, usage: ProcessUsage) {
        if self.own.publish(usage).is_err() {
            self.unshared += 1;
        }
    }

    /// Opens all files again and keeps the ids that were read. If that fails, it is tried again with
    /// the next check.
    fn reopen(&mut self) {
        let now = Instant::now();
        // Closes the others' files first, so that one more descriptor is enough.
        for peer in std::mem::take(&mut self.peers) {
            self.inherited.merge(peer.ids, now);
        }
        if let Ok(mut reopened) = SharedIds::open(&self.folder, now) {
            let inherited = std::mem::take(&mut self.inherited);
            reopened.inherited.merge(inherited, now);
            reopened.unshared += self.unshared;
            *self = reopened;
        }
    }

    pub(super) fn dropped_count(&self) -> u64 {
        let peers = self.peers.iter().map(|peer| peer.ids.dropped_count());
        self.inherited.dropped_count() + peers.sum::<u64>()
    }

    pub(super) fn unshared_count(&self) -> u64 {
        self.unshared
    }

    fn is_known(&self, id: IdHash, now: Instant) -> bool {
        self.inherited.contains(id, now) || self.peers.iter().any(|peer| peer.ids.contains(id, now))
    }

    fn read_peers(&mut self, now: Instant) {
        for peer in &mut self.peers {
            // A file that cannot be read now is read on with the next claim.
            self.unshared += peer.read(now).unwrap_or(0);
        }
    }

    fn write(&mut self, id: IdHash, lifetime: Duration) {
        if self.own.append(IdRecord { id, lifetime }).is_err() {
            self.unshared += 1;
        }
    }
}
