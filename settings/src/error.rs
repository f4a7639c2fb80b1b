//! Errors of reading and validating settings.

use std::fmt;
use thiserror::Error;

/// Longest duration that a setting may have: 24 hours.
pub(crate) const MAX_DURATION_US: u64 = 24 * 3_600 * 1_000_000;

/// Why settings cannot be used. Messages name keys as they are written in the settings.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// A key is missing, or its value has the wrong type. The message begins with the path of that
    /// value, or of the object in which the key is missing; it has no path if that object is the
    /// settings as a whole.
    #[error("{0}")]
    Malformed(serde_path_to_error::Error<serde_json::Error>),
    /// There is no class.
    #[error("classes is empty; at least one class is required")]
    NoClasses,
    /// A value is outside its range.
    #[error("{key} is {value}; it must be {allowed}")]
    OutOfRange {
        /// Path of the key in the settings, such as `classes[0].worth`.
        key: String,
        /// The value in the settings.
        value: String,
        /// The values that are allowed.
        allowed: AllowedRange,
    },
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
            AllowedRange::Duration => {
                write!(formatter, "from 1 to {MAX_DURATION_US} us (24 hours)")
            }
            AllowedRange::DurationOrZero => {
                write!(formatter, "from 0 to {MAX_DURATION_US} us (24 hours)")
            }
            AllowedRange::NonNegative => formatter.write_str("a finite number of 0 or more"),
            AllowedRange::Positive => formatter.write_str("a finite number above 0"),
            AllowedRange::AtLeastOne => formatter.write_str("1 or more"),
            AllowedRange::Fraction => formatter.write_str("from 0 to 1"),
            AllowedRange::PositiveFraction => formatter.write_str("above 0 and at most 1"),
        }
    }
}
