//! Turns of client connections: one request of a connection is begun for each round of the event
//! loop. hyper goes on with the next request as long as there is input, and the runtime polls tasks
//! dozens of times before it looks for other sockets' events. Without turns, a client that sends
//! requests faster than they are answered would delay all other clients by all that time.

use crate::socket::Socket;
use std::cell::Cell;

/// Tells when a connection has had its turn.
#[derive(Debug, Default)]
pub(super) struct Turns {
    /// The socket's wait count when the last request began; `None` before the first one.
    wait_count_at_last_request: Cell<Option<u64>>,
}

impl Turns {
    /// Records that a request begins, and returns whether the connection must yield first: it has
    /// not waited for input since its previous request began, so that other connections may have had
    /// no turn in between.
    pub(super) fn is_over(&self, socket: &Socket) -> bool {
        let wait_count = socket.wait_count();
        let previous = self.wait_count_at_last_request.replace(Some(wait_count));
        previous == Some(wait_count)
    }
}
