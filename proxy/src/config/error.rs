//! Why a configuration cannot be used.

use balancer_settings::SettingsError;
use std::io;
use std::net::AddrParseError;
use std::num::ParseIntError;
use std::path::PathBuf;
use thiserror::Error;

/// Why a configuration file cannot be used. The text names the file and the reason.
#[derive(Debug, Error)]
pub enum LoadError {
    /// The file could not be read.
    #[error("{}: {error}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        error: io::Error,
    },
    /// The file is not a valid configuration.
    #[error("{}: {error}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// Why.
        error: ConfigError,
    },
}

/// Why a text is not a valid configuration. The text names the key, its value and what is allowed.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// It is not JSON, a key is missing, or a value has the wrong type.
    #[error("not a configuration: {0}")]
    Malformed(serde_json::Error),
    /// An address cannot be parsed.
    #[error("{key}: {value:?} is no address of the form \"127.0.0.1:8080\" ({error})")]
    Address {
        /// Key of the address.
        key: &'static str,
        /// What stands there.
        value: String,
        /// Why it is none.
        error: AddrParseError,
    },
    /// The seed cannot be parsed.
    #[error("seed: {value:?} is no hexadecimal number of at most 64 bits ({error})")]
    Seed {
        /// What stands there.
        value: String,
        /// Why it is none.
        error: ParseIntError,
    },
    /// The balancer's settings are malformed or out of range.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The settings of connections are malformed.
    #[error("settings: {0}")]
    ConnectionSettings(serde_json::Error),
    /// A limit is too low or too high.
    #[error("{key}: {value} is out of range; allowed is {allowed}")]
    OutOfRange {
        /// Key of the limit.
        key: &'static str,
        /// What stands there, with its unit.
        value: String,
        /// The range.
        allowed: String,
    },
}
