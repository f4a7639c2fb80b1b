//! A TCP stream that hyper's task and the connection's owner share. The owner can close it at once,
//! whatever that task does, can see whether something has arrived that was not read, and knows what
//! was read and written.

mod disconnect;
mod framing;
mod lingering_close;
mod read;
mod stream;
mod write;

use crate::socket::framing::Framing;
use crate::write_guard::WriteGuard;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Most bytes that are read at once.
const MAX_READ_BYTES: usize = 16 << 10;

/// Completes when a peer has disconnected.
type Disconnected = Pin<Box<dyn Future<Output = ()>>>;

struct SharedStream {
    /// `None`: closed by its owner.
    stream: RefCell<Option<Rc<TcpStream>>>,
    /// Waits for the client to disconnect; `None`: it has, or nobody waits. It is dropped with the
    /// stream, whose descriptor it would keep open.
    disconnected: RefCell<Option<Disconnected>>,
    /// The guard of the attempt that uses the connection now.
    write_guard: RefCell<WriteGuard>,
    /// The next byte must not be written while there is unread input.
    forbids_write_on_unread_input: Cell<bool>,
    reads: ReadHistory,
    /// Since when the peer has taken nothing of what there is to write.
    write_blocked_since: Cell<Option<Instant>>,
    /// The incoming messages; `None` where their boundaries do not matter.
    framing: Option<RefCell<Framing>>,
}

/// What was read from a stream, and when.
struct ReadHistory {
    count: Cell<u64>,
    last_at: Cell<Instant>,
    /// The earliest time at which what was read last can have arrived.
    earliest_arrival: Cell<Instant>,
    /// A read waits for input.
    is_waiting: Cell<bool>,
}

impl ReadHistory {
    fn new() -> ReadHistory {
        ReadHistory {
            count: Cell::new(0),
            last_at: Cell::new(Instant::now()),
            earliest_arrival: Cell::new(Instant::now()),
            is_waiting: Cell::new(false),
        }
    }
}

/// A shared stream; clones are the same stream.
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
        Socket::wrap(stream.into(), None, None)
    }

    /// Wraps the stream of a client, whose messages are followed and whose disconnect is waited
    /// for.
    pub fn for_client(stream: TcpStream) -> Socket {
        let stream = Rc::new(stream);
        let disconnected = stream::read_closed(stream.clone());
        Socket::wrap(
            stream,
            Some(RefCell::default()),
            Some(Box::pin(disconnected)),
        )
    }

    fn wrap(
        stream: Rc<TcpStream>,
        framing: Option<RefCell<Framing>>,
        disconnected: Option<Disconnected>,
    ) -> Socket {
        Socket(Rc::new(SharedStream {
            stream: RefCell::new(Some(stream)),
            disconnected: RefCell::new(disconnected),
            write_guard: RefCell::default(),
            forbids_write_on_unread_input: Cell::new(false),
            reads: ReadHistory::new(),
            write_blocked_since: Cell::new(None),
            framing,
        }))
    }

    /// Closes the stream. Its descriptor is free when this returns; an aborted task would hold it
    /// for a while yet.
    pub fn close(&self) {
        self.0.disconnected.borrow_mut().take();
        self.0.stream.borrow_mut().take();
    }

    /// Whether the end of the request with this number, from 0, is ambiguous.
    pub fn is_framing_ambiguous(&self, request_number: u64) -> bool {
        self.0
            .framing
            .as_ref()
            .is_some_and(|framing| framing.borrow().is_ambiguous(request_number))
    }

    /// Whether no part of an incomplete message has arrived.
    pub fn is_between_messages(&self) -> bool {
        self.0
            .framing
            .as_ref()
            .is_none_or(|framing| framing.borrow().is_between_messages())
    }
}

#[cfg(test)]
mod tests;
