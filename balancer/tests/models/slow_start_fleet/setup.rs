//! Creates the model's endpoints and balancers.

use super::*;
use crate::common::{ready, settings};
use rand_core::SeedableRng;

impl Fleet {
    pub(crate) fn new(scenario: Scenario, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            scenario,
            random: Pcg32::seed_from_u64(seed),
            now: BEGIN,
            next: BinaryHeap::new(),
            number: 0,
            processes: Vec::new(),
            at: BTreeMap::new(),
            nodes: Vec::new(),
            slots: Vec::new(),
            weights: Vec::new(),
            begun: false,
        };
        let there = if scenario.returning {
            scenario.warming + scenario.warm
        } else {
            scenario.warm
        };
        for id in 0..there {
            // New endpoints have the lowest ids.
            fleet.boot(
                if scenario.returning {
                    id
                } else {
                    id + scenario.warming
                },
                0,
            );
        }
        for slot in 0..scenario.balancer_count as usize {
            let weight = match slot % 6 {
                _ if !scenario.uneven => 1.0,
                0 => 4.0,
                1..=3 => 0.05,
                _ => 1.0,
            };
            fleet.weights.push(weight);
            let node = fleet.node(slot);
            fleet.slots.push(vec![node]);
        }
        fleet
    }

    /// Starts a process of an endpoint.
    pub(super) fn boot(&mut self, id: u32, started_at: Micros) {
        let speed = if started_at > 0 {
            self.scenario.speed
        } else {
            0.7 + 0.6 * self.unit()
        };
        let (busy, queued, sent) = (0, VecDeque::new(), Vec::new());
        self.processes.push(Process {
            started_at,
            speed,
            busy,
            queued,
            sent,
            served: 0.0,
        });
        self.at.insert(id, self.processes.len() - 1);
    }

    pub(super) fn entries(&self) -> Vec<EndpointEntry> {
        let entry = |(&id, &process): (&u32, &usize)| {
            let started_at = self.processes[process].started_at;
            let weight = if started_at > 0 {
                1.0
            } else {
                self.scenario.weight
            };
            EndpointEntry {
                started_at,
                weight,
                ..ready(id)
            }
        };
        self.at.iter().map(entry).collect()
    }

    /// Starts a process of a balancer with the current endpoint list, and returns its index.
    pub(super) fn node(&mut self, slot: usize) -> usize {
        let settings = Settings {
            balancer_count: self.scenario.balancer_count,
            balancer_index: slot as u32,
            slow_start: SlowStart {
                initial_capacity: INITIAL_CAPACITY,
                duration: SLOW_START_DURATION,
                overload_multiple: OVERLOAD_MULTIPLE,
            },
            ..settings(Idempotency::Idempotent)
        };
        let balancer = Balancer::new(self.random.next_u64(), settings);
        self.nodes.push(Node {
            balancer,
            is_notified: self.begun,
            alive: true,
            requests: BTreeMap::new(),
        });
        let node = self.nodes.len() - 1;
        self.event(node, Event::Start);
        let entries = self.entries();
        self.event(
            node,
            Event::EndpointList {
                kind: ListUpdate::Full,
                entries,
            },
        );
        node
    }
}
