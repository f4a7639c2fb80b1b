//! Which endpoints get no requests because they fail.

use crate::balancer::*;
use crate::endpoint::Endpoint;
use crate::*;

impl Balancer {
    /// How many servers of the list get no calls now: they are set aside and not being tried, or in
    /// a zone passed over.
    pub fn avoided(&self, now: Micros) -> usize {
        let rests = |s: &Endpoint| {
            s.limit.steps == 0
                && !s.limit.trial_in_flight
                && !s.is_awaiting_trial(now, self.served, &self.settings.slow_start)
        };
        let avoided = |s: &&Endpoint| s.listed && (rests(s) || !self.is_zone_reachable(now, s));
        self.endpoints.iter().filter(avoided).count()
    }

    /// Whether a server's zone is not passed over.
    pub(crate) fn is_zone_reachable(&self, now: Micros, endpoint: &Endpoint) -> bool {
        self.zone_outages.get(&endpoint.zone).is_none_or(|cut| now >= cut.1)
    }
}
