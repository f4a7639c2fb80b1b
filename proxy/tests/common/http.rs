//! HTTP/1.1 messages, read and written without an HTTP library.

use std::sync::atomic::{AtomicU64, Ordering};
use tokio::io::AsyncReadExt;

/// A received message; the names of its headers are in lower case.
#[derive(Clone, Debug)]
pub(crate) struct Message {
    pub(crate) start_line: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl Message {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, value)| value.as_str())
    }

    pub(crate) fn status(&self) -> u16 {
        self.start_line
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .expect("no status in the start line")
    }
}

/// Reads messages from a stream.
pub(crate) struct MessageReader<R> {
    pub(crate) stream: R,
    buffer: Vec<u8>,
}

impl<R: AsyncReadExt + Unpin> MessageReader<R> {
    pub(crate) fn new(stream: R) -> Self {
        MessageReader {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads more bytes into the buffer. Returns `false` if the stream has ended or failed.
    pub(crate) async fn read_more(&mut self) -> bool {
        self.stream
            .read_buf(&mut self.buffer)
            .await
            .is_ok_and(|count| count > 0)
    }

    /// Reads the next message. Its body has the length in `Content-Length`, or is empty without
    /// this header. `None` if the stream ends before the message is complete.
    pub(crate) async fn receive(&mut self) -> Option<Message> {
        let end = loop {
            match self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                Some(end) => break end,
                None if !self.read_more().await => return None,
                None => {}
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        let mut lines = head.split("\r\n");
        let start_line = lines.next()?.to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers: Vec<_> = headers
            .map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()))
            .collect();
        let mut message = Message {
            start_line,
            headers,
            body: Vec::new(),
        };
        let length: usize = message
            .header("content-length")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        while self.buffer.len() < end + 4 + length {
            if !self.read_more().await {
                return None;
            }
        }
        message.body = self.buffer[end + 4..end + 4 + length].to_vec();
        self.buffer.drain(..end + 4 + length);
        Some(message)
    }

    /// Reads the next response, whose body may also be chunked. `None` if the stream ends before
    /// the response is complete.
    pub(crate) async fn receive_response(&mut self) -> Option<Message> {
        let mut response = self.receive().await?;
        if response.header("transfer-encoding") != Some("chunked") {
            return Some(response);
        }
        loop {
            let size = self.read_line().await?;
            let size = usize::from_str_radix(&size, 16).ok()?;
            let (chunk, end) = (self.read_exactly(size).await?, self.read_exactly(2).await?);
            assert_eq!(end, b"\r\n");
            if size == 0 {
                return Some(response);
            }
            response.body.extend(chunk);
        }
    }

    async fn read_line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Some(line);
            }
            if !self.read_more().await {
                return None;
            }
        }
    }

    async fn read_exactly(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.read_more().await {
                return None;
            }
        }
        Some(self.buffer.drain(..count).collect())
    }
}

/// A health check of the proxy.
pub(crate) const HEALTH_REQUEST: &str = "GET /_health HTTP/1.1\r\n\r\n";

/// A request of a class with a unique id, additional header lines and a body. The class `free` uses
/// GET, all others POST; `keyed` gets a unique idempotency key unless the headers have one.
pub(crate) fn request(class: &str, headers: &str, body: &str) -> String {
    static NEXT_ID: AtomicU64 = AtomicU64::new(0);
    let (id, length) = (NEXT_ID.fetch_add(1, Ordering::Relaxed), body.len());
    let (method, key) = match class {
        "free" => ("GET", String::new()),
        "keyed" if !headers.contains("Idempotency-Key") => {
            ("POST", format!("Idempotency-Key: k{id}\r\n"))
        }
        _ => ("POST", String::new()),
    };
    let length = if body.is_empty() {
        String::new()
    } else {
        format!("Content-Length: {length}\r\n")
    };
    format!(
        "{method} /api HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: {id:016x}\r\nX-Call-Class: {class}\r\n\
         X-Budget-Ms: 8000\r\n{key}{headers}{length}\r\n{body}"
    )
}

/// A response with status 200 and this body.
pub(crate) fn ok_response(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A rejection: its header `X-Rejected` means that the endpoint has not run the request.
pub(crate) const REJECTION: &str =
    "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n";

/// A chunk of a chunked body. The chunk consists of this line and a line feed.
pub(crate) fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}
