//! The listed endpoints, with the attributes that the network code needs.

use crate::control::connection_pool::ConnectionPool;
use crate::control::endpoint_ids::EndpointIds;
use crate::discovery::{EndpointList, ListedEndpoint, ListedState};
use crate::invariants::AttemptTarget;
use balancer::{CellId, EndpointEntry, EndpointId};
use std::collections::HashMap;
use std::net::SocketAddr;

/// One process of an endpoint. An endpoint that restarts at the same address is a new process with
/// a later start time, and goes through slow start.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndpointProcess {
    pub(super) endpoint_id: EndpointId,
    pub(super) address: SocketAddr,
    started_at_ms: u64,
}

/// A listed endpoint.
pub(super) struct Endpoint {
    address: SocketAddr,
    started_at_ms: u64,
    state: ListedState,
    /// Target of the endpoint's attempts, as recorded for the invariants.
    target: AttemptTarget,
}

impl Endpoint {
    fn new(entry: &ListedEndpoint) -> Endpoint {
        Endpoint {
            address: entry.address,
            started_at_ms: entry.started_at_ms,
            state: entry.state,
            target: AttemptTarget::default(),
        }
    }

    fn is_ready(&self) -> bool {
        self.state == ListedState::Ready
    }

    /// Whether a new attempt may be written to this process of the endpoint.
    fn accepts(&self, process: EndpointProcess) -> bool {
        self.is_ready()
            && self.address == process.address
            && self.started_at_ms == process.started_at_ms
    }
}

/// An endpoint that accepts new attempts.
pub(super) struct ReadyEndpoint {
    pub(super) process: EndpointProcess,
    pub(super) target: AttemptTarget,
}

/// Owns the listed endpoints.
#[derive(Default)]
pub(super) struct Endpoints {
    by_id: HashMap<EndpointId, Endpoint>,
    ids: EndpointIds,
}

impl Endpoints {
    /// Number of listed endpoints.
    pub(super) fn count(&self) -> usize {
        self.by_id.len()
    }

    /// Number of endpoints that are listed as ready.
    pub(super) fn ready_count(&self) -> usize {
        self.by_id
            .values()
            .filter(|endpoint| endpoint.is_ready())
            .count()
    }

    /// Returns the endpoint if it is listed as ready.
    pub(super) fn ready_endpoint(&self, endpoint_id: EndpointId) -> Option<ReadyEndpoint> {
        let endpoint = self
            .by_id
            .get(&endpoint_id)
            .filter(|endpoint| endpoint.is_ready())?;
        let &Endpoint {
            address,
            started_at_ms,
            ..
        } = endpoint;
        Some(ReadyEndpoint {
            process: EndpointProcess {
                endpoint_id,
                address,
                started_at_ms,
            },
            target: endpoint.target.clone(),
        })
    }

    /// Whether a new attempt may be written to this process.
    pub(super) fn accepts(&self, process: EndpointProcess) -> bool {
        self.by_id
            .get(&process.endpoint_id)
            .is_some_and(|endpoint| endpoint.accepts(process))
    }

    /// Updates the endpoints from a list and returns the list's entries for the balancer. Endpoints
    /// that are missing from a full list are marked as removed and kept until
    /// [`Endpoints::forget_removed`] is called.
    pub(super) fn update(
        &mut self,
        list: &EndpointList,
        is_full: bool,
        pool: &mut ConnectionPool,
    ) -> Vec<EndpointEntry> {
        if is_full {
            for endpoint in self.by_id.values_mut() {
                endpoint.state = ListedState::Removed;
            }
        }
        let entries = list
            .endpoints
            .iter()
            .map(|entry| self.update_endpoint(entry, pool))
            .collect();
        for endpoint in self.by_id.values() {
            endpoint.target.drain_status.set_ready(endpoint.is_ready());
        }
        entries
    }

    fn update_endpoint(
        &mut self,
        entry: &ListedEndpoint,
        pool: &mut ConnectionPool,
    ) -> EndpointEntry {
        let endpoint_id = self.ids.get(&entry.name, |id| {
            // Logged because the balancer's log lines identify endpoints by id only.
            crate::log::line(&format!(
                "endpoint {} is {} at {}",
                id.0, entry.name, entry.address
            ));
        });
        let endpoint = self
            .by_id
            .entry(endpoint_id)
            .or_insert_with(|| Endpoint::new(entry));
        if endpoint.address != entry.address || endpoint.started_at_ms != entry.started_at_ms {
            endpoint.address = entry.address;
            endpoint.started_at_ms = entry.started_at_ms;
            pool.close_all(endpoint_id);
            // Attempts for the previous process may no longer start.
            std::mem::take(&mut endpoint.target.drain_status).set_ready(false);
        }
        endpoint.state = entry.state;
        endpoint.target.zone = balancer_settings::zone_id(&entry.zone);
        endpoint.target.cell = CellId(entry.cell);
        EndpointEntry {
            endpoint: endpoint_id,
            state: entry.state.into(),
            zone: endpoint.target.zone,
            cell: endpoint.target.cell,
            started_at: entry.started_at_ms.saturating_mul(1_000),
            weight: entry.weight,
        }
    }

    /// Ids of the endpoints that accept no new attempts.
    pub(super) fn unready_ids(&self) -> impl Iterator<Item = EndpointId> + '_ {
        self.by_id
            .iter()
            .filter(|(_, endpoint)| !endpoint.is_ready())
            .map(|(&id, _)| id)
    }

    /// Removes the endpoints that are no longer listed.
    pub(super) fn forget_removed(&mut self) {
        self.by_id
            .retain(|_, endpoint| endpoint.state != ListedState::Removed);
        let by_id = &self.by_id;
        self.ids
            .retain(|endpoint_id| by_id.contains_key(&endpoint_id));
    }
}
