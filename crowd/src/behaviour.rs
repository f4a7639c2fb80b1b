//! How the clients of a crowd behave. Each of them connects, keeps the proxy busy for as long as
//! the crowd lasts, and leaves.

use crate::message::{RequestHead, RESPONSE_BYTES};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::sleep;

/// The timeout that a crowd's clients announce, in milliseconds.
const BUDGET_MS: u64 = 8_000;
/// How often a slow client reads or writes.
const SLOW_INTERVAL: Duration = Duration::from_millis(250);
/// How much a slow client writes at a time, in bytes.
const SLOW_WRITE_BYTES: usize = 500;
/// How much a slow client reads at a time, in bytes.
const SLOW_READ_BYTES: usize = 4_000;
/// Length of a long response, in bytes.
const LONG_RESPONSE_BYTES: usize = 8_000_000;
/// Number of short header fields in a request that has many.
const MANY_FIELDS: usize = 90;

/// The behaviour of one client of a crowd.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Connects and sends nothing.
    Idle,
    /// Sends a small request, reads its response, and keeps the connection; with `many_fields`, after
    /// a head of many short fields.
    Kept {
        /// Whether the head has many short fields.
        many_fields: bool,
    },
    /// Writes a body of 60 kB slowly.
    SlowBody,
    /// Stops half way through a body of this many bytes; with `many_fields`, after a head of many
    /// short fields.
    StoppedBody {
        /// Length of the body.
        bytes: usize,
        /// Whether the head has many short fields.
        many_fields: bool,
    },
    /// Writes the short fields of a head that never ends.
    EndlessHead,
    /// Writes most of a head of the maximum size, and stops.
    StoppedLargeHead,
    /// Reads a long response slowly; with `many_fields`, after a head of many short fields.
    SlowReader {
        /// Whether the head has many short fields.
        many_fields: bool,
    },
    /// Sends small requests on a kept connection and never reads a response.
    NeverReads,
    /// Sends a complete request with many short fields and a body of this many bytes, and waits.
    CompleteLarge {
        /// Length of the body.
        bytes: usize,
    },
}

impl Behaviour {
    /// The behaviours that never send a complete valid request, so that none may reach an endpoint.
    pub const INCOMPLETE: [Behaviour; 6] = [
        Behaviour::Idle,
        Behaviour::SlowBody,
        Behaviour::StoppedBody {
            bytes: 64_000,
            many_fields: false,
        },
        Behaviour::StoppedBody {
            bytes: 64_000,
            many_fields: true,
        },
        Behaviour::EndlessHead,
        Behaviour::StoppedLargeHead,
    ];

    /// The other behaviours: their requests, or parts of them, reach endpoints.
    const REACHING_ENDPOINTS: [Behaviour; 7] = [
        Behaviour::Kept { many_fields: false },
        Behaviour::Kept { many_fields: true },
        Behaviour::StoppedBody {
            bytes: 8_000_000,
            many_fields: false,
        },
        Behaviour::SlowReader { many_fields: false },
        Behaviour::SlowReader { many_fields: true },
        Behaviour::NeverReads,
        Behaviour::CompleteLarge { bytes: 60_000 },
    ];

    /// All behaviours.
    pub fn all() -> Vec<Behaviour> {
        [
            &Behaviour::INCOMPLETE[..],
            &Behaviour::REACHING_ENDPOINTS[..],
        ]
        .concat()
    }

    /// The behaviours of a mix: all but those that occupy endpoints, which any proxy has to share.
    pub fn mix() -> Vec<Behaviour> {
        let mut mix = Behaviour::all();
        mix.retain(|behaviour| !matches!(behaviour, Behaviour::CompleteLarge { .. }));
        mix
    }

    /// Parses the name of a behaviour as the command line has it.
    pub fn parse(name: &str) -> Option<Behaviour> {
        Behaviour::all()
            .into_iter()
            .find(|known| known.name() == name)
    }

    /// The behaviour's name on the command line.
    pub fn name(self) -> String {
        match self {
            Behaviour::Idle => "idle".to_owned(),
            Behaviour::Kept { many_fields } => format!("kept{}", fields_suffix(many_fields)),
            Behaviour::SlowBody => "slow-body".to_owned(),
            Behaviour::StoppedBody { bytes, many_fields } => {
                format!("stopped-{}k{}", bytes / 1_000, fields_suffix(many_fields))
            }
            Behaviour::EndlessHead => "endless-head".to_owned(),
            Behaviour::StoppedLargeHead => "large-head".to_owned(),
            Behaviour::SlowReader { many_fields } => {
                format!("slow-reader{}", fields_suffix(many_fields))
            }
            Behaviour::NeverReads => "never-reads".to_owned(),
            Behaviour::CompleteLarge { .. } => "complete-large".to_owned(),
        }
    }

