//! Detects outages of whole zones. An unreachable zone shows as connection failures at each of its
//! endpoints; each consecutive failure doubles the time for which the whole zone is avoided, up to
//! a maximum, and after more than [`ZONE_BACKOFF_DOUBLINGS`] the zone counts as having an outage.

use crate::backoff::MAX_BACKOFF_DOUBLINGS;
use crate::{Micros, ZoneId};
use std::collections::BTreeMap;

/// Number of doublings until a zone's backoff reaches the initial backoff of an endpoint. A zone
/// with more consecutive failures than this counts as having an outage.
const ZONE_BACKOFF_DOUBLINGS: u32 = 3;

/// Recent connection failures in one zone.
#[derive(Debug, Default)]
struct ZoneOutage {
    /// Number of consecutive connection failures.
    consecutive_failures: u32,
    /// No request is sent to the zone before this time.
    avoided_until: Micros,
}

/// Connection failures by zone.
#[derive(Debug, Default)]
pub(crate) struct ZoneOutages {
    by_zone: BTreeMap<ZoneId, ZoneOutage>,
}

impl ZoneOutages {
    pub(crate) fn record_failure(&mut self, zone: ZoneId, now: Micros, initial_backoff: Micros) {
        let outage = self.by_zone.entry(zone).or_default();
        let doublings = outage
            .consecutive_failures
            .min(MAX_BACKOFF_DOUBLINGS + ZONE_BACKOFF_DOUBLINGS);
        outage.consecutive_failures = outage.consecutive_failures.saturating_add(1);
        outage.avoided_until = now + ((initial_backoff << doublings) >> ZONE_BACKOFF_DOUBLINGS);
    }

    pub(crate) fn record_success(&mut self, zone: ZoneId) {
        self.by_zone.remove(&zone);
    }

    /// Whether so many consecutive connections have failed that the whole zone counts as
    /// unreachable.
    pub(crate) fn has_outage(&self, zone: ZoneId) -> bool {
        self.by_zone
            .get(&zone)
            .is_some_and(|outage| outage.consecutive_failures > ZONE_BACKOFF_DOUBLINGS)
    }

    /// Whether requests may be sent to the zone at present.
    pub(crate) fn accepts_requests(&self, zone: ZoneId, now: Micros) -> bool {
        self.by_zone
            .get(&zone)
            .is_none_or(|outage| now >= outage.avoided_until)
    }

    /// If the zone has an outage, avoids it for `backoff` after a request was sent to it: requests
    /// sent before the first one's connection fails would be late.
    pub(crate) fn avoid_during_trial(&mut self, zone: ZoneId, now: Micros, backoff: Micros) {
        if self.has_outage(zone) {
            if let Some(outage) = self.by_zone.get_mut(&zone) {
                outage.avoided_until = now + backoff;
            }
        }
    }
}
