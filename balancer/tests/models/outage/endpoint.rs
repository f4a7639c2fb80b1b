//! An endpoint of the model: it queues requests, and may slow down after it was overloaded for
//! `OVERLOAD_DURATION`.

use super::*;
use std::collections::VecDeque;

pub(super) struct Endpoint {
    pub(super) cores: f64,
    pub(super) speed: f64,
    pub(super) zone: u32,
    pub(super) is_up: bool,
    pub(super) started_at: Micros,
    pub(super) is_failing: bool,
    pub(super) slows_down_when_overloaded: bool,
    pub(super) is_slowed_down: bool,
    pub(super) overloaded_since: Option<Micros>,
    pub(super) low_load_since: Option<Micros>,
    /// Remaining work of each attempt that is being executed.
    pub(super) executing: Vec<(f64, AttemptKey)>,
    /// Work of each queued attempt.
    pub(super) queued: VecDeque<(f64, AttemptKey)>,
    /// When the remaining work was last updated.
    pub(super) updated_at: Micros,
    /// Number of the latest scheduled completion; earlier ones are obsolete.
    pub(super) completion_number: u64,
}

impl Endpoint {
    pub(super) fn request_count(&self) -> usize {
        self.executing.len() + self.queued.len()
    }

    /// Returns the work that the endpoint does per microsecond for each attempt that it executes.
    pub(super) fn rate(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.started_at);
        let warms_up = self.started_at != 0 && age < SLOW_START_DURATION;
        let warm_up =
            INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * age as f64 / SLOW_START_DURATION as f64;
        let speed = self.speed * if warms_up { warm_up } else { 1.0 }
            / if self.is_slowed_down {
                SLOWDOWN_FACTOR
            } else {
                1.0
            };
        speed * (self.cores / self.executing.len().max(1) as f64).min(1.0)
    }

    /// Executes the work up to `now`, and updates whether the endpoint is slowed down.
    pub(super) fn advance(&mut self, now: Micros) {
        let done = (now - self.updated_at) as f64 * self.rate(self.updated_at);
        self.updated_at = now;
        for work in &mut self.executing {
            work.0 -= done;
        }
        let load = self.request_count() as f64 / self.cores;
        let start_of = |applies: bool, start: Option<Micros>| applies.then(|| start.unwrap_or(now));
        self.overloaded_since = start_of(load > OVERLOAD_PER_CORE, self.overloaded_since);
        self.low_load_since = start_of(load < RECOVERY_PER_CORE, self.low_load_since);
        if self.slows_down_when_overloaded
            && self
                .overloaded_since
                .is_some_and(|at| now >= at + OVERLOAD_DURATION)
        {
            self.is_slowed_down = true;
        }
        if self
            .low_load_since
            .is_some_and(|at| now >= at + RECOVERY_DURATION)
        {
            self.is_slowed_down = false;
        }
    }
}
