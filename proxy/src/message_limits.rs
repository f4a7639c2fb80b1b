//! Limits on the size of a message that hold towards clients and towards endpoints alike.

/// Maximum size of a message's head. Every connection may buffer that much: with all connections at
/// this limit, the buffers must fit into the smallest memory that can be configured.
pub(crate) const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum size of a message's body.
pub(crate) const MAX_BODY_BYTES: u64 = 40 << 20;
