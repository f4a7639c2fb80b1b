//! The stand-in for a client: one request on a connection of its own.

use crate::common::{read_body, read_head, Record};
use std::fmt;
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Up to half a second after its time an answer only earns nothing; each time limit is 50 ms longer
/// on sockets.
pub const GRACE: Duration = Duration::from_millis(550);
/// How long a client tries to connect and to write its request.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// A request of a client.
#[derive(Clone)]
pub struct Request {
    pub id: String,
    pub class: &'static str,
    /// The time that the client waits for the answer, from the request's last byte.
    pub budget: Duration,
    /// The length of the body of a keyed `POST`; `None`: a `GET`.
    pub body: Option<usize>,
}

impl Request {
    pub fn head(&self, query: &str) -> String {
        let Request {
            id,
            class,
            budget,
            body,
        } = self;
        let budget = budget.as_millis();
        let (method, rest) = match body {
            Some(length) => (
                "POST",
                format!("Idempotency-Key: key-{id}\r\nContent-Length: {length}\r\n"),
            ),
            None => ("GET", String::new()),
        };
        format!(
            "{method} /api{query} HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: {id}\r\n\
             X-Call-Class: {class}\r\nX-Caller: ak-zagreb-trk\r\nX-Budget-Ms: {budget}\r\n{rest}\r\n"
        )
    }

    /// Sends the request on a new connection and waits for its whole answer, until an answer would
    /// be too late.
    pub fn play(&self, listen: SocketAddr) -> End {
        let sent = self.send(listen);
        let sent_at = Instant::now();
        match sent {
            Ok(stream) => read_answer(&stream, sent_at, sent_at + self.budget + GRACE),
            Err(_) => End::NotTaken,
        }
    }

    fn send(&self, listen: SocketAddr) -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect_timeout(&listen, WRITE_TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        stream.write_all(self.head("").as_bytes())?;
        stream.write_all(&vec![b'x'; self.body.unwrap_or(0)])?;
        Ok(stream)
    }

    /// Plays the request in a thread of its own and records its end.
    pub fn start(self, listen: SocketAddr, record: &Record) -> JoinHandle<End> {
        let record = record.clone();
        thread::spawn(move || {
            let body = self.body.map_or(String::new(), |length| {
                format!(", a body of {length} bytes")
            });
            record.line(&format!(
                "client: sends {} ({}, waits {:?}{body})",
                self.id, self.class, self.budget
            ));
            let end = self.play(listen);
            record.line(&format!("client: {}: {end}", self.id));
            end
        })
    }
}

/// How a request ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A whole answer with this status, this long after the request's last byte.
    Answer { status: u16, after: Duration },
    /// The connection ended without a whole answer.
    Closed { after: Duration },
    /// The connection stayed open, and no whole answer came.
    Nothing { after: Duration },
    /// The request's last byte was not written: the proxy has not taken it.
    NotTaken,
}

impl fmt::Display for End {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            End::Answer { status, after } => {
                write!(
                    formatter,
                    "answered with {status} {} ms after its last byte",
                    after.as_millis()
                )
            }
            End::Closed { after } => {
                write!(
                    formatter,
                    "closed with no whole answer {} ms after its last byte",
                    after.as_millis()
                )
            }
            End::Nothing { after } => {
                write!(
                    formatter,
                    "LOST: no answer {} ms after its last byte",
                    after.as_millis()
                )
            }
            End::NotTaken => write!(formatter, "not taken: its last byte could not be written"),
        }
    }
}

/// Counts of the ends of requests.
pub fn summary(ends: &[End]) -> String {
    let count = |is_counted: fn(&End) -> bool| ends.iter().filter(|end| is_counted(end)).count();
    format!(
        "{} requests: {} served, {} refused or failed, {} closed, {} lost (no answer), {} not taken",
        ends.len(),
        count(|end| matches!(end, End::Answer { status: 200, .. })),
        count(|end| matches!(end, End::Answer { status, .. } if *status != 200)),
        count(|end| matches!(end, End::Closed { .. })),
        count(|end| matches!(end, End::Nothing { .. })),
        count(|end| matches!(end, End::NotTaken)),
    )
}

pub fn lost_count(ends: &[End]) -> usize {
    ends.iter()
        .filter(|end| matches!(end, End::Nothing { .. }))
        .count()
}

/// Reads one whole answer until `give_up_at`.
fn read_answer(stream: &TcpStream, sent_at: Instant, give_up_at: Instant) -> End {
    let read = || -> io::Result<u16> {
        let mut reader = BufReader::new(Timed { stream, give_up_at });
        let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        read_body(&mut reader, &head)?;
        Ok(head.status())
    };
    let after = || sent_at.elapsed();
    match read() {
        Ok(status) => End::Answer {
            status,
            after: after(),
        },
        Err(error) if error.kind() == io::ErrorKind::TimedOut => End::Nothing { after: after() },
        Err(_) => End::Closed { after: after() },
    }
}

/// Reads until a point in time, after which reads fail with `TimedOut`.
struct Timed<'a> {
    stream: &'a TcpStream,
    give_up_at: Instant,
}

impl Read for Timed<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let left = self.give_up_at.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        match self.stream.read(buffer) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                Err(io::ErrorKind::TimedOut.into())
            }
            result => result,
        }
    }
}
