//! A site's settings, as the simulator's first message and a proxy's configuration hold them.
//! Unknown keys are ignored, absent ones get harmless values.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use balancer::{
    Class, DeduplicationScope, Discovery, DiscoveryMode, Idempotency, Limits, ScoreWeights, Settings,
    SlowStart, Tenant, ZoneId,
};
use serde::Deserialize;
use serde_json::Value;

/// The settings as they are written, under the operators' names.
#[derive(Deserialize)]
struct SettingsMessage {
    #[serde(rename = "balancers")]
    balancer_count: u32,
    #[serde(rename = "me", default)]
    balancer_index: u32,
    #[serde(rename = "locality", default)]
    zone: Option<String>,
    classes: Vec<ClassMessage>,
    #[serde(default)]
    tenants: Vec<TenantMessage>,
    #[serde(rename = "discovery", default)]
    discovery_mode: String,
    #[serde(default)]
    limits: LimitsMessage,
    invariants: InvariantsMessage,
    #[serde(rename = "result_mix", default)]
    score_weights: ScoreWeightsMessage,
    #[serde(rename = "tick_us", default)]
    clock_resolution_us: u64,
}

#[derive(Deserialize)]
struct ClassMessage {
    name: String,
    #[serde(rename = "objective_us")]
    latency_objective_us: u64,
    deadline_us: u64,
    #[serde(rename = "worth", default)]
    priority_weight: f64,
    #[serde(rename = "late_value", default)]
    late_weight_fraction: f64,
    idempotency: String,
    #[serde(rename = "dedup_scope", default)]
    deduplication_scope: String,
    #[serde(rename = "repeat_window_us", default)]
    deduplication_window_us: u64,
}

#[derive(Deserialize)]
struct TenantMessage {
    name: String,
    #[serde(rename = "portion", default)]
    quota: f64,
}

#[derive(Deserialize)]
#[serde(default)]
struct LimitsMessage {
    #[serde(rename = "cancel")]
    cancellation: bool,
    #[serde(rename = "probes")]
    health_checks: bool,
    #[serde(rename = "second_copies")]
    hedging: bool,
    max_attempts: u32,
    max_retry_after_us: u64,
}

impl Default for LimitsMessage {
    fn default() -> Self {
        LimitsMessage {
            cancellation: false,
            health_checks: false,
            hedging: false,
            max_attempts: 1,
            max_retry_after_us: 0,
        }
    }
}

#[derive(Deserialize)]
struct InvariantsMessage {
    #[serde(rename = "cold_from")]
    initial_capacity: f64,
    #[serde(rename = "cold_us")]
    slow_start_us: u64,
    #[serde(rename = "fall_multiple", default = "default_overload_multiple")]
    overload_multiple: f64,
    #[serde(rename = "ask_every_us", default = "default_max_poll_interval")]
    max_poll_interval_us: u64,
    #[serde(rename = "told_after_us", default = "default_notification_deadline")]
    notification_deadline_us: u64,
}

fn default_overload_multiple() -> f64 {
    Settings::default().slow_start.overload_multiple
}

fn default_max_poll_interval() -> u64 {
    Settings::default().discovery.max_poll_interval
}

fn default_notification_deadline() -> u64 {
    Settings::default().discovery.notification_deadline
}

#[derive(Deserialize)]
#[serde(default)]
struct ScoreWeightsMessage {
    #[serde(rename = "whole")]
    overall: f64,
    worst_class: f64,
}

impl Default for ScoreWeightsMessage {
    fn default() -> Self {
        ScoreWeightsMessage { overall: 1.0, worst_class: 0.0 }
    }
}

impl ClassMessage {
    fn class(&self) -> Class {
        Class {
            latency_objective: self.latency_objective_us,
            deadline: self.deadline_us,
            priority_weight: self.priority_weight,
            late_weight_fraction: self.late_weight_fraction,
            idempotency: self.idempotency(),
        }
    }

    /// An unknown kind or scope is taken to allow no repeat.
    fn idempotency(&self) -> Idempotency {
        let scope = match self.deduplication_scope.as_str() {
            "all" => Some(DeduplicationScope::All),
            "zone" => Some(DeduplicationScope::Zone),
            "cell" => Some(DeduplicationScope::Cell),
            _ => None,
        };
        match (self.idempotency.as_str(), scope) {
            ("free", _) => Idempotency::Idempotent,
            ("guarded", Some(scope)) => Idempotency::Keyed { scope, window: self.deduplication_window_us },
            _ => Idempotency::NonIdempotent,
        }
    }
}

