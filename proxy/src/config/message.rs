//! The serde types of the configuration file, which map the keys that operators write to the names
//! used in this crate.

use crate::config::error::ConfigError;
use crate::discovery::EndpointList;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum value of a configured timeout.
const MAX_TIMEOUT: Duration = Duration::from_secs(24 * 3_600);
/// Minimum of `limits.memory_mb`: the program cannot run in less.
const MIN_MEMORY_MB: usize = 8;

/// The configuration file.
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

/// Limits on what all processes of the program on this machine use together.
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

/// The part of `settings` that concerns connections; `balancer_settings` parses the rest.
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

    pub(super) fn parse_seed(&self) -> Result<u64, ConfigError> {
        u64::from_str_radix(&self.seed, 16).map_err(|error| ConfigError::Seed {
            value: self.seed.clone(),
            error,
        })
    }

    pub(super) fn parse_connection_settings(
        &self,
    ) -> Result<ConnectionSettingsMessage, ConfigError> {
        serde_path_to_error::deserialize(&self.settings).map_err(ConfigError::ConnectionSettings)
    }
}

/// Parses the address that is configured under `key`.
pub(super) fn parse_address(key: &'static str, value: &str) -> Result<SocketAddr, ConfigError> {
    value.parse().map_err(|error| ConfigError::Address {
        key,
        value: value.to_owned(),
        error,
    })
}

impl ProcessLimitsMessage {
    pub(super) fn validate(&self, min_descriptors: usize) -> Result<(), ConfigError> {
        if self.max_descriptors < min_descriptors {
            return Err(ConfigError::OutOfRange {
                key: "limits.sockets",
                value: self.max_descriptors.to_string(),
                allowed: format!("at least {min_descriptors}"),
            });
        }
        if self.memory_mb < MIN_MEMORY_MB {
            return Err(ConfigError::OutOfRange {
                key: "limits.memory_mb",
                value: format!("{} MB", self.memory_mb),
                allowed: format!("at least {MIN_MEMORY_MB} MB"),
            });
        }
        Ok(())
    }
}

impl TimeoutsMessage {
    pub(super) fn connect_timeout(&self) -> Result<Duration, ConfigError> {
        checked_timeout(
            "settings.limits.connect_timeout_us",
            self.connect_timeout_us,
            1,
        )
    }

    /// 0 is allowed and means that connections are never reused.
    pub(super) fn connection_idle_timeout(&self) -> Result<Duration, ConfigError> {
        checked_timeout(
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

fn checked_timeout(key: &'static str, value_us: u64, min_us: u64) -> Result<Duration, ConfigError> {
    let timeout = Duration::from_micros(value_us);
    if value_us < min_us || timeout > MAX_TIMEOUT {
        return Err(ConfigError::OutOfRange {
            key,
            value: format!("{value_us} us"),
            allowed: format!(
                "from {min_us} to {} us ({} hours)",
                MAX_TIMEOUT.as_micros(),
                MAX_TIMEOUT.as_secs() / 3_600
            ),
        });
    }
    Ok(timeout)
}
