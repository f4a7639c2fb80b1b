//! Splits the byte stream of a watch into its JSON objects and parses each.

use super::message::EndpointList;
use thiserror::Error;

#[cfg(test)]
mod tests;

/// Maximum size of an object in a watch; a larger one is no list of any fleet that one proxy serves.
const MAX_OBJECT_BYTES: usize = 4 << 20;

/// Why the bytes of a watch are no endpoint list.
#[derive(Debug, Error)]
pub enum ParseError {
    /// An object does not end within the maximum size.
    #[error("an endpoint list is longer than {MAX_OBJECT_BYTES} bytes")]
    TooLong,
    /// An object is no endpoint list.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// Splits a stream into objects. They may be split into packets anywhere, and be written in one line or, indented, in many.
#[derive(Debug, Default)]
pub(super) struct ListParser {
    /// The object that has begun, as far as it has been received.
    object: Vec<u8>,
    depth: u32,
    is_in_string: bool,
    is_escaped: bool,
}

impl ListParser {
    /// Takes the next bytes, and passes on each list that ends in them.
    pub(super) fn read(
        &mut self,
        bytes: &[u8],
        on_list: &mut impl FnMut(EndpointList),
    ) -> Result<(), ParseError> {
        for &byte in bytes {
            if self.depth == 0 && byte.is_ascii_whitespace() {
                continue;
            }
            if self.object.len() == MAX_OBJECT_BYTES {
                return Err(ParseError::TooLong);
            }
            self.object.push(byte);
            self.update_depth(byte);
            // What begins with anything but a brace is no list, and ends here as well.
            if self.depth == 0 {
                on_list(serde_json::from_slice(&self.object)?);
                self.object.clear();
            }
        }
        self.object.shrink_to(bytes.len());
        Ok(())
    }

    /// Whether no object has begun.
    pub(super) fn is_between_objects(&self) -> bool {
        self.object.is_empty()
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
