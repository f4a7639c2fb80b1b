//! What an attempt's outcome teaches.

use crate::attempt::{Attempt, Trial};
use crate::balancer::*;
use crate::concurrency_limit::{LATENCY_SMOOTHING, MAX_BACKOFF_DOUBLINGS};
use crate::*;

impl Balancer {
    /// What a server says of itself: as many waiting as in work, or nearly all cores busy, is as
    /// much as an answer at its limit. It tells a crowded server from one whose calls mostly wait
    /// on others.
    pub(crate) fn record_load_report(&mut self, id: RequestId, attempt: u32, load: LoadReport) {
        let Some(tried) = self.requests.get(&id).and_then(|c| c.attempts.get(attempt as usize)) else {
            return;
        };
        let Ok(place) = self.endpoints.binary_search_by_key(&tried.endpoint, |s| s.id) else { return };
        let reported_load = match load {
            LoadReport { in_flight: Some(in_flight), queued: Some(queued), .. } => {
                queued / (in_flight - queued).max(1.0)
            }
            LoadReport { cpu_utilization: Some(busy), .. } => busy / FULL_CPU_UTILIZATION,
            _ => return,
        };
        self.endpoints[place].reported_load =
            if reported_load.is_finite() { reported_load.clamp(0.0, 4.0) } else { 0.0 };
    }

