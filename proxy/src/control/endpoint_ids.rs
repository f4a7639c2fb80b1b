//! Assigns ids to endpoints. The balancer orders endpoints by id on a ring, and each proxy uses a
//! subset of neighbouring endpoints. Ids are hashes of the endpoints' names for two reasons: all
//! proxies compute the same ids, whichever parts of the list they have received and in whichever
//! order; and endpoints that join at the same time, which are all in slow start, are not neighbours
//! on the ring.

use balancer::EndpointId;
use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64;

/// The names of the listed endpoints and their ids.
#[derive(Debug, Default)]
pub struct EndpointIds {
    by_name: HashMap<String, EndpointId>,
    names: HashMap<EndpointId, String>,
}

impl EndpointIds {
    /// Returns the id of an endpoint, which is stable until the name is forgotten. If the name is
    /// new, an id is assigned and `on_new` is called with it. If two names have the same hash, the
    /// later one gets the next free id.
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

    /// Forgets the names of all endpoints for which `retain` returns `false`.
    pub fn retain(&mut self, retain: impl Fn(EndpointId) -> bool) {
        self.by_name.retain(|_, id| retain(*id));
        self.names.retain(|id, _| retain(*id));
    }
}
