//! An endpoint of the model: it queues requests, and slows down after it was overloaded for some
//! time.

use super::*;
use std::collections::VecDeque;

pub(super) struct Endpoint {
    pub(super) cores: f64,
    pub(super) speed: f64,
    pub(super) zone: u32,
    pub(super) up: bool,
    pub(super) started_at: Micros,
    pub(super) is_failing: bool,
    pub(super) slows_down: bool,
    pub(super) slow: bool,
    pub(super) overloaded_since: Option<Micros>,
    pub(super) calm_since: Option<Micros>,
    /// Remaining work of each attempt that is being executed.
    pub(super) work: Vec<(f64, AttemptKey)>,
    /// Work of each queued attempt.
    pub(super) waiting: VecDeque<(f64, AttemptKey)>,
    /// When the remaining work was last updated.
    pub(super) at: Micros,
    /// Number of the latest scheduled completion; earlier ones are obsolete.
    pub(super) turn: u64,
}

impl Endpoint {
    pub(super) fn request_count(&self) -> usize {
        self.work.len() + self.waiting.len()
    }

    /// Work that each attempt in execution gets done per microsecond.
    pub(super) fn rate(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.started_at);
        let warms_up = self.started_at != 0 && age < SLOW_START_DURATION;
        let warm_up =
            INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * age as f64 / SLOW_START_DURATION as f64;
        let speed = self.speed * if warms_up { warm_up } else { 1.0 }
            / if self.slow { SLOWDOWN_FACTOR } else { 1.0 };
        speed * (self.cores / self.work.len().max(1) as f64).min(1.0)
    }

    /// Executes the work up to `now`, and updates whether the endpoint is slowed down.
    pub(super) fn advance(&mut self, now: Micros) {
        let done = (now - self.at) as f64 * self.rate(self.at);
        self.at = now;
        for work in &mut self.work {
            work.0 -= done;
        }
        let load = self.request_count() as f64 / self.cores;
        let since = |is: bool, since: Option<Micros>| is.then(|| since.unwrap_or(now));
        self.overloaded_since = since(load > OVERLOAD_PER_CORE, self.overloaded_since);
        self.calm_since = since(load < RECOVERY_PER_CORE, self.calm_since);
        if self.slows_down
            && self
                .overloaded_since
                .is_some_and(|at| now >= at + OVERLOAD_DURATION)
        {
            self.slow = true;
        }
        if self
            .calm_since
            .is_some_and(|at| now >= at + RECOVERY_DURATION)
        {
            self.slow = false;
        }
    }
}
