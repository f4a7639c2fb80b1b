//! The endpoints that this balancer knows, in the order of their ids.

use crate::endpoint::Endpoint;
use crate::zone_outages::ZoneOutages;
use crate::EndpointId;
use std::ops::{Index, IndexMut};

/// Endpoints that are listed or have requests in flight. Indices change when the list does.
#[derive(Debug, Default)]
pub(crate) struct Endpoints {
    sorted: Vec<Endpoint>,
    listed_count: usize,
    ejected_count: usize,
}

impl Endpoints {
    pub(crate) fn len(&self) -> usize {
        self.sorted.len()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Endpoint> + Clone {
        self.sorted.iter()
    }

    /// Index of an endpoint, if it is known.
    pub(crate) fn index_of(&self, id: EndpointId) -> Option<usize> {
        self.sorted
            .binary_search_by_key(&id, |endpoint| endpoint.id)
            .ok()
    }

    /// Adds an endpoint, or puts it in the place of the one with its id.
    pub(crate) fn insert(&mut self, endpoint: Endpoint) {
        match self
            .sorted
            .binary_search_by_key(&endpoint.id, |known| known.id)
        {
            Ok(index) => self.sorted[index] = endpoint,
            Err(index) => self.sorted.insert(index, endpoint),
        }
    }

    /// Marks all as not listed.
    pub(crate) fn unlist_all(&mut self) {
        for endpoint in &mut self.sorted {
            endpoint.is_listed = false;
        }
    }

    /// Removes those that are not listed and have no requests in flight.
    pub(crate) fn remove_unused(&mut self) {
        self.sorted
            .retain(|endpoint| endpoint.is_listed || endpoint.in_flight > 0);
    }

    /// Counts the listed and the ejected endpoints anew and returns the number of those available:
    /// listed, not ejected and not in a zone that is out.
    pub(crate) fn refresh_counts(&mut self, zone_outages: &ZoneOutages) -> usize {
        self.listed_count = 0;
        self.ejected_count = 0;
        let mut available = 0;
        for endpoint in self.sorted.iter().filter(|endpoint| endpoint.is_listed) {
            self.listed_count += 1;
            if endpoint.is_ejected() {
                self.ejected_count += 1;
            } else if !zone_outages.is_out(endpoint.zone) {
                available += 1;
            }
        }
        available
    }

    /// Whether another endpoint may be ejected. More than half of them never are: a fault seen at
    /// most endpoints is not the endpoints' own.
    pub(crate) fn may_eject_another(&self) -> bool {
        (self.ejected_count + 1) * 2 <= self.listed_count
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
