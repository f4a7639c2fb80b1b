//! How long the beginning of a response is buffered before it is forwarded.

/// How the end of a response body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BodyFraming {
    /// By its declared length.
    Length,
    /// By its last chunk.
    Chunked,
    /// By the end of the connection (RFC 9112, section 6.3). If the endpoint crashes, the
    /// connection is reset, which does not count as the end of the body.
    UntilClose,
}
