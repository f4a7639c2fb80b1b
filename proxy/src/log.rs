//! The log, on standard error. It never blocks: its reader may have stopped reading, and everything
//! here runs on one thread. A line that can't be written at once is dropped and counted.

use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use std::io::{self, Write};
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicU64, Ordering};

/// What each line begins with.
const PROGRAM_NAME: &str = "client-proxy";
/// Maximum size of a line: a pipe that is ready takes that much at once (`PIPE_BUF`, see
/// `pipe(7)`).
const MAX_LINE_BYTES: usize = 4_096;

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Lines dropped since the program started.
pub fn dropped() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Writes a line, cut off at its maximum size.
pub fn line(text: &str) {
    let mut line = format!("{PROGRAM_NAME}: {text}");
    let end = (0..=MAX_LINE_BYTES - 1)
        .rev()
        .find(|&end| line.is_char_boundary(end))
        .unwrap_or(0);
    line.truncate(end);
    line.push('\n');
    write(line.as_bytes());
}

/// Writes a line of at most [`MAX_LINE_BYTES`] if that is possible at once.
fn write(line: &[u8]) {
    let stderr = io::stderr();
    let mut poll_fds = [PollFd::new(stderr.as_fd(), PollFlags::POLLOUT)];
    let is_ready = poll(&mut poll_fds, PollTimeout::ZERO).is_ok_and(|count| count > 0);
    // A log that nobody reads any more is no reason to stop serving.
    if !is_ready || (&stderr).write_all(line).is_err() {
        DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
    }
}

/// Writes the request trace's lines to the log.
#[derive(Clone, Copy, Debug, Default)]
struct TraceWriter;

impl Write for TraceWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if line.len() <= MAX_LINE_BYTES {
            write(line);
        } else {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Logs the events of every request, one JSON object a line: what is decided, sent, ended and
/// closed, and why.
pub fn enable_request_trace() {
    let subscriber = tracing_subscriber::fmt()
        .json()
        .with_max_level(tracing::Level::DEBUG);
    // A test may have set one already.
    let _ = subscriber.with_writer(|| TraceWriter).try_init();
}
