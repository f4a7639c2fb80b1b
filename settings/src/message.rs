//! The JSON form of the settings and its conversion to the balancer's [`Settings`]. The fields here
//! have the balancer's terms; `rename` gives the key in the JSON. Unknown keys are ignored, and
//! absent optional keys get defaults.

use crate::error::SettingsError;
use crate::zone_id::zone_id;
use balancer::{
    Class, DeduplicationScope, Discovery, DiscoveryMode, Idempotency, Limits, ScoreWeights,
    Settings, SlowStart, Tenant,
};
use serde::Deserialize;
use serde_json::Value;

/// The settings as JSON.
#[derive(Deserialize)]
pub(crate) struct SettingsMessage {
    #[serde(rename = "balancers")]
    balancer_count: u32,
    #[serde(rename = "me", default)]
    balancer_index: u32,
    #[serde(rename = "locality", default)]
    zone: Option<String>,
    pub(crate) classes: Vec<ClassMessage>,
    #[serde(default)]
    pub(crate) tenants: Vec<TenantMessage>,
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
pub(crate) struct ClassMessage {
    pub(crate) name: String,
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
pub(crate) struct TenantMessage {
    pub(crate) name: String,
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
        ScoreWeightsMessage {
            overall: 1.0,
            worst_class: 0.0,
        }
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

    /// Unknown values of `idempotency` or `dedup_scope` count as non-idempotent, because not
    /// repeating a request is always safe.
    fn idempotency(&self) -> Idempotency {
        let scope = match self.deduplication_scope.as_str() {
            "all" => Some(DeduplicationScope::All),
            "zone" => Some(DeduplicationScope::Zone),
            "cell" => Some(DeduplicationScope::Cell),
            _ => None,
        };
        match (self.idempotency.as_str(), scope) {
            ("free", _) => Idempotency::Idempotent,
            ("guarded", Some(scope)) => Idempotency::Keyed {
                scope,
                window: self.deduplication_window_us,
            },
            _ => Idempotency::NonIdempotent,
        }
    }
}

impl SettingsMessage {
    /// Reads the settings from JSON.
    pub(crate) fn read(message: &Value) -> Result<SettingsMessage, SettingsError> {
        serde_path_to_error::deserialize(message).map_err(SettingsError::Malformed)
    }

    /// The settings that a balancer is created with.
    pub(crate) fn settings(&self) -> Settings {
        let mode = if self.discovery_mode == "ask" {
            DiscoveryMode::Poll
        } else {
            DiscoveryMode::Push
        };
        Settings {
            balancer_count: self.balancer_count,
            balancer_index: self.balancer_index,
            clock_resolution: self.clock_resolution_us,
            zone: self.zone.as_deref().map(zone_id),
            classes: self.classes.iter().map(ClassMessage::class).collect(),
            tenants: self
                .tenants
                .iter()
                .map(|tenant| Tenant {
                    quota: tenant.quota,
                })
                .collect(),
            limits: Limits {
                cancellation: self.limits.cancellation,
                health_checks: self.limits.health_checks,
                hedging: self.limits.hedging,
                max_attempts: self.limits.max_attempts,
                // The key that tells whether clients respect `Retry-After` is not read: every HTTP
                // rejection carries the header, so its maximum always applies.
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
