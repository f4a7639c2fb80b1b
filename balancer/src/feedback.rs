//! Updates the state of endpoints and zones, and the limits, from the outcomes of attempts and from
//! load reports.

use crate::attempt::{Attempt, Trial};
use crate::balancer::Balancer;
use crate::ended_attempt::{AttemptHealth, EndedAttempt, MAX_LATENCY_PRESSURE};
use crate::latency::LATENCY_SMOOTHING;
use crate::{Action, LoadReport, Micros, Outcome, RequestId};

/// Factor by which a rejection cuts an endpoint's limit.
const REJECTION_CUT_FACTOR: f64 = 0.8;
/// Latency pressure above which a cut may go below the floor.
const DEEP_CUT_LATENCY_PRESSURE: f64 = 1.5;
/// Reported CPU utilization that counts as a latency pressure of 1: queues grow steeply above it.
const FULL_CPU_UTILIZATION: f64 = 0.9;

impl Balancer {
    /// Records an endpoint's load report as a latency pressure: the number of queued requests per
    /// executing request or, if these are not reported, the CPU utilization relative to
    /// [`FULL_CPU_UTILIZATION`].
    pub(crate) fn record_load_report(&mut self, id: RequestId, attempt: u32, load: LoadReport) {
        let request = self.requests.get(&id);
        let Some(attempt) = request.and_then(|request| request.attempts.get(attempt as usize))
        else {
            return;
        };
        let Some(index) = self.endpoints.index_of(attempt.endpoint) else {
            return;
        };
        let pressure = match load {
            LoadReport {
                in_flight: Some(in_flight),
                queued: Some(queued),
                ..
            } => queued / (in_flight - queued).max(1.0),
            LoadReport {
                cpu_utilization: Some(utilization),
                ..
            } => utilization / FULL_CPU_UTILIZATION,
            _ => return,
        };
        let is_valid = pressure.is_finite();
        self.endpoints[index].reported_load = if is_valid {
            pressure.clamp(0.0, MAX_LATENCY_PRESSURE)
        } else {
            0.0
        };
    }

    /// Updates the shared limit, the health of the zone and the state of the endpoint after an
    /// attempt has ended. `reported_elapsed` is its duration as measured by the proxy.
    pub(crate) fn record_attempt_end(
        &mut self,
        now: Micros,
        attempt: Attempt,
        outcome: Outcome,
        reported_elapsed: Micros,
        actions: &mut Vec<Action>,
    ) {
        if attempt.upload.is_uploading() {
            self.end_upload(now, &attempt);
        }
        let ended = self.ended_attempt(now, attempt, outcome, reported_elapsed);
        self.update_shared_limit(&ended);
        self.update_zone_health(&ended);
        let Some(index) = self.endpoints.index_of(attempt.endpoint) else {
            return;
        };
        if self.endpoints[index].listed_start != attempt.endpoint_listed_start {
            // Outcomes of an endpoint's previous process don't apply to its current one.
            return;
        }
        self.remove_in_flight(&ended, index);
        let health = self.classify(&ended, index);
        if health == AttemptHealth::Neutral {
            self.endpoints[index].limit.trial_in_flight &= attempt.trial != Trial::Endpoint;
            return;
        }
        self.update_failure_rate(&ended, index, health);
        let previous_pressure = self.update_latency(&ended, index, health);
        self.update_concurrency_limit(&ended, index);
        let was_ejected = self.endpoints[index].is_ejected();
        self.remove_step_if_connection_lost(&ended, index);
        self.end_endpoint_trial(&ended, index, was_ejected, actions);
        if !was_ejected {
            self.eject_outlier(&ended, index, health, previous_pressure, actions);
        }
        self.start_cool_down(&ended, index);
        if ended.is_served() {
            self.grant_slow_start_credit(now);
        }
        self.refresh_endpoint_counts();
    }

    fn ended_attempt(
        &self,
        now: Micros,
        attempt: Attempt,
        outcome: Outcome,
        reported_elapsed: Micros,
    ) -> EndedAttempt {
        let since_sent = now.saturating_sub(attempt.sent_at);
        let elapsed = if attempt.upload.is_uploading() {
            0.0
        } else {
            reported_elapsed.max(since_sent) as f64
        };
        let estimate = self.latencies.get(attempt.class_id);
        let overload_threshold =
            estimate.map_or(f64::MAX, |estimate| estimate.overload_threshold());
        EndedAttempt {
            now,
            attempt,
            outcome,
            elapsed,
            initial_backoff: self.initial_backoff(),
            longest_latency_objective: self.settings.longest_latency_objective(),
            longest_mean_latency: self.latencies.longest_mean(),
            mean_latency: self.mean_latency_of_attempt(&attempt),
            subset_size: self.subset_size(),
            latency_pressure: (elapsed / overload_threshold).min(MAX_LATENCY_PRESSURE),
            shared_latency_pressure: estimate
                .map_or(0.0, |estimate| estimate.shared_latency_pressure(elapsed)),
            // Under a shared limit a balancer usually has less than one request in flight per
            // endpoint, so every timeout counts.
            has_short_deadline: outcome == Outcome::TimedOut
                && self.shared_limit.is_none()
                && estimate.is_some_and(|estimate| elapsed < estimate.tail),
        }
    }

