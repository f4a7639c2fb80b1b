//! Size limits of HTTP messages, the same for clients and for endpoints.

/// Maximum size of a message's head. Every connection may buffer this much, and the buffers of all
/// connections together must fit into the smallest memory limit that can be configured.
pub(crate) const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum size of a message's body.
pub(crate) const MAX_BODY_BYTES: u64 = 40 << 20;
