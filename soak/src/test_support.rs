//! Test data that several test modules share.

use crate::config::{DiscoveryMode, RunConfig};
use std::time::Duration;

/// Returns the parameters of a run with one proxy.
pub(crate) fn config(discovery: DiscoveryMode, hedging: bool) -> RunConfig {
    RunConfig {
        proxy_count: 1,
        discovery,
        drain_grace: Duration::from_millis(400),
        deduplication_window: Duration::from_millis(300),
        endpoint_idle_timeout: Duration::from_secs(3),
        hedging,
        initial_capacity: 0.1,
        slow_start: Duration::from_secs(8),
        overload_multiple: 2.0,
        overload_duration: Duration::from_secs(2),
        capacity_per_s: 60.0,
        deadline_divisor: 1,
        has_crowds: false,
        has_large_messages: false,
        has_slow_peers: false,
    }
}
