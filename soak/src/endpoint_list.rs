//! The endpoint list and its changes, as discovery has them.

use crate::endpoint::{EndpointHealth, EndpointProcess};
use serde_json::{json, Value};
use std::collections::HashMap;
use std::time::Instant;

/// A change of the list: the new entry of an endpoint.
#[derive(Clone, Debug)]
struct Change {
    version: u64,
    endpoint: String,
    process: u64,
    entry: Value,
    health: EndpointHealth,
    at: Instant,
}

/// When and with which version discovery had a change.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ChangeTime {
    /// When.
    pub(crate) at: Instant,
    /// The list's version from then on.
    pub(crate) version: u64,
}

/// The list with all its changes.
#[derive(Debug, Default)]
pub(crate) struct EndpointList {
    version: u64,
    changes: Vec<Change>,
}

impl EndpointList {
    /// The number of its last change.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Changes what the list says of a process.
    pub(crate) fn change(&mut self, process: &EndpointProcess, health: EndpointHealth) {
        self.version += 1;
        let entry = json!({"host": process.name, "dial": process.address.to_string(),
            "site": process.zone.to_string(), "class": "m", "block": 0,
            "health": health.wire_name(), "share": 1.0, "born_ms": process.started_unix_ms});
        self.changes.push(Change {
            version: self.version,
            endpoint: process.name.clone(),
            process: process.number,
            entry,
            health,
            at: Instant::now(),
        });
    }

    /// All present entries, as a message of the list.
    pub(crate) fn full(&self) -> Value {
        let mut last: HashMap<&str, &Change> = HashMap::new();
        for change in &self.changes {
            last.insert(&change.endpoint, change);
        }
        let present = last
            .into_values()
            .filter(|change| change.health != EndpointHealth::Removed);
        let mut present: Vec<&Change> = present.collect();
        present.sort_by_key(|change| change.version);
        let entries: Vec<_> = present
            .into_iter()
            .map(|change| change.entry.clone())
            .collect();
        json!({"seq": self.version, "whole": true, "hosts": entries})
    }

    /// What has changed since a version, as a message of the list; `None`: nothing.
    pub(crate) fn delta(&self, since: u64) -> Option<Value> {
        let changes = self.changes.iter().filter(|change| change.version > since);
        let entries: Vec<_> = changes.map(|change| change.entry.clone()).collect();
        let message = json!({"seq": self.version, "whole": false, "hosts": entries});
        (!entries.is_empty()).then_some(message)
    }

    /// Since when a process is not to be sent new requests; `None`: it is, or was never ready.
    pub(crate) fn draining_since(&self, process: u64) -> Option<ChangeTime> {
        let ready =
            |change: &Change| change.process == process && change.health == EndpointHealth::Ready;
        let own = self.changes.iter().rposition(ready)?;
        let endpoint = &self.changes[own].endpoint;
        // Another process under the endpoint's name replaces this one.
        let later = self.changes[own + 1..]
            .iter()
            .find(|change| &change.endpoint == endpoint);
        later.map(|change| ChangeTime {
            at: change.at,
            version: change.version,
        })
    }
}
