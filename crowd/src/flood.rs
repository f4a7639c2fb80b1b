//! Clients that send at full speed on one connection each. They use blocking sockets and threads of
//! their own, so that nothing but the proxy slows them down.

use crate::message::{RequestHead, RESPONSE_BYTES};
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Number of requests that are written at once.
const BATCH: usize = 64;
/// How long a write or read may take before the flood checks whether it is over.
const CALL_TIMEOUT: Duration = Duration::from_millis(100);

/// What a flooding client sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FloodKind {
    /// Small valid requests.
    Small,
    /// Small valid requests whose responses it never reads.
    Unread,
    /// `GET /_health`.
    Health,
    /// Requests of ever new classes.
    NewClasses,
    /// Requests without an id.
    Unsound,
    /// Random lines.
    Garbage,
    /// Requests with a body of 2 kB.
    Bodies,
    /// Requests with large heads.
    LargeHeads,
}

impl FloodKind {
    /// All kinds.
    pub const ALL: [FloodKind; 8] = [
        FloodKind::Small,
        FloodKind::Unread,
        FloodKind::Health,
        FloodKind::NewClasses,
        FloodKind::Unsound,
        FloodKind::Garbage,
        FloodKind::Bodies,
        FloodKind::LargeHeads,
    ];

    /// Parses the name of a kind, which is that of the variant in lower case.
    pub fn parse(name: &str) -> Option<FloodKind> {
        let matches = |kind: &FloodKind| format!("{kind:?}").eq_ignore_ascii_case(name);
        FloodKind::ALL.into_iter().find(matches)
    }

    fn request(self, number: u64) -> String {
        match self {
            FloodKind::Small => RequestHead::new("free", 1_500).text(),
            FloodKind::Unread => {
                let head = RequestHead::new("free", 1_500);
                head.with(RESPONSE_BYTES, 20_000).text()
            }
            FloodKind::Health => "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n".to_owned(),
            FloodKind::NewClasses => format!(
                "GET /api HTTP/1.1\r\nX-Call-Id: c{number}\r\nX-Call-Class: class-{number}\r\n\
                 X-Budget-Ms: 1500\r\n\r\n"
            ),
            FloodKind::Unsound => "GET /api HTTP/1.1\r\nX-Call-Class: free\r\n\r\n".to_owned(),
            FloodKind::Garbage => format!("\u{1}{number} %%%%\r\n\r\n"),
            FloodKind::Bodies => {
                let head = RequestHead::new("unsafe", 1_500).with_body(2_000);
                head.text() + &"b".repeat(2_000)
            }
            FloodKind::LargeHeads => {
                let head = RequestHead::new("free", 1_500);
                head.with("x-filler", "f".repeat(12_000)).text()
            }
        }
    }

    fn reads_responses(self) -> bool {
        self != FloodKind::Unread
    }
}

/// A flooding client, which stops when this is dropped.
#[derive(Debug)]
pub struct Flood {
    is_ended: Arc<AtomicBool>,
    written: Arc<AtomicU64>,
    thread: Option<JoinHandle<()>>,
}

impl Flood {
    /// Starts a client that floods this proxy on one connection, and on another one whenever the
    /// proxy has closed that.
    pub fn start(proxy: SocketAddr, kind: FloodKind) -> Flood {
        let is_ended = Arc::new(AtomicBool::new(false));
        let written = Arc::new(AtomicU64::new(0));
        let (ended, count) = (is_ended.clone(), written.clone());
        let thread = thread::spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                // A connection that the proxy closes is replaced by the next one.
                let _ = flood_connection(proxy, kind, &ended, &count);
            }
        });
        Flood {
            is_ended,
            written,
            thread: Some(thread),
        }
    }

    /// Number of bytes that were written so far.
    pub fn bytes_written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.is_ended.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // The thread does not panic.
            let _ = thread.join();
        }
    }
}

fn flood_connection(
    proxy: SocketAddr,
    kind: FloodKind,
    is_ended: &Arc<AtomicBool>,
    written: &AtomicU64,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(proxy)?;
    // Leaves no connections in TIME_WAIT behind, of which there would be thousands.
    SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    stream.set_write_timeout(Some(CALL_TIMEOUT))?;
    stream.set_read_timeout(Some(CALL_TIMEOUT))?;
    if kind.reads_responses() {
        let reader = stream.try_clone()?;
        let is_ended = is_ended.clone();
        thread::spawn(move || discard(reader, &is_ended));
    }
    while !is_ended.load(Ordering::Relaxed) {
        let first = written.load(Ordering::Relaxed);
        let batch: String = (0..BATCH as u64).map(|n| kind.request(first + n)).collect();
        write_all(&mut stream, batch.as_bytes(), is_ended, written)?;
    }
    Ok(())
}

fn write_all(
    stream: &mut TcpStream,
    mut bytes: &[u8],
    is_ended: &AtomicBool,
    written: &AtomicU64,
) -> std::io::Result<()> {
    while !bytes.is_empty() && !is_ended.load(Ordering::Relaxed) {
        match stream.write(bytes) {
            Ok(count) => {
                bytes = &bytes[count..];
                written.fetch_add(count as u64, Ordering::Relaxed);
            }
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

fn discard(mut stream: TcpStream, is_ended: &AtomicBool) {
    let mut piece = [0; 64 << 10];
    while !is_ended.load(Ordering::Relaxed) {
        match stream.read(&mut piece) {
            Ok(0) => return,
            Ok(_) => {}
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}
