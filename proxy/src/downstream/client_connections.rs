//! All client connections of the process: how many may be open, and the checks that close those
//! that are due.

use super::connection::{ClientConnection, SharedState};
use super::timeouts::{sweep_ticks, IdleTimeouts};
use crate::control::{Control, ShutdownSchedule};
use crate::metrics::ClientCloseReason;
use std::cell::Cell;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// All client connections of the process.
pub(super) struct ClientConnections {
    pub(super) shared: SharedState,
    pub(super) open: Vec<ClientConnection>,
}

impl ClientConnections {
    pub(super) fn new(control: Control) -> ClientConnections {
        let shared = SharedState {
            control,
            is_crowded: Rc::new(Cell::new(false)),
            is_shutting_down: Rc::new(Cell::new(false)),
        };
        ClientConnections {
            shared,
            open: Vec::new(),
        }
    }

    /// Serves one more client.
    pub(super) fn add(&mut self, stream: TcpStream) {
        self.open
            .push(ClientConnection::start(stream, &self.shared));
    }

    /// Whether one more connection may be open. At the limit one is evicted for it.
    pub(super) fn ensure_capacity(&mut self) -> bool {
        let config = self.shared.control.config();
        let limit = config.max_client_connections();
        self.shared
            .is_crowded
            .set(self.open.len() > config.busy_client_connections());
        if self.open.len() >= limit {
            self.open
                .retain(|connection| !connection.task.is_finished());
        }
        self.open.len() < limit || self.evict()
    }

    /// Closes the first connection in the order of eviction; whether there was one.
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

    /// Checks all connections, under the timeouts in force.
    pub(super) fn sweep(&mut self) {
        let now = Instant::now();
        let timeouts = if self.shared.is_shutting_down.get() {
            IdleTimeouts::shutting_down()
        } else {
            IdleTimeouts::serving(self.shared.is_crowded.get())
        };
        self.open
            .retain(|connection| connection.check(now, timeouts));
        self.open.shrink_to(2 * self.open.len());
    }

    /// Begins the shutdown: connections close between requests, and requests are answered by the
    /// schedule.
    pub(super) fn begin_shutdown(&self, schedule: ShutdownSchedule) {
        self.shared.is_shutting_down.set(true);
        self.shared.control.set_accepting(false);
        self.shared.control.begin_shutdown(schedule);
        self.shared.control.set_process_count(2);
    }

    /// Closes connections between requests, and returns when none is left.
    pub(super) async fn drain(&mut self) {
        let mut sweeps = sweep_ticks();
        while !self.open.is_empty() {
            sweeps.tick().await;
            self.sweep();
        }
    }
}
