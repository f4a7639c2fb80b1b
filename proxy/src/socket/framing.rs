//! Parses the messages that arrive on a client connection just far enough to know where each ends,
//! and finds the first one whose end is ambiguous. hyper accepts a `Content-Length` beside a
//! chunked transfer coding, and a repeated `Content-Length` with the same value. Such messages
//! allow request smuggling: what one HTTP implementation takes for a body, another may take for the
//! next request.

/// Maximum number of bytes of a line that are buffered; the rest of a longer line is skipped. A
/// length, a transfer coding or a chunk size that does not fit counts as ambiguous.
const MAX_LINE_BYTES: usize = 256;

/// The part of a message that is parsed next.
#[derive(Debug, Default)]
enum State {
    /// A line of the head.
    #[default]
    Head,
    /// A body with this number of bytes still to arrive.
    Body(u64),
    /// The line with the size of a chunk.
    ChunkSize,
    /// A chunk with this number of bytes still to arrive.
    Chunk(u64),
    /// The line end after a chunk.
    ChunkEnd,
    /// A line after the last chunk.
    Trailer,
    /// The start of the next message cannot be determined, so further input is ignored.
    Unknown,
}

/// The `Content-Length` and `Transfer-Encoding` fields parsed so far in the current head.
#[derive(Debug, Default)]
struct HeadFraming {
    /// The request line has been parsed; empty lines before it are ignored.
    has_begun: bool,
    /// The values of the `Content-Length` fields; `None` for an invalid value.
    content_lengths: Vec<Option<u64>>,
    /// For each `Transfer-Encoding` field, whether its value is exactly `chunked`.
    transfer_codings: Vec<bool>,
}

/// Parser for the boundaries of the messages on one connection.
#[derive(Debug, Default)]
pub(super) struct Framing {
    state: State,
    /// The part of the current line that has arrived, up to [`MAX_LINE_BYTES`].
    line: Vec<u8>,
    /// Bytes of the current line beyond [`MAX_LINE_BYTES`] were skipped.
    is_line_cut: bool,
    head: HeadFraming,
    /// Number of bytes of the current head, or of the last one.
    head_bytes: usize,
    /// Number of heads that were parsed completely.
    complete_heads: u64,
    /// Number of messages that were parsed completely.
    complete_messages: u64,
    /// The zero-based number of the first message whose end is ambiguous.
    first_ambiguous: Option<u64>,
}

impl Framing {
    /// Whether the end of the message with this zero-based number is ambiguous. All messages after
    /// an ambiguous one are ambiguous too.
    pub(super) fn is_ambiguous(&self, number: u64) -> bool {
        self.first_ambiguous.is_some_and(|first| number >= first)
    }

    /// Whether the last byte of the message with this zero-based number has arrived.
    pub(super) fn is_complete(&self, number: u64) -> bool {
        number < self.complete_messages
    }

    /// Whether the last byte of the message with this zero-based number is the last that has arrived.
    pub(super) fn ends_with(&self, number: u64) -> bool {
        self.complete_messages == number + 1 && self.is_between_messages()
    }

    /// Number of bytes that still have to arrive of a body whose length is known; `None` while no
    /// such body arrives.
    pub(super) fn remaining_body_bytes(&self) -> Option<u64> {
        match self.state {
            State::Body(remaining) => Some(remaining),
            _ => None,
        }
    }

    /// Whether no part of an incomplete message has arrived.
    pub(super) fn is_between_messages(&self) -> bool {
        matches!(self.state, State::Head) && !self.head.has_begun && self.line.is_empty()
    }

    /// Number of bytes that have arrived of the current head, or that the last one had.
    pub(super) fn head_bytes(&self) -> usize {
        self.head_bytes
    }

