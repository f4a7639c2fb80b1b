//! Reads and validates the settings of a site, which is one deployment of the load-balanced
//! service. The simulator sends them when it creates a balancer, and a proxy's configuration
//! contains them in the same form.
#![forbid(unsafe_code)]

mod error;
mod message;
mod validation;
mod zone_id;

pub use error::{AllowedRange, SettingsError};
pub use validation::validate;
pub use zone_id::zone_id;

use balancer::Settings;
use message::SettingsMessage;
use serde_json::Value;

/// Settings for a balancer, and the names of the classes and tenants, which the balancer identifies
/// by their indices.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteSettings {
    /// Settings that a balancer is created with.
    pub settings: Settings,
    /// Names of the classes, in the order of `settings.classes`.
    pub class_names: Vec<String>,
    /// Names of the tenants, in the order of `settings.tenants`.
    pub tenant_names: Vec<String>,
}

/// Reads settings. Only the types of the values are checked here; [`validate`] checks their ranges.
///
/// # Errors
/// A key is missing, or its value has the wrong type.
pub fn read(message: &Value) -> Result<SiteSettings, SettingsError> {
    let message = SettingsMessage::read(message)?;
    Ok(SiteSettings {
        settings: message.settings(),
        class_names: message
            .classes
            .into_iter()
            .map(|class| class.name)
            .collect(),
        tenant_names: message
            .tenants
            .into_iter()
            .map(|tenant| tenant.name)
            .collect(),
    })
}