impl SettingsMessage {
    fn settings(&self) -> Settings {
        let mode = if self.discovery_mode == "ask" { DiscoveryMode::Poll } else { DiscoveryMode::Push };
        Settings {
            balancer_count: self.balancer_count,
            balancer_index: self.balancer_index,
            clock_resolution: self.clock_resolution_us,
            zone: self.zone.as_deref().map(zone),
            classes: self.classes.iter().map(ClassMessage::class).collect(),
            tenants: self.tenants.iter().map(|tenant| Tenant { quota: tenant.quota }).collect(),
            limits: Limits {
                cancellation: self.limits.cancellation,
                health_checks: self.limits.health_checks,
                hedging: self.limits.hedging,
                max_attempts: self.limits.max_attempts,
                // Also where clients are said not to respect it: a rejection over HTTP always
                // carries `Retry-After`.
                max_retry_after: self.limits.max_retry_after_us,
            },
            slow_start: SlowStart {
                initial_capacity: self.invariants.initial_capacity,
                duration: self.invariants.slow_start_us,
                overload_multiple: self.invariants.overload_multiple,
            },
            discovery: Discovery {
                mode,
                max_poll_interval: self.invariants.max_poll_interval_us,
                notification_deadline: self.invariants.notification_deadline_us,
            },
            score_weights: ScoreWeights {
                overall: self.score_weights.overall,
                worst_class: self.score_weights.worst_class,
            },
        }
    }
}

/// Settings, and the names of classes and tenants in their order.
pub fn read(message: &Value) -> Result<(Settings, Vec<String>, Vec<String>), String> {
    let message = SettingsMessage::deserialize(message).map_err(|e| e.to_string())?;
    let settings = message.settings();
    let classes = message.classes.into_iter().map(|class| class.name).collect();
    let tenants = message.tenants.into_iter().map(|tenant| tenant.name).collect();
    Ok((settings, classes, tenants))
}

/// Longest time that settings can mean.
const TIME_MOST: u64 = 24 * 3_600 * 1_000_000;

/// Whether a program can run under these settings; if not, why. What cannot be meant is better met
/// at the start than under load.
pub fn check(settings: &Settings) -> Result<(), String> {
    let Settings {
        balancer_count, clock_resolution, classes, tenants, limits, slow_start, discovery, ..
    } = settings;
    let time = |name: &str, value: u64| match value {
        1..=TIME_MOST => Ok(()),
        _ => Err(format!("{name} of {value} us cannot be meant")),
    };
    let number = |name: &str, value: f64, least: f64, most: f64| match (least..=most).contains(&value) {
        true => Ok(()),
        false => Err(format!("{name} of {value} cannot be meant")),
    };
    if classes.is_empty() {
        return Err("there is no class".to_owned());
    }
    for class in classes {
        time("objective_us", class.latency_objective)?;
        time("deadline_us", class.deadline)?;
        number("worth", class.priority_weight, 0.0, f64::MAX)?;
        number("late_value", class.late_weight_fraction, 0.0, f64::MAX)?;
    }
    for tenant in tenants {
        number("portion", tenant.quota, 0.0, 1.0)?;
    }
    number("tick_us", *clock_resolution as f64, 0.0, TIME_MOST as f64)?;
    number("balancers", (*balancer_count).into(), 1.0, f64::MAX)?;
    number("max_attempts", limits.max_attempts.into(), 1.0, f64::MAX)?;
    number("cold_from", slow_start.initial_capacity, f64::MIN_POSITIVE, 1.0)?;
    number("fall_multiple", slow_start.overload_multiple, f64::MIN_POSITIVE, f64::MAX)?;
    number("cold_us", slow_start.duration as f64, 0.0, TIME_MOST as f64)?;
    time("ask_every_us", discovery.max_poll_interval)?;
    time("told_after_us", discovery.notification_deadline)
}

/// A number for a zone's name (FNV-1a), the same wherever it is met.
pub fn zone(name: &str) -> ZoneId {
    ZoneId(name.bytes().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_cannot_be_meant_is_found_and_what_is_absent_is_made_up() {
        let class = serde_json::json!({"name": "a", "objective_us": 500_000, "deadline_us": 900_000, "idempotency": "odd"});
        let good = serde_json::json!({"balancers": 2, "tick_us": 1_000, "classes": [class], "odd": {"more": [1]},
            "invariants": {"cold_from": 0.1, "cold_us": 1}});
        let checked = |facts: &serde_json::Value| check(&read(facts)?.0);
        assert_eq!(checked(&good), Ok(()));
        for (path, value) in [
            ("/classes", serde_json::json!([])),
            ("/classes/0/objective_us", 0.into()),
            ("/classes/0/deadline_us", 0.into()),
            ("/classes/0/deadline_us", u64::MAX.into()),
            ("/classes/0/deadline_us", (-5).into()),
            ("/tick_us", u64::MAX.into()),
            ("/balancers", 0.into()),
            ("/balancers", (-1).into()),
            ("/invariants/cold_from", (-0.1).into()),
            ("/invariants/cold_from", 7.into()),
            ("/invariants/cold_us", u64::MAX.into()),
        ] {
            let mut bad = good.clone();
            *bad.pointer_mut(path).expect("a place") = value;
            assert!(checked(&bad).is_err(), "{bad}");
        }
    }

    #[test]
    fn the_balancers_zone_is_the_one_that_entries_of_its_name_get() {
        let mut facts = serde_json::json!({"balancers": 2, "classes": [], "limits": {},
            "invariants": {"cold_from": 0.1, "cold_us": 1}});
        assert_eq!(read(&facts).expect("settings").0.zone, None);
        facts["locality"] = "split-dc".into();
        assert_eq!(read(&facts).expect("settings").0.zone, Some(zone("split-dc")));
    }
}