    /// What a server's answer, or its absence, teaches.
    pub(crate) fn learn_from_attempt(
        &mut self,
        now: Micros,
        tried: Attempt,
        outcome: Outcome,
        took: Micros,
        actions: &mut Actions,
    ) {
        let Attempt { endpoint: id, zone, started_at, class_id, sent, trial, streaming, .. } = tried;
        let elapsed = if streaming { 0 } else { took.max(now.saturating_sub(sent)) };
        let (first, longest, longest_latency_objective) =
            (self.initial_backoff(), self.longest_typical_latency(), self.longest_latency_objective());
        let per = self.subset_size() as f64;
        let typical_latency = self.typical_latency(
            class_id,
            self.settings.classes.get(class_id).map_or(0, |c| c.latency_objective),
        );
        let latency = self.latencies.get_mut(class_id);
        let limit = latency.as_ref().map_or(f64::MAX, |p| p.limit());
        let shared_latency_pressure =
            latency.as_ref().map_or(0.0, |p| p.shared_latency_pressure(elapsed as f64));
        if let Some(shared_limit) = &mut self.shared_limit {
            shared_limit.in_flight = shared_limit.in_flight.saturating_sub(1);
            shared_limit.charge(now, elapsed as f64 - typical_latency);
            shared_limit.limit.trial_in_flight &= trial != Trial::Shared;
            // A refusal is one server's word, mostly of one that drains: a full fleet shows in its
            // answers.
            if !outcome.is_neutral() && !outcome.never_ran() {
                shared_limit.learn(now, sent, shared_latency_pressure, elapsed as f64);
            }
            match outcome {
                _ if trial != Trial::Shared => {}
                Outcome::Served => shared_limit.limit.trial_served(),
                _ => shared_limit.limit.back_off(now, first),
            }
        }
        // A zone that is cut off fails server by server: after a few in a row it is passed over as
        // a whole.
        let lost = matches!(outcome, Outcome::ConnectFailed | Outcome::Truncated | Outcome::Reset);
        let cut = self.zone_outages.entry(zone).or_default();
        if lost && self.shared_limit.is_some() {
            let backoff_doublings = cut.0.min(MAX_BACKOFF_DOUBLINGS + ZONE_BACKOFF_DOUBLINGS);
            *cut = (cut.0.saturating_add(1), now + ((first << backoff_doublings) >> ZONE_BACKOFF_DOUBLINGS));
        } else if !outcome.is_neutral() && outcome != Outcome::TimedOut {
            *cut = (0, 0);
        }
        let Ok(place) = self.endpoints.binary_search_by_key(&id, |s| s.id) else { return };
        let endpoint = &mut self.endpoints[place];
        if endpoint.started_at != started_at {
            return; // What a server's last process did says nothing of the new one.
        }
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        // What was not served counts as a whole aim: quick refusals and errors must not make it
        // look idle.
        let fair = matches!(outcome, Outcome::Served | Outcome::Stale | Outcome::Invalid);
        let least = if fair { 0.0 } else { longest_latency_objective };
        endpoint.record_busy_time(least.max(elapsed as f64), self.forwarded_count, per);
        let latency_pressure = (elapsed as f64 / limit).min(4.0);
        // A client in a hurry gave up before most answers come: that tells of the client. A thin
        // balancer calls a server so seldom that it cannot wait for more: it heeds each time-out.
        let (timed_out, thin) = (outcome == Outcome::TimedOut, self.shared_limit.is_some());
        let hurried = timed_out && !thin && latency.as_ref().is_some_and(|p| (elapsed as f64) < p.tail);
        let alone = endpoint.rejects_only_class(class_id, outcome, sent, now, first);
        let failed = match outcome {
            Outcome::Served => false,
            // Late while others are answered: the server is slow, not gone, and is sent less, not
            // nothing.
            Outcome::TimedOut if endpoint.last_served_at > sent && !hurried && !thin => false,
            _ if outcome.is_neutral() || hurried || alone => {
                endpoint.limit.trial_in_flight &= trial != Trial::Endpoint;
                return;
            }
            _ => true,
        };
        // A time-out proves less than an error: a crowded server may owe a lone call for that long.
        // So does what one connection did: now and then an answer is spoilt or breaks off at any
        // server.
        let weight = match outcome {
            Outcome::TimedOut if thin => SHARED_TIMEOUT_SMOOTHING,
            Outcome::TimedOut | Outcome::Unknown | Outcome::Reset => FAILURE_RATE_SMOOTHING / 2.0,
            _ => FAILURE_RATE_SMOOTHING,
        };
        endpoint.failure_rate += (if failed { 1.0 } else { 0.0 } - endpoint.failure_rate) * weight;
        // Few answers a second must not make the strain a memory of long ago.
        let gap = now.saturating_sub(endpoint.heard) as f64 / longest_latency_objective;
        let weight = LATENCY_SMOOTHING.max(1.0 - (-gap).exp());
        endpoint.heard = now;
        let before = endpoint.latency_pressure;
        if !failed {
            endpoint.latency_pressure +=
                (latency_pressure.max(endpoint.reported_load) - endpoint.latency_pressure) * weight;
            endpoint.samples_since_change += 1;
        }
        // Answers alone would make the mean that of the lucky: late ones count for what was waited.
        latency.filter(|_| !failed).into_iter().for_each(|p| p.record(now, elapsed as f64));
        if outcome == Outcome::Served {
            endpoint.last_served_at = now;
            self.served += 1;
        }
        // Latency well above an unloaded server's is the sign, beside refusals, of too much in
        // flight.
        if outcome == Outcome::Rejected {
            endpoint.limit.cut(REJECTION_CUT_FACTOR, true);
            // Fast refusals leave it looking idle: without a pause it would draw in call after
            // call.
            endpoint.not_before = endpoint.not_before.max(now + longest as Micros);
        } else if endpoint.latency_pressure > 1.0 && endpoint.is_settled(now, longest) {
            endpoint
                .limit
                .cut(1.0 / endpoint.latency_pressure, endpoint.latency_pressure > DEEP_CUT_LATENCY_PRESSURE);
            // The cut answers for part of it: one jam is cut for once.
            endpoint.latency_pressure = endpoint.latency_pressure.sqrt();
            (endpoint.samples_since_change, endpoint.changed) = (0, now);
        }
        let was_up = endpoint.limit.steps > 0;
        // One connection that broke is no proof against a server that has only just answered: a
        // step goes when one more breaks soon after, and the last step with the server's share of
        // failures.
        let lively = endpoint.last_served_at > 0 && now.saturating_sub(endpoint.last_served_at) <= first;
        let proof = endpoint.failure_rate > EJECTION_FAILURE_RATE / 2.0 && endpoint.limit.steps > 1;
        endpoint.limit.steps -= u32::from(lost && was_up && (proof || !lively));
        endpoint.limit.trial_in_flight &= trial != Trial::Endpoint;
        if trial == Trial::Endpoint {
            if outcome != Outcome::Served {
                endpoint.limit.back_off(now, first);
            } else if was_up || endpoint.failure_rate < EJECTION_FAILURE_RATE / 2.0 {
                endpoint.limit.trial_served();
                (endpoint.samples_since_change, endpoint.changed) = (0, now);
                if !was_up {
                    actions.push(Action::Log(LogEvent::EndpointReadmitted(endpoint.id)));
                }
            }
        }
        // Fast errors and refusals make a server look idle: its budget alone would draw calls in.
        // One that is slow under a shared budget is crowded by all: it recovers only when all leave
        // it alone.
        let most = self
            .shared_limit
            .as_ref()
            .map(|p| EJECTION_LATENCY_PRESSURE.max(p.latency_pressure * EJECTION_SHARED_PRESSURE_MULTIPLE));
        let warm = endpoint.warm_up(now, &self.settings.slow_start) >= 1.0;
        let slow = warm
            && !failed
            && before > EJECTION_PRIOR_LATENCY_PRESSURE
            && most.is_some_and(|most| endpoint.latency_pressure > most);
        if was_up
            && (slow || endpoint.failure_rate > EJECTION_FAILURE_RATE)
            && (self.ejected_count + 1) * 2 <= self.listed
        {
            endpoint.limit.steps = 0;
        }
        if was_up && endpoint.limit.steps == 0 {
            endpoint.limit.back_off(now, first);
            // What it showed before says nothing of how it will be when it comes back.
            endpoint.latency_pressure = 1.0;
            actions.push(Action::Log(LogEvent::EndpointEjected(endpoint.id)));
        }
        // Many balancers that each try it now and then are no rest: it is tried by a part of the
        // usual calls, at first a quarter of its share of them.
        if self.shared_limit.is_some() && (outcome == Outcome::Rejected || endpoint.limit.steps == 0) {
            endpoint.cool_down_until =
                self.served + ((per as u64) << (COOL_DOWN_DOUBLINGS + endpoint.limit.backoff_doublings));
        }
        if outcome == Outcome::Served {
            self.grant_slow_start_credit(now);
        }
        self.refresh_counts();
    }
}
