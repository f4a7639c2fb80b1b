//! What each state of a connection or request costs at most, in bytes of resident memory.

use hyper::body::Bytes;

/// What a process without clients needs: 4 MiB for code, libraries, the runtime and the tables of
/// the balancer, and 1.5 MiB for the ids of recent requests, with their files.
pub(super) const FIXED_BYTES: usize = (5 << 20) + (1 << 19);
/// An open connection of a client without a request: its task, its state, and a read buffer and a
/// write buffer of 8 KiB each, both in use.
pub(crate) const CLIENT_CONNECTION_BYTES: usize = 20 << 10;
/// What a client's connection needs more once a head on it was larger than
/// [`MAX_UNGROWN_HEAD_BYTES`], until it is closed: its buffers have grown.
pub(crate) const LARGE_HEAD_BYTES: usize = 24 << 10;
/// Size up to which a head fits into the first buffer of a connection.
pub(crate) const MAX_UNGROWN_HEAD_BYTES: usize = 7 << 10;
/// An open connection to an endpoint: as [`CLIENT_CONNECTION_BYTES`].
pub(crate) const ENDPOINT_CONNECTION_BYTES: usize = 16 << 10;
/// A request that is being read, queued or answered, without its head and body: its records here
/// and in the balancer, and its attempts.
pub(crate) const REQUEST_BYTES: usize = 4 << 10;
/// A body that is passed on as it arrives, from a client or from an endpoint: what was read and not
/// yet written, and the buffers that it occupies.
pub(crate) const TRANSFER_BYTES: usize = 48 << 10;
/// An endpoint of the list: its entry, its state in the balancer and its place in the pool.
pub(crate) const ENDPOINT_ENTRY_BYTES: usize = 2 << 10;

/// A header field in the form in which hyper writes and parses messages, without name and value.
const HEADER_FIELD_BYTES: usize = 208;
/// What a field's name and value need besides their bytes in that form.
const HEADER_FIELD_ALLOCATION_BYTES: usize = 96;
/// Size up to which a frame of a body is copied. A smaller one keeps the buffer occupied into which
/// it was read, which is much larger.
const MAX_COPIED_FRAME_BYTES: usize = 4 << 10;

/// What the head of one attempt needs while it waits for its response: its fields in the form in
/// which hyper writes them, and the written head.
pub(crate) fn attempt_head_bytes(fields: usize, text_bytes: usize) -> usize {
    fields * (HEADER_FIELD_BYTES + HEADER_FIELD_ALLOCATION_BYTES) + 2 * text_bytes
}

/// Copies a small frame of a body, so that it occupies only its own length.
pub(crate) fn compact_small_frame(data: Bytes) -> Bytes {
    if data.len() <= MAX_COPIED_FRAME_BYTES {
        Bytes::copy_from_slice(&data)
    } else {
        data
    }
}
