//! The endpoints that are ready or have requests in flight, sorted by id.

use crate::endpoint::Endpoint;
use crate::zone_outages::ZoneOutages;
use crate::EndpointId;
use std::ops::{Index, IndexMut};

/// Endpoints that were ready or had requests in flight at the last update of the endpoint list.
/// Updates of the endpoint list change their indices.
#[derive(Debug, Default)]
pub(crate) struct Endpoints {
    sorted: Vec<Endpoint>,
    ready_count: usize,
    ejected_count: usize,
}

impl Endpoints {
    pub(crate) fn len(&self) -> usize {
        self.sorted.len()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Endpoint> + Clone {
        self.sorted.iter()
    }

    /// Index of an endpoint, or `None` if it is not kept here.
    pub(crate) fn index_of(&self, id: EndpointId) -> Option<usize> {
        self.sorted
            .binary_search_by_key(&id, |endpoint| endpoint.id)
            .ok()
    }

    /// Inserts an endpoint, replacing the one with the same id if there is one.
    pub(crate) fn insert(&mut self, endpoint: Endpoint) {
        match self
            .sorted
            .binary_search_by_key(&endpoint.id, |known| known.id)
        {
            Ok(index) => self.sorted[index] = endpoint,
            Err(index) => self.sorted.insert(index, endpoint),
        }
    }

    /// Marks all endpoints as not ready, before a complete list is applied.
    pub(crate) fn mark_all_not_ready(&mut self) {
        for endpoint in &mut self.sorted {
            endpoint.is_ready = false;
        }
    }

    /// Removes endpoints that are not ready and have no attempts out at them.
    pub(crate) fn remove_unused(&mut self) {
        self.sorted
            .retain(|endpoint| endpoint.is_ready || endpoint.outstanding() > 0);
    }

    /// Recounts the ready endpoints and those of them that are ejected. Returns the number of
    /// available endpoints: those that are ready, not ejected and not in a zone with an outage.
    pub(crate) fn refresh_counts(&mut self, zone_outages: &ZoneOutages) -> usize {
        self.ready_count = 0;
        self.ejected_count = 0;
        let mut available_count = 0;
        for endpoint in self.sorted.iter().filter(|endpoint| endpoint.is_ready) {
            self.ready_count += 1;
            if endpoint.is_ejected() {
                self.ejected_count += 1;
            } else if !zone_outages.has_outage(endpoint.zone) {
                available_count += 1;
            }
        }
        available_count
    }

    /// Whether one more endpoint may be ejected for its failure rate or latency. At most half of
    /// the ready endpoints may be, because a fault that most endpoints have does not originate in
    /// the endpoints. Ejections for lost connections are not bounded.
    pub(crate) fn has_ejection_capacity(&self) -> bool {
        (self.ejected_count + 1) * 2 <= self.ready_count
    }
}

impl Index<usize> for Endpoints {
    type Output = Endpoint;

    fn index(&self, index: usize) -> &Endpoint {
        &self.sorted[index]
    }
}

impl IndexMut<usize> for Endpoints {
    fn index_mut(&mut self, index: usize) -> &mut Endpoint {
        &mut self.sorted[index]
    }
}
