//! When servers started, in this balancer's time. The list gives each start as a stamp of another
//! machine's clock, and either clock may be off by seconds or an hour. A stamp tells two processes
//! apart; how long ago a process started is bounded by what this balancer knows for sure:
//!
//! - nothing has started later than now;
//! - what is new in a list, or has another stamp in it, has started since the list was last known to be
//!   current, or a little before, as lists come late.
//!
//! Within these bounds the stamp is believed. Of a first list only the stamps beside each other
//! tell more: where some lie in the future, the clock is behind by as much at the least, for all of
//! them.

use crate::{EndpointEntry, EndpointId, ListUpdate, Micros};
use std::collections::BTreeMap;

/// How much later than a server's start the list may tell of it.
const MAX_LIST_LAG_US: Micros = 2_000_000;
/// How long a server that has left the list is remembered: one that comes back with its stamp has
/// not started anew.
const ENDPOINT_RETENTION_US: Micros = 600_000_000;

/// The start of a server's present process.
#[derive(Clone, Copy, Debug)]
struct Start {
    stamp: Micros,
    local_start: Micros,
    /// When it was last in the list.
    listed_at: Micros,
}

/// What is known of servers' starts.
#[derive(Debug, Default)]
pub(crate) struct EndpointStarts {
    /// When the list in hand was last known to be current; `None`: there is only a saved one, or
    /// none.
    current_at: Option<Micros>,
    starts: BTreeMap<EndpointId, Start>,
}

impl EndpointStarts {
    /// The list in hand is current: what is subscribed to is what has changed since its version,
    /// also that of a saved one.
    pub(crate) fn confirm_current(&mut self, now: Micros) {
        self.current_at = Some(now);
    }

    /// Takes a list in.
    pub(crate) fn heard(&mut self, now: Micros, kind: ListUpdate, entries: &[EndpointEntry]) {
        let ahead = entries.iter().map(|entry| entry.started_at.saturating_sub(now)).max().unwrap_or(0);
        for entry in entries {
            let known = self.starts.get_mut(&entry.endpoint);
            match known.filter(|start| entry.started_at == 0 || entry.started_at == start.stamp) {
                Some(start) => start.listed_at = now,
                None => {
                    let local_start = self.local_start_within_bounds(now, entry.started_at, ahead);
                    let start = Start { stamp: entry.started_at, local_start, listed_at: now };
                    self.starts.insert(entry.endpoint, start);
                }
            }
        }
        if kind != ListUpdate::Cached {
            self.current_at = Some(now);
        }
    }

    fn local_start_within_bounds(&self, now: Micros, stamp: Micros, ahead: Micros) -> Micros {
        match self.current_at {
            Some(since) => stamp.clamp(since.saturating_sub(MAX_LIST_LAG_US).min(now), now),
            None => stamp.saturating_sub(ahead),
        }
    }

    /// When the present process of a server that was listed began.
    pub(crate) fn local_start(&self, endpoint: EndpointId) -> Micros {
        self.starts.get(&endpoint).map_or(0, |start| start.local_start)
    }

    /// Forgets servers that have not been listed for long.
    pub(crate) fn forget(&mut self, now: Micros, is_listed: impl Fn(EndpointId) -> bool) {
        self.starts.retain(|&endpoint, start| {
            if is_listed(endpoint) {
                start.listed_at = now;
            }
            now.saturating_sub(start.listed_at) < ENDPOINT_RETENTION_US
        });
    }
}