    /// Runs one client until the caller drops it, or until the proxy closes its connection.
    ///
    /// # Errors
    /// The proxy refused or closed the connection.
    pub async fn run(self, proxy: SocketAddr) -> io::Result<()> {
        let mut stream = connect(proxy, self).await?;
        match self {
            Behaviour::Idle => {}
            Behaviour::Kept { many_fields } => {
                let head = head("free", many_fields);
                stream.write_all(head.text().as_bytes()).await?;
            }
            Behaviour::SlowBody => slow_body(&mut stream).await?,
            Behaviour::StoppedBody { bytes, many_fields } => {
                stopped_body(&mut stream, bytes, many_fields).await?;
            }
            Behaviour::EndlessHead => endless_head(&mut stream).await?,
            Behaviour::StoppedLargeHead => stopped_large_head(&mut stream).await?,
            Behaviour::SlowReader { many_fields } => slow_reader(&mut stream, many_fields).await?,
            Behaviour::NeverReads => never_reads(&mut stream).await?,
            Behaviour::CompleteLarge { bytes } => complete_large(&mut stream, bytes).await?,
        }
        wait_for_end(&mut stream).await
    }
}

fn fields_suffix(many_fields: bool) -> &'static str {
    if many_fields {
        "-fields"
    } else {
        ""
    }
}

async fn connect(proxy: SocketAddr, behaviour: Behaviour) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    if matches!(
        behaviour,
        Behaviour::SlowReader { .. } | Behaviour::NeverReads
    ) {
        socket.set_recv_buffer_size(SLOW_READ_BYTES as u32)?;
    }
    let stream = socket.connect(proxy).await?;
    // Thousands of connections in TIME_WAIT would slow down whoever reads the kernel's tables.
    stream.set_zero_linger()?;
    Ok(stream)
}

fn head(class: &'static str, many_fields: bool) -> RequestHead {
    let head = RequestHead::new(class, BUDGET_MS);
    if many_fields {
        head.with_short_fields(MANY_FIELDS)
    } else {
        head
    }
}

async fn slow_body(stream: &mut TcpStream) -> io::Result<()> {
    let head = head("unsafe", false).with_body(60_000);
    stream.write_all(head.text().as_bytes()).await?;
    for _ in 0..60_000 / SLOW_WRITE_BYTES {
        stream.write_all(&[b'x'; SLOW_WRITE_BYTES]).await?;
        sleep(SLOW_INTERVAL).await;
    }
    Ok(())
}

async fn stopped_body(stream: &mut TcpStream, bytes: usize, many_fields: bool) -> io::Result<()> {
    let head = head("unsafe", many_fields).with_body(bytes);
    stream.write_all(head.text().as_bytes()).await?;
    stream.write_all(&vec![b'x'; bytes / 2]).await
}

async fn endless_head(stream: &mut TcpStream) -> io::Result<()> {
    stream.write_all(b"POST /api HTTP/1.1\r\n").await?;
    for number in 0_u64.. {
        stream
            .write_all(format!("x{number}: 1\r\n").as_bytes())
            .await?;
        sleep(Duration::from_millis(5)).await;
    }
    Ok(())
}

async fn stopped_large_head(stream: &mut TcpStream) -> io::Result<()> {
    let head = head("unsafe", false)
        .with("x-filler", "f".repeat(15_500))
        .text();
    stream.write_all(&head.as_bytes()[..head.len() - 2]).await
}

async fn slow_reader(stream: &mut TcpStream, many_fields: bool) -> io::Result<()> {
    let head = head("free", many_fields).with(RESPONSE_BYTES, LONG_RESPONSE_BYTES);
    stream.write_all(head.text().as_bytes()).await?;
    let mut piece = [0; SLOW_READ_BYTES];
    while stream.read(&mut piece).await? > 0 {
        sleep(SLOW_INTERVAL).await;
    }
    Ok(())
}

async fn never_reads(stream: &mut TcpStream) -> io::Result<()> {
    loop {
        let head = head("free", false).with(RESPONSE_BYTES, 60_000);
        stream.write_all(head.text().as_bytes()).await?;
        sleep(Duration::from_millis(20)).await;
    }
}

async fn complete_large(stream: &mut TcpStream, bytes: usize) -> io::Result<()> {
    let head = head("unsafe", true)
        .with_body(bytes)
        .with(crate::message::RESPONSE_DELAY, BUDGET_MS);
    stream.write_all(head.text().as_bytes()).await?;
    stream.write_all(&vec![b'x'; bytes]).await
}

/// Waits until the proxy closes the connection.
async fn wait_for_end(stream: &mut TcpStream) -> io::Result<()> {
    let mut piece = [0; SLOW_READ_BYTES];
    while stream.read(&mut piece).await? > 0 {}
    Ok(())
}
