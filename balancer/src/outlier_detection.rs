//! Ejects endpoints that fail or are slow, and readmits them once they have recovered.

use crate::attempt::Trial;
use crate::balancer::Balancer;
use crate::ended_attempt::{AttemptHealth, EndedAttempt};
use crate::endpoint::Endpoint;
use crate::{Action, LogEvent, Micros, Outcome};

/// Weight of a new outcome in an endpoint's failure rate.
const FAILURE_RATE_SMOOTHING: f64 = 0.2;
/// Failure rate above which an endpoint is ejected.
pub(crate) const EJECTION_FAILURE_RATE: f64 = 0.3;
/// Weight of a timeout in the failure rate under a shared limit. A single timeout is enough for an
/// ejection: the number of timeouts until all balancers have ejected an overloaded endpoint grows
/// with the number of balancers, and meanwhile the endpoint would stay overloaded.
const SHARED_TIMEOUT_SMOOTHING: f64 = 1.2 * EJECTION_FAILURE_RATE;
/// Latency pressure above which an endpoint is ejected under a shared limit: this value or
/// [`EJECTION_SHARED_PRESSURE_MULTIPLE`] times the shared latency pressure, whichever is higher.
const EJECTION_LATENCY_PRESSURE: f64 = 1.1;
const EJECTION_SHARED_PRESSURE_MULTIPLE: f64 = 1.3;
/// Latency pressure that the endpoint must have exceeded before its last response too, as a single
/// response may be late by chance.
const EJECTION_PRIOR_LATENCY_PRESSURE: f64 = 0.8;
/// A cool-down lasts for as many served requests as the subset has endpoints, doubled this many
/// times and once more for each doubling of the endpoint's backoff.
const COOL_DOWN_DOUBLINGS: u32 = 2;

impl Balancer {
    /// Number of ready endpoints that get no requests at present: those that are ejected and
    /// neither have a trial in flight nor may be sent one, and those in a zone that is avoided.
    pub fn unavailable_count(&self, now: Micros) -> usize {
        let is_avoided = |endpoint: &&Endpoint| {
            let is_tried = endpoint.limit.trial_in_flight
                || endpoint.is_awaiting_trial(now, self.served_count, &self.settings.slow_start);
            endpoint.is_ready
                && (endpoint.is_ejected() && !is_tried
                    || !self.zone_outages.accepts_requests(endpoint.zone, now))
        };
        self.endpoints.iter().filter(is_avoided).count()
    }

    /// Updates the endpoint's failure rate after an attempt that affects its health.
    pub(crate) fn update_failure_rate(
        &mut self,
        ended: &EndedAttempt,
        index: usize,
        health: AttemptHealth,
    ) {
        // A timeout is weaker evidence of a fault than an error, as an overloaded endpoint may take
        // that long. So is a single broken connection or response, which happens at any endpoint.
        let weight = match ended.outcome {
            Outcome::TimedOut if self.shared_limit.is_some() => SHARED_TIMEOUT_SMOOTHING,
            Outcome::TimedOut | Outcome::Unknown | Outcome::Reset => FAILURE_RATE_SMOOTHING / 2.0,
            _ => FAILURE_RATE_SMOOTHING,
        };
        let sample = if health == AttemptHealth::Failed {
            1.0
        } else {
            0.0
        };
        let endpoint = &mut self.endpoints[index];
        endpoint.failure_rate += (sample - endpoint.failure_rate) * weight;
    }

    /// Removes a step from the limit of an endpoint whose connection was lost. Shortly after the
    /// endpoint served a request, one lost connection is not enough: a step is only removed if the
    /// failure rate is high from earlier losses, and the last step only by ejecting the endpoint
    /// for its failure rate.
    pub(crate) fn remove_step_if_connection_lost(&mut self, ended: &EndedAttempt, index: usize) {
        let endpoint = &mut self.endpoints[index];
        let since_served = ended.now.saturating_sub(endpoint.last_served_at);
        let served_recently = endpoint.last_served_at > 0 && since_served <= ended.initial_backoff;
        let may_remove_step_for_failures =
            endpoint.failure_rate > EJECTION_FAILURE_RATE / 2.0 && endpoint.limit.steps > 1;
        if ended.is_connection_lost()
            && !endpoint.is_ejected()
            && (may_remove_step_for_failures || !served_recently)
        {
            endpoint.limit.steps -= 1;
        }
    }

