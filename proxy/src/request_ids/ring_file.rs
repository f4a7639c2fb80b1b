//! A file in which one process records the ids of its requests and other processes read them: a
//! header and a ring of records of fixed size. Only its writer changes it. A record is written
//! before the header that counts it, so a reader never sees a count without its record.

use super::recent::{IdHash, MAX_IDS};
use crate::process_handoff::{is_at_path, try_lock};
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Size of a record: the hash of an id, and for how long it is kept.
const RECORD_BYTES: usize = 16;
/// Size of the header: the incarnation of the file's writer, the number of records, and what the
/// writer uses.
const HEADER_BYTES: usize = 24;
/// Number of records in the ring. Each request takes two.
const RING_RECORDS: u64 = 2 * MAX_IDS as u64;

/// What a process tells of a request's id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct IdRecord {
    pub(super) id: IdHash,
    /// For how long the id is kept, from when the record is read; zero: it is free again.
    pub(super) lifetime: Duration,
}

impl IdRecord {
    fn to_bytes(self) -> [u8; RECORD_BYTES] {
        let lifetime_ms = self.lifetime.as_millis() as u64;
        join(&[self.id.0, lifetime_ms])
    }

    fn from_bytes(bytes: [u8; RECORD_BYTES]) -> IdRecord {
        let [id, lifetime_ms] = split(&bytes);
        IdRecord {
            id: IdHash(id),
            lifetime: Duration::from_millis(lifetime_ms),
        }
    }
}

/// The header of a file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Header {
    /// Changes with each process that writes the file; 0: none has yet.
    incarnation: u64,
    /// Number of records that were written, also of those that were overwritten since.
    count: u64,
    usage: ProcessUsage,
}

/// What a process uses of the limits that it shares with others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ProcessUsage {
    /// Open descriptors.
    pub(crate) descriptors: u32,
    /// Resident memory, in kilobytes.
    pub(crate) memory_kb: u32,
}

impl ProcessUsage {
    /// What is assumed of a process that has not told yet: that it leaves nothing.
    pub(crate) const UNKNOWN: ProcessUsage = ProcessUsage {
        descriptors: u32::MAX,
        memory_kb: u32::MAX,
    };

    /// Whether the process has told what it uses.
    pub(super) fn is_known(self) -> bool {
        self != ProcessUsage::default()
    }

    /// What this process and another one use together.
    pub(super) fn plus(self, other: ProcessUsage) -> ProcessUsage {
        ProcessUsage {
            descriptors: self.descriptors.saturating_add(other.descriptors),
            memory_kb: self.memory_kb.saturating_add(other.memory_kb),
        }
    }

    fn to_number(self) -> u64 {
        u64::from(self.descriptors) << 32 | u64::from(self.memory_kb)
    }

    fn from_number(number: u64) -> ProcessUsage {
        ProcessUsage {
            descriptors: (number >> 32) as u32,
            memory_kb: number as u32,
        }
    }
}

/// Writes numbers one after the other, the lowest byte of each first.
fn join<const BYTES: usize>(numbers: &[u64]) -> [u8; BYTES] {
    let mut bytes = [0; BYTES];
    for (part, number) in bytes.chunks_exact_mut(8).zip(numbers) {
        part.copy_from_slice(&number.to_le_bytes());
    }
    bytes
}

/// Reads numbers that [`join`] has written.
fn split<const NUMBERS: usize>(bytes: &[u8]) -> [u64; NUMBERS] {
    let mut numbers = [0; NUMBERS];
    for (number, part) in numbers.iter_mut().zip(bytes.chunks_exact(8)) {
        *number = part
            .iter()
            .rev()
            .fold(0, |sum, byte| sum << 8 | u64::from(*byte));
    }
    numbers
}

fn record_offset(number: u64) -> u64 {
    HEADER_BYTES as u64 + number % RING_RECORDS * RECORD_BYTES as u64
}

