//! Ids of endpoints. The balancer orders endpoints in a ring by their ids, and each proxy sends to
//! a part of it. So an id is a hash of the endpoint's name: all proxies agree on it, whatever they
//! have received of the list and in which order, and endpoints that join together, which are all in
//! slow start, are not neighbours.

use balancer::EndpointId;
use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64;

/// Names of the listed endpoints and their ids.
#[derive(Debug, Default)]
pub struct EndpointIds {
    by_name: HashMap<String, EndpointId>,
    names: HashMap<EndpointId, String>,
}

impl EndpointIds {
    /// The id of an endpoint. It stays the same until the name is forgotten. `on_new` is called
    /// with it if the name was not known. Of two names with the same hash the later one gets the
    /// next free id.
    pub fn get(&mut self, name: &str, on_new: impl FnOnce(EndpointId)) -> EndpointId {
        if let Some(&id) = self.by_name.get(name) {
            return id;
        }
        let mut number = xxh3_64(name.as_bytes()) as u32;
        while self.names.contains_key(&EndpointId(number)) {
            number = number.wrapping_add(1);
        }
        let id = EndpointId(number);
        self.by_name.insert(name.to_owned(), id);
        self.names.insert(id, name.to_owned());
        on_new(id);
        id
    }

    /// Forgets the names of all endpoints that are not to be retained.
    pub fn retain(&mut self, retain: impl Fn(EndpointId) -> bool) {
        self.by_name.retain(|_, id| retain(*id));
        self.names.retain(|id, _| retain(*id));
    }
}