    fn update_shared_limit(&mut self, ended: &EndedAttempt) {
        let Some(shared_limit) = &mut self.shared_limit else {
            return;
        };
        let EndedAttempt {
            now,
            attempt,
            outcome,
            elapsed,
            ..
        } = ended;
        shared_limit.end_attempt(*now, *elapsed, ended.mean_latency);
        // Attempts that were not executed are left out: a rejection concerns a single endpoint,
        // usually a draining one, and not the load of all.
        if !outcome.is_neutral() && !outcome.was_not_executed() {
            let pressure = ended.shared_latency_pressure;
            shared_limit.record_latency(*now, attempt.sent_at, pressure, *elapsed);
        }
        shared_limit.end_trial(*now, attempt, *outcome, ended.initial_backoff);
    }

    fn update_zone_health(&mut self, ended: &EndedAttempt) {
        let zone = ended.attempt.zone;
        if ended.is_connection_lost() && self.shared_limit.is_some() {
            self.zone_outages
                .record_failure(zone, ended.now, ended.initial_backoff);
        } else if !ended.outcome.is_neutral() && ended.outcome != Outcome::TimedOut {
            self.zone_outages.record_success(zone);
        }
    }

    fn remove_in_flight(&mut self, ended: &EndedAttempt, index: usize) {
        let endpoint = &mut self.endpoints[index];
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        // A minimum time keeps an endpoint with fast errors and rejections from looking idle.
        let counts_actual_time = matches!(
            ended.outcome,
            Outcome::Served | Outcome::Stale | Outcome::Invalid
        );
        let min_busy_time = if counts_actual_time {
            0.0
        } else {
            ended.longest_latency_objective
        };
        let busy_time = min_busy_time.max(ended.elapsed);
        endpoint.record_busy_time(busy_time, self.forwarded_count, ended.subset_size as f64);
    }

    fn classify(&mut self, ended: &EndedAttempt, index: usize) -> AttemptHealth {
        let EndedAttempt {
            now,
            ref attempt,
            outcome,
            has_short_deadline,
            ..
        } = *ended;
        let endpoint = &mut self.endpoints[index];
        let rejects_only_class = endpoint.class_rejections.record(
            attempt.class_id,
            outcome,
            attempt.sent_at,
            now,
            ended.initial_backoff,
        );
        // The endpoint has served another request since this attempt was sent: it is slow, and
        // should get fewer requests rather than be ejected.
        let is_only_slow = outcome == Outcome::TimedOut
            && endpoint.last_served_at > attempt.sent_at
            && self.shared_limit.is_none();
        if outcome == Outcome::Served {
            AttemptHealth::Healthy
        } else if outcome.is_neutral() || has_short_deadline || rejects_only_class {
            AttemptHealth::Neutral
        } else if is_only_slow {
            AttemptHealth::Healthy
        } else {
            AttemptHealth::Failed
        }
    }

    /// Updates the endpoint's latency pressure and the latency estimate of the attempt's class.
    /// Returns the previous latency pressure.
    fn update_latency(&mut self, ended: &EndedAttempt, index: usize, health: AttemptHealth) -> f64 {
        let endpoint = &mut self.endpoints[index];
        let previous_pressure = endpoint.latency_pressure;
        let gap = ended.now.saturating_sub(endpoint.last_ended_at) as f64;
        endpoint.last_ended_at = ended.now;
        if health == AttemptHealth::Healthy {
            // A sample's weight grows with the time since the previous sample, with the longest
            // latency objective as the time constant, so that old samples lose weight at endpoints
            // that get few requests.
            let age = gap / ended.longest_latency_objective;
            let weight = LATENCY_SMOOTHING.max(1.0 - (-age).exp());
            let pressure = ended.latency_pressure.max(endpoint.reported_load);
            endpoint.latency_pressure += (pressure - previous_pressure) * weight;
            endpoint.samples_since_limit_change += 1;
            // Timeouts are recorded as well, as the mean would otherwise be that of fast responses
            // only.
            if let Some(estimate) = self.latencies.get_mut(ended.attempt.class_id) {
                estimate.record(ended.now, ended.elapsed);
            }
        }
        if ended.is_served() {
            endpoint.last_served_at = ended.now;
            self.served_count += 1;
        }
        previous_pressure
    }

    /// Cuts the endpoint's limit after a rejection, or if its responses take too long.
    fn update_concurrency_limit(&mut self, ended: &EndedAttempt, index: usize) {
        let endpoint = &mut self.endpoints[index];
        if ended.outcome == Outcome::Rejected {
            endpoint.limit.cut(REJECTION_CUT_FACTOR, true);
            // Fast rejections make the endpoint look idle: without a pause it would attract one
            // request after another.
            let pause_end = ended.now + ended.longest_mean_latency as Micros;
            endpoint.paused_until = endpoint.paused_until.max(pause_end);
        } else if endpoint.latency_pressure > 1.0
            && endpoint.can_judge_limit_change(ended.now, ended.longest_mean_latency)
        {
            let is_deep = endpoint.latency_pressure > DEEP_CUT_LATENCY_PRESSURE;
            endpoint.limit.cut(1.0 / endpoint.latency_pressure, is_deep);
            // The cut is expected to relieve part of the latency pressure.
            endpoint.latency_pressure = endpoint.latency_pressure.sqrt();
            endpoint.mark_limit_changed(ended.now);
        }
    }
}
