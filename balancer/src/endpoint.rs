//! The state that this balancer keeps of an endpoint: its requests in flight, how earlier attempts
//! ended, and whether it can take more requests.

use crate::class_rejections::ClassRejections;
use crate::concurrency_limit::ConcurrencyLimit;
use crate::latency::LATENCY_SMOOTHING;
use crate::shared_limit::UTILIZATION_TIME_CONSTANT_US;
use crate::{CellId, EndpointEntry, EndpointId, Micros, Settings, SlowStart, ZoneId};

/// Number of requests forwarded per endpoint over which an endpoint's recent load decays by a
/// factor of e. It spans many requests because requests differ far more in work than endpoints do
/// in speed.
const RECENT_LOAD_DECAY_REQUESTS: f64 = 16.0;
/// Time after which the effect of a changed limit can be judged even if fewer attempts than the
/// moving average spans have ended since, in mean latencies.
const LIMIT_CHANGE_MEAN_LATENCIES: f64 = 2.0;
/// A cool-down ends at the latest this long after the last attempt ended, however few requests have
/// been served since.
const MAX_COOL_DOWN_US: f64 = 3.0 * UTILIZATION_TIME_CONSTANT_US;

/// This balancer's state of one endpoint.
#[derive(Debug, Default)]
pub(crate) struct Endpoint {
    pub(crate) id: EndpointId,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    /// Whether the endpoint list contains it as ready.
    pub(crate) is_ready: bool,
    /// When its process started by the clock of the endpoint list, which distinguishes its process
    /// from earlier ones; 0 if long ago or unknown.
    pub(crate) listed_start: Micros,
    /// When its process started by this balancer's clock, as estimated.
    pub(crate) local_start: Micros,
    /// Number of attempts that it may be working on: those that are not still being uploaded.
    pub(crate) in_flight: u32,
    /// Number of attempts that are still being written to it and wait for it to read.
    pub(crate) uploading: u32,
    pub(crate) limit: ConcurrencyLimit,
    pub(crate) weight: f64,
    /// Exponentially decaying sum of the time that its attempts took, in microseconds.
    recent_busy_us: f64,
    /// Value of the balancer's `forwarded_count` when `recent_busy_us` was last updated.
    recent_busy_updated_at_count: u64,
    /// Moving average of the latency pressure of its responses; above 1 its limit is cut.
    pub(crate) latency_pressure: f64,
    /// Load that it last reported, converted to the scale of `latency_pressure`.
    pub(crate) reported_load: f64,
    pub(crate) samples_since_limit_change: u32,
    pub(crate) limit_changed_at: Micros,
    /// When an attempt at it last ended; attempts that are neutral about its health don't count.
    pub(crate) last_ended_at: Micros,
    pub(crate) last_served_at: Micros,
    /// Moving average of the fraction of attempts that failed.
    pub(crate) failure_rate: f64,
    /// No request is sent to it before this time.
    pub(crate) paused_until: Micros,
    /// No request is sent to it until the balancer's `served_count` reaches this, or its cool-down
    /// times out.
    pub(crate) cool_down_until_served_count: u64,
    /// During slow start a request may be sent to it for one unit of credit, or without credit from
    /// `slow_start_due_at` on.
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
            listed_start: entry.started_at,
            local_start,
            weight: 1.0,
            limit: ConcurrencyLimit::new(settings.balancer_count),
            class_rejections: ClassRejections::new(settings.classes.len()),
            ..Endpoint::default()
        }
    }

    /// Recent busy time divided by the endpoint's weight. `forwarded_count` is the number of
    /// attempts that this balancer has forwarded, and `endpoint_count` the number of endpoints that
    /// it spreads them over.
    pub(crate) fn recent_load(&self, forwarded_count: f64, endpoint_count: f64) -> f64 {
        let age = forwarded_count - self.recent_busy_updated_at_count as f64;
        let decay_requests = endpoint_count * RECENT_LOAD_DECAY_REQUESTS;
        self.recent_busy_us * (-age / decay_requests).exp() / self.weight
    }

    /// Adds the time that an attempt took, in microseconds, to the recent busy time.
    pub(crate) fn record_busy_time(
        &mut self,
        busy_time: f64,
        forwarded_count: u64,
        endpoint_count: f64,
    ) {
        let recent_busy = self.recent_load(forwarded_count as f64, endpoint_count) * self.weight;
        self.recent_busy_us = recent_busy + busy_time;
        self.recent_busy_updated_at_count = forwarded_count;
    }

    /// Minimum capacity that it has at present, as a fraction of its full capacity; it rises
    /// linearly to 1 during slow start.
    pub(crate) fn warm_up_fraction(&self, now: Micros, slow_start: &SlowStart) -> f64 {
        let age = now.saturating_sub(self.local_start);
        if self.listed_start == 0 || age >= slow_start.duration {
            return 1.0;
        }
        slow_start.initial_capacity
            + (1.0 - slow_start.initial_capacity) * age as f64 / slow_start.duration as f64
    }

    pub(crate) fn is_warm(&self, now: Micros, slow_start: &SlowStart) -> bool {
        self.warm_up_fraction(now, slow_start) >= 1.0
    }

    /// Number of attempts that are out at it, also while they are being written.
    pub(crate) fn outstanding(&self) -> u32 {
        self.in_flight + self.uploading
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.limit.steps == 0
    }

    /// Whether it has as many requests in flight as its limit, reduced during slow start, allows.
    pub(crate) fn is_full(&self, now: Micros, slow_start: &SlowStart) -> bool {
        let limit = self.limit.max_in_flight() * self.warm_up_fraction(now, slow_start);
        self.in_flight >= (limit + 0.5).max(1.0) as u32
    }

    /// Whether it is ready and not excluded at present by a pause, a cool-down or slow start.
    /// `served_count` is the number of attempts that this balancer has had served.
    fn accepts_requests(&self, now: Micros, served_count: u64, slow_start: &SlowStart) -> bool {
        let is_due = self.slow_start_credit >= 1.0
            || now >= self.slow_start_due_at
            || self.is_warm(now, slow_start);
        let has_cooled_down = served_count >= self.cool_down_until_served_count
            || now.saturating_sub(self.last_ended_at) as f64 >= MAX_COOL_DOWN_US;
        self.is_ready && now >= self.paused_until && is_due && has_cooled_down
    }

    /// Whether requests may be sent to it as long as its concurrency limit is not reached.
    pub(crate) fn is_usable(&self, now: Micros, served_count: u64, slow_start: &SlowStart) -> bool {
        !self.is_ejected() && self.accepts_requests(now, served_count, slow_start)
    }

    /// Whether it is ejected and may be sent a trial request, to find out whether it has recovered.
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

    /// Whether the effect of the last change of its limit can be judged: at least as many attempts
    /// as are in flight have ended since, and either these are enough for the moving average or
    /// enough time has passed.
    pub(crate) fn can_judge_limit_change(&self, now: Micros, mean_latency: f64) -> bool {
        let samples = self.samples_since_limit_change;
        let since_change = now.saturating_sub(self.limit_changed_at) as f64;
        samples >= self.in_flight.max(1)
            && (f64::from(samples) * LATENCY_SMOOTHING >= 1.0
                || since_change >= LIMIT_CHANGE_MEAN_LATENCIES * mean_latency)
    }

    /// Restarts the sample count and the clock for [`Endpoint::can_judge_limit_change`] after a
    /// change of its limit.
    pub(crate) fn mark_limit_changed(&mut self, now: Micros) {
        self.samples_since_limit_change = 0;
        self.limit_changed_at = now;
    }
}
