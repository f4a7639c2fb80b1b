//! The endpoint list that discovery delivers to the proxies, with the history of its changes.

use crate::endpoint::{EndpointHealth, EndpointProcess};
use serde_json::{json, Value};
use std::collections::HashMap;
use std::time::Instant;

/// A change of the list: a new entry that replaces the endpoint's previous one.
#[derive(Clone, Debug)]
struct Change {
    version: u64,
    endpoint: String,
    process: u64,
    entry: Value,
    health: EndpointHealth,
    at: Instant,
}

/// The time and the version of a change of the list.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ChangeTime {
    /// Time of the change.
    pub(crate) at: Instant,
    /// Version of the list from then on.
    pub(crate) version: u64,
}

/// The endpoint list with all its changes.
#[derive(Debug, Default)]
pub(crate) struct EndpointList {
    version: u64,
    changes: Vec<Change>,
}

impl EndpointList {
    /// Returns the present version, which is the number of changes so far.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Changes the entry of a process to this health.
    pub(crate) fn set_health(&mut self, process: &EndpointProcess, health: EndpointHealth) {
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

    /// Returns a message with the whole list.
    pub(crate) fn snapshot(&self) -> Value {
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

    /// Returns a message with the changes since a version; `None` if there are none.
    pub(crate) fn changes_since(&self, since: u64) -> Option<Value> {
        let changes = self.changes.iter().filter(|change| change.version > since);
        let entries: Vec<_> = changes.map(|change| change.entry.clone()).collect();
        let message = json!({"seq": self.version, "whole": false, "hosts": entries});
        (!entries.is_empty()).then_some(message)
    }

    /// Returns the change since which a process must be sent no new requests; `None` if it is
    /// listed as ready or has never been.
    pub(crate) fn draining_since(&self, process: u64) -> Option<ChangeTime> {
        let ready =
            |change: &Change| change.process == process && change.health == EndpointHealth::Ready;
        let ready_index = self.changes.iter().rposition(ready)?;
        let endpoint = &self.changes[ready_index].endpoint;
        // The entry of another process under the same endpoint name ends this process's entry too.
        let next_change = self.changes[ready_index + 1..]
            .iter()
            .find(|change| &change.endpoint == endpoint);
        next_change.map(|change| ChangeTime {
            at: change.at,
            version: change.version,
        })
    }
}
