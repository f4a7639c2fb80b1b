//! Follows the messages that arrive on a client's connection, only far enough to know where each
//! ends, and finds the first whose end is ambiguous. hyper ignores a length beside a chunked
//! coding, and a second equal length: what one reader takes for a body, another may take for the
//! next request (request smuggling).

/// Most bytes of a line that are buffered; no field that matters here is longer.
const MAX_LINE_BYTES: usize = 256;

/// The part of a message that is expected next.
#[derive(Debug, Default)]
enum State {
    /// A line of the head.
    #[default]
    Head,
    /// A body of which so many bytes are missing.
    Body(u64),
    /// The line before a chunk.
    ChunkSize,
    /// A chunk of which so many bytes are missing.
    Chunk(u64),
    /// The line end behind a chunk.
    ChunkEnd,
    /// A line behind the last chunk.
    Trailer,
    /// Unknown: where the next message begins cannot be determined.
    Lost,
}

/// What the head being read has said so far of its message's body.
#[derive(Debug, Default)]
struct HeadFraming {
    /// The request line has been read; empty lines before it do not count.
    has_begun: bool,
    /// The `Content-Length` fields; `None`: unreadable.
    lengths: Vec<Option<u64>>,
    /// The `Transfer-Encoding` fields: whether each is `chunked` alone.
    codings: Vec<bool>,
}

/// What is known of the messages on a connection so far.
#[derive(Debug, Default)]
pub(super) struct Framing {
    state: State,
    /// What has arrived of the present line, up to [`MAX_LINE_BYTES`].
    line: Vec<u8>,
    head: HeadFraming,
    /// Heads that were read completely.
    complete_heads: u64,
    /// The number of the first message, from 0, whose end is ambiguous.
    first_ambiguous: Option<u64>,
}

impl Framing {
    /// Whether the end of the message with this number, from 0, is ambiguous; so is each behind one
    /// that is.
    pub(super) fn is_ambiguous(&self, number: u64) -> bool {
        self.first_ambiguous.is_some_and(|first| number >= first)
    }

    /// Whether no part of an incomplete message has arrived.
    pub(super) fn is_between_messages(&self) -> bool {
        matches!(self.state, State::Head) && !self.head.has_begun && self.line.is_empty()
    }

    /// Takes in what has arrived.
    pub(super) fn read(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let consumed = match self.state {
                State::Lost => return,
                State::Body(remaining) => {
                    let count = clamp_to(bytes, remaining);
                    self.state = match remaining - count as u64 {
                        0 => State::Head,
                        remaining => State::Body(remaining),
                    };
                    count
                }
                State::Chunk(remaining) => {
                    let count = clamp_to(bytes, remaining);
                    self.state = match remaining - count as u64 {
                        0 => State::ChunkEnd,
                        remaining => State::Chunk(remaining),
                    };
                    count
                }
                State::Head | State::ChunkSize | State::ChunkEnd | State::Trailer => {
                    self.read_line(bytes)
                }
            };
            bytes = &bytes[consumed..];
        }
    }

    /// Reads up to the end of a line, or all bytes if they have none; how many.
    fn read_line(&mut self, bytes: &[u8]) -> usize {
        let end = bytes.iter().position(|&byte| byte == b'\n');
        let part = &bytes[..end.unwrap_or(bytes.len())];
        let free = MAX_LINE_BYTES - self.line.len();
        self.line.extend_from_slice(&part[..part.len().min(free)]);
        let Some(end) = end else { return bytes.len() };
        let line = std::mem::take(&mut self.line);
        self.end_line(line.strip_suffix(b"\r").unwrap_or(&line));
        end + 1
    }

    fn end_line(&mut self, line: &[u8]) {
        match self.state {
            State::Head if !line.is_empty() => self.head.read_line(line),
            State::Head if self.head.has_begun => self.end_head(),
            State::ChunkSize => {
                self.state = match parse_chunk_size(line) {
                    Some(0) => State::Trailer,
                    Some(size) => State::Chunk(size),
                    None => State::Lost,
                }
            }
            State::ChunkEnd => self.state = State::ChunkSize,
            State::Trailer if line.is_empty() => self.state = State::Head,
            _ => {}
        }
    }

    fn end_head(&mut self) {
        let head = std::mem::take(&mut self.head);
        self.state = match (&head.lengths[..], &head.codings[..]) {
            ([] | [Some(0)], []) => State::Head,
            ([Some(length)], []) => State::Body(*length),
            ([], [true]) => State::ChunkSize,
            _ => {
                self.first_ambiguous = Some(self.complete_heads);
                State::Lost
            }
        };
        self.complete_heads += 1;
    }
}

impl HeadFraming {
    fn read_line(&mut self, line: &[u8]) {
        if !self.has_begun {
            self.has_begun = true;
            return;
        }
        let colon = line
            .iter()
            .position(|&byte| byte == b':')
            .unwrap_or(line.len());
        let (name, value) = line.split_at(colon);
        let value = value.strip_prefix(b":").unwrap_or(value).trim_ascii();
        if name.eq_ignore_ascii_case(b"content-length") {
            self.lengths.push(
                std::str::from_utf8(value)
                    .ok()
                    .and_then(|digits| digits.parse().ok()),
            );
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.codings.push(value.eq_ignore_ascii_case(b"chunked"));
        }
    }
}

/// The size of a chunk, without its extensions; `None`: unreadable.
fn parse_chunk_size(line: &[u8]) -> Option<u64> {
    let digits = line
        .split(|byte| matches!(byte, b';' | b' ' | b'\t'))
        .next()?;
    u64::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()
}

/// How many of these bytes belong to a part of which so many are missing.
fn clamp_to(bytes: &[u8], remaining: u64) -> usize {
    usize::try_from(remaining)
        .unwrap_or(usize::MAX)
        .min(bytes.len())
}

#[cfg(test)]
mod tests;
