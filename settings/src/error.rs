//! Errors of reading and validating settings.

use std::fmt;
use thiserror::Error;

/// Longest duration that a setting may have.
pub(crate) const MAX_DURATION_US: u64 = 24 * 3_600 * 1_000_000;

/// Why settings are not usable. Keys are named as the operators write them.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// A key is missing, or its value has the wrong type.
    #[error("{}{reason}", prefix(key))]
    Malformed {
        /// The key with the wrong value; `None`: a key is missing, which the reason names.
        key: Option<String>,
        /// Names the value, and what is allowed.
        reason: serde_json::Error,
    },
    /// There is no class.
    #[error("classes is empty, allowed is one class or more")]
    NoClasses,
    /// A value is outside its range.
    #[error("{key} is {value}, allowed is {allowed}")]
    OutOfRange {
        /// The setting's key.
        key: &'static str,
        /// The value as it was given.
        value: String,
        /// The values that are allowed.
        allowed: AllowedRange,
    },
}

fn prefix(key: &Option<String>) -> String {
    key.as_ref()
        .map_or_else(String::new, |key| format!("{key}: "))
}

/// Values that a setting may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllowedRange {
    /// A duration of 1 us to one day.
    Duration,
    /// A duration of up to one day.
    DurationOrZero,
    /// A finite number of 0 or more.
    NonNegative,
    /// A finite number above 0.
    Positive,
    /// A finite number of 1 or more.
    AtLeastOne,
    /// 0 to 1.
    Fraction,
    /// Above 0, up to 1.
    PositiveFraction,
}

impl fmt::Display for AllowedRange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AllowedRange::Duration => write!(formatter, "1 to {MAX_DURATION_US} us"),
            AllowedRange::DurationOrZero => write!(formatter, "0 to {MAX_DURATION_US} us"),
            AllowedRange::NonNegative => formatter.write_str("a finite number of 0 or more"),
            AllowedRange::Positive => formatter.write_str("a finite number above 0"),
            AllowedRange::AtLeastOne => formatter.write_str("1 or more"),
            AllowedRange::Fraction => formatter.write_str("0 to 1"),
            AllowedRange::PositiveFraction => formatter.write_str("above 0, up to 1"),
        }
    }
}
