//! A TCP stream that is shared between the task that runs hyper and the owner of the connection.
//! The owner can close it immediately regardless of that task, check it for unread input, and query
//! the number and times of reads and since when a write has been blocked.

mod disconnect;
mod framing;
mod head_memory;
mod input_times;
mod lingering_close;
mod read;
mod read_history;
mod request_arrival;
mod stream;
mod write;

pub(crate) use request_arrival::RequestArrival;

use crate::memory::MemoryAccount;
use crate::socket::framing::Framing;
use crate::socket::head_memory::HeadMemory;
use crate::socket::input_times::InputTimes;
use crate::socket::read_history::ReadHistory;
use crate::socket::request_arrival::TrackedRequest;
use crate::write_guard::WriteGuard;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Maximum number of bytes per read. hyper doubles its read buffer of 8 KiB when a read fills it.
const MAX_READ_BYTES: usize = (8 << 10) - 1;

/// A future that completes when the client has disconnected.
type Disconnected = Pin<Box<dyn Future<Output = ()>>>;

struct SharedStream {
    /// `None` once the owner has closed the stream.
    stream: RefCell<Option<Rc<TcpStream>>>,
    /// Waits for the client to disconnect. `None` if the client has disconnected, the stream is
    /// closed, or the peer is not a client. Closing the stream drops this future, which would
    /// otherwise keep the descriptor open.
    disconnected: RefCell<Option<Disconnected>>,
    /// The write guard of the attempt that currently uses the connection.
    write_guard: RefCell<WriteGuard>,
    /// The next write must fail if there is unread input.
    forbids_write_on_unread_input: Cell<bool>,
    reads: ReadHistory,
    /// When the client's end was last asked for and would have been seen.
    last_seen_at: Cell<Instant>,
    /// Since when writes have been waiting for the socket to become writable; `None` if the last
    /// write did not have to wait.
    write_blocked_since: Cell<Option<Instant>>,
    /// The parser for the boundaries of incoming messages; `None` for a connection to an endpoint
    /// or to discovery.
    framing: Option<RefCell<Framing>>,
    /// The memory of buffers that a large head has made grow; `None` for a connection to an endpoint
    /// or to discovery.
    head_memory: Option<HeadMemory>,
    /// The stream is to end with a reset.
    ends_with_reset: Cell<bool>,
    /// The request that was last tracked by [`Socket::track_request`].
    tracked_request: Cell<Option<TrackedRequest>>,
}

/// A shared TCP stream; clones refer to the same stream.
#[derive(Clone)]
pub struct Socket(Rc<SharedStream>);

impl fmt::Debug for SharedStream {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Socket")
            .field("stream", &self.stream)
            .field("read_count", &self.reads.count)
            .finish_non_exhaustive()
    }
}

impl fmt::Debug for Socket {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl Socket {
    /// Wraps the stream of a connection to an endpoint or to discovery.
    pub fn new(stream: TcpStream) -> Socket {
        Socket::wrap(stream.into(), InputTimes::now(), None, None, None)
    }

    /// Wraps the stream of a client connection. Its message framing is checked, large heads are
    /// entered in the account, and [`Socket::poll_disconnected`] reports when the client
    /// disconnects.
    pub fn for_client(stream: TcpStream, account: &MemoryAccount) -> Socket {
        let stream = Rc::new(stream);
        let disconnected = stream::wait_read_closed(stream.clone());
        let opened = InputTimes::of_accepted(&stream);
        Socket::wrap(
            stream,
            opened,
            Some(RefCell::default()),
            Some(Box::pin(disconnected)),
            Some(HeadMemory::new(account)),
        )
    }

    fn wrap(
        stream: Rc<TcpStream>,
        opened: InputTimes,
        framing: Option<RefCell<Framing>>,
        disconnected: Option<Disconnected>,
        head_memory: Option<HeadMemory>,
    ) -> Socket {
        Socket(Rc::new(SharedStream {
            stream: RefCell::new(Some(stream)),
            disconnected: RefCell::new(disconnected),
            write_guard: RefCell::default(),
            forbids_write_on_unread_input: Cell::new(false),
            reads: ReadHistory::new(opened),
            last_seen_at: Cell::new(opened.established_at),
            write_blocked_since: Cell::new(None),
            framing,
            head_memory,
            ends_with_reset: Cell::default(),
            tracked_request: Cell::new(None),
        }))
    }

    /// Closes the stream. Its descriptor is free when this returns, whereas a task that is aborted
    /// instead keeps it open until the runtime drops the task.
    pub fn close(&self) {
        self.0.disconnected.borrow_mut().take();
        self.0.stream.borrow_mut().take();
    }

    /// Whether the end of the request with this zero-based number is ambiguous. Always false if
    /// framing is not checked.
    pub fn is_framing_ambiguous(&self, request_number: u64) -> bool {
        self.0
            .framing
            .as_ref()
            .is_some_and(|framing| framing.borrow().is_ambiguous(request_number))
    }

    /// Whether anything has arrived behind the request with this zero-based number, read or not. A
    /// request that has not arrived completely counts as one with nothing behind it.
    pub fn has_input_behind(&self, request_number: u64) -> bool {
        let Some(framing) = &self.0.framing else {
            return false;
        };
        let framing = framing.borrow();
        framing.is_complete(request_number)
            && (!framing.ends_with(request_number) || self.has_unread_bytes())
    }

    /// Whether no part of an incomplete message has been read. Always true if framing is not
    /// checked.
    pub fn is_between_messages(&self) -> bool {
        self.0
            .framing
            .as_ref()
            .is_none_or(|framing| framing.borrow().is_between_messages())
    }
}

#[cfg(test)]
mod tests;
