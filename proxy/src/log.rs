//! The log, written to standard error. Writing never blocks, because all tasks share one thread and
//! the log's reader may have stopped reading. A line that cannot be written at once is dropped and
//! counted, and so are lines beyond a rate.

use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use std::cell::RefCell;
use std::io::{self, Write};
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Prefix of each line.
const PROGRAM_NAME: &str = "client-proxy";
/// Maximum size of a line: a pipe that is ready for writing accepts this much without blocking
/// (`PIPE_BUF`, see `pipe(7)`).
const MAX_LINE_BYTES: usize = 4_096;

/// Number of lines that may be written at once: one for each endpoint of a large list.
const BURST_LINES: u32 = 5_000;
/// Number of lines that may be written per second in the long run. Peers can cause lines, such as one
/// for each response that breaks off.
const LINES_PER_SECOND: u32 = 100;

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

thread_local! {
    static RATE_LIMIT: RefCell<RateLimit> = RefCell::new(RateLimit::new(Instant::now()));
}

/// Limits the rate of lines.
#[derive(Debug)]
struct RateLimit {
    available_lines: u32,
    /// Up to when lines have been added to those available.
    refilled_until: Instant,
}

impl RateLimit {
    fn new(now: Instant) -> RateLimit {
        RateLimit {
            available_lines: BURST_LINES,
            refilled_until: now,
        }
    }

    /// Whether a line may be written now.
    fn allows_line(&mut self, now: Instant) -> bool {
        let interval = Duration::from_secs(1) / LINES_PER_SECOND;
        let elapsed = now.saturating_duration_since(self.refilled_until);
        let refilled = (elapsed.as_micros() / interval.as_micros()) as u32;
        self.refilled_until += interval * refilled;
        self.available_lines = self
            .available_lines
            .saturating_add(refilled)
            .min(BURST_LINES);
        let allows = self.available_lines > 0;
        self.available_lines = self.available_lines.saturating_sub(1);
        allows
    }
}

/// Number of lines dropped since the program started.
pub fn dropped_line_count() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Writes a line, truncated to the maximum size, or drops it if there are too many.
pub fn line(text: &str) {
    if !RATE_LIMIT.with_borrow_mut(|limit| limit.allows_line(Instant::now())) {
        DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        return;
    }
    let mut line = format!("{PROGRAM_NAME}: {text}");
    let end = (0..=MAX_LINE_BYTES - 1)
        .rev()
        .find(|&end| line.is_char_boundary(end))
        .unwrap_or(0);
    line.truncate(end);
    line.push('\n');
    write_or_drop(line.as_bytes());
}

/// Writes a line of at most [`MAX_LINE_BYTES`], or drops it if standard error is not ready.
fn write_or_drop(line: &[u8]) {
    let stderr = io::stderr();
    let mut poll_fds = [PollFd::new(stderr.as_fd(), PollFlags::POLLOUT)];
    let is_ready = poll(&mut poll_fds, PollTimeout::ZERO).is_ok_and(|count| count > 0);
    // The proxy keeps serving when its log cannot be written.
    if !is_ready || (&stderr).write_all(line).is_err() {
        DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
    }
}

/// Writes lines of the request trace to the log. A line longer than [`MAX_LINE_BYTES`] is dropped
/// and counted; if it were truncated, it would not be valid JSON.
#[derive(Clone, Copy, Debug, Default)]
struct TraceWriter;

impl Write for TraceWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if line.len() <= MAX_LINE_BYTES {
            write_or_drop(line);
        } else {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Enables the request trace, which logs each step of every request and its reason as one JSON
/// object per line.
pub fn enable_request_trace() {
    let subscriber = tracing_subscriber::fmt()
        .json()
        .with_max_level(tracing::Level::DEBUG);
    // Fails if a subscriber is set already, which happens in tests.
    let _ = subscriber.with_writer(|| TraceWriter).try_init();
}

#[cfg(test)]
mod tests;
