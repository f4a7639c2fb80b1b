//! Names of the settings' keys and of their enumerated values. Configurations and the simulator use
//! them, so they must not change.

use balancer::{
    Class, DeduplicationScope, Discovery, DiscoveryMode, Idempotency, Limits, ScoreWeights,
    Settings, SlowStart, Tenant,
};
use balancer_settings::{read, zone_id};
use serde_json::{json, Value};

/// Settings in which each key has a value that is not its default, so that a key that is not read
/// shows.
fn settings_message() -> Value {
    let class = |name: &str, idempotency: &str, scope: &str| {
        json!({"name": name, "objective_us": 1, "deadline_us": 2, "worth": 3.0, "late_value": 0.5,
            "idempotency": idempotency, "dedup_scope": scope, "repeat_window_us": 6})
    };
    json!({
        "balancers": 7, "me": 5, "locality": "split-dc", "discovery": "ask", "tick_us": 8,
        "classes": [
            class("a", "free", ""), class("b", "guarded", "all"), class("c", "guarded", "zone"),
            class("d", "guarded", "cell"), class("e", "single_shot", ""),
        ],
        "tenants": [{"name": "t", "portion": 0.25}, {"name": "u", "portion": 0.75}],
        "limits": {"cancel": true, "probes": true, "second_copies": true, "max_attempts": 9,
            "max_retry_after_us": 10},
        "invariants": {"cold_from": 0.11, "cold_us": 12, "fall_multiple": 13.0,
            "ask_every_us": 14, "told_after_us": 15},
        "result_mix": {"whole": 0.16, "worst_class": 0.17},
    })
}

/// What [`settings_message`] is read as.
fn expected_settings() -> Settings {
    let class = |idempotency| Class {
        latency_objective: 1,
        deadline: 2,
        priority_weight: 3.0,
        late_weight_fraction: 0.5,
        idempotency,
    };
    let keyed = |scope| class(Idempotency::Keyed { scope, window: 6 });
    Settings {
        balancer_count: 7,
        balancer_index: 5,
        clock_resolution: 8,
        zone: Some(zone_id("split-dc")),
        classes: vec![
            class(Idempotency::Idempotent),
            keyed(DeduplicationScope::All),
            keyed(DeduplicationScope::Zone),
            keyed(DeduplicationScope::Cell),
            class(Idempotency::NonIdempotent),
        ],
        tenants: vec![Tenant { quota: 0.25 }, Tenant { quota: 0.75 }],
        limits: Limits {
            cancellation: true,
            health_checks: true,
            hedging: true,
            max_attempts: 9,
            max_retry_after: 10,
        },
        slow_start: SlowStart {
            initial_capacity: 0.11,
            duration: 12,
            overload_multiple: 13.0,
        },
        discovery: Discovery {
            mode: DiscoveryMode::Poll,
            max_poll_interval: 14,
            notification_deadline: 15,
        },
        score_weights: ScoreWeights {
            overall: 0.16,
            worst_class: 0.17,
        },
    }
}

#[test]
fn every_key_and_enumerated_value_is_read_under_its_external_name() {
    let site = read(&settings_message()).expect("well-formed settings");
    assert_eq!(site.settings, expected_settings());
    assert_eq!(site.class_names, ["a", "b", "c", "d", "e"]);
    assert_eq!(site.tenant_names, ["t", "u"]);
}

/// Programs that derived different ids from the same zone name would treat it as two zones.
#[test]
fn a_zone_id_is_the_fnv_1a_hash_of_the_zone_name() {
    assert_eq!(zone_id("").0, 0x811c_9dc5);
    assert_eq!(zone_id("a").0, 0xe40c_292c);
}
