//! Numbers of servers. The decision module places servers on a ring in the order of their numbers, and each proxy sends to
//! a stretch of it. So a number is a hash of the server's name: all proxies agree on it whatever they have heard of and in
//! which order, and servers that start together, and are cold together, do not stand side by side.

use balancer::EndpointId;
use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64;

/// Names of the listed servers and their numbers.
#[derive(Debug, Default)]
pub struct EndpointIds {
    by_name: HashMap<String, EndpointId>,
    names: HashMap<EndpointId, String>,
}

impl EndpointIds {
    /// The number of a server. It stays the same until the name is forgotten. `new` is called with it when the name was not
    /// known. Of two names with the same hash the later one gets the next free number.
    pub fn get(&mut self, name: &str, new: impl FnOnce(EndpointId)) -> EndpointId {
        if let Some(&known) = self.by_name.get(name) {
            return known;
        }
        let mut number = xxh3_64(name.as_bytes()) as u32;
        while self.names.contains_key(&EndpointId(number)) {
            number = number.wrapping_add(1);
        }
        let id = EndpointId(number);
        self.by_name.insert(name.to_owned(), id);
        self.names.insert(id, name.to_owned());
        new(id);
        id
    }

    /// Forgets the names of all servers but those for which `keep` holds.
    pub fn retain(&mut self, keep: impl Fn(EndpointId) -> bool) {
        self.by_name.retain(|_, id| keep(*id));
        self.names.retain(|id, _| keep(*id));
    }
}
