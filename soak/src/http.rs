//! Reads HTTP/1.1 messages from a stream, with the arrival times of their first and last bytes.

use socket2::SockRef;
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Maximum number of bytes per read, so that chunks are taken from a short buffer.
const MAX_READ_BYTES: usize = 64 << 10;
/// Maximum number of headers of a message.
const MAX_HEADERS: usize = 64;

/// A complete HTTP/1.1 request or response.
#[derive(Clone, Debug)]
pub(crate) struct Message {
    /// Status code of a response; `None` for a request.
    pub(crate) status: Option<u16>,
    /// Header names in lower case, with their values.
    pub(crate) headers: Vec<(String, String)>,
    /// Body without its framing.
    pub(crate) body: Vec<u8>,
    /// Time at which its first byte was read.
    pub(crate) first_byte_at: Instant,
    /// Time at which its last byte was read.
    pub(crate) last_byte_at: Instant,
}

impl Message {
    /// Returns the value of a header, given its name in lower case.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }
}

/// Reason why no complete message could be read.
#[derive(Debug)]
pub(crate) enum ReadError {
    /// The stream ended or failed before the first byte of a message.
    Closed,
    /// The stream ended or failed within a message.
    Truncated {
        /// The head of the message, as far as it was read.
        head: Vec<u8>,
        /// Time at which the first byte of the message was read.
        first_byte_at: Instant,
    },
    /// The bytes are not a valid HTTP/1.1 message.
    Invalid,
}

impl ReadError {
    /// The error of a message whose body could not be read, with the message's head.
    fn with_head(self, head: Vec<u8>) -> ReadError {
        match self {
            ReadError::Truncated { first_byte_at, .. } => ReadError::Truncated {
                head,
                first_byte_at,
            },
            error => error,
        }
    }
}

/// How fast a client or an endpoint reads.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadPace {
    /// Maximum number of bytes per read.
    pub(crate) bytes: usize,
    /// Pause after each read.
    pub(crate) pause: Duration,
}

/// Reads messages from a stream.
#[derive(Debug)]
pub(crate) struct Reader {
    /// The stream, which may be written to directly.
    pub(crate) stream: TcpStream,
    /// How fast it is read; `None` for as fast as possible.
    pub(crate) pace: Option<ReadPace>,
    buffer: Vec<u8>,
    first_byte_at: Option<Instant>,
}

impl Reader {
    /// Creates a reader for a stream from which nothing has been read.
    pub(crate) fn new(stream: TcpStream) -> Reader {
        Reader {
            stream,
            pace: None,
            buffer: Vec::new(),
            first_byte_at: None,
        }
    }

    /// Reads available bytes into the buffer. Returns `false` if the stream has ended or failed.
    async fn read_some(&mut self) -> bool {
        let max_bytes = self.pace.map_or(MAX_READ_BYTES, |pace| pace.bytes);
        self.buffer.reserve(max_bytes);
        let mut limited = (&mut self.stream).take(max_bytes as u64);
        let received = limited.read_buf(&mut self.buffer).await;
        let received = received.is_ok_and(|count| count > 0);
        if received {
            self.first_byte_at.get_or_insert_with(Instant::now);
        }
        if let Some(pace) = self.pace {
            sleep(pace.pause).await;
        }
        received
    }

    fn eof_in_head(&mut self) -> ReadError {
        if self.first_byte_at.is_some() && !self.buffer.is_empty() {
            self.eof_in_body()
        } else {
            ReadError::Closed
        }
    }

    fn eof_in_body(&mut self) -> ReadError {
        ReadError::Truncated {
            head: std::mem::take(&mut self.buffer),
            first_byte_at: self.first_byte_at.unwrap_or_else(Instant::now),
        }
    }

