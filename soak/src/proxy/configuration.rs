//! The configuration file of a proxy. Its keys and values are those of the program's
//! configuration format.

use crate::config::{DiscoveryMode, RunConfig};
use crate::ledger::RequestClass;
use crate::shared_state::SharedState;
use rand::Rng;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of descriptors that all processes of a proxy together may have open.
pub(super) const MAX_DESCRIPTORS: usize = 160;
/// Maximum resident memory of all processes of a proxy together.
pub(super) const MAX_MEMORY_MB: usize = 32;
/// The latency objective of classes whose deadline is longer, in microseconds.
const MAX_OBJECTIVE_US: u64 = 400_000;

/// Returns the configuration of a proxy, with a newly drawn seed and the present endpoint list.
pub(super) fn proxy_configuration(
    shared: &SharedState,
    proxy: usize,
    listen: SocketAddr,
    discovery: SocketAddr,
) -> Value {
    let known = shared.with_list(|list| list.snapshot());
    json!({
        "name": format!("n{proxy}"),
        "listen": listen.to_string(),
        "discovery": discovery.to_string(),
        "seed": format!("{:016x}", shared.draw(|random| random.gen::<u64>())),
        "limits": {"cores": 1.0, "memory_mb": MAX_MEMORY_MB, "sockets": MAX_DESCRIPTORS},
        "known": known,
        "settings": settings(shared.config(), proxy),
    })
}

fn settings(config: &RunConfig, proxy: usize) -> Value {
    let class = |class: RequestClass, idempotency: &str| {
        let deadline_us = config.deadline_ms(class) * 1_000;
        json!({"name": class.wire_name(), "objective_us": MAX_OBJECTIVE_US.min(deadline_us),
            "deadline_us": deadline_us, "worth": 1.0, "idempotency": idempotency,
            "dedup_scope": "zone", "repeat_window_us": micros(config.deduplication_window)})
    };
    let discovery = match config.discovery {
        DiscoveryMode::Push => "push",
        DiscoveryMode::Poll => "ask",
    };
    json!({
        "balancers": config.proxy_count, "me": proxy, "tick_us": 1_000, "discovery": discovery,
        "azs": ["a", "b"], "locality": if proxy.is_multiple_of(2) { "a" } else { "b" },
        "classes": [class(RequestClass::Idempotent, "free"), class(RequestClass::Keyed, "guarded"),
            class(RequestClass::NonIdempotent, "single_shot")],
        "tenants": [{"name": "a", "portion": 1.0, "quota_per_s": 1_000.0}],
        "limits": {"cancel": true, "max_attempts": 3, "second_copies": config.hedging,
            "max_retry_after_us": 750_000, "connect_timeout_us": 250_000,
            "conn_idle_us": micros(config.endpoint_idle_timeout)},
        "invariants": {"cold_from": config.initial_capacity, "cold_us": micros(config.slow_start),
            "fall_multiple": config.overload_multiple,
            "tip_after_us": micros(config.overload_duration),
            "drain_grace_us": micros(config.drain_grace), "ask_every_us": 10_000_000},
    })
}

fn micros(duration: Duration) -> u64 {
    duration.as_micros() as u64
}
