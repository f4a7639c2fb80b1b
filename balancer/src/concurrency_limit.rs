//! How many calls may be in flight: the budget of a server and the one that all servers may share.
//! Who gets a call is decided in `balance.rs`.

use crate::Micros;

/// Most steps of a budget: A105's default for its connections.
pub(crate) const MAX_STEPS: u32 = 10;
/// Calls in flight at a server over all balancers, for a few cores: at first, when all balancers
/// come at once and a jam would last; and where mild strain leads, from above or below.
pub(crate) const INITIAL_CONCURRENCY: f64 = 7.0;
pub(crate) const CONCURRENCY_FLOOR: f64 = 12.0;
/// The same at first under a shared budget: a call for each core. Most of very many may start at
/// once, and what they send too much stands in queues until it is late.
pub(crate) const SHARED_INITIAL_CONCURRENCY: f64 = 3.0;
/// What one round leaves of the concurrency at the least (TCP's cut).
pub(crate) const MIN_CUT_FACTOR: f64 = 0.5;
/// What a deep cut leaves of the floor at the least: an idle half of a few cores.
pub(crate) const DEEP_CUT_FLOOR_FRACTION: f64 = 0.2;
/// Weight of a new answer in a server's strain and in a class's mean: about twenty answers are
/// remembered.
pub(crate) const LATENCY_SMOOTHING: f64 = 0.1;
/// The same in the strain of a shared budget. Its calls meet fast and slow servers and are of all
/// classes: of ten answers that come at once the mean is chance, and a cut by it refuses calls for
/// nothing.
pub(crate) const MIN_SHARED_PRESSURE_SMOOTHING: f64 = LATENCY_SMOOTHING / 3.0;
/// Time whose answers make up that strain where fewer come: one that waited for thirty would be
/// seconds late in a jam that all others feed as well.
pub(crate) const SHARED_PRESSURE_MEMORY_US: f64 = 1e6;
/// Doublings of a backoff up to its cap.
pub(crate) const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// A server's first budget under which all servers share one: half a call, which would round to
/// none.
pub(crate) const MIN_ENDPOINT_CONCURRENCY: f64 = 0.5;
/// Usual calls that a shared budget lets go at once; what it is cut to at the least, in flight at a
/// server.
pub(crate) const SHARED_BURST_REQUESTS: f64 = 2.0;
pub(crate) const SHARED_CONCURRENCY_FLOOR: f64 = 0.35;
/// Memory of the rate of answers.
pub(crate) const UTILIZATION_MEMORY_US: f64 = 3e6;

/// Per-server in-flight budget: steps x concurrency, grown one served trial at a time under a
/// shared backoff.
#[derive(Debug, Default)]
pub(crate) struct ConcurrencyLimit {
    pub(crate) steps: u32,
    pub(crate) concurrency: f64,
    /// The budget that cuts leave at the least.
    pub(crate) floor: f64,
    pub(crate) trial_in_flight: bool,
    pub(crate) backoff_doublings: u32,
    pub(crate) backoff_end: Micros,
}

impl ConcurrencyLimit {
    pub(crate) fn new(balancer_count: u32) -> Self {
        let of_all = |concurrency: f64| concurrency / f64::from(balancer_count.max(1));
        let (concurrency, floor) = (of_all(INITIAL_CONCURRENCY), of_all(CONCURRENCY_FLOOR));
        ConcurrencyLimit { steps: 1, concurrency, floor, ..ConcurrencyLimit::default() }
    }

    pub(crate) fn trial_ready(&self, now: Micros) -> bool {
        !self.trial_in_flight && now >= self.backoff_end
    }

    pub(crate) fn trial_served(&mut self) {
        self.backoff_doublings = 0;
        if self.steps < MAX_STEPS {
            self.steps += 1;
        } else {
            // At the clamp the concurrency figure itself was learned too low: it takes the step
            // instead.
            self.concurrency *= 1.0 + 1.0 / f64::from(MAX_STEPS);
        }
    }

    pub(crate) fn back_off(&mut self, now: Micros, first: Micros) {
        self.backoff_end = now + (first << self.backoff_doublings);
        self.backoff_doublings = (self.backoff_doublings + 1).min(MAX_BACKOFF_DOUBLINGS);
    }

    /// A cut ends at the floor, and comes up to it after a deep one. Deep are a refusal as full,
    /// and answers near their aim or past it: the server then does far less than the floor
    /// supposes.
    pub(crate) fn cut(&mut self, to: f64, deep: bool) {
        let least = if deep { self.floor * DEEP_CUT_FLOOR_FRACTION } else { self.floor }
            / f64::from(self.steps.max(1));
        self.concurrency = (self.concurrency * to.max(MIN_CUT_FACTOR)).max(least);
    }
}

/// Do so many answers, or so long a time, since a budget changed tell what the change did?
pub(crate) fn enough(answers: u32, since: Micros, typical_latency: f64) -> bool {
    f64::from(answers) * LATENCY_SMOOTHING >= 1.0 || since as f64 >= 2.0 * typical_latency
}
