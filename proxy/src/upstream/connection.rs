//! A connection to an endpoint: opening it, and whether it can be reused.

use crate::body::AttemptBody;
use crate::connect::connect;
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

/// How long the end of a response that is not forwarded is waited for; after that its connection is
/// closed instead.
pub(super) const RESPONSE_END_TIMEOUT: Duration = Duration::from_millis(20);

/// Why a connection did not open.
#[derive(Debug, Error)]
pub(crate) enum ConnectError {
    /// The endpoint did not accept it in time.
    #[error("the connection did not open in time")]
    TimedOut(#[from] Elapsed),
    /// A system call failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// It could not be used for HTTP/1.1.
    #[error(transparent)]
    Http(#[from] hyper::Error),
}

impl ConnectError {
    /// Whether this machine lacked the resources, which proves nothing about the endpoint.
    pub(crate) fn is_local(&self) -> bool {
        let ConnectError::Io(error) = self else {
            return false;
        };
        ErrorClass::of(error) == ErrorClass::ResourcesExhausted
    }
}

/// A connection to an endpoint. Dropping it closes it, even with a request in flight.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<AttemptBody>,
    socket: Socket,
    /// The socket's count of reads when the last response was complete; 0 before the first.
    reads_when_reusable: u64,
    _task: ScopedTask,
    _slot: Rc<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Its slot is free now, so its descriptor must be as well; the task ends later.
        self.socket.close();
    }
}

impl Connection {
    /// Opens a connection within the time `limit`; it occupies `slot` for as long as it is open.
    pub(crate) async fn open(
        address: SocketAddr,
        limit: Duration,
        slot: Rc<()>,
    ) -> Result<Connection, ConnectError> {
        let stream = timeout(
            limit,
            retry_transient(limit, async || connect(address).await),
        )
        .await??;
        let socket = Socket::new(stream);
        let builder = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(socket.clone());
        let (sender, connection) = builder.await?;
        Ok(Connection {
            sender,
            socket,
            reads_when_reusable: 0,
            _task: spawn(connection),
            _slot: slot,
        })
    }

    /// The connection, if it can be reused after a response that was read completely. This is to be
    /// awaited before the outcome is reported: else the next request would find no idle connection.
    pub(crate) async fn into_reusable(mut self) -> Option<Connection> {
        if !matches!(
            timeout(RESPONSE_END_TIMEOUT, self.sender.ready()).await,
            Ok(Ok(()))
        ) {
            return None;
        }
        self.reads_when_reusable = self.socket.read_count();
        // Its task notices what it has read beyond the response only when it is polled once more.
        yield_now().await;
        self.is_ready().then_some(self)
    }

    /// Whether a request can be written to it now. Anything that was received since its last
    /// response, the end of the connection or a second response, makes it useless: it would be
    /// taken for the next request's response.
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
            && self.socket.read_count() == self.reads_when_reusable
            && self.socket.has_no_unread_input()
    }

    /// Whether it has carried a request before.
    pub(super) fn is_reused(&self) -> bool {
        self.reads_when_reusable > 0
    }

    /// Whether nothing was received since the last response but, at most, the end of the
    /// connection, which is one read.
    pub(super) fn has_received_no_response(&self) -> bool {
        self.socket.read_count() <= self.reads_when_reusable + 1
    }

    /// Its socket.
    pub(super) fn socket(&self) -> &Socket {
        &self.socket
    }

    /// Sends a request, whose bytes the write guard admits and counts, and reads the head of its
    /// response.
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
