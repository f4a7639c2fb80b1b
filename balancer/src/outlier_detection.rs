//! Ejection and readmission of endpoints that fail or are slow, and which endpoints are avoided.

use crate::attempt::Trial;
use crate::balancer::Balancer;
use crate::ended_attempt::{EndedAttempt, Verdict};
use crate::endpoint::Endpoint;
use crate::{Action, LogEvent, Micros, Outcome};

/// Weight of a new outcome in an endpoint's failure rate.
const FAILURE_RATE_SMOOTHING: f64 = 0.2;
/// Failure rate beyond which an endpoint is ejected.
pub(crate) const EJECTION_FAILURE_RATE: f64 = 0.3;
/// Weight of a timeout under a shared limit: one is enough for an ejection. Very many balancers
/// that each wait for several would keep an overloaded endpoint overloaded.
const SHARED_TIMEOUT_SMOOTHING: f64 = 1.2 * EJECTION_FAILURE_RATE;
/// Latency pressure beyond which an endpoint is ejected under a shared limit: at least this, and
/// this multiple of the pressure at all endpoints.
const EJECTION_LATENCY_PRESSURE: f64 = 1.1;
const EJECTION_SHARED_PRESSURE_MULTIPLE: f64 = 1.3;
/// Latency pressure that it must have had before the last response, which may be late by chance.
const EJECTION_PRIOR_LATENCY_PRESSURE: f64 = 0.8;
/// Doublings of a cool-down's length, in subset sizes of served requests, beyond those of the
/// endpoint's backoff.
const COOL_DOWN_DOUBLINGS: u32 = 2;

impl Balancer {
    /// Number of listed endpoints that get no requests now: they are ejected and not being tried,
    /// or in a zone that is avoided.
    pub fn unavailable_count(&self, now: Micros) -> usize {
        let is_avoided = |endpoint: &&Endpoint| {
            let is_tried = endpoint.limit.trial_in_flight
                || endpoint.is_awaiting_trial(now, self.served_count, &self.settings.slow_start);
            endpoint.is_listed
                && (endpoint.is_ejected() && !is_tried
                    || !self.zone_outages.is_reachable(endpoint.zone, now))
        };
        self.endpoints.iter().filter(is_avoided).count()
    }

    /// Updates an endpoint's failure rate.
    pub(crate) fn update_failure_rate(
        &mut self,
        ended: &EndedAttempt,
        index: usize,
        verdict: Verdict,
    ) {
        // A timeout says less than an error, as an overloaded endpoint may take that long; so does
        // one broken connection or response, which happens at any endpoint.
        let weight = match ended.outcome {
            Outcome::TimedOut if self.shared_limit.is_some() => SHARED_TIMEOUT_SMOOTHING,
            Outcome::TimedOut | Outcome::Unknown | Outcome::Reset => FAILURE_RATE_SMOOTHING / 2.0,
            _ => FAILURE_RATE_SMOOTHING,
        };
        let sample = if verdict == Verdict::Failed { 1.0 } else { 0.0 };
        let endpoint = &mut self.endpoints[index];
        endpoint.failure_rate += (sample - endpoint.failure_rate) * weight;
    }

    /// Takes a step from the limit of an endpoint whose connection was lost. One lost connection is
    /// not enough shortly after it served: a step goes when another is lost soon after, the last
    /// step with the failure rate.
    pub(crate) fn update_steps(&mut self, ended: &EndedAttempt, index: usize) {
        let endpoint = &mut self.endpoints[index];
        let since_served = ended.now.saturating_sub(endpoint.last_served_at);
        let served_recently = endpoint.last_served_at > 0 && since_served <= ended.initial_backoff;
        let fails_often =
            endpoint.failure_rate > EJECTION_FAILURE_RATE / 2.0 && endpoint.limit.steps > 1;
        if ended.is_connection_lost() && !endpoint.is_ejected() && (fails_often || !served_recently)
        {
            endpoint.limit.steps -= 1;
        }
    }

    /// Raises an endpoint's limit, or backs off, if the attempt was its trial. A trial that is
    /// served readmits an ejected endpoint unless too many of its recent attempts failed.
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

    /// Ejects an endpoint that has no steps left, fails too often, or is much slower than all.
    pub(crate) fn eject_outlier(
        &mut self,
        ended: &EndedAttempt,
        index: usize,
        verdict: Verdict,
        previous_pressure: f64,
        actions: &mut Vec<Action>,
    ) {
        let is_outlier = self.endpoints[index].failure_rate > EJECTION_FAILURE_RATE
            || verdict == Verdict::Healthy && self.is_slow_outlier(ended, index, previous_pressure);
        let may_eject = self.endpoints.may_eject_another();
        let endpoint = &mut self.endpoints[index];
        if is_outlier && may_eject {
            endpoint.limit.steps = 0;
        }
        if endpoint.is_ejected() {
            endpoint.limit.back_off(ended.now, ended.initial_backoff);
            // Its pressure from before says nothing of how it will be when it is readmitted.
            endpoint.latency_pressure = 1.0;
            actions.push(Action::Log(LogEvent::EndpointEjected(endpoint.id)));
        }
    }

    /// Whether a warm endpoint is much slower than all. Only under a shared limit is it ejected for
    /// that: it is overloaded by all balancers, and recovers when all leave it alone.
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

    /// Under a shared limit an endpoint that rejects or is ejected is left alone for a number of
    /// served requests: by time alone very many balancers would try it too often together.
    pub(crate) fn cool_down(&mut self, ended: &EndedAttempt, index: usize) {
        let endpoint = &mut self.endpoints[index];
        let needs_cool_down = ended.outcome == Outcome::Rejected || endpoint.is_ejected();
        if self.shared_limit.is_some() && needs_cool_down {
            let doublings = COOL_DOWN_DOUBLINGS + endpoint.limit.backoff_doublings;
            let served_requests = (ended.subset_size as u64) << doublings;
            endpoint.cool_down_until_served = self.served_count + served_requests;
        }
    }
}
