//! Clients with large bodies that do nothing wrong, beside endpoints that read or write slowly.

use crate::message::{read_head, Head, RequestHead, READ_RATE, RESPONSE_BYTES, RESPONSE_RATE};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// After this time a client gives up.
const GIVE_UP_AFTER: Duration = Duration::from_secs(30);

/// A request with a large body, or with a long response.
#[derive(Clone, Copy, Debug)]
pub struct LargeBody {
    /// The client's timeout, in milliseconds.
    pub budget_ms: u64,
    /// Length of the request's body in bytes; 0 for none.
    pub request_bytes: usize,
    /// At which rate the endpoint reads the request, in bytes per second.
    pub read_rate: Option<u64>,
    /// Length of the response's body in bytes.
    pub response_bytes: usize,
    /// At which rate the endpoint writes the response, in bytes per second.
    pub response_rate: Option<u64>,
}

/// What the client of a large body got.
#[derive(Clone, Copy, Debug)]
pub struct LargeBodyAnswer {
    /// The status; `None`: no answer.
    pub status: Option<u16>,
    /// Whether all of the answer arrived.
    pub is_whole: bool,
    /// From the last byte of the request to the last byte of the answer's head.
    pub head_after: Duration,
}

impl LargeBody {
    /// 8 MB that the endpoint reads at 320 kB/s, and a client that waits 2 s.
    pub const SLOW_UPLOAD: LargeBody = LargeBody {
        budget_ms: 2_000,
        request_bytes: 8_000_000,
        read_rate: Some(320_000),
        response_bytes: 100,
        response_rate: None,
    };
    /// 400 kB that the endpoint writes over 4 s, and a client that waits 6 s.
    pub const SLOW_RESPONSE: LargeBody = LargeBody {
        budget_ms: 6_000,
        request_bytes: 0,
        read_rate: None,
        response_bytes: 400_000,
        response_rate: Some(100_000),
    };

    /// Sends the request and reads the answer to its end.
    pub async fn run(self, proxy: SocketAddr) -> LargeBodyAnswer {
        let mut answer = LargeBodyAnswer {
            status: None,
            is_whole: false,
            head_after: Duration::ZERO,
        };
        // A client that gives up, or whose connection breaks, has what came until then.
        let _ = timeout(GIVE_UP_AFTER, self.exchange(proxy, &mut answer)).await;
        answer
    }

    fn head(self) -> RequestHead {
        let class = if self.request_bytes > 0 {
            "unsafe"
        } else {
            "free"
        };
        let mut head = RequestHead::new(class, self.budget_ms);
        head = head.with(RESPONSE_BYTES, self.response_bytes);
        if let Some(rate) = self.read_rate {
            head = head.with(READ_RATE, rate);
        }
        if let Some(rate) = self.response_rate {
            head = head.with(RESPONSE_RATE, rate);
        }
        if self.request_bytes > 0 {
            head = head.with_body(self.request_bytes);
        }
        head
    }

    async fn exchange(self, proxy: SocketAddr, answer: &mut LargeBodyAnswer) -> io::Result<()> {
        let stream = TcpStream::connect(proxy).await?;
        let (mut reading, mut writing) = stream.into_split();
        let head = self.head().text();
        let body = vec![b'u'; self.request_bytes];
        let writer = tokio::task::spawn_local(async move {
            // The proxy may answer and close before it has read everything.
            let _ = writing.write_all(head.as_bytes()).await;
            let _ = writing.write_all(&body).await;
            (writing, Instant::now())
        });
        let mut buffer = Vec::new();
        let head = read_head(&mut reading, &mut buffer).await?;
        let answered_at = Instant::now();
        let head = head.ok_or(io::ErrorKind::UnexpectedEof)?;
        answer.status = Some(head.status());
        answer.is_whole = read_rest(&mut reading, buffer.len(), &head).await?;
        if let Ok((_writing, last_byte_at)) = writer.await {
            answer.head_after = answered_at.saturating_duration_since(last_byte_at);
        }
        Ok(())
    }
}

/// Reads the rest of an answer's body, and returns whether all of it came.
async fn read_rest(
    stream: &mut (impl AsyncReadExt + Unpin),
    mut read: usize,
    head: &Head,
) -> io::Result<bool> {
    let Some(length) = head.number("content-length") else {
        return Ok(false);
    };
    let mut piece = vec![0; 64 << 10];
    while read < length as usize {
        match stream.read(&mut piece).await? {
            0 => return Ok(false),
            count => read += count,
        }
    }
    Ok(true)
}
