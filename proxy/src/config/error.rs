//! Errors of loading and parsing a configuration.

use balancer_settings::SettingsError;
use std::io;
use std::net::AddrParseError;
use std::num::ParseIntError;
use std::path::PathBuf;
use thiserror::Error;

/// Why a configuration file cannot be loaded. The message names the file and the reason.
#[derive(Debug, Error)]
pub enum LoadError {
    /// The file could not be read.
    #[error("cannot read {}: {error}", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error returned by the read.
        error: io::Error,
    },
    /// The file is not a valid configuration.
    #[error("{}: {error}", path.display())]
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// What is invalid in it.
        error: ConfigError,
    },
}

/// Why a text is not a valid configuration. Where a single value is at fault, the message names its
/// key, the value and what is allowed.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The text is not JSON, a key is missing, or a value has the wrong type.
    #[error("invalid configuration: {0}")]
    Malformed(serde_json::Error),
    /// An address cannot be parsed.
    #[error("{key}: {value:?} is not an address of the form \"127.0.0.1:8080\" ({error})")]
    Address {
        /// Key of the address.
        key: &'static str,
        /// The configured value.
        value: String,
        /// Error returned by the address parser.
        error: AddrParseError,
    },
    /// The seed cannot be parsed.
    #[error("seed: {value:?} is not a hexadecimal number of at most 64 bits ({error})")]
    Seed {
        /// The configured value.
        value: String,
        /// Error returned by the number parser.
        error: ParseIntError,
    },
    /// The balancer's settings are malformed or out of range.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// In the settings that concern connections, a value has the wrong type. The message contains
    /// its path.
    #[error("settings: {0}")]
    ConnectionSettings(serde_path_to_error::Error<serde_json::Error>),
    /// A limit or timeout is too low or too high.
    #[error("{key} is {value}; it must be {allowed}")]
    OutOfRange {
        /// Key of the value.
        key: &'static str,
        /// The configured value, with its unit if it has one.
        value: String,
        /// The values that are allowed.
        allowed: String,
    },
}
