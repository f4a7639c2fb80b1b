//! A site's settings: reads them as the simulator's first message and a proxy's configuration
//! contain them, and checks them.
#![forbid(unsafe_code)]

mod error;
mod message;
mod validation;
mod zone;

pub use error::{AllowedRange, SettingsError};
pub use validation::validate;
pub use zone::zone;

use balancer::Settings;
use message::SettingsMessage;
use serde_json::Value;

/// Settings in the balancer's terms, with the names that it numbers.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteSettings {
    /// What a balancer is created with.
    pub settings: Settings,
    /// Names of the classes, in the order of the settings.
    pub class_names: Vec<String>,
    /// Names of the tenants, in the order of the settings.
    pub tenant_names: Vec<String>,
}

/// Reads settings. Values are taken as they are; [`validate`] checks them.
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