    /// If the attempt was a trial at its endpoint, raises the endpoint's limit or backs off. A
    /// served trial readmits an ejected endpoint unless too many of its recent attempts failed.
    pub(crate) fn end_endpoint_trial(
        &mut self,
        ended: &EndedAttempt,
        index: usize,
        was_ejected: bool,
        actions: &mut Vec<Action>,
    ) {
        if ended.attempt.trial != Trial::Endpoint {
            return;
        }
        let endpoint = &mut self.endpoints[index];
        endpoint.limit.trial_in_flight = false;
        if !ended.is_served() {
            endpoint.limit.back_off(ended.now, ended.initial_backoff);
        } else if !was_ejected || endpoint.failure_rate < EJECTION_FAILURE_RATE / 2.0 {
            endpoint.limit.raise();
            endpoint.mark_limit_changed(ended.now);
            if was_ejected {
                actions.push(Action::Log(LogEvent::EndpointReadmitted(endpoint.id)));
            }
        }
    }

    /// Ejects an endpoint that has no steps left, fails too often, or is much slower than the
    /// average.
    pub(crate) fn eject_outlier(
        &mut self,
        ended: &EndedAttempt,
        index: usize,
        health: AttemptHealth,
        previous_pressure: f64,
        actions: &mut Vec<Action>,
    ) {
        let is_outlier = self.endpoints[index].failure_rate > EJECTION_FAILURE_RATE
            || health == AttemptHealth::Healthy
                && self.is_slow_outlier(ended, index, previous_pressure);
        let may_eject = self.endpoints.has_ejection_capacity();
        let endpoint = &mut self.endpoints[index];
        if is_outlier && may_eject {
            endpoint.limit.steps = 0;
        }
        if endpoint.is_ejected() {
            endpoint.limit.back_off(ended.now, ended.initial_backoff);
            // The latency pressure before the ejection does not predict the one after readmission.
            endpoint.latency_pressure = 1.0;
            actions.push(Action::Log(LogEvent::EndpointEjected(endpoint.id)));
        }
    }

    /// Whether a warm endpoint is much slower than the average. Slow endpoints are only ejected
    /// under a shared limit: there the load of all balancers together overloads them, and they
    /// recover when no balancer sends them requests.
    fn is_slow_outlier(&self, ended: &EndedAttempt, index: usize, previous_pressure: f64) -> bool {
        let Some(shared_limit) = &self.shared_limit else {
            return false;
        };
        let endpoint = &self.endpoints[index];
        let max_pressure = EJECTION_LATENCY_PRESSURE
            .max(shared_limit.latency_pressure * EJECTION_SHARED_PRESSURE_MULTIPLE);
        endpoint.is_warm(ended.now, &self.settings.slow_start)
            && previous_pressure > EJECTION_PRIOR_LATENCY_PRESSURE
            && endpoint.latency_pressure > max_pressure
    }

    /// Under a shared limit, excludes an endpoint that rejected a request or is ejected until a
    /// number of other requests have been served. With a fixed duration instead, the rate of trials
    /// at the endpoint would grow with the number of balancers.
    pub(crate) fn start_cool_down(&mut self, ended: &EndedAttempt, index: usize) {
        let endpoint = &mut self.endpoints[index];
        let needs_cool_down = ended.outcome == Outcome::Rejected || endpoint.is_ejected();
        if self.shared_limit.is_some() && needs_cool_down {
            let doublings = COOL_DOWN_DOUBLINGS + endpoint.limit.backoff_doublings;
            let served_requests = (ended.subset_size as u64) << doublings;
            endpoint.cool_down_until_served_count = self.served_count + served_requests;
        }
    }
}
