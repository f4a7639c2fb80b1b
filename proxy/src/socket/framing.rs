//! Follows the messages that come on a client's connection, only far enough to know where each ends, and finds the
//! first whose head does not say so in one way. hyper drops a length beside a chunked coding, and a second equal
//! length: what one reader takes for a body, another may take for the next request.

/// Longest part of a line that is kept; nothing that matters here is longer.
const LINE_MOST: usize = 256;

#[derive(Debug, Default)]
enum State {
    /// In a head; nothing of it has come but empty lines, if `begun` is not set.
    #[default]
    Head,
    /// In a body, with so many bytes to come.
    Body(u64),
    /// Before, in and behind a chunk, and in what follows the last.
    ChunkSize,
    Chunk(u64),
    ChunkEnd,
    Trailer,
    /// Where the next message begins can't be told.
    Lost,
}

/// What is known of a connection's messages so far.
#[derive(Debug, Default)]
pub struct Framing {
    state: State,
    line: Vec<u8>,
    /// Of the present head: whether it has begun, its lengths and its codings.
    begun: bool,
    lengths: Vec<Option<u64>>,
    codings: Vec<bool>,
    /// Heads that were read whole.
    heads: u64,
    /// The number of the first head, from 0, that can't be relied on.
    doubtful: Option<u64>,
}

impl Framing {
    /// Whether the request of this number, from 0, can't be relied on to end where it seems to.
    pub fn is_framing_ambiguous(&self, number: u64) -> bool {
        self.doubtful.is_some_and(|doubtful| number >= doubtful)
    }

    /// Whether nothing has come of a message whose end has not.
    pub fn is_between_messages(&self) -> bool {
        matches!(self.state, State::Head) && !self.begun && self.line.is_empty()
    }

    /// Takes in what has come.
    pub fn read(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match &mut self.state {
                State::Lost => return,
                State::Body(left) | State::Chunk(left) => {
                    let taken = usize::try_from(*left).unwrap_or(usize::MAX).min(bytes.len());
                    *left -= taken as u64;
                    bytes = &bytes[taken..];
                    if *left == 0 {
                        let chunked = matches!(self.state, State::Chunk(_));
                        self.state = if chunked { State::ChunkEnd } else { State::Head };
                    }
                }
                _ => {
                    let end = bytes.iter().position(|&byte| byte == b'\n');
                    let part = &bytes[..end.unwrap_or(bytes.len())];
                    let room = LINE_MOST - self.line.len();
                    self.line.extend_from_slice(&part[..part.len().min(room)]);
                    bytes = &bytes[end.map_or(bytes.len(), |end| end + 1)..];
                    if end.is_some() {
                        let line = std::mem::take(&mut self.line);
                        self.line_ended(line.strip_suffix(b"\r").unwrap_or(&line));
                    }
                }
            }
        }
    }

    fn line_ended(&mut self, line: &[u8]) {
        match self.state {
            State::Head if !line.is_empty() => self.head_line(line),
            State::Head if self.begun => self.head_ended(),
            State::ChunkSize => {
                let digits = line.split(|byte| matches!(byte, b';' | b' ' | b'\t')).next();
                let size = digits.and_then(|digits| std::str::from_utf8(digits).ok());
                self.state = match size.and_then(|digits| u64::from_str_radix(digits, 16).ok()) {
                    Some(0) => State::Trailer,
                    Some(size) => State::Chunk(size),
                    None => State::Lost,
                };
            }
            State::ChunkEnd => self.state = State::ChunkSize,
            State::Trailer if line.is_empty() => self.state = State::Head,
            _ => {}
        }
    }

    fn head_line(&mut self, line: &[u8]) {
        if !std::mem::replace(&mut self.begun, true) {
            return;
        }
        let (name, value) = line.split_at(line.iter().position(|&byte| byte == b':').unwrap_or(line.len()));
        let value = value.strip_prefix(b":").unwrap_or(value).trim_ascii();
        if name.eq_ignore_ascii_case(b"content-length") {
            self.lengths.push(std::str::from_utf8(value).ok().and_then(|digits| digits.parse().ok()));
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.codings.push(value.eq_ignore_ascii_case(b"chunked"));
        }
    }

    fn head_ended(&mut self) {
        self.state = match (&self.lengths[..], &self.codings[..]) {
            ([] | [Some(0)], []) => State::Head,
            ([Some(length)], []) => State::Body(*length),
            ([], [true]) => State::ChunkSize,
            _ => {
                self.doubtful = Some(self.heads);
                State::Lost
            }
        };
        self.heads += 1;
        self.begun = false;
        self.lengths.clear();
        self.codings.clear();
    }
}

#[cfg(test)]
mod tests;
