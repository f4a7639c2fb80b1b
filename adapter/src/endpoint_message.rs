//! The wire form of an endpoint in the simulator's lists.

use crate::error::InputError;
use balancer::{CellId, EndpointEntry, EndpointId, EndpointState, Micros};
use balancer_settings::zone_id;
use serde::Deserialize;

/// An endpoint in a list. `rename` gives the field's name on the wire.
#[derive(Deserialize)]
pub(crate) struct EndpointMessage {
    #[serde(rename = "last_start_us", default)]
    started_at: Micros,
    #[serde(rename = "az", default)]
    zone: String,
    #[serde(rename = "cohort", default)]
    cell: u32,
    #[serde(rename = "host")]
    endpoint: u32,
    #[serde(default)]
    weight: f64,
    state: u32,
}

impl EndpointMessage {
    /// Converts it to the balancer's type.
    pub(crate) fn entry(&self) -> Result<EndpointEntry, InputError> {
        let state = match self.state {
            0 => EndpointState::Draining,
            1 => EndpointState::Ready,
            2 => EndpointState::Removed,
            state => {
                return Err(InputError::UnknownState {
                    endpoint: self.endpoint,
                    state,
                })
            }
        };
        Ok(EndpointEntry {
            endpoint: EndpointId(self.endpoint),
            state,
            zone: zone_id(&self.zone),
            cell: CellId(self.cell),
            started_at: self.started_at,
            weight: self.weight,
        })
    }
}
