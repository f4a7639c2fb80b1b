//! The schedule of failures: its form, and whether a call fails now. Nothing here takes a lock or
//! allocates after the start, because signal handlers make calls too.

use serde::Deserialize;
use std::sync::atomic::{AtomicU64, Ordering};
use thiserror::Error;

/// A call that can be made to fail.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Call {
    /// `socket(2)`.
    Socket,
    /// `accept(2)` and `accept4(2)`.
    Accept,
    /// `connect(2)`.
    Connect,
    /// Reads from internet sockets.
    Receive,
    /// Writes to internet sockets.
    Send,
    /// `epoll_wait(2)`.
    Wait,
    /// `open(2)` of a path that contains the rule's `path`.
    Open,
    /// `flock(2)`.
    Lock,
}

/// How a call fails. All but `Short` are named as in `errno(3)`.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "UPPERCASE")]
pub(crate) enum Failure {
    /// Fewer bytes are transferred than could be; reads and writes only.
    Short,
    /// A signal interrupted the call.
    Eintr,
    /// The device failed.
    Eio,
    /// The device is full.
    Enospc,
    /// The process has no descriptor left.
    Emfile,
    /// The system has no descriptor left.
    Enfile,
    /// No buffer is left.
    Enobufs,
    /// No memory is left.
    Enomem,
    /// The connection ended before it was accepted.
    Econnaborted,
    /// No local port is left.
    Eaddrnotavail,
    /// There is no route to the network.
    Enetunreach,
    /// There is no route to the host.
    Ehostunreach,
    /// The peer does not answer.
    Etimedout,
    /// There is no such file.
    Enoent,
}

impl Failure {
    /// The value of `errno`; 0 for a short read or write.
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

/// A rule without a fraction applies to all calls.
fn all_calls() -> f64 {
    1.0
}

/// A kind of failure, and when it happens.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Rule {
    call: Call,
    failure: Failure,
    /// Fraction of the calls that fail, 0 to 1.
    #[serde(rename = "share", default = "all_calls")]
    fraction: f64,
    /// When it begins, in milliseconds since the process's start.
    #[serde(default)]
    from_ms: u64,
    /// When it ends, in milliseconds since the process's start.
    #[serde(default)]
    to_ms: Option<u64>,
    /// How many calls pass before the first may fail.
    #[serde(rename = "after", default)]
    skipped_calls: u64,
    /// How many calls fail at most.
    #[serde(rename = "most", default)]
    max_failures: Option<u64>,
    /// For `open`: a part of the path.
    #[serde(default)]
    path: String,
    #[serde(skip)]
    matched_calls: AtomicU64,
    #[serde(skip)]
    failed_calls: AtomicU64,
}

/// All failures of a process.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Schedule {
    /// Seed of the draws that the rules' fractions are compared with.
    seed: u64,
    /// By how much the wall clock is ahead, in milliseconds.
    #[serde(rename = "wall_clock_ms")]
    wall_clock_offset_ms: i64,
    /// The first one that matches a call decides.
    rules: Vec<Rule>,
    #[serde(skip)]
    draws: AtomicU64,
}

/// A schedule could not be read.
#[derive(Debug, Error)]
#[error("not a schedule of failures: {0}")]
pub(crate) struct ScheduleError(serde_json::Error);

impl Schedule {
    /// Reads a schedule.
    pub(crate) fn parse(text: &str) -> Result<Schedule, ScheduleError> {
        serde_json::from_str(text).map_err(ScheduleError)
    }

    /// By how much the wall clock is ahead, in milliseconds.
    pub(crate) fn wall_clock_offset_ms(&self) -> i64 {
        self.wall_clock_offset_ms
    }

    /// How a call fails now, `elapsed_ms` milliseconds after the process's start; `None`: it
    /// passes.
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

    /// A number from 0 to 1 (SplitMix64 of a counter: any thread and any signal handler may draw).
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
    /// Whether it is about this call, path and time.
    fn matches(&self, call: Call, elapsed_ms: u64, path: &[u8]) -> bool {
        self.call == call
            && elapsed_ms >= self.from_ms
            && self.to_ms.is_none_or(|end| elapsed_ms < end)
            && (self.path.is_empty() || contains(path, self.path.as_bytes()))
    }
}

fn contains(path: &[u8], part: &[u8]) -> bool {
    path.windows(part.len()).any(|window| window == part)
}
