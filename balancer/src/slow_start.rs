//! How many requests an endpoint gets that is warming up.

use crate::balancer::{Balancer, EJECTION_FAILURE_RATE, SLOW_START_OVERLOAD_FRACTION};
use crate::endpoint::Endpoint;
use crate::Micros;

impl Balancer {
    /// What each own answer earns a cold server of a call: its stated share, as it is now, of what
    /// warm ones do, and a part of the slow_start' limit. Any number of balancers keep it safe so.
    /// Refusals earn nothing, nor do servers out of reach: calls saved up for them would all go
    /// when they come into it. Each is within the reach of as many balancers as any other.
    pub(crate) fn grant_slow_start_credit(&mut self, now: Micros) {
        let slow_start = &self.settings.slow_start;
        if self.endpoints.iter().all(|s| !s.listed || s.warm_up(now, slow_start) >= 1.0) {
            return;
        }
        let (mut reach, mut left, mut work, mut warm, mut up) =
            (Vec::new(), self.subset_size(), 0.0, 0.0, 0.0);
        for i in self.subset_ring() {
            let endpoint = &self.endpoints[i];
            if left > 0 && endpoint.listed {
                reach.push(i);
                // Answers come from servers in service alone: one that drains or is set aside gives
                // none, and counted among them it would starve the cold ones just when they are
                // needed. One that was ejected as slow is only left alone for a while: all others
                // answer the more for it.
                if endpoint.limit.steps > 0
                    || self.shared_limit.is_some() && endpoint.failure_rate < EJECTION_FAILURE_RATE / 2.0
                {
                    let warm_up = endpoint.warm_up(now, slow_start);
                    (work, warm, up) = (work + endpoint.weight * warm_up, warm + warm_up, up + 1.0);
                }
                left -= usize::from(endpoint.is_usable(now, self.served, slow_start));
            }
        }
        // Where most of very many servers are cold, an even part of the calls is far under what
        // they can do. A list may weigh servers by what they hold: one that has just started is
        // idle, and yet no larger.
        let (part, most) = match &self.shared_limit {
            Some(_) => (slow_start.overload_multiple * SLOW_START_OVERLOAD_FRACTION / work, work / warm),
            None => (1.0 / work, work / up),
        };
        for i in reach {
            let endpoint = &mut self.endpoints[i];
            let share = (part * endpoint.weight.min(most)).min(1.0) * endpoint.warm_up(now, slow_start);
            // A few balancers count in whole answers: where all servers are cold, calls that each
            // earn less than one more would die out.
            let share = if self.shared_limit.is_none() { (1.0 / share).floor().recip() } else { share };
            endpoint.slow_start_credit = (endpoint.slow_start_credit + share).min(1.0 + share);
        }
    }

    /// Without answers a cold server is tried after a time that leaves it under one call in flight
    /// from all.
    pub(crate) fn slow_start_interval(&self, now: Micros, endpoint: &Endpoint) -> Micros {
        let warm_up = endpoint.warm_up(now, &self.settings.slow_start);
        (self.longest_latency_objective() * f64::from(self.settings.balancer_count) / warm_up) as Micros
    }
}
