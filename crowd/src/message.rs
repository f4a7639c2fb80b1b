//! Just enough HTTP/1.1 to write requests and to read messages with a `Content-Length`.

use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::io::{AsyncRead, AsyncReadExt};

/// Header by which a client tells a stand-in endpoint how long its response is to be, in bytes.
pub const RESPONSE_BYTES: &str = "x-response-bytes";
/// Header by which a client tells a stand-in endpoint at which rate to write its response, in
/// bytes per second.
pub const RESPONSE_RATE: &str = "x-response-rate";
/// Header by which a client tells a stand-in endpoint at which rate to read the request's body, in
/// bytes per second.
pub const READ_RATE: &str = "x-read-rate";
/// Header by which a client tells a stand-in endpoint how long to wait before its response, in
/// milliseconds.
pub const RESPONSE_DELAY: &str = "x-response-delay";

/// Maximum size of a head that is read.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Returns a request id that no other request of this process has.
pub fn next_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let process = std::process::id();
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("{process:08x}{number:08x}")
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The value of `X-Call-Id`.
    pub id: String,
    /// Name of the class: `free` (idempotent), `keyed` or `unsafe` (not idempotent).
    pub class: &'static str,
    /// The client's timeout.
    pub budget_ms: u64,
    /// Length of the body; `None` for a request without one.
    pub body_bytes: Option<usize>,
    /// Further header lines, each with its line end.
    pub further_lines: String,
}

impl RequestHead {
    /// A request of this class with a new id and without a body.
    pub fn new(class: &'static str, budget_ms: u64) -> RequestHead {
        RequestHead {
            id: next_id(),
            class,
            budget_ms,
            body_bytes: None,
            further_lines: String::new(),
        }
    }

    /// Adds a header line.
    #[must_use]
    pub fn with(mut self, name: &str, value: impl std::fmt::Display) -> RequestHead {
        self.further_lines.push_str(&format!("{name}: {value}\r\n"));
        self
    }

    /// Adds this many short header lines.
    #[must_use]
    pub fn with_short_fields(mut self, count: usize) -> RequestHead {
        for number in 0..count {
            self.further_lines
                .push_str(&format!("x-f{number}: {number}\r\n"));
        }
        self
    }

    /// Sets the length of the body.
    #[must_use]
    pub fn with_body(mut self, bytes: usize) -> RequestHead {
        self.body_bytes = Some(bytes);
        self
    }

    /// The head as it is written.
    pub fn text(&self) -> String {
        let method = if self.class == "free" { "GET" } else { "POST" };
        let key = match self.class {
            "keyed" => format!("Idempotency-Key: k{}\r\n", self.id),
            _ => String::new(),
        };
        let length = self.body_bytes.map_or(String::new(), |bytes| {
            format!("Content-Length: {bytes}\r\n")
        });
        format!(
            "{method} /api HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: {}\r\nX-Call-Class: {}\r\n\
             X-Budget-Ms: {}\r\n{key}{length}{}\r\n",
            self.id, self.class, self.budget_ms, self.further_lines
        )
    }
}

/// The head of a received message, with the names of its headers in lower case.
#[derive(Clone, Debug)]
pub struct Head {
    /// The request line or status line.
    pub start_line: String,
    headers: Vec<(String, String)>,
}

impl Head {
    /// The value of the first header of this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The value of a header that is a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.header(name)?.parse().ok()
    }

    /// The status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let code = self.start_line.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head. The bytes that were read beyond it stay in `buffer`. `None`: the stream ended
/// before the first byte.
///
/// # Errors
/// The stream failed, ended in the head, or the head is too long.
pub async fn read_head(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut Vec<u8>,
) -> io::Result<Option<Head>> {
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 4);
            return Ok(Some(parse_head(&text)));
        }
        if buffer.len() > MAX_HEAD_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        match (stream.read_buf(buffer).await?, buffer.is_empty()) {
            (0, true) => return Ok(None),
            (0, false) => return Err(io::ErrorKind::UnexpectedEof.into()),
            _ => {}
        }
    }
}

fn parse_head(text: &str) -> Head {
    let mut lines = text.split("\r\n");
    let start_line = lines.next().unwrap_or_default().to_owned();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
    Head {
        start_line,
        headers: headers.collect(),
    }
}
