//! Estimates when endpoints started, by this balancer's clock. The endpoint list gives start times
//! by another machine's clock, and either clock may be wrong by seconds or by an hour. A listed
//! start time distinguishes two processes of an endpoint; the age of a process is bounded by two
//! facts that hold even if the clocks are wrong:
//!
//! - no process has started later than now;
//! - a process that is new in the list, or has a changed start time in it, started at most
//!   [`MAX_LIST_LAG_US`] before the list was last known to be current: lists arrive late.
//!
//! Within these bounds the listed start time is used. Start times in the first list may lie in the
//! future: this balancer's clock is then behind by at least the largest such difference, which is
//! subtracted from all start times of the list.

use crate::{EndpointEntry, EndpointId, ListUpdate, Micros};
use std::collections::BTreeMap;

/// Maximum delay between the start of an endpoint and its appearance in the list.
const MAX_LIST_LAG_US: Micros = 2_000_000;
/// How long the start of an endpoint that has left the list is kept: an endpoint that returns with
/// the same start time has not restarted.
const ENDPOINT_RETENTION_US: Micros = 600_000_000;

/// The start of an endpoint's current process.
#[derive(Clone, Copy, Debug)]
struct Start {
    listed_start: Micros,
    local_start: Micros,
    /// When the endpoint was last in the list.
    listed_at: Micros,
}

/// The starts of all endpoints that are listed or were listed recently.
#[derive(Debug, Default)]
pub(crate) struct EndpointStarts {
    /// When the list was last known to be current; `None` if no list has arrived, or only a cached
    /// one.
    current_at: Option<Micros>,
    starts: BTreeMap<EndpointId, Start>,
}

impl EndpointStarts {
    /// Records that the list is current now.
    pub(crate) fn mark_list_current(&mut self, now: Micros) {
        self.current_at = Some(now);
    }

    /// Records the start times of the endpoints in a list update.
    pub(crate) fn record_update(
        &mut self,
        now: Micros,
        kind: ListUpdate,
        entries: &[EndpointEntry],
    ) {
        let clock_leads = entries
            .iter()
            .map(|entry| entry.started_at.saturating_sub(now));
        let max_clock_lead = clock_leads.max().unwrap_or(0);
        for entry in entries {
            let known = self
                .starts
                .get_mut(&entry.endpoint)
                .filter(|start| entry.started_at == 0 || entry.started_at == start.listed_start);
            if let Some(start) = known {
                start.listed_at = now;
            } else {
                let listed_start = entry.started_at;
                let local_start = self.bounded_start(now, listed_start, max_clock_lead);
                self.starts.insert(
                    entry.endpoint,
                    Start {
                        listed_start,
                        local_start,
                        listed_at: now,
                    },
                );
            }
        }
        if kind != ListUpdate::Cached {
            self.mark_list_current(now);
        }
    }

    /// Converts a listed start time to this balancer's clock: clamps it to the bounds described
    /// above or, before a current list has arrived, subtracts `max_clock_lead`.
    fn bounded_start(&self, now: Micros, listed_start: Micros, max_clock_lead: Micros) -> Micros {
        match self.current_at {
            Some(current_at) => {
                listed_start.clamp(current_at.saturating_sub(MAX_LIST_LAG_US).min(now), now)
            }
            None => listed_start.saturating_sub(max_clock_lead),
        }
    }

    /// When the current process of an endpoint started, by this balancer's clock; 0 if the endpoint
    /// is unknown.
    pub(crate) fn local_start(&self, endpoint: EndpointId) -> Micros {
        self.starts
            .get(&endpoint)
            .map_or(0, |start| start.local_start)
    }

    /// Removes endpoints that have not been listed for [`ENDPOINT_RETENTION_US`].
    pub(crate) fn forget_unlisted(&mut self, now: Micros, is_listed: impl Fn(EndpointId) -> bool) {
        self.starts.retain(|&endpoint, start| {
            if is_listed(endpoint) {
                start.listed_at = now;
            }
            now.saturating_sub(start.listed_at) < ENDPOINT_RETENTION_US
        });
    }
}
