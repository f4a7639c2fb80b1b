//! Which request ids must not be sent to an endpoint: those in flight, and those of requests that
//! may have been executed and are unsafe to execute again, for as long as their class's
//! deduplication window or deadline lasts. This outlives the clients that sent them, and covers the
//! other processes of a handoff, which share their ids in files.

mod recent;
mod ring_file;
mod shared;
#[cfg(test)]
mod tests;

use hyper::header::HeaderValue;
pub(crate) use ring_file::ProcessUsage;

use recent::{IdHash, RecentIds};
use shared::SharedIds;
use std::collections::HashSet;
use std::io;
use std::path::Path;
use std::time::Duration;
use tokio::time::Instant;

/// How a request's id is kept once the request has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IdRetention {
    /// It is free again at once: the request may be executed any number of times.
    Free,
    /// It is kept for this long if the request may have been executed.
    KeepFor(Duration),
}

/// An id that is in flight. It has to be given back to [`RequestIds::release`].
#[derive(Debug)]
pub(crate) struct ClaimedId {
    id: HeaderValue,
    retention: IdRetention,
}

/// The ids that must not be sent to an endpoint.
#[derive(Debug, Default)]
pub(crate) struct RequestIds {
    /// Ids of the requests in flight in this process.
    in_flight: HashSet<HeaderValue>,
    /// Ids of requests of this process that may have been executed.
    recent: RecentIds,
    /// `None`: this is the only process.
    shared: Option<SharedIds>,
}

impl RequestIds {
    /// Shares ids with the other processes that use this folder from now on.
    ///
    /// # Errors
    /// The files in the folder cannot be used.
    pub(crate) fn share(&mut self, folder: &Path) -> io::Result<()> {
        self.shared = Some(SharedIds::open(folder, Instant::now())?);
        Ok(())
    }

    /// Reopens the files of a folder that was cleaned, and returns what the other processes use that
    /// share ids with this one; `None` if there is none.
    pub(crate) fn check_peers(&mut self) -> Option<ProcessUsage> {
        self.shared.as_mut()?.check_peers()
    }

    /// Tells the other processes what this one uses.
    pub(crate) fn publish_usage(&mut self, usage: ProcessUsage) {
        if let Some(shared) = &mut self.shared {
            shared.publish(usage);
        }
    }

    /// Claims an id for a request that the process may take until `deadline` to answer. Returns
    /// `None` if a request with this id is in flight or may have been executed.
    pub(crate) fn claim(
        &mut self,
        id: &HeaderValue,
        retention: IdRetention,
        deadline: Instant,
    ) -> Option<ClaimedId> {
        if self.in_flight.contains(id) {
            return None;
        }
        if let IdRetention::KeepFor(duration) = retention {
            let (now, hash) = (Instant::now(), IdHash::of(id.as_bytes()));
            let lifetime = deadline.saturating_duration_since(now) + duration;
            if self.recent.contains(hash, now) || !self.claim_shared(hash, lifetime, now) {
                return None;
            }
        }
        self.in_flight.insert(id.clone());
        Some(ClaimedId {
            id: id.clone(),
            retention,
        })
    }

    fn claim_shared(&mut self, hash: IdHash, lifetime: Duration, now: Instant) -> bool {
        let Some(shared) = &mut self.shared else {
            return true;
        };
        shared.claim(hash, lifetime, now)
    }

    /// Gives an id back when its request has ended.
    pub(crate) fn release(&mut self, claimed: ClaimedId, may_have_been_executed: bool) {
        self.in_flight.remove(&claimed.id);
        let IdRetention::KeepFor(duration) = claimed.retention else {
            return;
        };
        let hash = IdHash::of(claimed.id.as_bytes());
        let lifetime = may_have_been_executed.then_some(duration);
        if let Some(lifetime) = lifetime {
            let now = Instant::now();
            self.recent.insert(hash, now + lifetime, now);
        }
        if let Some(shared) = &mut self.shared {
            shared.record_end(hash, lifetime);
        }
    }

    /// Number of ids that were forgotten before their time, because too many were kept.
    pub(crate) fn dropped_count(&self) -> u64 {
        let shared = self.shared.as_ref().map_or(0, SharedIds::dropped_count);
        self.recent.dropped_count() + shared
    }

    /// Number of ids that other processes could not be told.
    pub(crate) fn unshared_count(&self) -> u64 {
        self.shared.as_ref().map_or(0, SharedIds::unshared_count)
    }
}
