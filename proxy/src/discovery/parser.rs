//! Incremental parser of a watch's byte stream, a sequence of JSON objects that are endpoint lists.

use super::message::EndpointList;
use thiserror::Error;

#[cfg(test)]
mod tests;

/// Maximum size of an object in a watch. A larger object ends the watch. The limit exceeds the
/// endpoint list of any fleet that one proxy serves.
const MAX_OBJECT_BYTES: usize = 4 << 20;

/// Why the data of a watch could not be parsed.
#[derive(Debug, Error)]
pub enum ParseError {
    /// An object does not end within the maximum size.
    #[error("an endpoint list is longer than {MAX_OBJECT_BYTES} bytes")]
    TooLong,
    /// An object is not an endpoint list.
    #[error("an endpoint list is malformed: {0}")]
    Json(#[from] serde_json::Error),
}

/// Finds the end of each object by the nesting depth of its brackets. So objects may be split
/// between reads at any byte, and need not be separated by newlines or be on one line each.
#[derive(Debug, Default)]
pub(super) struct ListParser {
    /// The part of the current object that has been received.
    partial_object: Vec<u8>,
    depth: u32,
    is_in_string: bool,
    is_escaped: bool,
}

impl ListParser {
    /// Parses the next bytes of the stream, and calls `on_list` for each list that ends in them.
    pub(super) fn feed(
        &mut self,
        bytes: &[u8],
        on_list: &mut impl FnMut(EndpointList),
    ) -> Result<(), ParseError> {
        for &byte in bytes {
            if self.depth == 0 && byte.is_ascii_whitespace() {
                continue;
            }
            if self.partial_object.len() == MAX_OBJECT_BYTES {
                return Err(ParseError::TooLong);
            }
            self.partial_object.push(byte);
            self.update_depth(byte);
            // The depth is also 0 after a first byte that is not an opening bracket; parsing that
            // byte alone fails at once.
            if self.depth == 0 {
                on_list(serde_json::from_slice(&self.partial_object)?);
                self.partial_object.clear();
            }
        }
        self.partial_object.shrink_to(bytes.len());
        Ok(())
    }

    /// Whether no object is partly received.
    pub(super) fn is_between_objects(&self) -> bool {
        self.partial_object.is_empty()
    }

    fn update_depth(&mut self, byte: u8) {
        match byte {
            _ if std::mem::take(&mut self.is_escaped) => {}
            b'\\' => self.is_escaped = self.is_in_string,
            b'"' => self.is_in_string = !self.is_in_string,
            b'{' | b'[' if !self.is_in_string => self.depth += 1,
            b'}' | b']' if !self.is_in_string => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
    }
}
