//! Header fields in a compact form, for as long as a request waits. hyper's map takes several
//! hundred bytes for a field of a few, and its values keep the whole buffer of the connection
//! occupied into which they were read.

use hyper::header::{HeaderMap, HeaderName, HeaderValue};

/// Where the name and the value of a field end in the text of the list.
#[derive(Clone, Copy, Debug)]
struct FieldEnds {
    name: usize,
    value: usize,
}

/// A list of header fields.
#[derive(Debug, Default)]
pub struct HeaderList {
    /// Names and values in turn, without separators.
    text: Box<[u8]>,
    fields: Box<[FieldEnds]>,
}

impl HeaderList {
    /// Copies the fields of a map.
    pub(crate) fn new(map: &HeaderMap) -> HeaderList {
        let mut text = Vec::with_capacity(text_bytes(map));
        let mut fields = Vec::with_capacity(map.len());
        for (name, value) in map {
            text.extend_from_slice(name.as_str().as_bytes());
            let name = text.len();
            text.extend_from_slice(value.as_bytes());
            let value = text.len();
            fields.push(FieldEnds { name, value });
        }
        HeaderList {
            text: text.into(),
            fields: fields.into(),
        }
    }

    /// The fields as hyper takes them.
    pub(crate) fn to_map(&self) -> HeaderMap {
        let mut map = HeaderMap::with_capacity(self.fields.len());
        let mut start = 0;
        for field in &self.fields {
            let name = HeaderName::from_bytes(&self.text[start..field.name]);
            let value = HeaderValue::from_bytes(&self.text[field.name..field.value]);
            start = field.value;
            // Both were copied from a map, so they are valid.
            if let (Ok(name), Ok(value)) = (name, value) {
                map.append(name, value);
            }
        }
        map
    }

    /// Number of fields.
    pub(crate) fn len(&self) -> usize {
        self.fields.len()
    }

    /// Number of bytes of all names and values.
    pub(crate) fn text_bytes(&self) -> usize {
        self.text.len()
    }

    /// Number of bytes that the list occupies.
    pub(crate) fn occupied_bytes(&self) -> usize {
        self.text.len() + size_of_val(&*self.fields)
    }
}

/// Number of bytes of all names and values of a map.
fn text_bytes(map: &HeaderMap) -> usize {
    let field_bytes =
        |(name, value): (&HeaderName, &HeaderValue)| name.as_str().len() + value.len();
    map.iter().map(field_bytes).sum()
}

#[cfg(test)]
mod tests;
