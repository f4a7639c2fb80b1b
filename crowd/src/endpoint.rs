//! Stand-in endpoints. The headers of a request tell how slowly its endpoint reads it and how long
//! and how slow the response is to be. Each request that arrived completely is in the ledger.

use crate::message::{read_head, Head, READ_RATE, RESPONSE_BYTES, RESPONSE_DELAY, RESPONSE_RATE};
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Length of a response to a request that asks for none.
const DEFAULT_RESPONSE_BYTES: u64 = 100;
/// How often a slow endpoint reads or writes.
const SLOW_INTERVAL: Duration = Duration::from_millis(50);
/// Number of bytes that are read or written at once.
const PIECE_BYTES: usize = 64 << 10;

/// A request as an endpoint saw it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The value of `X-Call-Id`.
    pub id: String,
    /// When its last byte had been read.
    pub completed_at: Instant,
}

/// The requests that arrived completely at any of the endpoints that share this ledger.
pub type Ledger = Rc<RefCell<Vec<Arrival>>>;

/// A running stand-in endpoint.
#[derive(Debug)]
pub struct StandInEndpoint {
    /// Where it listens.
    pub address: SocketAddr,
}

impl StandInEndpoint {
    /// Starts an endpoint on a free port of loopback. Must be called inside a `LocalSet`.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn start(ledger: &Ledger) -> io::Result<StandInEndpoint> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let ledger = ledger.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let ledger = ledger.clone();
                // A connection that the proxy closes needs no further handling.
                spawn_local(async move { drop(serve(stream, ledger).await) });
            }
        });
        Ok(StandInEndpoint { address })
    }
}

async fn serve(mut stream: TcpStream, ledger: Ledger) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buffer).await? {
        read_body(&mut stream, &mut buffer, &head).await?;
        ledger.borrow_mut().push(Arrival {
            id: head.header("x-call-id").unwrap_or_default().to_owned(),
            completed_at: Instant::now(),
        });
        if let Some(delay) = head.number(RESPONSE_DELAY) {
            sleep(Duration::from_millis(delay)).await;
        }
        respond(&mut stream, &head).await?;
    }
    Ok(())
}

async fn read_body(stream: &mut TcpStream, buffer: &mut Vec<u8>, head: &Head) -> io::Result<()> {
    let length = head.number("content-length").unwrap_or(0) as usize;
    let mut remaining = length.saturating_sub(buffer.len());
    buffer.drain(..length.min(buffer.len()));
    let mut piece = vec![0; piece_bytes(head.number(READ_RATE))];
    while remaining > 0 {
        let limit = remaining.min(piece.len());
        let count = stream.read(&mut piece[..limit]).await?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        remaining -= count;
        if head.number(READ_RATE).is_some() {
            sleep(SLOW_INTERVAL).await;
        }
    }
    Ok(())
}

async fn respond(stream: &mut TcpStream, head: &Head) -> io::Result<()> {
    let length = head
        .number(RESPONSE_BYTES)
        .unwrap_or(DEFAULT_RESPONSE_BYTES) as usize;
    let head_text = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
    let rate = head.number(RESPONSE_RATE);
    let piece = vec![b'r'; piece_bytes(rate)];
    stream.write_all(head_text.as_bytes()).await?;
    let mut remaining = length;
    while remaining > 0 {
        let count = remaining.min(piece.len());
        stream.write_all(&piece[..count]).await?;
        remaining -= count;
        if rate.is_some() && remaining > 0 {
            sleep(SLOW_INTERVAL).await;
        }
    }
    Ok(())
}

/// How much is read or written each [`SLOW_INTERVAL`] at this rate in bytes per second.
fn piece_bytes(rate: Option<u64>) -> usize {
    let Some(rate) = rate else {
        return PIECE_BYTES;
    };
    let bytes = rate as f64 * SLOW_INTERVAL.as_secs_f64();
    (bytes as usize).max(1)
}
