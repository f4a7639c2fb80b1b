//! An endpoint as this balancer sees it: what was sent to it, how that ended, and whether it can
//! take more.

use crate::class_rejections::ClassRejections;
use crate::concurrency_limit::ConcurrencyLimit;
use crate::latency::LATENCY_SMOOTHING;
use crate::shared_limit::UTILIZATION_MEMORY_US;
use crate::{CellId, EndpointEntry, EndpointId, Micros, Settings, SlowStart, ZoneId};

/// Memory of an endpoint's recent load, in requests that this balancer forwards per endpoint:
/// requests differ in their work far more than endpoints in their speed.
const RECENT_LOAD_MEMORY_ROUNDS: f64 = 16.0;
/// Typical latencies after which a changed limit has taken effect, however few attempts have ended.
const SETTLING_TYPICAL_LATENCIES: f64 = 2.0;
/// A cool-down ends this long after the last attempt, even if nothing was served meanwhile.
const MAX_COOL_DOWN_US: f64 = 3.0 * UTILIZATION_MEMORY_US;

/// State of an endpoint.
#[derive(Debug, Default)]
pub(crate) struct Endpoint {
    pub(crate) id: EndpointId,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    /// Whether the list has it as ready.
    pub(crate) is_listed: bool,
    /// Its start by the list's clock, which tells its processes apart; 0: long ago.
    pub(crate) started_at: Micros,
    /// Its start by this balancer's clock.
    pub(crate) local_start: Micros,
    pub(crate) in_flight: u32,
    pub(crate) limit: ConcurrencyLimit,
    pub(crate) weight: f64,
    /// Time that attempts recently took there, decaying; in microseconds.
    recent_busy_us: f64,
    /// Number of requests that had been forwarded when that was updated.
    recent_busy_updated: u64,
    /// Time of responses relative to what their classes allow; 1 is the limit.
    pub(crate) latency_pressure: f64,
    /// Load that it last reported, on the scale of the latency pressure.
    pub(crate) reported_load: f64,
    pub(crate) samples_since_limit_change: u32,
    pub(crate) limit_changed_at: Micros,
    /// When an attempt last ended there.
    pub(crate) last_ended_at: Micros,
    pub(crate) last_served_at: Micros,
    /// Recent fraction of attempts that failed.
    pub(crate) failure_rate: f64,
    /// Nothing is sent to it before this time.
    pub(crate) paused_until: Micros,
    /// Nothing is sent to it before this balancer has had that many requests served.
    pub(crate) cool_down_until_served: u64,
    /// While it warms up, a request may be sent to it for one unit of credit, or at the due time.
    pub(crate) slow_start_credit: f64,
    pub(crate) slow_start_due_at: Micros,
    pub(crate) class_rejections: ClassRejections,
}

impl Endpoint {
    pub(crate) fn new(entry: &EndpointEntry, local_start: Micros, settings: &Settings) -> Self {
        Endpoint {
            id: entry.endpoint,
            zone: entry.zone,
            cell: entry.cell,
            started_at: entry.started_at,
            local_start,
            weight: 1.0,
            limit: ConcurrencyLimit::new(settings.balancer_count),
            class_rejections: ClassRejections::new(settings.classes.len()),
            ..Endpoint::default()
        }
    }

    /// Recent busy time relative to the endpoint's weight. `forwarded_count` is the number of
    /// requests that this balancer has forwarded, to `endpoint_count` endpoints.
    pub(crate) fn recent_load(&self, forwarded_count: f64, endpoint_count: f64) -> f64 {
        let age = forwarded_count - self.recent_busy_updated as f64;
        let memory = endpoint_count * RECENT_LOAD_MEMORY_ROUNDS;
        self.recent_busy_us * (-age / memory).exp() / self.weight
    }

    /// Adds the time that an attempt took, in microseconds.
    pub(crate) fn record_busy_time(
        &mut self,
        time: f64,
        forwarded_count: u64,
        endpoint_count: f64,
    ) {
        let recent = self.recent_load(forwarded_count as f64, endpoint_count) * self.weight;
        self.recent_busy_us = recent + time;
        self.recent_busy_updated = forwarded_count;
    }

    /// Fraction of its capacity, 0 to 1, that it has at the least while it warms up.
    pub(crate) fn warm_up(&self, now: Micros, slow_start: &SlowStart) -> f64 {
        let age = now.saturating_sub(self.local_start);
        if self.started_at == 0 || age >= slow_start.duration {
            return 1.0;
        }
        slow_start.initial_capacity
            + (1.0 - slow_start.initial_capacity) * age as f64 / slow_start.duration as f64
    }

    pub(crate) fn is_warm(&self, now: Micros, slow_start: &SlowStart) -> bool {
        self.warm_up(now, slow_start) >= 1.0
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.limit.steps == 0
    }

    /// Whether it has as many requests in flight as its limit allows.
    pub(crate) fn is_full(&self, now: Micros, slow_start: &SlowStart) -> bool {
        let limit = self.limit.total() * self.warm_up(now, slow_start);
        self.in_flight >= (limit + 0.5).max(1.0) as u32
    }

    /// Whether it is listed and no pause, cool-down or slow start excludes it now. `served_count`
    /// is the number of requests that this balancer has had served.
    fn accepts_requests(&self, now: Micros, served_count: u64, slow_start: &SlowStart) -> bool {
        let is_due = self.slow_start_credit >= 1.0
            || now >= self.slow_start_due_at
            || self.is_warm(now, slow_start);
        let has_cooled_down = served_count >= self.cool_down_until_served
            || now.saturating_sub(self.last_ended_at) as f64 >= MAX_COOL_DOWN_US;
        self.is_listed && now >= self.paused_until && is_due && has_cooled_down
    }

    /// Whether requests may be sent to it within its limit.
    pub(crate) fn is_usable(&self, now: Micros, served_count: u64, slow_start: &SlowStart) -> bool {
        !self.is_ejected() && self.accepts_requests(now, served_count, slow_start)
    }

    /// Whether it is ejected and a request may be sent to it to find out whether it has recovered.
    pub(crate) fn is_awaiting_trial(
        &self,
        now: Micros,
        served_count: u64,
        slow_start: &SlowStart,
    ) -> bool {
        self.is_ejected()
            && self.limit.is_trial_ready(now)
            && self.accepts_requests(now, served_count, slow_start)
    }

    /// Whether enough attempts have ended, or enough time has passed, since its limit was changed
    /// to tell what the change did.
    pub(crate) fn is_settled(&self, now: Micros, typical_latency: f64) -> bool {
        let samples = self.samples_since_limit_change;
        let since_change = now.saturating_sub(self.limit_changed_at) as f64;
        samples >= self.in_flight.max(1)
            && (f64::from(samples) * LATENCY_SMOOTHING >= 1.0
                || since_change >= SETTLING_TYPICAL_LATENCIES * typical_latency)
    }

    /// Starts a new count of samples after its limit was changed.
    pub(crate) fn mark_limit_changed(&mut self, now: Micros) {
        self.samples_since_limit_change = 0;
        self.limit_changed_at = now;
    }
}
