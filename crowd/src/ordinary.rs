//! Ordinary clients beside a crowd: each sends one small request on a new connection and reads the
//! answer.

use crate::message::{read_head, RequestHead};
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// After this time a request counts as not answered.
const NO_ANSWER_AFTER: Duration = Duration::from_secs(6);

/// What an ordinary client got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A complete response with status 200, after this time.
    Served(Duration),
    /// 429 or 503, after this time.
    Rejected(Duration),
    /// Another status, after this time.
    Failed(u16, Duration),
    /// Nothing, or not a complete response.
    None,
}

/// Ordinary clients that start one after the other.
#[derive(Clone, Debug, Default)]
pub struct OrdinaryClients {
    /// What those that have ended got.
    pub answers: Rc<RefCell<Vec<Answer>>>,
}

impl OrdinaryClients {
    /// Sends a request each `interval` until `end`, and waits for the last answer.
    pub async fn run(&self, proxy: SocketAddr, interval: Duration, budget_ms: u64, end: Instant) {
        let mut clients = Vec::new();
        while Instant::now() < end {
            let answers = self.answers.clone();
            clients.push(spawn_local(async move {
                let answer = request_once(proxy, budget_ms).await;
                answers.borrow_mut().push(answer);
            }));
            sleep(interval).await;
        }
        for client in clients {
            // A client's task does not panic and is not aborted.
            let _ = client.await;
        }
    }
}

/// Sends a small request on a new connection and reads its answer.
pub async fn request_once(proxy: SocketAddr, budget_ms: u64) -> Answer {
    let started = Instant::now();
    match timeout(NO_ANSWER_AFTER, exchange(proxy, budget_ms)).await {
        Ok(Ok(200)) => Answer::Served(started.elapsed()),
        Ok(Ok(429 | 503)) => Answer::Rejected(started.elapsed()),
        Ok(Ok(status)) => Answer::Failed(status, started.elapsed()),
        Ok(Err(_)) | Err(_) => Answer::None,
    }
}

async fn exchange(proxy: SocketAddr, budget_ms: u64) -> io::Result<u16> {
    let mut stream = TcpStream::connect(proxy).await?;
    let head = RequestHead::new("free", budget_ms).text();
    stream.write_all(head.as_bytes()).await?;
    let mut buffer = Vec::new();
    let head = read_head(&mut stream, &mut buffer).await?;
    let head = head.ok_or(io::ErrorKind::UnexpectedEof)?;
    let length = head.number("content-length").unwrap_or(0) as usize;
    while buffer.len() < length {
        if stream.read_buf(&mut buffer).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(head.status())
}
