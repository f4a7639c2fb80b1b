//! When endpoints started, by this balancer's clock. The list gives each start by another machine's
//! clock, and either clock may be off by seconds or an hour. Such a stamp tells two processes
//! apart; how long ago a process started is bounded by what this balancer knows for certain:
//!
//! - nothing has started later than now;
//! - what is new in a list, or has another stamp in it, has started since the list was last known
//!   to be current, or a little before, as lists arrive late.
//!
//! Within these bounds the stamp counts. In a first list some stamps may lie in the future; then
//! this balancer's clock is behind by at least as much, and all stamps are corrected by that.

use crate::{EndpointEntry, EndpointId, ListUpdate, Micros};
use std::collections::BTreeMap;

/// How much later than an endpoint's start the list may have it.
const MAX_LIST_LAG_US: Micros = 2_000_000;
/// How long an endpoint that has left the list is remembered: one that returns with its stamp has
/// not restarted.
const ENDPOINT_RETENTION_US: Micros = 600_000_000;

/// The start of an endpoint's present process.
#[derive(Clone, Copy, Debug)]
struct Start {
    stamp: Micros,
    local_start: Micros,
    /// When it was last in the list.
    listed_at: Micros,
}

/// The starts of all endpoints that are or were recently listed.
#[derive(Debug, Default)]
pub(crate) struct EndpointStarts {
    /// When the list was last known to be current; `None`: there is only a cached one, or none.
    current_at: Option<Micros>,
    starts: BTreeMap<EndpointId, Start>,
}

impl EndpointStarts {
    /// Records that the list is current now.
    pub(crate) fn confirm_current(&mut self, now: Micros) {
        self.current_at = Some(now);
    }

    /// Records the entries of an update.
    pub(crate) fn record_update(
        &mut self,
        now: Micros,
        kind: ListUpdate,
        entries: &[EndpointEntry],
    ) {
        let leads = entries
            .iter()
            .map(|entry| entry.started_at.saturating_sub(now));
        let max_lead = leads.max().unwrap_or(0);
        for entry in entries {
            let known = self
                .starts
                .get_mut(&entry.endpoint)
                .filter(|start| entry.started_at == 0 || entry.started_at == start.stamp);
            if let Some(start) = known {
                start.listed_at = now;
            } else {
                let stamp = entry.started_at;
                let local_start = self.bounded_start(now, stamp, max_lead);
                self.starts.insert(
                    entry.endpoint,
                    Start {
                        stamp,
                        local_start,
                        listed_at: now,
                    },
                );
            }
        }
        if kind != ListUpdate::Cached {
            self.confirm_current(now);
        }
    }

    fn bounded_start(&self, now: Micros, stamp: Micros, max_lead: Micros) -> Micros {
        match self.current_at {
            Some(since) => stamp.clamp(since.saturating_sub(MAX_LIST_LAG_US).min(now), now),
            None => stamp.saturating_sub(max_lead),
        }
    }

    /// When the present process of an endpoint started; 0 if the endpoint is not known.
    pub(crate) fn local_start(&self, endpoint: EndpointId) -> Micros {
        self.starts
            .get(&endpoint)
            .map_or(0, |start| start.local_start)
    }

    /// Forgets endpoints that have not been listed for long.
    pub(crate) fn forget_unlisted(&mut self, now: Micros, is_listed: impl Fn(EndpointId) -> bool) {
        self.starts.retain(|&endpoint, start| {
            if is_listed(endpoint) {
                start.listed_at = now;
            }
            now.saturating_sub(start.listed_at) < ENDPOINT_RETENTION_US
        });
    }
}
