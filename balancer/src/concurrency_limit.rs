//! How many calls may be in flight: the budget of a server and the one that all servers may share.
//! Who gets a call is decided in `balance.rs`.

use crate::Micros;

/// Most steps of a budget: A105's default for its connections.
const STEP_CLAMP: u32 = 10;
/// Calls in flight at a server over all balancers, for a few cores: at first, when all balancers
/// come at once and a jam would last; and where mild strain leads, from above or below.
const START_CONCURRENCY: f64 = 7.0;
const FLOOR_CONCURRENCY: f64 = 12.0;
/// The same at first under a shared budget: a call for each core. Most of very many may start at
/// once, and what they send too much stands in queues until it is late.
const POOL_START: f64 = 3.0;
/// What one round leaves of the concurrency at the least (TCP's cut).
const CUT_MOST: f64 = 0.5;
/// What a deep cut leaves of the floor at the least: an idle half of a few cores.
const DEEP_FLOOR: f64 = 0.2;
/// Weight of a new answer in a server's strain and in a class's mean: about twenty answers are
/// remembered.
pub(crate) const SMOOTHING: f64 = 0.1;
/// The same in the strain of a shared budget. Its calls meet fast and slow servers and are of all
/// classes: of ten answers that come at once the mean is chance, and a cut by it refuses calls for
/// nothing.
const POOL_SMOOTHING: f64 = SMOOTHING / 3.0;
/// Time whose answers make up that strain where fewer come: one that waited for thirty would be
/// seconds late in a jam that all others feed as well.
const POOL_MEMORY: f64 = 1e6;
/// Doublings of a backoff up to its cap.
pub(crate) const BACKOFF_DOUBLINGS: u32 = 4;
/// A server's first budget under which all servers share one: half a call, which would round to
/// none.
const POOL_UNDER: f64 = 0.5;
/// Usual calls that a shared budget lets go at once; what it is cut to at the least, in flight at a
/// server.
const POOL_BURST: f64 = 2.0;
const POOL_FLOOR: f64 = 0.35;
/// Memory of the rate of answers.
pub(crate) const RATE_MEMORY: f64 = 3e6;

/// Per-server in-flight budget: steps x concurrency, grown one served trial at a time under a
/// shared backoff.
#[derive(Debug, Default)]
pub(crate) struct ConcurrencyLimit {
    pub(crate) steps: u32,
    pub(crate) concurrency: f64,
    /// The budget that cuts leave at the least.
    pub(crate) floor: f64,
    pub(crate) trial_out: bool,
    pub(crate) doublings: u32,
    pub(crate) backoff_end: Micros,
}

impl ConcurrencyLimit {
    pub(crate) fn new(balancer_count: u32) -> Self {
        let of_all = |concurrency: f64| concurrency / f64::from(balancer_count.max(1));
        let (concurrency, floor) = (of_all(START_CONCURRENCY), of_all(FLOOR_CONCURRENCY));
        ConcurrencyLimit { steps: 1, concurrency, floor, ..ConcurrencyLimit::default() }
    }

    pub(crate) fn trial_ready(&self, now: Micros) -> bool {
        !self.trial_out && now >= self.backoff_end
    }

    pub(crate) fn trial_served(&mut self) {
        self.doublings = 0;
        if self.steps < STEP_CLAMP {
            self.steps += 1;
        } else {
            // At the clamp the concurrency figure itself was learned too low: it takes the step
            // instead.
            self.concurrency *= 1.0 + 1.0 / f64::from(STEP_CLAMP);
        }
    }

    pub(crate) fn back_off(&mut self, now: Micros, first: Micros) {
        self.backoff_end = now + (first << self.doublings);
        self.doublings = (self.doublings + 1).min(BACKOFF_DOUBLINGS);
    }

    /// A cut ends at the floor, and comes up to it after a deep one. Deep are a refusal as full,
    /// and answers near their aim or past it: the server then does far less than the floor
    /// supposes.
    pub(crate) fn cut(&mut self, to: f64, deep: bool) {
        let least = if deep { self.floor * DEEP_FLOOR } else { self.floor } / f64::from(self.steps.max(1));
        self.concurrency = (self.concurrency * to.max(CUT_MOST)).max(least);
    }
}

