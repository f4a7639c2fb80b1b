//! The serde types of an endpoint list, which discovery sends and the configuration file may
//! contain. They map the keys of the wire format to the names used in this crate.

use balancer::EndpointState;
use serde::Deserialize;
use std::net::SocketAddr;

/// An update of the endpoint list: the full list, or the entries that changed.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointList {
    /// Version of the list.
    #[serde(rename = "seq")]
    pub version: u64,
    /// Whether this is the full list.
    #[serde(rename = "whole")]
    pub is_full: bool,
    /// All endpoints in a full list, otherwise those that changed.
    #[serde(rename = "hosts")]
    pub endpoints: Vec<ListedEndpoint>,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, Deserialize)]
pub struct ListedEndpoint {
    /// Name of the endpoint, the same for every proxy.
    #[serde(rename = "host")]
    pub name: String,
    /// Address at which it listens.
    #[serde(rename = "dial")]
    pub address: SocketAddr,
    /// Name of its zone.
    #[serde(rename = "site", default)]
    pub zone: String,
    /// Number of its cell, the group of endpoints that deduplicate each other's requests.
    #[serde(rename = "block", default)]
    pub cell: u32,
    /// Its state.
    #[serde(rename = "health")]
    pub state: ListedState,
    /// Its capacity relative to that of other endpoints.
    #[serde(rename = "share", default)]
    pub weight: f64,
    /// When its process started, as Unix time in milliseconds. 0, the default: unknown; the
    /// endpoint is not in slow start.
    #[serde(rename = "born_ms", default)]
    pub started_at_ms: u64,
}

/// State of an endpoint in the list.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub enum ListedState {
    /// It accepts requests.
    Ready,
    /// It finishes its requests in flight and accepts no new ones.
    #[serde(rename = "Terminating")]
    Draining,
    /// It has been removed from the fleet.
    #[serde(rename = "Gone")]
    Removed,
}

impl From<ListedState> for EndpointState {
    fn from(state: ListedState) -> EndpointState {
        match state {
            ListedState::Ready => EndpointState::Ready,
            ListedState::Draining => EndpointState::Draining,
            ListedState::Removed => EndpointState::Removed,
        }
    }
}
