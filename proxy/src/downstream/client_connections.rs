//! All client connections of the process: limits their number, and closes those that have timed
//! out.

use super::connection::{ClientConnection, SharedState};
use super::timeouts::{sweep_ticks, IdleTimeouts};
use crate::control::{Control, ShutdownSchedule};
use crate::metrics::ClientCloseReason;
use std::cell::Cell;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The client connections of the process and the state that they share.
pub(super) struct ClientConnections {
    pub(super) shared: SharedState,
    pub(super) open: Vec<ClientConnection>,
}

impl ClientConnections {
    pub(super) fn new(control: Control) -> ClientConnections {
        let shared = SharedState {
            control,
            is_busy: Rc::new(Cell::new(false)),
            is_shutting_down: Rc::new(Cell::new(false)),
        };
        ClientConnections {
            shared,
            open: Vec::new(),
        }
    }

    /// Starts serving the client on this stream.
    pub(super) fn add(&mut self, stream: TcpStream) {
        self.open
            .push(ClientConnection::start(stream, &self.shared));
    }

    /// Updates whether the process is busy, and returns whether another connection may be accepted.
    /// At the connection limit, tries to evict one to make room.
    pub(super) fn ensure_capacity(&mut self) -> bool {
        let config = self.shared.control.config();
        let limit = config.max_client_connections();
        self.shared
            .is_busy
            .set(self.open.len() > config.busy_connection_threshold());
        if self.open.len() >= limit {
            self.open
                .retain(|connection| !connection.task.is_finished());
        }
        self.open.len() < limit || self.evict()
    }

    /// Closes the connection that is first in the order of eviction. Returns false if no connection
    /// may be evicted.
    pub(super) fn evict(&mut self) -> bool {
        let now = Instant::now();
        let ranked = self.open.iter().enumerate();
        let ranked =
            ranked.filter_map(|(index, connection)| Some((connection.eviction_rank(now)?, index)));
        let Some((_, index)) = ranked.min() else {
            return false;
        };
        self.open
            .swap_remove(index)
            .close(ClientCloseReason::Evicted);
        true
    }

    /// Checks all connections against the timeouts that apply now, and removes those that have
    /// ended.
    pub(super) fn sweep(&mut self) {
        let now = Instant::now();
        let timeouts = if self.shared.is_shutting_down.get() {
            IdleTimeouts::shutting_down()
        } else {
            IdleTimeouts::serving(self.shared.is_busy.get())
        };
        self.open
            .retain(|connection| connection.check_timeouts(now, timeouts));
        self.open.shrink_to(2 * self.open.len());
    }

    /// Begins the shutdown: from now on connections close between requests, and requests are
    /// answered or rejected by the times in `schedule`.
    pub(super) fn begin_shutdown(&self, schedule: ShutdownSchedule) {
        self.shared.is_shutting_down.set(true);
        self.shared.control.set_accepting(false);
        self.shared.control.begin_shutdown(schedule);
        // From now on this process uses half of the descriptors, even if no other process has been
        // detected.
        self.shared.control.set_process_count(2);
    }

    /// Closes connections as they become idle, and returns when all are closed.
    pub(super) async fn drain(&mut self) {
        let mut sweeps = sweep_ticks();
        while !self.open.is_empty() {
            sweeps.tick().await;
            self.sweep();
        }
    }
}
