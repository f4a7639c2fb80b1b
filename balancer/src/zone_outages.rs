//! Zones whose connections fail. A zone that is cut off fails endpoint by endpoint; after a few
//! failures in a row all of it is avoided.

use crate::backoff::MAX_BACKOFF_DOUBLINGS;
use crate::{Micros, ZoneId};
use std::collections::BTreeMap;

/// Number of times that a zone's backoff doubles until it reaches the first one of an endpoint. A
/// zone with more failures in a row counts as out.
const ZONE_BACKOFF_DOUBLINGS: u32 = 3;

#[derive(Debug, Default)]
struct ZoneOutage {
    /// Connection failures in a row.
    failures: u32,
    /// Nothing is sent to the zone before this time.
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
            .failures
            .min(MAX_BACKOFF_DOUBLINGS + ZONE_BACKOFF_DOUBLINGS);
        outage.failures = outage.failures.saturating_add(1);
        outage.avoided_until = now + ((initial_backoff << doublings) >> ZONE_BACKOFF_DOUBLINGS);
    }

    pub(crate) fn record_success(&mut self, zone: ZoneId) {
        self.by_zone.remove(&zone);
    }

    /// Whether so many connections have failed in a row that all of the zone counts as cut off.
    pub(crate) fn is_out(&self, zone: ZoneId) -> bool {
        self.by_zone
            .get(&zone)
            .is_some_and(|outage| outage.failures > ZONE_BACKOFF_DOUBLINGS)
    }

    /// Whether requests may be sent to the zone.
    pub(crate) fn is_reachable(&self, zone: ZoneId, now: Micros) -> bool {
        self.by_zone
            .get(&zone)
            .is_none_or(|outage| now >= outage.avoided_until)
    }

    /// Avoids a zone that is out for `backoff` after a request was sent to it: those sent until its
    /// connection fails would be late.
    pub(crate) fn begin_trial(&mut self, zone: ZoneId, now: Micros, backoff: Micros) {
        if self.is_out(zone) {
            if let Some(outage) = self.by_zone.get_mut(&zone) {
                outage.avoided_until = now + backoff;
            }
        }
    }
}
