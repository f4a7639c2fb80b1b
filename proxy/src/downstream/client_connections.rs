//! All client connections of the process: limits their number, closes those that have timed out,
//! and makes room when connections or memory run out.

use super::connection::{ClientConnection, SharedState};
use super::eviction::EvictionRank;
use super::timeouts::{sweep_ticks, IdleTimeouts};
use crate::control::{Control, ShutdownSchedule};
use crate::memory::{MemoryReservation, MemoryUse, Need, CLIENT_CONNECTION_BYTES};
use crate::metrics::ClientCloseReason;
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Open client connections, shared with those who make room.
pub(super) type OpenConnections = Rc<RefCell<Vec<ClientConnection>>>;

/// The client connections of the process and the state that they share.
pub(super) struct ClientConnections {
    pub(super) shared: SharedState,
    pub(super) open: OpenConnections,
    /// The memory of the next connection.
    next_memory: Option<MemoryReservation>,
}

impl ClientConnections {
    pub(super) fn new(control: Control) -> ClientConnections {
        let open = OpenConnections::default();
        let evicting = open.clone();
        control
            .memory()
            .add_reclaimer(move |need| evict(&evicting, Some(need)));
        let shared = SharedState {
            control,
            is_busy: Rc::new(Cell::new(false)),
            is_shutting_down: Rc::new(Cell::new(false)),
        };
        ClientConnections {
            shared,
            open,
            next_memory: None,
        }
    }

    /// Starts serving the client on this stream.
    pub(super) fn add(&mut self, stream: TcpStream) {
        let manager = self.shared.control.memory();
        let memory = self.next_memory.take().unwrap_or_else(|| {
            let account = manager.account();
            account.reserve_unchecked(MemoryUse::ClientConnection, CLIENT_CONNECTION_BYTES)
        });
        let connection = ClientConnection::start(stream, memory, &self.shared);
        self.open.borrow_mut().push(connection);
    }

    /// Updates whether the process is busy, and returns whether another connection may be accepted.
    /// At the limit of connections or of memory, tries to evict one to make room.
    pub(super) fn ensure_capacity(&mut self) -> bool {
        let config = self.shared.control.config();
        let limit = config.max_client_connections();
        let open_count = self.open.borrow().len();
        self.shared
            .is_busy
            .set(open_count > config.busy_connection_threshold());
        if open_count >= limit {
            self.open
                .borrow_mut()
                .retain(|connection| !connection.task.is_finished());
        }
        (self.open.borrow().len() < limit || self.evict()) && self.ensure_memory()
    }

    /// Enters the memory of the next connection, and tries to make room for it if necessary.
    fn ensure_memory(&mut self) -> bool {
        if self.next_memory.is_none() {
            let manager = self.shared.control.memory();
            let reserve = || {
                let account = manager.account();
                account.reserve(MemoryUse::ClientConnection, CLIENT_CONNECTION_BYTES)
            };
            self.next_memory = reserve().or_else(|| {
                manager.reclaim(Need::Memory);
                reserve()
            });
        }
        self.next_memory.is_some()
    }

    /// Closes the connection that is first in the order of eviction. Returns false if no connection
    /// may be evicted.
    pub(super) fn evict(&mut self) -> bool {
        evict(&self.open, None)
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
        let mut open = self.open.borrow_mut();
        open.retain(|connection| connection.check_timeouts(now, timeouts));
        let count = open.len();
        open.shrink_to(2 * count);
        drop(open);
        self.evict_excess();
    }

    /// Closes connections without a request that are in excess of the limit, which is lower from
    /// when another process has started.
    fn evict_excess(&mut self) {
        let limit = self.shared.control.config().max_client_connections();
        while self.open.borrow().len() > limit {
            let first = first_to_evict(&self.open.borrow(), None);
            let has_no_request =
                |rank: EvictionRank| rank.close_reason() == ClientCloseReason::Evicted;
            if !first.is_some_and(|(_, rank)| has_no_request(rank)) {
                return;
            }
            self.evict();
        }
    }

    /// Begins the shutdown: from now on connections close between requests, and requests are
    /// answered or rejected by the times in `schedule`.
    pub(super) fn begin_shutdown(&self, schedule: ShutdownSchedule) {
        self.shared.is_shutting_down.set(true);
        self.shared.control.set_accepting(false);
        self.shared.control.begin_shutdown(schedule);
        // From now on this process uses half of the descriptors, even if no other process has been
        // detected.
        let used_by_others = self.shared.control.config().used_by_others;
        self.shared.control.share_limits(2, used_by_others);
    }

    /// Closes connections as they become idle, and returns when all are closed.
    pub(super) async fn drain(&mut self) {
        let mut sweeps = sweep_ticks();
        while !self.open.borrow().is_empty() {
            sweeps.tick().await;
            self.sweep();
        }
    }
}

/// Closes the connection that is first in the order of eviction, of those that would meet the need;
/// `None`: a connection of a client is needed. Returns false if there is none.
fn evict(open: &OpenConnections, need: Option<Need>) -> bool {
    let Some((index, rank)) = first_to_evict(&open.borrow(), need) else {
        return false;
    };
    let connection = open.borrow_mut().swap_remove(index);
    connection.evict(rank.close_reason());
    true
}

/// The connection that is first in the order of eviction. The system is asked only about those that
/// come first, as a crowd may need room for each of its requests.
fn first_to_evict(open: &[ClientConnection], need: Option<Need>) -> Option<(usize, EvictionRank)> {
    let now = Instant::now();
    let candidates = open.iter().enumerate();
    let candidates = candidates.filter(|(_, connection)| {
        need != Some(Need::EndpointConnection) || connection.progress.is_transfer()
    });
    let ranked = candidates.filter_map(|(index, connection)| {
        let rank = connection.eviction_candidate(now)?;
        Some(Reverse((rank, index)))
    });
    let mut ranked: BinaryHeap<_> = ranked.collect();
    while let Some(Reverse((rank, index))) = ranked.pop() {
        if open[index].has_no_unread_request() {
            return Some((index, rank));
        }
    }
    None
}
