//! The fault schedule: its JSON form, and the decision whether a call fails. Once the schedule is
//! read, nothing here locks or allocates, because signal handlers make calls too.

use serde::Deserialize;
use std::sync::atomic::{AtomicU64, Ordering};
use thiserror::Error;

/// Kinds of calls that can be made to fail.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Call {
    /// `socket(2)` for internet sockets.
    Socket,
    /// `accept4(2)`.
    Accept,
    /// `connect(2)` on internet sockets.
    Connect,
    /// `recv(2)` on internet sockets.
    Receive,
    /// `send(2)` and `writev(2)` on internet sockets.
    Send,
    /// `epoll_wait(2)`.
    Wait,
    /// `open64` of a path that contains the rule's `path`.
    Open,
    /// `flock(2)`.
    Lock,
}

/// How a call fails. All variants but `Short` are values of `errno`; see `errno(3)`.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "UPPERCASE")]
pub(crate) enum Failure {
    /// Fewer bytes are transferred than requested. Only for reads and writes.
    Short,
    /// A signal interrupted the call.
    Eintr,
    /// The device failed.
    Eio,
    /// The device is full.
    Enospc,
    /// The process has reached its limit of open descriptors.
    Emfile,
    /// The system has reached its limit of open files.
    Enfile,
    /// No buffer space is available.
    Enobufs,
    /// No memory is available.
    Enomem,
    /// The connection was aborted before it was accepted.
    Econnaborted,
    /// No local port is available.
    Eaddrnotavail,
    /// The network is unreachable.
    Enetunreach,
    /// The host is unreachable.
    Ehostunreach,
    /// The connection attempt timed out.
    Etimedout,
    /// The file does not exist.
    Enoent,
}

impl Failure {
    /// The value of `errno`; 0 for [`Failure::Short`], which is no error.
    pub(crate) fn errno(self) -> libc::c_int {
        match self {
            Failure::Short => 0,
            Failure::Eintr => libc::EINTR,
            Failure::Eio => libc::EIO,
            Failure::Enospc => libc::ENOSPC,
            Failure::Emfile => libc::EMFILE,
            Failure::Enfile => libc::ENFILE,
            Failure::Enobufs => libc::ENOBUFS,
            Failure::Enomem => libc::ENOMEM,
            Failure::Econnaborted => libc::ECONNABORTED,
            Failure::Eaddrnotavail => libc::EADDRNOTAVAIL,
            Failure::Enetunreach => libc::ENETUNREACH,
            Failure::Ehostunreach => libc::EHOSTUNREACH,
            Failure::Etimedout => libc::ETIMEDOUT,
            Failure::Enoent => libc::ENOENT,
        }
    }
}

/// The default of `share`: the rule makes all calls fail that it matches.
fn default_fraction() -> f64 {
    1.0
}

/// Which calls fail in which way, and when.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Rule {
    call: Call,
    failure: Failure,
    /// Fraction of the matching calls that fail, 0 to 1.
    #[serde(rename = "share", default = "default_fraction")]
    fraction: f64,
    /// When the rule begins to apply, in milliseconds since the process started.
    #[serde(default)]
    from_ms: u64,
    /// When the rule ceases to apply, in milliseconds since the process started. `None`: never.
    #[serde(default)]
    to_ms: Option<u64>,
    /// Number of matching calls that pass before the first may fail.
    #[serde(rename = "after", default)]
    skipped_calls: u64,
    /// Maximum number of calls that fail. After that many the calls pass, and no later rule is
    /// tried for them. `None`: no maximum.
    #[serde(rename = "most", default)]
    max_failures: Option<u64>,
    /// A substring of the path, for `open`. Empty: any path.
    #[serde(default)]
    path: String,
    #[serde(skip)]
    matched_calls: AtomicU64,
    #[serde(skip)]
    failed_calls: AtomicU64,
}

/// The fault schedule of a process.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Schedule {
    /// Seed of the random numbers that are compared with the rules' fractions.
    seed: u64,
    /// By how much the wall clock runs ahead, in milliseconds; negative if it runs behind.
    #[serde(rename = "wall_clock_ms")]
    wall_clock_offset_ms: i64,
    /// Tried in order. The first rule that matches the call, has skipped enough calls and whose
    /// fraction is above a random number decides.
    rules: Vec<Rule>,
    #[serde(skip)]
    draws: AtomicU64,
}

/// Why a schedule could not be read.
#[derive(Debug, Error)]
#[error("not a valid fault schedule: {0}")]
pub(crate) struct ScheduleError(serde_json::Error);

impl Schedule {
    /// Reads a schedule from JSON.
    pub(crate) fn parse(text: &str) -> Result<Schedule, ScheduleError> {
        serde_json::from_str(text).map_err(ScheduleError)
    }

    /// By how much the wall clock runs ahead, in milliseconds; negative if it runs behind.
    pub(crate) fn wall_clock_offset_ms(&self) -> i64 {
        self.wall_clock_offset_ms
    }

    /// How a call fails that is made `elapsed_ms` milliseconds after the process started. `None`:
    /// it passes. `path` is empty except for `open`.
    pub(crate) fn failure(&self, call: Call, elapsed_ms: u64, path: &[u8]) -> Option<Failure> {
        let rule = self.rules.iter().find(|rule| {
            rule.matches(call, elapsed_ms, path)
                && rule.matched_calls.fetch_add(1, Ordering::Relaxed) >= rule.skipped_calls
                && self.draw() < rule.fraction
        })?;
        let max_failures = rule.max_failures.unwrap_or(u64::MAX);
        let fails = rule.failed_calls.fetch_add(1, Ordering::Relaxed) < max_failures;
        fails.then_some(rule.failure)
    }

    /// A random number from 0 up to but not including 1: SplitMix64 of an atomic counter, so that
    /// all threads and signal handlers may draw without a lock.
    fn draw(&self) -> f64 {
        let step = self.draws.fetch_add(1, Ordering::Relaxed).wrapping_add(1);
        let mut mixed = self
            .seed
            .wrapping_add(step.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }
}

impl Rule {
    /// Whether the rule applies to this call, path and time.
    fn matches(&self, call: Call, elapsed_ms: u64, path: &[u8]) -> bool {
        self.call == call
            && elapsed_ms >= self.from_ms
            && self.to_ms.is_none_or(|end| elapsed_ms < end)
            && (self.path.is_empty() || contains_bytes(path, self.path.as_bytes()))
    }
}

fn contains_bytes(bytes: &[u8], part: &[u8]) -> bool {
    bytes.windows(part.len()).any(|window| window == part)
}
