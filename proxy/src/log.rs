//! The log, written to standard error. Writing never blocks, because all tasks share one thread and
//! the log's reader may have stopped reading. A line that cannot be written at once is dropped and
//! counted.

use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use std::io::{self, Write};
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicU64, Ordering};

/// Prefix of each line.
const PROGRAM_NAME: &str = "client-proxy";
/// Maximum size of a line: a pipe that is ready for writing accepts this much without blocking
/// (`PIPE_BUF`, see `pipe(7)`).
const MAX_LINE_BYTES: usize = 4_096;

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Number of lines dropped since the program started.
pub fn dropped_line_count() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Writes a line, truncated to the maximum size.
pub fn line(text: &str) {
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
