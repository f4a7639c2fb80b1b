//! Parameters of a run that are drawn from its seed.

use crate::ledger::RequestClass;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Combined with the seed so that the configuration and the run draw from different sequences.
const CONFIG_SEED_MASK: u64 = 0x5e77;

/// Time after the longest deadline at which a process that got SIGTERM is killed.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(700);

/// How the proxies are set to receive changes of the endpoint list. Their agents do the same in
/// both modes, but the time from which a proxy counts as notified of a change differs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DiscoveryMode {
    /// The proxy's agent pushes changes.
    Push,
    /// The proxy polls.
    Poll,
}

/// Parameters of a run. They determine the proxies' settings, the idle timeout of the endpoints,
/// and the limits against which the proxies are checked.
#[derive(Clone, Debug)]
pub(crate) struct RunConfig {
    /// Number of proxies.
    pub(crate) proxy_count: usize,
    /// How the proxies are set to receive the endpoint list.
    pub(crate) discovery: DiscoveryMode,
    /// How long a draining endpoint may still be sent requests after the proxy was notified.
    pub(crate) drain_grace: Duration,
    /// How long endpoints recognise an idempotency key.
    pub(crate) deduplication_window: Duration,
    /// Idle time after which endpoints close a connection.
    pub(crate) endpoint_idle_timeout: Duration,
    /// Whether requests may be hedged: have two attempts in flight at once.
    pub(crate) hedging: bool,
    /// Fraction of its full capacity that an endpoint has when it starts.
    pub(crate) initial_capacity: f64,
    /// Time from the start of an endpoint until it has its full capacity.
    pub(crate) slow_start: Duration,
    /// An endpoint is overloaded if it is sent this multiple of its present capacity during
    /// `overload_duration`.
    pub(crate) overload_multiple: f64,
    /// Period over which the requests to an endpoint are counted.
    pub(crate) overload_duration: Duration,
    /// Full capacity of an endpoint, in requests of mean work per second.
    pub(crate) capacity_per_s: f64,
    /// The deadlines of the classes are those of [`RequestClass::deadline_ms`] divided by this.
    pub(crate) deadline_divisor: u64,
    /// Whether crowds of difficult clients come, and signals in series.
    pub(crate) has_crowds: bool,
    /// Whether some bodies exceed the buffers of the system, some clients read slowly, and some
    /// endpoints send a response twice.
    pub(crate) has_large_messages: bool,
    /// Whether half of the agents answer all calls late, and endpoints write some long responses
    /// slowly.
    pub(crate) has_slow_peers: bool,
}

impl RunConfig {
    /// Draws the parameters; the same seed gives the same ones.
    pub(crate) fn draw(proxy_count: usize, seed: u64) -> RunConfig {
        let mut random = Pcg64Mcg::seed_from_u64(seed ^ CONFIG_SEED_MASK);
        let pushed = random.gen_bool(0.5);
        let mut draw_either_ms = |first, second| {
            Duration::from_millis(if random.gen_bool(0.5) { first } else { second })
        };
        let drain_grace = draw_either_ms(400, 200);
        let deduplication_window = draw_either_ms(800, 300);
        let endpoint_idle_timeout = draw_either_ms(3_000, 400);
        let hedging = random.gen_bool(0.5);
        let has_crowds = random.gen_bool(0.6);
        let deadline_divisor = if random.gen_bool(0.4) { 4 } else { 1 };
        let has_large_messages = random.gen_bool(0.5);
        let has_slow_peers = random.gen_bool(0.3);
        RunConfig {
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
            deadline_divisor,
            has_crowds,
            has_large_messages,
            has_slow_peers,
        }
    }

    /// The deadline of a class in this run, in milliseconds.
    pub(crate) fn deadline_ms(&self, class: RequestClass) -> u64 {
        class.deadline_ms() / self.deadline_divisor
    }

    /// Time between SIGTERM and SIGKILL, the earliest that is allowed: the longest deadline of a
    /// class and 0.7 s more.
    pub(crate) fn shutdown_timeout(&self) -> Duration {
        Duration::from_millis(self.deadline_ms(RequestClass::Keyed)) + SHUTDOWN_MARGIN
    }
}