/// A file of records, as its writer or one of its readers has it open.
#[derive(Debug)]
pub(super) struct RingFile {
    path: PathBuf,
    file: File,
    /// As it was last written or read.
    header: Header,
}

impl RingFile {
    /// Opens the file, and creates it if there is none.
    pub(super) fn open(path: &Path) -> io::Result<RingFile> {
        let mut options = OpenOptions::new();
        let file = options.create(true).read(true).write(true).truncate(false);
        Ok(RingFile {
            path: path.to_owned(),
            file: file.open(path)?,
            header: Header::default(),
        })
    }

    /// Tries to become the writer of the file, for as long as it is open. `false`: another process
    /// is.
    pub(super) fn try_lock(&self) -> io::Result<bool> {
        try_lock(&self.file)
    }

    /// Whether another process is the file's writer.
    pub(super) fn has_other_writer(&self) -> bool {
        let is_locked = try_lock(&self.file);
        if let Ok(true) = is_locked {
            // Fails only if the lock is gone already.
            let _ = self.file.unlock();
        }
        matches!(is_locked, Ok(false))
    }

    /// Whether the file is still at its path.
    pub(super) fn is_at_path(&self) -> bool {
        is_at_path(&self.file, &self.path)
    }

    /// Begins to write: readers begin anew with the next record.
    pub(super) fn begin_writing(&mut self) -> io::Result<()> {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let nanoseconds = since_epoch.map_or(1, |elapsed| elapsed.as_nanos() as u64);
        let next = nanoseconds ^ u64::from(std::process::id()).rotate_left(32);
        self.header = Header {
            incarnation: next.max(1),
            count: 0,
            usage: ProcessUsage::default(),
        };
        self.write_header()
    }

    /// Tells the readers what this process uses.
    pub(super) fn publish(&mut self, usage: ProcessUsage) -> io::Result<()> {
        self.header.usage = usage;
        self.write_header()
    }

    /// What the file's writer uses, as it was last read.
    pub(super) fn usage(&self) -> ProcessUsage {
        self.header.usage
    }

    /// Writes a record.
    pub(super) fn append(&mut self, record: IdRecord) -> io::Result<()> {
        let offset = record_offset(self.header.count);
        self.file.write_all_at(&record.to_bytes(), offset)?;
        self.header.count += 1;
        self.write_header()
    }

    fn write_header(&self) -> io::Result<()> {
        let Header {
            incarnation,
            count,
            usage,
        } = self.header;
        let bytes: [u8; HEADER_BYTES] = join(&[incarnation, count, usage.to_number()]);
        self.file.write_all_at(&bytes, 0)
    }

    /// Passes on all records that were written since the last call. Returns the number of records
    /// that were overwritten before they were read.
    pub(super) fn read_new(&mut self, mut on_record: impl FnMut(IdRecord)) -> io::Result<u64> {
        let Some(header) = self.read_header()? else {
            return Ok(0);
        };
        let is_same_writer = header.incarnation == self.header.incarnation;
        let from = if is_same_writer { self.header.count } else { 0 };
        let first = from.max(header.count.saturating_sub(RING_RECORDS));
        for number in first..header.count {
            let mut bytes = [0; RECORD_BYTES];
            self.file.read_exact_at(&mut bytes, record_offset(number))?;
            on_record(IdRecord::from_bytes(bytes));
        }
        self.header = header;
        Ok(first - from)
    }

    /// `None`: no process has written the file yet.
    fn read_header(&self) -> io::Result<Option<Header>> {
        let mut bytes = [0; HEADER_BYTES];
        match self.file.read_exact_at(&mut bytes, 0) {
            Ok(()) => {
                let [incarnation, count, usage] = split(&bytes);
                let usage = ProcessUsage::from_number(usage);
                Ok(Some(Header {
                    incarnation,
                    count,
                    usage,
                }))
            }
            Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => Ok(None),
            Err(error) => Err(error),
        }
    }
}
