//! Settings that a balancer is created with.

use crate::{Micros, ZoneId};

/// Which endpoints recognise a repeated idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one cell.
    Cell,
}

/// Whether requests of a class may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Executing a request again has no further effect.
    Idempotent,
    /// Requests carry an idempotency key. The endpoints in `scope` drop repeats for `window` after
    /// the first attempt that may have been executed.
    Keyed {
        /// Which endpoints drop repeats.
        scope: DeduplicationScope,
        /// How long they drop repeats.
        window: Micros,
    },
    /// A request must not be executed twice.
    NonIdempotent,
}

/// A class of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// Time within which a response counts with the full priority weight.
    pub latency_objective: Micros,
    /// How long a client waits for the response, all attempts included, from the request's arrival.
    pub deadline: Micros,
    /// Value of a response within the latency objective.
    pub priority_weight: f64,
    /// Value of a response that arrives after the latency objective but before the deadline, as a
    /// fraction of the priority weight. The balancer only distinguishes 0 from more.
    pub late_weight_fraction: f64,
    /// Whether a request may be executed again.
    pub idempotency: Idempotency,
}

impl Class {
    /// Time from a request's arrival until when a response counts with the priority weight of the
    /// class or a fraction of it: the latency objective or, if late responses count too, the
    /// deadline.
    pub fn weighted_time(&self) -> Micros {
        if self.late_weight_fraction > 0.0 {
            self.deadline
        } else {
            self.latency_objective
        }
    }
}

impl Default for Class {
    /// A non-idempotent class without latency objective, deadline or priority weight.
    fn default() -> Self {
        Class {
            latency_objective: 0,
            deadline: 0,
            priority_weight: 0.0,
            late_weight_fraction: 0.0,
            idempotency: Idempotency::NonIdempotent,
        }
    }
}

/// A tenant that shares the service with others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// Fraction of the service that the tenant is entitled to, 0 to 1.
    pub quota: f64,
}

/// Limits of the deployment on attempts, health checks and `Retry-After`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether endpoints may be sent health checks. Unused: the balancer requests none.
    pub health_checks: bool,
    /// Whether a request may have two attempts in flight at once.
    pub hedging: bool,
    /// Maximum number of attempts of a request.
    pub max_attempts: u32,
    /// Longest `Retry-After` that a rejection may carry.
    pub max_retry_after: Micros,
}

/// How endpoints warm up after a start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// Minimum fraction of its capacity, 0 to 1, that an endpoint has right after its start.
    pub initial_capacity: f64,
    /// Time after its start by which it has its full capacity at the latest.
    pub duration: Micros,
    /// Load above which an endpoint fails, as a multiple of its present capacity.
    pub overload_multiple: f64,
}

/// How the endpoint list arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// An agent on the same machine pushes updates.
    Push,
    /// Each balancer polls for updates.
    Poll,
}

/// Bounds on how old the endpoint list may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Discovery {
    /// How the list arrives.
    pub mode: DiscoveryMode,
    /// Longest time that a balancer may go without polling.
    pub max_poll_interval: Micros,
    /// Time within which a change of the list is expected to reach each balancer, counted from when
    /// the discovery service has the change and is reachable.
    pub notification_deadline: Micros,
}

/// Weights of the two parts of the score by which the service is rated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScoreWeights {
    /// Weight of the results of all requests together.
    pub overall: f64,
    /// Weight of the results of the class with the worst results.
    pub worst_class: f64,
}

/// Settings of a balancer, which stay the same for its lifetime.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of balancers that send requests to the same endpoints, this one included.
    pub balancer_count: u32,
    /// Index of this balancer among them, from 0.
    pub balancer_index: u32,
    /// Resolution of the proxy's clock.
    pub clock_resolution: Micros,
    /// The balancer's own zone, if known. Requests to other zones cost more and take longer.
    pub zone: Option<ZoneId>,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Tenants, if there are any.
    pub tenants: Vec<Tenant>,
    /// Limits of the deployment.
    pub limits: Limits,
    /// How endpoints warm up after a start.
    pub slow_start: SlowStart,
    /// How the endpoint list arrives.
    pub discovery: Discovery,
    /// Weights of the parts of the score.
    pub score_weights: ScoreWeights,
}

impl Settings {
    /// The longest latency objective of all classes, in microseconds and at least 1.
    pub(crate) fn longest_latency_objective(&self) -> f64 {
        self.classes
            .iter()
            .map(|class| class.latency_objective)
            .max()
            .unwrap_or(0)
            .max(1) as f64
    }
}

impl Default for Settings {
    /// One balancer, a pushed endpoint list, and one non-idempotent class with a latency objective
    /// of 0.5 s.
    fn default() -> Self {
        let class = Class {
            latency_objective: 500_000,
            deadline: 1_000_000,
            priority_weight: 1.0,
            ..Class::default()
        };
        Settings {
            balancer_count: 1,
            balancer_index: 0,
            clock_resolution: 1_000,
            zone: None,
            classes: vec![class],
            tenants: Vec::new(),
            limits: Limits {
                cancellation: true,
                health_checks: false,
                hedging: false,
                max_attempts: 3,
                max_retry_after: 1_000_000,
            },
            slow_start: SlowStart {
                initial_capacity: 0.1,
                duration: 20_000_000,
                overload_multiple: 4.0,
            },
            discovery: Discovery {
                mode: DiscoveryMode::Push,
                max_poll_interval: 10_000_000,
                notification_deadline: 6_000_000,
            },
            score_weights: ScoreWeights {
                overall: 1.0,
                worst_class: 0.0,
            },
        }
    }
}
