//! The configuration file as it is written, under the operators' names.

use crate::config::error::ConfigError;
use crate::discovery::EndpointList;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest time that a setting may give.
const MAX_TIMEOUT: Duration = Duration::from_secs(24 * 3_600);
/// Least memory that the program can run in.
const MIN_MEMORY_MB: usize = 8;

/// The file.
#[derive(Deserialize)]
pub(super) struct ConfigMessage {
    pub(super) listen: String,
    pub(super) discovery: String,
    #[serde(default)]
    pub(super) admin: Option<String>,
    pub(super) seed: String,
    #[serde(default)]
    pub(super) limits: ProcessLimitsMessage,
    #[serde(rename = "known", default)]
    pub(super) cached_list: Option<EndpointList>,
    pub(super) settings: Value,
}

/// What the program's processes may use together.
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct ProcessLimitsMessage {
    #[serde(rename = "sockets")]
    pub(super) max_descriptors: usize,
    pub(super) memory_mb: usize,
}

impl Default for ProcessLimitsMessage {
    fn default() -> Self {
        ProcessLimitsMessage {
            max_descriptors: 1_024,
            memory_mb: 64,
        }
    }
}

/// The part of the settings that is about connections; the rest is the balancer's.
#[derive(Deserialize)]
pub(super) struct ConnectionSettingsMessage {
    #[serde(default)]
    pub(super) limits: TimeoutsMessage,
    #[serde(default)]
    pub(super) invariants: InvariantsMessage,
}

#[derive(Deserialize)]
#[serde(default)]
pub(super) struct TimeoutsMessage {
    connect_timeout_us: u64,
    #[serde(rename = "conn_idle_us")]
    connection_idle_timeout_us: u64,
}

impl Default for TimeoutsMessage {
    fn default() -> Self {
        TimeoutsMessage {
            connect_timeout_us: 250_000,
            connection_idle_timeout_us: 15_000_000,
        }
    }
}

#[derive(Deserialize)]
#[serde(default)]
pub(super) struct InvariantsMessage {
    drain_grace_us: u64,
}

impl Default for InvariantsMessage {
    fn default() -> Self {
        InvariantsMessage {
            drain_grace_us: 400_000,
        }
    }
}

impl ConfigMessage {
    pub(super) fn parse(text: &str) -> Result<ConfigMessage, ConfigError> {
        serde_json::from_str(text).map_err(ConfigError::Malformed)
    }

    pub(super) fn seed(&self) -> Result<u64, ConfigError> {
        u64::from_str_radix(&self.seed, 16).map_err(|error| ConfigError::Seed {
            value: self.seed.clone(),
            error,
        })
    }

    pub(super) fn connection_settings(&self) -> Result<ConnectionSettingsMessage, ConfigError> {
        ConnectionSettingsMessage::deserialize(&self.settings)
            .map_err(ConfigError::ConnectionSettings)
    }
}

/// The address at a key.
pub(super) fn address(key: &'static str, value: &str) -> Result<SocketAddr, ConfigError> {
    value.parse().map_err(|error| ConfigError::Address {
        key,
        value: value.to_owned(),
        error,
    })
}

impl ProcessLimitsMessage {
    pub(super) fn check(&self, min_descriptors: usize) -> Result<(), ConfigError> {
        if self.max_descriptors < min_descriptors {
            return Err(ConfigError::OutOfRange {
                key: "limits.sockets",
                value: self.max_descriptors.to_string(),
                allowed: format!("{min_descriptors} and more"),
            });
        }
        if self.memory_mb < MIN_MEMORY_MB {
            return Err(ConfigError::OutOfRange {
                key: "limits.memory_mb",
                value: format!("{} MB", self.memory_mb),
                allowed: format!("{MIN_MEMORY_MB} MB and more"),
            });
        }
        Ok(())
    }
}

impl TimeoutsMessage {
    pub(super) fn connect_timeout(&self) -> Result<Duration, ConfigError> {
        timeout(
            "settings.limits.connect_timeout_us",
            self.connect_timeout_us,
            1,
        )
    }

    /// It may be 0: connections are never reused then.
    pub(super) fn connection_idle_timeout(&self) -> Result<Duration, ConfigError> {
        timeout(
            "settings.limits.conn_idle_us",
            self.connection_idle_timeout_us,
            0,
        )
    }
}

impl InvariantsMessage {
    pub(super) fn drain_grace(&self) -> Duration {
        Duration::from_micros(self.drain_grace_us)
    }
}

fn timeout(key: &'static str, value_us: u64, min_us: u64) -> Result<Duration, ConfigError> {
    let timeout = Duration::from_micros(value_us);
    if value_us < min_us || timeout > MAX_TIMEOUT {
        return Err(ConfigError::OutOfRange {
            key,
            value: format!("{value_us} us"),
            allowed: format!("{min_us} us to {} h", MAX_TIMEOUT.as_secs() / 3_600),
        });
    }
    Ok(timeout)
}
