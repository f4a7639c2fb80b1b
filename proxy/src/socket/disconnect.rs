//! Detects that a peer has disconnected: from readiness events that were delivered, by waiting for
//! one, or by asking the operating system.

use super::stream::{is_known_read_closed, is_read_closed, peek};
use super::{SharedStream, Socket};
use crate::write_guard::ClientPresence;
use socket2::SockRef;
use std::io;
use std::os::fd::AsFd;
use std::rc::{Rc, Weak};
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tcp_activity::unread_bytes;
use tokio::time::Instant;

/// How long a client may be out of sight before its request's first attempt. With the interval of
/// the checks it is below the 100 ms within which an attempt may begin after a close.
const MAX_OUT_OF_SIGHT: Duration = Duration::from_millis(50);
/// A receive buffer may count as full if this fraction of it is unread input: the system needs part
/// of it for its own data, and a peer may not fill the last segment's space.
const FULL_BUFFER_DIVISOR: usize = 4;

impl SharedStream {
    fn is_known_disconnected(&self) -> bool {
        self.stream
            .borrow()
            .as_ref()
            .is_none_or(|stream| is_known_read_closed(stream))
    }

    /// Whether the peer has ended its sending, also behind unread input. Asks the operating system.
    fn is_read_closed(&self) -> bool {
        let stream = self.stream.borrow();
        stream.as_ref().is_none_or(|stream| is_read_closed(stream))
    }

    /// Peeks at the next unread byte. Returns `None` if the stream is closed.
    fn peek(&self) -> Option<io::Result<usize>> {
        self.stream.borrow().as_ref().map(|stream| peek(stream))
    }
}

impl ClientPresence for SharedStream {
    fn has_disconnected(&self) -> bool {
        let peeked = self.peek();
        self.is_known_disconnected()
            || self.is_read_closed()
            || peeked.is_none_or(|peeked| match peeked {
                Ok(count) => count == 0,
                Err(error) => error.kind() != io::ErrorKind::WouldBlock,
            })
    }
}

impl Socket {
    /// A weak reference through which writes on behalf of a client's request can check whether the
    /// client is still connected. It does not keep the stream open.
    pub fn client_presence(&self) -> Weak<dyn ClientPresence> {
        let stream: Rc<dyn ClientPresence> = self.0.clone();
        Rc::downgrade(&stream)
    }

    /// Whether the stream is open and has nothing to read, not even an end of stream. Asks the
    /// operating system.
    pub fn has_no_unread_input(&self) -> bool {
        let peeked = self.0.peek();
        peeked.is_some_and(|peeked| {
            peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
        })
    }

    /// Whether there are bytes to read, and not only an end of stream. Asks the operating system.
    pub fn has_unread_bytes(&self) -> bool {
        let peeked = self.0.peek();
        peeked.is_some_and(|peeked| peeked.is_ok_and(|count| count > 0))
    }

    /// Whether readiness events have shown that the peer ended its sending or the connection
    /// failed. This is known even if bytes that arrived earlier are still unread, whereas hyper
    /// detects an end of stream only after it has read all of them.
    pub fn is_known_disconnected(&self) -> bool {
        self.0.is_known_disconnected()
    }

    /// Like [`Socket::is_known_disconnected`], but also asks the operating system, as the readiness
    /// event may not have been delivered yet.
    pub fn has_disconnected(&self) -> bool {
        self.0.has_disconnected()
    }

    /// Whether the end of the client's sending may stand behind input that the system cannot take, as
    /// its buffer is full of unread input. The operating system does not report the end then. False
    /// if the rest of the request has arrived, or the system does not tell.
    fn may_hide_end(&self) -> bool {
        let stream = self.0.stream.borrow();
        let Some(stream) = stream.as_ref() else {
            return false;
        };
        let unread = unread_bytes(stream.as_fd()).unwrap_or(0);
        if unread == 0 {
            return false;
        }
        let framing = self.0.framing.as_ref();
        let remaining = framing.and_then(|framing| framing.borrow().remaining_body_bytes());
        if remaining.is_some_and(|remaining| unread as u64 >= remaining) {
            return false;
        }
        let buffer_size = SockRef::from(&**stream).recv_buffer_size();
        buffer_size.is_ok_and(|size| unread >= size / FULL_BUFFER_DIVISOR)
    }

    /// Whether the client may have closed some time ago without the system's knowing. The client is
    /// known to have been there when its end would have been seen, and when input arrived that was
    /// waited for.
    pub(crate) fn is_out_of_sight(&self) -> bool {
        let now = Instant::now();
        if !self.may_hide_end() {
            self.0.last_seen_at.set(now);
            return false;
        }
        let seen_at = self.0.last_seen_at.get().max(self.earliest_arrival());
        now >= seen_at + MAX_OUT_OF_SIGHT
    }

    /// Completes as soon as the operating system reports that the client has disconnected, even if
    /// earlier input is unread. Only one task may poll this.
    pub fn poll_disconnected(&self, context: &mut Context<'_>) -> Poll<()> {
        let mut disconnected = self.0.disconnected.borrow_mut();
        if let Some(waiting) = disconnected.as_mut() {
            ready!(waiting.as_mut().poll(context));
            disconnected.take();
        }
        Poll::Ready(())
    }
}
