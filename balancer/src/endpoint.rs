//! A server as one balancer sees it: what it was sent, what came of that, and whether it takes
//! more.

use crate::concurrency_limit::{enough, ConcurrencyLimit, MAX_BACKOFF_DOUBLINGS, UTILIZATION_MEMORY_US};
use crate::*;

/// Memory of how busy a server was kept, in sends of this balancer for each server: calls differ in
/// their work far more than servers in their speed.
const RECENT_LOAD_MEMORY_ROUNDS: f64 = 16.0;

/// A server as this balancer sees it.
#[derive(Debug, Default)]
pub(crate) struct Endpoint {
    pub(crate) id: EndpointId,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) listed: bool,
    /// Its start as the list stamps it, which tells its processes apart; 0: long ago.
    pub(crate) started_at: Micros,
    /// The same in this balancer's time.
    pub(crate) local_start: Micros,
    pub(crate) in_flight: u32,
    pub(crate) limit: ConcurrencyLimit,
    pub(crate) weight: f64,
    /// Time that this balancer's calls lately spent there: it breaks the pick's ties.
    pub(crate) recent_busy: f64,
    pub(crate) recent_busy_at: u64,
    /// Answer times over what its classes allow; 1 is the limit.
    pub(crate) latency_pressure: f64,
    pub(crate) samples_since_change: u32,
    /// Its last report, as strain.
    pub(crate) reported_load: f64,
    /// When its budget last changed, when an attempt there last ended, and when it last served.
    pub(crate) changed: Micros,
    pub(crate) heard: Micros,
    pub(crate) last_served_at: Micros,
    /// Recent share of failures.
    pub(crate) failure_rate: f64,
    /// It is sent nothing before this time and that many answers of this balancer: it has refused
    /// or failed.
    pub(crate) not_before: Micros,
    pub(crate) cool_down_until: u64,
    /// While cold it is sent a call when this balancer's answers have earned it one, or after this
    /// time.
    pub(crate) slow_start_credit: f64,
    pub(crate) slow_start_due_at: Micros,
    /// By class.
    pub(crate) rejections_by_class: Vec<ClassRejections>,
}

impl Endpoint {
    pub(crate) fn new(entry: &EndpointEntry, local_start: Micros, settings: &Settings) -> Self {
        let &EndpointEntry { endpoint: id, zone, cell, started_at, .. } = entry;
        let (limit, weight) = (ConcurrencyLimit::new(settings.balancer_count), 1.0);
        let rejections_by_class = vec![ClassRejections::default(); settings.classes.len()];
        Endpoint {
            id,
            zone,
            cell,
            started_at,
            local_start,
            weight,
            limit,
            rejections_by_class,
            ..Endpoint::default()
        }
    }

    pub(crate) fn accepts_class(&self, class_id: usize, now: Micros) -> bool {
        self.rejections_by_class.get(class_id).is_none_or(|m| now >= m.not_before)
    }

    /// Notes what became of a call of a class, and tells whether the server turns that class alone
    /// away: it refused more than one, and served calls of others that were sent after the first.
    pub(crate) fn rejects_only_class(
        &mut self,
        class_id: usize,
        outcome: Outcome,
        sent: Micros,
        now: Micros,
        first: Micros,
    ) -> bool {
        let others = self.rejections_by_class.iter().enumerate().filter(|(class, _)| *class != class_id);
        let served = others.map(|(_, m)| m.served).max().unwrap_or(0);
        let Some(rejections) = self.rejections_by_class.get_mut(class_id) else { return false };
        match outcome {
            Outcome::Served => *rejections = ClassRejections { served: sent, ..ClassRejections::default() },
            Outcome::Rejected => {
                rejections.refused = rejections.refused.saturating_add(1);
                if rejections.refused == 1 {
                    rejections.since = sent;
                } else if served > rejections.since {
                    rejections.not_before =
                        now + (first << (rejections.refused - 2).min(MAX_BACKOFF_DOUBLINGS));
                    return true;
                }
            }
            _ => {}
        }
        false
    }

    /// With few calls there are none in flight at most servers: recent past and listed size tell
    /// them apart.
    pub(crate) fn recent_load(&self, forwarded_count: f64, per: f64) -> f64 {
        self.recent_busy
            * (-(forwarded_count - self.recent_busy_at as f64) / (per * RECENT_LOAD_MEMORY_ROUNDS)).exp()
            / self.weight
    }

    pub(crate) fn record_busy_time(&mut self, time: f64, forwarded_count: u64, per: f64) {
        self.recent_busy = self.recent_load(forwarded_count as f64, per) * self.weight + time;
        self.recent_busy_at = forwarded_count;
    }

    /// Share of its capacity that a server has at the least, by the rules' cold share and time.
    pub(crate) fn warm_up(&self, now: Micros, slow_start: &SlowStart) -> f64 {
        let age = now.saturating_sub(self.local_start);
        if self.started_at == 0 || age >= slow_start.duration {
            return 1.0;
        }
        slow_start.initial_capacity
            + (1.0 - slow_start.initial_capacity) * age as f64 / slow_start.duration as f64
    }

    pub(crate) fn is_full(&self, now: Micros, slow_start: &SlowStart) -> bool {
        let limit = f64::from(self.limit.steps) * self.limit.concurrency * self.warm_up(now, slow_start);
        self.in_flight >= (limit + 0.5).max(1.0) as u32
    }

    pub(crate) fn accepts_requests(&self, now: Micros, served: u64, slow_start: &SlowStart) -> bool {
        let paced = self.slow_start_credit >= 1.0
            || now >= self.slow_start_due_at
            || self.warm_up(now, slow_start) >= 1.0;
        let rested = served >= self.cool_down_until
            || now.saturating_sub(self.heard) as f64 >= 3.0 * UTILIZATION_MEMORY_US;
        self.listed && now >= self.not_before && paced && rested
    }

    pub(crate) fn is_usable(&self, now: Micros, served: u64, slow_start: &SlowStart) -> bool {
        self.limit.steps > 0 && self.accepts_requests(now, served, slow_start)
    }

    pub(crate) fn is_settled(&self, now: Micros, typical_latency: f64) -> bool {
        let answers = self.samples_since_change;
        answers >= self.in_flight.max(1) && enough(answers, now.saturating_sub(self.changed), typical_latency)
    }

    pub(crate) fn is_awaiting_trial(&self, now: Micros, served: u64, slow_start: &SlowStart) -> bool {
        self.limit.steps == 0 && self.limit.trial_ready(now) && self.accepts_requests(now, served, slow_start)
    }
}

/// What a server makes of the calls of one class.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ClassRejections {
    /// Turned away in a row, and when the first of those was sent.
    pub(crate) refused: u32,
    pub(crate) since: Micros,
    /// When the last one that was served had been sent.
    pub(crate) served: Micros,
    /// Others are tried first before this time.
    pub(crate) not_before: Micros,
}