    /// Parses input that has arrived, which may begin and end anywhere in a message.
    pub(super) fn parse(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let consumed = match self.state {
                State::Unknown => return,
                State::Body(remaining) => {
                    let count = prefix_len(bytes, remaining);
                    match remaining - count as u64 {
                        0 => self.end_message(),
                        remaining => self.state = State::Body(remaining),
                    }
                    count
                }
                State::Chunk(remaining) => {
                    let count = prefix_len(bytes, remaining);
                    self.state = match remaining - count as u64 {
                        0 => State::ChunkEnd,
                        remaining => State::Chunk(remaining),
                    };
                    count
                }
                State::Head => self.parse_head_line(bytes),
                State::ChunkSize | State::ChunkEnd | State::Trailer => self.parse_line(bytes),
            };
            bytes = &bytes[consumed..];
        }
    }

    fn parse_head_line(&mut self, bytes: &[u8]) -> usize {
        if self.is_between_messages() {
            self.head_bytes = 0;
        }
        let consumed = self.parse_line(bytes);
        self.head_bytes += consumed;
        consumed
    }

    /// Parses up to and including the next line end, or all bytes if there is none. Returns the
    /// number of bytes consumed.
    fn parse_line(&mut self, bytes: &[u8]) -> usize {
        let end = bytes.iter().position(|&byte| byte == b'\n');
        let part = &bytes[..end.unwrap_or(bytes.len())];
        let free = MAX_LINE_BYTES - self.line.len();
        self.line.extend_from_slice(&part[..part.len().min(free)]);
        self.is_line_cut |= part.len() > free;
        let Some(end) = end else { return bytes.len() };
        let bytes = std::mem::take(&mut self.line);
        let line = Line {
            text: bytes.strip_suffix(b"\r").unwrap_or(&bytes),
            is_cut: std::mem::take(&mut self.is_line_cut),
        };
        self.end_line(line);
        end + 1
    }

    fn end_line(&mut self, line: Line<'_>) {
        match self.state {
            State::Head if !line.text.is_empty() => self.head.parse_line(line),
            State::Head if self.head.has_begun => self.end_head(),
            State::ChunkSize => {
                self.state = match line.chunk_size() {
                    Some(0) => State::Trailer,
                    Some(size) => State::Chunk(size),
                    None => return self.set_ambiguous_from_next(),
                }
            }
            State::ChunkEnd => self.state = State::ChunkSize,
            State::Trailer if line.text.is_empty() => self.end_message(),
            _ => {}
        }
    }

    /// Where the message after the current one begins is unknown.
    fn set_ambiguous_from_next(&mut self) {
        self.first_ambiguous = Some(self.complete_heads);
        self.state = State::Unknown;
    }

    fn end_message(&mut self) {
        self.state = State::Head;
        self.complete_messages += 1;
    }

    fn end_head(&mut self) {
        let head = std::mem::take(&mut self.head);
        match (&head.content_lengths[..], &head.transfer_codings[..]) {
            ([] | [Some(0)], []) => self.end_message(),
            ([Some(length)], []) => self.state = State::Body(*length),
            ([], [true]) => self.state = State::ChunkSize,
            _ => self.set_ambiguous_from_next(),
        }
        self.complete_heads += 1;
    }
}

/// A line without its end, or its first [`MAX_LINE_BYTES`].
#[derive(Clone, Copy, Debug)]
struct Line<'a> {
    text: &'a [u8],
    is_cut: bool,
}

impl Line<'_> {
    /// The size in a chunk's first line, without chunk extensions. `None` if it is invalid or does
    /// not fit into the part of the line that is known.
    fn chunk_size(self) -> Option<u64> {
        let is_end = |byte: &u8| matches!(byte, b';' | b' ' | b'\t');
        let end = self.text.iter().position(is_end);
        if end.is_none() && self.is_cut {
            return None;
        }
        parse_number(&self.text[..end.unwrap_or(self.text.len())], 16)
    }
}

impl HeadFraming {
    fn parse_line(&mut self, line: Line<'_>) {
        if !self.has_begun {
            self.has_begun = true;
            return;
        }
        let text = line.text;
        let colon = text
            .iter()
            .position(|&byte| byte == b':')
            .unwrap_or(text.len());
        let (name, value) = text.split_at(colon);
        let value = value.strip_prefix(b":").unwrap_or(value).trim_ascii();
        // The rest of a line that was cut may change the value.
        let value = Some(value).filter(|_| !line.is_cut);
        if name.eq_ignore_ascii_case(b"content-length") {
            let length = value.and_then(|digits| parse_number(digits, 10));
            self.content_lengths.push(length);
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            let is_chunked = value.is_some_and(|value| value.eq_ignore_ascii_case(b"chunked"));
            self.transfer_codings.push(is_chunked);
        }
    }
}

/// Parses a number that consists of digits only.
fn parse_number(digits: &[u8], radix: u32) -> Option<u64> {
    let is_digit = |&byte: &u8| char::from(byte).is_digit(radix);
    if !digits.iter().all(is_digit) {
        return None;
    }
    u64::from_str_radix(std::str::from_utf8(digits).ok()?, radix).ok()
}

/// The number of leading bytes that belong to a part with `remaining` bytes still to arrive.
fn prefix_len(bytes: &[u8], remaining: u64) -> usize {
    usize::try_from(remaining)
        .unwrap_or(usize::MAX)
        .min(bytes.len())
}

#[cfg(test)]
mod tests;
