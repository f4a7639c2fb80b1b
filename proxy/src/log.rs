//! The log, on standard error. It never holds a request up: what reads it may have stopped reading, and everything here runs
//! on one thread. A line for which there is no room is dropped and counted.

use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use std::io::{self, Write};
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicU64, Ordering};

/// Longest line: a pipe that can be written to takes so much at once (`PIPE_BUF`, see `pipe(7)`).
const LINE_MOST: usize = 4_096;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Lines dropped since the start.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Writes a line.
pub fn line(text: &str) {
    let mut line = format!("client-proxy: {text}");
    let end = (0..=LINE_MOST - 1).rev().find(|&end| line.is_char_boundary(end)).unwrap_or(0);
    line.truncate(end);
    line.push('\n');
    write(line.as_bytes());
}

/// Writes a whole line of at most [`LINE_MOST`] bytes, if there is room for it now.
fn write(line: &[u8]) {
    let error = io::stderr();
    let mut ready = [PollFd::new(error.as_fd(), PollFlags::POLLOUT)];
    let has_room = poll(&mut ready, PollTimeout::ZERO).is_ok_and(|count| count > 0);
    // A log that nobody reads any more is no reason to stop serving.
    if !has_room || (&error).write_all(line).is_err() {
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }
}

/// For events of the program's course, which are logged only on request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Writer;

impl Write for Writer {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match line.len() {
            0..=LINE_MOST => write(line),
            _ => drop(DROPPED.fetch_add(1, Ordering::Relaxed)),
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Logs the course of every request, one JSON object a line: what is decided, sent, ended, closed, and why.
pub fn enable_request_trace() {
    let events = tracing_subscriber::fmt().json().with_max_level(tracing::Level::DEBUG);
    // There is one already where a test has set it.
    let _ = events.with_writer(|| Writer).try_init();
}
