//! What a seed is run with, beyond the command line.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Keeps the draws of the configuration apart from those of the run.
const CONFIG_STREAM: u64 = 0x5e77;

/// How the proxies learn of changes of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DiscoveryMode {
    /// Each proxy's agent pushes them.
    Push,
    /// Each proxy polls.
    Poll,
}

/// The simulated site: what the proxies' settings say, and what the endpoints do.
#[derive(Clone, Debug)]
pub(crate) struct SimulationConfig {
    /// Number of proxies.
    pub(crate) proxy_count: usize,
    /// How the endpoint list is delivered.
    pub(crate) discovery: DiscoveryMode,
    /// How long after the notice an endpoint that drains may still be sent requests.
    pub(crate) drain_grace: Duration,
    /// How long a repeated idempotency key is recognised.
    pub(crate) deduplication_window: Duration,
    /// Endpoints close connections that are idle for so long.
    pub(crate) endpoint_idle_timeout: Duration,
    /// A request may have two attempts in flight at once.
    pub(crate) hedging: bool,
    /// Fraction of its capacity that an endpoint has at its start.
    pub(crate) initial_capacity: f64,
    /// When an endpoint has all of its capacity.
    pub(crate) slow_start: Duration,
    /// An endpoint fails when it is sent this multiple of its present capacity ...
    pub(crate) overload_multiple: f64,
    /// ... for so long.
    pub(crate) overload_duration: Duration,
    /// Requests of mean work that a warm endpoint can execute in a second.
    pub(crate) capacity_per_s: f64,
}

impl SimulationConfig {
    /// Draws a configuration; the same seed gives the same one.
    pub(crate) fn draw(proxy_count: usize, seed: u64) -> SimulationConfig {
        let mut random = Pcg64Mcg::seed_from_u64(seed ^ CONFIG_STREAM);
        let pushed = random.gen_bool(0.5);
        let mut either_ms = |first, second| {
            Duration::from_millis(if random.gen_bool(0.5) { first } else { second })
        };
        let drain_grace = either_ms(400, 200);
        let deduplication_window = either_ms(800, 300);
        let endpoint_idle_timeout = either_ms(3_000, 400);
        let hedging = random.gen_bool(0.5);
        SimulationConfig {
            proxy_count,
            discovery: if pushed {
                DiscoveryMode::Push
            } else {
                DiscoveryMode::Poll
            },
            drain_grace,
            deduplication_window,
            endpoint_idle_timeout,
            hedging,
            initial_capacity: 0.13,
            slow_start: Duration::from_secs(8),
            overload_multiple: 2.0,
            overload_duration: Duration::from_secs(2),
            capacity_per_s: 60.0,
        }
    }
}