/// Do so many answers, or so long a time, since a budget changed tell what the change did?
pub(crate) fn enough(answers: u32, since: Micros, typical_latency: f64) -> bool {
    f64::from(answers) * SMOOTHING >= 1.0 || since as f64 >= 2.0 * typical_latency
}

/// The budget of all servers together, where one server's would be far under a call: a thousand
/// balancers at a call each would crowd it, and each meets it too seldom to learn what it takes. It
/// bounds the mean number in flight; its trial and its backoff are shared by all servers.
#[derive(Debug, Default)]
pub(crate) struct SharedLimit {
    pub(crate) budget: ConcurrencyLimit,
    pub(crate) up: f64,
    /// Calls in flight at all servers.
    pub(crate) out: u32,
    /// Time in flight that was taken ahead of the budget, and when that was reckoned.
    pub(crate) debt: f64,
    pub(crate) at: Micros,
    pub(crate) used: f64,
    pub(crate) latency_pressure: f64,
    /// Sum of the weights of the answers since the last cut; at 1 they make up the strain.
    pub(crate) weighed: f64,
    pub(crate) changed: Micros,
    pub(crate) heard: Micros,
}

impl SharedLimit {
    pub(crate) fn new(balancer_count: u32) -> Option<Self> {
        let of_all = |concurrency: f64| concurrency / f64::from(balancer_count.max(1));
        let (concurrency, floor) = (of_all(POOL_START), of_all(POOL_FLOOR));
        let budget = ConcurrencyLimit { steps: 1, concurrency, floor, ..ConcurrencyLimit::default() };
        (of_all(START_CONCURRENCY) < POOL_UNDER).then(|| SharedLimit { budget, ..SharedLimit::default() })
    }

    pub(crate) fn total(&self) -> f64 {
        f64::from(self.budget.steps) * self.budget.concurrency * self.up
    }

    pub(crate) fn charge(&mut self, now: Micros, time: f64) {
        let paid = self.total() * now.saturating_sub(self.at) as f64;
        (self.debt, self.at) = ((self.debt - paid).max(0.0) + time, now);
    }

    /// A budget of whole calls has room by what is out now: what slow calls took is no longer in
    /// flight.
    pub(crate) fn room_at(&self, typical_latency: f64) -> Micros {
        if f64::from(self.out) + 1.0 <= self.total() {
            return self.at;
        }
        let over = (self.debt - POOL_BURST * typical_latency).max(0.0) / self.total().max(f64::MIN_POSITIVE);
        self.at.saturating_add(over as Micros)
    }

    /// Strain seen at whichever server lowers the budget, counted from what was used of it. Calls
    /// sent before the last cut tell nothing of it: cut for them too, a busy balancer would give up
    /// all in one jam.
    pub(crate) fn learn(&mut self, now: Micros, sent: Micros, latency_pressure: f64, elapsed: f64) {
        let gap = now.saturating_sub(self.heard) as f64;
        self.heard = now;
        self.used = self.used * (-gap / RATE_MEMORY).exp() + elapsed / RATE_MEMORY;
        if sent < self.changed {
            return;
        }
        let start_within = |memory: f64| 1.0 - (-gap / memory).exp();
        let weight =
            start_within(POOL_MEMORY).clamp(POOL_SMOOTHING, SMOOTHING).max(start_within(RATE_MEMORY));
        self.latency_pressure += (latency_pressure - self.latency_pressure) * weight;
        self.weighed += weight;
        if self.latency_pressure > 1.0 && self.weighed >= 1.0 {
            // The mean of some seconds is far under what is out when calls have only begun to come.
            let used = self.used.max(f64::from(self.out)) / (f64::from(self.budget.steps) * self.up.max(1.0));
            self.budget.concurrency = self.budget.concurrency.min(used.max(self.budget.floor));
            self.budget.cut(1.0 / self.latency_pressure, false);
            self.latency_pressure = self.latency_pressure.sqrt();
            (self.weighed, self.changed) = (0.0, now);
        }
    }
}
