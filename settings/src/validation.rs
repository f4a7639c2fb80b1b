//! Range checks of settings. A proxy makes them when it reads its configuration, so that an invalid
//! value is reported before it takes effect.

use crate::error::{AllowedRange, SettingsError, MAX_DURATION_US};
use balancer::{Class, Settings};

/// Checks that the values are within their ranges.
///
/// # Errors
/// The first value out of range, with its key and the allowed range.
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
    for (index, class) in classes.iter().enumerate() {
        check_class(index, class)?;
    }
    for (index, tenant) in tenants.iter().enumerate() {
        let key = format!("tenants[{index}].portion");
        check_number(&key, tenant.quota, AllowedRange::Fraction)?;
    }
    check_duration(
        "tick_us",
        settings.clock_resolution,
        AllowedRange::DurationOrZero,
    )?;
    check_number(
        "balancers",
        settings.balancer_count.into(),
        AllowedRange::AtLeastOne,
    )?;
    check_number(
        "limits.max_attempts",
        settings.limits.max_attempts.into(),
        AllowedRange::AtLeastOne,
    )?;
    check_number(
        "invariants.cold_from",
        slow_start.initial_capacity,
        AllowedRange::PositiveFraction,
    )?;
    check_number(
        "invariants.fall_multiple",
        slow_start.overload_multiple,
        AllowedRange::Positive,
    )?;
    check_duration(
        "invariants.cold_us",
        slow_start.duration,
        AllowedRange::DurationOrZero,
    )?;
    check_duration(
        "invariants.ask_every_us",
        discovery.max_poll_interval,
        AllowedRange::Duration,
    )?;
    check_duration(
        "invariants.told_after_us",
        discovery.notification_deadline,
        AllowedRange::Duration,
    )
}

fn check_class(index: usize, class: &Class) -> Result<(), SettingsError> {
    let key = |name| format!("classes[{index}].{name}");
    check_duration(
        &key("objective_us"),
        class.latency_objective,
        AllowedRange::Duration,
    )?;
    check_duration(&key("deadline_us"), class.deadline, AllowedRange::Duration)?;
    check_number(
        &key("worth"),
        class.priority_weight,
        AllowedRange::NonNegative,
    )?;
    check_number(
        &key("late_value"),
        class.late_weight_fraction,
        AllowedRange::NonNegative,
    )
}

fn check_duration(key: &str, value_us: u64, allowed: AllowedRange) -> Result<(), SettingsError> {
    let min_us = if allowed == AllowedRange::Duration {
        1
    } else {
        0
    };
    if (min_us..=MAX_DURATION_US).contains(&value_us) {
        return Ok(());
    }
    Err(SettingsError::OutOfRange {
        key: key.to_owned(),
        value: value_us.to_string(),
        allowed,
    })
}

fn check_number(key: &str, value: f64, allowed: AllowedRange) -> Result<(), SettingsError> {
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
        key: key.to_owned(),
        value: value.to_string(),
        allowed,
    })
}