    /// Reads the next message.
    pub(crate) async fn read_message(&mut self) -> Result<Message, ReadError> {
        let Head {
            mut message,
            length,
        } = self.read_head().await?;
        let head: Vec<u8> = self.buffer.drain(..length).collect();
        message.first_byte_at = self.first_byte_at.unwrap_or(message.first_byte_at);
        let body = if message.header("transfer-encoding").is_some() {
            self.read_chunked_body().await
        } else {
            let length = message
                .header("content-length")
                .and_then(|value| value.parse().ok());
            self.read_exactly(length.unwrap_or(0)).await
        };
        message.body = body.map_err(|error| error.with_head(head))?;
        message.last_byte_at = Instant::now();
        // Bytes that remain in the buffer belong to the next message.
        self.first_byte_at = (!self.buffer.is_empty()).then_some(message.last_byte_at);
        Ok(message)
    }

    async fn read_head(&mut self) -> Result<Head, ReadError> {
        loop {
            match parse_head(&self.buffer) {
                Ok(Some(head)) => return Ok(head),
                Ok(None) if !self.read_some().await => return Err(self.eof_in_head()),
                Ok(None) => {}
                Err(_) => return Err(ReadError::Invalid),
            }
        }
    }

    async fn read_chunked_body(&mut self) -> Result<Vec<u8>, ReadError> {
        let mut body = Vec::new();
        loop {
            let line = self.read_line().await?;
            let digits = String::from_utf8_lossy(&line);
            let size = usize::from_str_radix(digits.trim(), 16).map_err(|_| ReadError::Invalid)?;
            let mut chunk = self.read_exactly(size + 2).await?;
            chunk.truncate(size);
            if size == 0 {
                return Ok(body);
            }
            body.append(&mut chunk);
        }
    }

    async fn read_line(&mut self) -> Result<Vec<u8>, ReadError> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                return Ok(self.buffer.drain(..end + 2).collect());
            }
            if !self.read_some().await {
                return Err(self.eof_in_body());
            }
        }
    }

    async fn read_exactly(&mut self, count: usize) -> Result<Vec<u8>, ReadError> {
        while self.buffer.len() < count {
            if !self.read_some().await {
                return Err(self.eof_in_body());
            }
        }
        let rest = self.buffer.split_off(count);
        Ok(std::mem::replace(&mut self.buffer, rest))
    }

    /// Waits until the peer sends more bytes, or until the connection ends.
    pub(crate) async fn wait_for_activity(&mut self) {
        self.read_some().await;
    }
}

/// A message without its body, and the length of its head in bytes.
struct Head {
    message: Message,
    length: usize,
}

/// Parses the head of a message; `None` if it is incomplete.
fn parse_head(bytes: &[u8]) -> Result<Option<Head>, httparse::Error> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut status = None;
    let (length, headers) = if bytes.starts_with(b"HTTP/") {
        let mut response = httparse::Response::new(&mut headers);
        let httparse::Status::Complete(length) = response.parse(bytes)? else {
            return Ok(None);
        };
        status = response.code;
        (length, response.headers)
    } else {
        let mut request = httparse::Request::new(&mut headers);
        let httparse::Status::Complete(length) = request.parse(bytes)? else {
            return Ok(None);
        };
        (length, request.headers)
    };
    let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
    let headers = headers
        .iter()
        .map(|header| (header.name.to_lowercase(), text(header.value)));
    let now = Instant::now();
    let message = Message {
        status,
        headers: headers.collect(),
        body: Vec::new(),
        first_byte_at: now,
        last_byte_at: now,
    };
    Ok(Some(Head { message, length }))
}

/// How a connection ends when its stream is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseMode {
    /// With FIN, after all written bytes have been sent.
    Graceful,
    /// With RST, which may discard written bytes.
    Reset,
}

/// Sets how the connection ends when the stream is dropped.
pub(crate) fn set_close_mode(stream: &TcpStream, mode: CloseMode) {
    let linger = (mode == CloseMode::Reset).then_some(Duration::ZERO);
    // This fails only for a connection that has already ended.
    let _ = SockRef::from(stream).set_linger(linger);
}
