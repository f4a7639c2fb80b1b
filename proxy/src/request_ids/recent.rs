//! A bounded table of ids, each kept until a time. When it is full, the id that was entered first is
//! forgotten and counted.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of ids in a table.
pub(super) const MAX_IDS: usize = 4_096;

/// A hash of a request's id, the same in all processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct IdHash(pub(super) u64);

impl IdHash {
    pub(super) fn of(id: &[u8]) -> IdHash {
        IdHash(xxh3_64(id))
    }
}

/// The ids of requests that may have been executed.
#[derive(Debug)]
pub(super) struct RecentIds {
    /// The times of the table count from here.
    start: Instant,
    expiries: HashMap<IdHash, Millis>,
    /// The ids in the order in which they were entered; some of them may have been removed or
    /// entered again since.
    order: VecDeque<(IdHash, Millis)>,
    dropped: u64,
}

/// Milliseconds since the start of a table, which take half the memory of an [`Instant`].
type Millis = u64;

impl Default for RecentIds {
    fn default() -> RecentIds {
        RecentIds {
            start: Instant::now(),
            expiries: HashMap::new(),
            order: VecDeque::new(),
            dropped: 0,
        }
    }
}

impl RecentIds {
    /// Keeps an id until `expires_at`, or longer if it was entered with a later time before.
    pub(super) fn insert(&mut self, id: IdHash, expires_at: Instant, now: Instant) {
        self.forget_expired(now);
        let expires_at = self.millis(expires_at);
        let expiry = self.expiries.entry(id).or_insert(expires_at);
        *expiry = expires_at.max(*expiry);
        self.order.push_back((id, *expiry));
        while self.order.len() > MAX_IDS {
            self.drop_oldest();
        }
    }

    pub(super) fn remove(&mut self, id: IdHash) {
        self.expiries.remove(&id);
    }

    /// Keeps the ids of another table too.
    pub(super) fn merge(&mut self, other: RecentIds, now: Instant) {
        for (id, expiry) in other.expiries {
            let expires_at = other.start + Duration::from_millis(expiry);
            self.insert(id, expires_at, now);
        }
        self.dropped += other.dropped;
    }

    pub(super) fn contains(&self, id: IdHash, now: Instant) -> bool {
        let now = self.millis(now);
        self.expiries.get(&id).is_some_and(|expiry| now < *expiry)
    }

    fn millis(&self, at: Instant) -> Millis {
        at.saturating_duration_since(self.start).as_millis() as Millis
    }

    pub(super) fn dropped_count(&self) -> u64 {
        self.dropped
    }

    fn forget_expired(&mut self, now: Instant) {
        let now = self.millis(now);
        while self.order.front().is_some_and(|(_, expiry)| *expiry <= now) {
            self.remove_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if self.remove_oldest() {
            self.dropped += 1;
        }
    }

    /// Removes the first id of the order. Returns whether that forgot it: a later entry of the same
    /// id keeps it.
    fn remove_oldest(&mut self) -> bool {
        let Some((id, expiry)) = self.order.pop_front() else {
            return false;
        };
        let is_latest = self.expiries.get(&id) == Some(&expiry);
        if is_latest {
            self.expiries.remove(&id);
        }
        is_latest
    }
}
