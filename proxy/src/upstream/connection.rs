//! A connection to an endpoint: opens it, sends requests on it and decides whether it can be
//! reused.

use crate::body::AttemptBody;
use crate::connect::connect;
use crate::memory::MemoryReservation;
use crate::message_limits::MAX_HEAD_BYTES;
use crate::socket::Socket;
use crate::task::{spawn, ScopedTask};
use crate::transient_errors::{retry_transient, ErrorClass};
use crate::write_guard::WriteGuard;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::task::yield_now;
use tokio::time::{error::Elapsed, timeout};

/// How long the proxy waits for the end of a response that it does not forward, and for the
/// connection to become ready after a response. After that the connection is closed instead of
/// reused.
pub(super) const RESPONSE_END_TIMEOUT: Duration = Duration::from_millis(20);

/// Why a connection could not be opened.
#[derive(Debug, Error)]
pub(crate) enum ConnectError {
    /// The connection was not established in time.
    #[error("connecting timed out")]
    TimedOut(#[from] Elapsed),
    /// A system call failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The HTTP/1.1 handshake failed.
    #[error(transparent)]
    Http(#[from] hyper::Error),
}

impl ConnectError {
    /// Whether this machine ran out of resources. Such a failure must not count against the
    /// endpoint.
    pub(crate) fn is_resource_exhaustion(&self) -> bool {
        let ConnectError::Io(error) = self else {
            return false;
        };
        ErrorClass::of(error) == ErrorClass::ResourcesExhausted
    }
}

/// A place for one connection to an endpoint, and its memory.
#[derive(Debug)]
pub(crate) struct ConnectionPermit {
    _memory: MemoryReservation,
    _place: Rc<()>,
}

impl ConnectionPermit {
    /// Combines the memory of a connection with its place among the open connections.
    pub(crate) fn new(memory: MemoryReservation, place: Rc<()>) -> ConnectionPermit {
        ConnectionPermit {
            _memory: memory,
            _place: place,
        }
    }
}

/// A connection to an endpoint. Dropping it closes it, even with a request in flight.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<AttemptBody>,
    socket: Socket,
    /// The socket's read count when the last response was complete; 0 before the first response.
    read_count_after_response: u64,
    /// The socket's number of bytes read when the last response was complete.
    read_bytes_after_response: u64,
    _task: ScopedTask,
    _permit: ConnectionPermit,
}

impl Drop for Connection {
    fn drop(&mut self) {
        // The task ends later and would keep the descriptor open, although the permit, which stands
        // for that descriptor, is released now.
        self.socket.close();
    }
}

impl Connection {
    /// Opens a connection within `connect_timeout`. It holds `permit`, from the connection pool,
    /// for as long as it is open.
    pub(crate) async fn open(
        address: SocketAddr,
        connect_timeout: Duration,
        permit: ConnectionPermit,
    ) -> Result<Connection, ConnectError> {
        let stream = timeout(
            connect_timeout,
            retry_transient(connect_timeout, async || connect(address).await),
        )
        .await??;
        let socket = Socket::new(stream);
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(socket.clone());
        let (sender, connection) = handshake.await?;
        Ok(Connection {
            sender,
            socket,
            read_count_after_response: 0,
            read_bytes_after_response: 0,
            _task: spawn(connection),
            _permit: permit,
        })
    }

    /// Returns the connection if it can be reused after a response that was read completely, or if
    /// it has received more than that response, which tells something about its endpoint.
    /// Callers await this before they report the outcome; otherwise the next request, which may be
    /// sent at once, would find no idle connection.
    pub(crate) async fn into_idle(mut self) -> Option<Connection> {
        if !matches!(
            timeout(RESPONSE_END_TIMEOUT, self.sender.ready()).await,
            Ok(Ok(()))
        ) {
            return None;
        }
        self.read_count_after_response = self.socket.read_count();
        self.read_bytes_after_response = self.socket.read_byte_count();
        // The connection's task detects data beyond the response only when it is polled once more.
        yield_now().await;
        (self.is_ready() || self.has_unsolicited_response()).then_some(self)
    }

    /// Whether bytes have arrived since the last response was complete, read or not.
    pub(crate) fn has_unsolicited_response(&self) -> bool {
        self.socket.read_byte_count() > self.read_bytes_after_response
            || self.socket.has_unread_bytes()
    }

    /// Whether a request can be written to the connection now. It cannot be reused if anything was
    /// received since the last response, be it the end of the connection or more data, which would
    /// be taken for the response to the next request.
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
            && self.socket.read_count() == self.read_count_after_response
            && self.socket.has_no_unread_input()
    }

    /// Whether the connection has carried a request before.
    pub(super) fn is_reused(&self) -> bool {
        self.read_count_after_response > 0
    }

    /// Whether at most the end of the connection, which counts as one read, was received since the
    /// last response.
    pub(super) fn has_received_no_response(&self) -> bool {
        self.socket.read_count() <= self.read_count_after_response + 1
    }

    pub(super) fn socket(&self) -> &Socket {
        &self.socket
    }

    /// Sends a request and reads the head of its response. `write_guard` checks and counts each
    /// write of the request.
    pub(super) async fn send(
        &mut self,
        request: Request<AttemptBody>,
        write_guard: &WriteGuard,
    ) -> Result<Response<Incoming>, hyper::Error> {
        self.socket.set_write_guard(write_guard);
        if self.is_reused() {
            self.socket.forbid_write_on_unread_input();
        }
        self.sender.send_request(request).await
    }
}
