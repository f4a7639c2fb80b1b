//! Whether a program can run under given settings. A value that makes no sense is better reported
//! at the start than met under load.

use crate::error::{AllowedRange, SettingsError, MAX_DURATION_US};
use balancer::{Class, Settings};

/// Checks that every value is within its range.
///
/// # Errors
/// The first value that is not, with its key and what is allowed.
pub fn validate(settings: &Settings) -> Result<(), SettingsError> {
    let Settings {
        classes,
        tenants,
        slow_start,
        discovery,
        ..
    } = settings;
    if classes.is_empty() {
        return Err(SettingsError::NoClasses);
    }
    classes.iter().try_for_each(validate_class)?;
    for tenant in tenants {
        number("portion", tenant.quota, AllowedRange::Fraction)?;
    }
    duration(
        "tick_us",
        settings.clock_resolution,
        AllowedRange::DurationOrZero,
    )?;
    number(
        "balancers",
        settings.balancer_count.into(),
        AllowedRange::AtLeastOne,
    )?;
    number(
        "max_attempts",
        settings.limits.max_attempts.into(),
        AllowedRange::AtLeastOne,
    )?;
    number(
        "cold_from",
        slow_start.initial_capacity,
        AllowedRange::PositiveFraction,
    )?;
    number(
        "fall_multiple",
        slow_start.overload_multiple,
        AllowedRange::Positive,
    )?;
    duration("cold_us", slow_start.duration, AllowedRange::DurationOrZero)?;
    duration(
        "ask_every_us",
        discovery.max_poll_interval,
        AllowedRange::Duration,
    )?;
    duration(
        "told_after_us",
        discovery.notification_deadline,
        AllowedRange::Duration,
    )
}

fn validate_class(class: &Class) -> Result<(), SettingsError> {
    duration(
        "objective_us",
        class.latency_objective,
        AllowedRange::Duration,
    )?;
    duration("deadline_us", class.deadline, AllowedRange::Duration)?;
    number("worth", class.priority_weight, AllowedRange::NonNegative)?;
    number(
        "late_value",
        class.late_weight_fraction,
        AllowedRange::NonNegative,
    )
}

fn duration(key: &'static str, value_us: u64, allowed: AllowedRange) -> Result<(), SettingsError> {
    let min_us = if allowed == AllowedRange::Duration {
        1
    } else {
        0
    };
    if (min_us..=MAX_DURATION_US).contains(&value_us) {
        return Ok(());
    }
    Err(SettingsError::OutOfRange {
        key,
        value: value_us.to_string(),
        allowed,
    })
}

fn number(key: &'static str, value: f64, allowed: AllowedRange) -> Result<(), SettingsError> {
    let (min, max) = match allowed {
        AllowedRange::Positive => (f64::MIN_POSITIVE, f64::MAX),
        AllowedRange::AtLeastOne => (1.0, f64::MAX),
        AllowedRange::Fraction => (0.0, 1.0),
        AllowedRange::PositiveFraction => (f64::MIN_POSITIVE, 1.0),
        AllowedRange::NonNegative | AllowedRange::Duration | AllowedRange::DurationOrZero => {
            (0.0, f64::MAX)
        }
    };
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(SettingsError::OutOfRange {
        key,
        value: value.to_string(),
        allowed,
    })
}
