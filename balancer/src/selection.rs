//! Which endpoint gets a request: the less loaded of two random ones within this balancer's subset.

use crate::attempt::Trial;
use crate::balancer::Balancer;
use crate::endpoint::Endpoint;
use crate::*;

/// Where a call goes.
pub(crate) enum Route {
    Forward { endpoint: usize, trial: Trial },
    Queue,
    Reject { retry_after: Micros },
}

impl Balancer {
    /// Send, hold or refuse?
    pub(crate) fn route(&mut self, now: Micros, id: RequestId) -> Route {
        let request = &self.requests[&id];
        let (slow_start, clock_resolution) = (&self.settings.slow_start, self.settings.clock_resolution);
        let longest = self.longest_typical_latency();
        let ready = |s: &Endpoint| {
            s.limit.trial_ready(now)
                && s.latency_pressure <= 1.0
                && (s.changed == 0 || s.is_settled(now, longest))
                && s.warm_up(now, slow_start) >= 1.0
        };
        let full_pool = self
            .shared_limit
            .as_ref()
            .filter(|p| p.available_endpoints > 0.0 && p.available_at(longest) > now);
        let pool_full = full_pool.is_some();
        if full_pool.is_some_and(|p| p.latency_pressure > 1.0 || !p.limit.trial_ready(now)) {
            return Route::Queue;
        }
        let open = |s: &Endpoint| s.is_usable(now, self.served, slow_start) && self.is_zone_reachable(now, s);
        let allowed = |s: &Endpoint| open(s) && request.may_attempt(now, s, clock_resolution);
        let subset_ring = || self.subset_ring().filter(|&i| allowed(&self.endpoints[i]));
        let taken = subset_ring().any(|i| self.endpoints[i].accepts_class(request.class_id, now));
        let subset_ring =
            || subset_ring().filter(|&i| !taken || self.endpoints[i].accepts_class(request.class_id, now));
        let fresh = subset_ring().any(|i| request.is_untried(self.endpoints[i].id));
        let untried = subset_ring().filter(|&i| !fresh || request.is_untried(self.endpoints[i].id));
        // A burst of one balancer spills over to further servers: at most one of its calls is out
        // at each.
        let has_room = |i: &usize| !self.endpoints[*i].is_full(now, slow_start);
        let spills = self.shared_limit.is_some() && untried.clone().any(|i| has_room(&i));
        let up: Vec<usize> = untried.filter(|i| !spills || has_room(i)).take(self.subset_size()).collect();
        let of = |room: &dyn Fn(&Endpoint) -> bool| {
            up.iter().copied().filter(|&i| room(&self.endpoints[i])).collect()
        };
        let (room, trials): (Vec<_>, Vec<_>) = (of(&|s| !s.is_full(now, slow_start)), of(&ready));
        let trial = if pool_full { Trial::Shared } else { Trial::None };
        match self.two_choices(&up).filter(|endpoint| room.contains(endpoint)) {
            Some(endpoint) => Route::Forward { endpoint, trial },
            None => match (self.two_choices(&room), self.two_choices(&trials)) {
                (Some(endpoint), _) => Route::Forward { endpoint, trial },
                (None, Some(_)) if pool_full => Route::Queue,
                (None, Some(endpoint)) => Route::Forward { endpoint, trial: Trial::Endpoint },
                (None, None) => {
                    let all = self.endpoints.iter().filter(|s| s.listed);
                    let down = all.clone().all(|s| s.limit.steps == 0);
                    let first = all.map(|s| s.limit.backoff_end).min().filter(|_| down);
                    first.map_or(Route::Queue, |at| Route::Reject {
                        retry_after: at.saturating_sub(now).max(self.initial_backoff()),
                    })
                }
            },
        }
    }

    /// The less loaded of two random ones by own calls in flight; then the near one, then the
    /// recent past.
    pub(crate) fn two_choices(&mut self, among: &[usize]) -> Option<usize> {
        let len = among.len() as u64;
        let first = self.below(len);
        let a = *among.get(first as usize)?;
        let b = among[((first + 1 + self.below(len - 1)) % len) as usize];
        let (forwarded_count, per) = (self.forwarded_count as f64, self.subset_size() as f64);
        let tie = |s: &Endpoint| {
            if self.shared_limit.is_some() {
                s.recent_load(forwarded_count, per)
            } else {
                s.latency_pressure
            }
        };
        // Nearly every pick of a thin balancer is a tie: a zone that has more calls than servers
        // would get most of them from all balancers in it, and their answers alone can tell them
        // so.
        let near_first = self.settings.zone.filter(|_| self.shared_limit.is_none());
        let far = |s: &Endpoint| near_first.is_some_and(|zone| zone != s.zone);
        let strained = |s: &Endpoint| self.shared_limit.is_some() && s.latency_pressure > 1.0;
        let load = |i: usize| {
            let endpoint = &self.endpoints[i];
            (endpoint.in_flight, far(endpoint) || strained(endpoint), tie(endpoint))
        };
        Some(if load(b) < load(a) { b } else { a })
    }
}
