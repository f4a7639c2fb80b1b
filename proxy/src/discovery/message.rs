//! The endpoint list as discovery sends it and as the configuration gives it. The wire's own names are mapped here.

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
    /// The entries.
    #[serde(rename = "hosts")]
    pub endpoints: Vec<ListedEndpoint>,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, Deserialize)]
pub struct ListedEndpoint {
    /// Its name, the same for every proxy.
    #[serde(rename = "host")]
    pub name: String,
    /// Where it listens.
    #[serde(rename = "dial")]
    pub address: SocketAddr,
    /// Its zone.
    #[serde(rename = "site", default)]
    pub zone: String,
    /// Its cell: the endpoints that deduplicate each other's requests.
    #[serde(rename = "block", default)]
    pub cell: u32,
    /// Its state.
    #[serde(rename = "health")]
    pub state: ListedState,
    /// Its capacity relative to that of the others.
    #[serde(rename = "share", default)]
    pub weight: f64,
    /// When its process started, Unix time in milliseconds; 0: long ago.
    #[serde(rename = "born_ms", default)]
    pub started_at_ms: u64,
}

/// State of an endpoint in the list.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub enum ListedState {
    /// It takes requests.
    Ready,
    /// It finishes the requests that it has and takes no new ones.
    #[serde(rename = "Terminating")]
    Draining,
    /// It has been removed.
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
