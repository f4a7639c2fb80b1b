//! Detects that a peer has gone: by readiness events, by waiting for them, or by asking the
//! operating system.

use super::stream::{is_known_read_closed, peek};
use super::{SharedStream, Socket};
use crate::write_guard::ClientPresence;
use std::io;
use std::rc::{Rc, Weak};
use std::task::{ready, Context, Poll};

impl SharedStream {
    fn is_known_disconnected(&self) -> bool {
        self.stream
            .borrow()
            .as_ref()
            .is_none_or(|stream| is_known_read_closed(stream))
    }

    /// `None`: it is closed.
    fn peek(&self) -> Option<io::Result<usize>> {
        self.stream.borrow().as_ref().map(|stream| peek(stream))
    }
}

impl ClientPresence for SharedStream {
    fn has_disconnected(&self) -> bool {
        let peeked = self.peek();
        self.is_known_disconnected()
            || peeked.is_none_or(|peeked| match peeked {
                Ok(count) => count == 0,
                Err(error) => error.kind() != io::ErrorKind::WouldBlock,
            })
    }
}

impl Socket {
    /// The client's presence, for writes on behalf of its request. The reference does not keep the
    /// stream open.
    pub fn client_presence(&self) -> Weak<dyn ClientPresence> {
        let stream: Rc<dyn ClientPresence> = self.0.clone();
        Rc::downgrade(&stream)
    }

    /// Whether the stream is open and has nothing to read, not even its end. This asks the
    /// operating system.
    pub fn has_no_unread_input(&self) -> bool {
        let peeked = self.0.peek();
        peeked.is_some_and(|peeked| {
            peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
        })
    }

    /// Whether the peer is known, by readiness events, to have ended its sending or to have broken
    /// the connection, also behind bytes that nobody has read: hyper finds an end only when it has
    /// read all that arrived before it.
    pub fn is_known_disconnected(&self) -> bool {
        self.0.is_known_disconnected()
    }

    /// As [`Socket::is_known_disconnected`], but asks the operating system too: its event may not
    /// have been delivered.
    pub fn has_disconnected(&self) -> bool {
        self.0.has_disconnected()
    }

    /// Ready once the client is known to have disconnected, as soon as the system reports it,
    /// whatever arrived before and is unread. Only one task may poll this.
    pub fn poll_disconnected(&self, context: &mut Context<'_>) -> Poll<()> {
        let mut disconnected = self.0.disconnected.borrow_mut();
        if let Some(waiting) = disconnected.as_mut() {
            ready!(waiting.as_mut().poll(context));
            disconnected.take();
        }
        Poll::Ready(())
    }
}
