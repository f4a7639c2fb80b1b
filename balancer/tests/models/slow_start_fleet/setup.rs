//! Creates the model's endpoints and balancers.

use super::*;
use crate::common::{ready, settings};
use rand_core::SeedableRng;

impl Fleet {
    pub(crate) fn new(scenario: Scenario, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            scenario,
            random: Pcg32::seed_from_u64(seed),
            now: LOAD_START,
            events: BinaryHeap::new(),
            sequence_number: 0,
            endpoint_processes: Vec::new(),
            process_by_endpoint: BTreeMap::new(),
            balancer_processes: Vec::new(),
            active_processes: Vec::new(),
            weights: Vec::new(),
            new_endpoints_started: false,
        };
        let endpoint_count = if scenario.reuses_ids {
            scenario.new_count + scenario.warm_count
        } else {
            scenario.warm_count
        };
        for id in 0..endpoint_count {
            // New endpoints have the lowest ids.
            fleet.start_endpoint(
                if scenario.reuses_ids {
                    id
                } else {
                    id + scenario.new_count
                },
                0,
            );
        }
        for balancer_index in 0..scenario.balancer_count as usize {
            let weight = match balancer_index % 6 {
                _ if !scenario.is_load_uneven => 1.0,
                0 => 4.0,
                1..=3 => 0.05,
                _ => 1.0,
            };
            fleet.weights.push(weight);
            let balancer_process = fleet.start_balancer(balancer_index);
            fleet.active_processes.push(vec![balancer_process]);
        }
        fleet
    }

    /// Starts a process of an endpoint.
    pub(super) fn start_endpoint(&mut self, id: u32, started_at: Micros) {
        let speed = if started_at > 0 {
            self.scenario.new_endpoint_speed
        } else {
            0.7 + 0.6 * self.random_unit()
        };
        let (busy, queued, received_requests) = (0, VecDeque::new(), Vec::new());
        self.endpoint_processes.push(EndpointProcess {
            started_at,
            speed,
            busy,
            queued,
            received_requests,
            served_work: 0.0,
        });
        self.process_by_endpoint
            .insert(id, self.endpoint_processes.len() - 1);
    }

    pub(super) fn list_entries(&self) -> Vec<EndpointEntry> {
        let entry = |(&id, &process): (&u32, &usize)| {
            let started_at = self.endpoint_processes[process].started_at;
            let weight = if started_at > 0 {
                1.0
            } else {
                self.scenario.warm_endpoint_weight
            };
            EndpointEntry {
                started_at,
                weight,
                ..ready(id)
            }
        };
        self.process_by_endpoint.iter().map(entry).collect()
    }

    /// Starts a process of a balancer with the current endpoint list, and returns its index.
    pub(super) fn start_balancer(&mut self, balancer_index: usize) -> usize {
        let settings = Settings {
            balancer_count: self.scenario.balancer_count,
            balancer_index: balancer_index as u32,
            slow_start: SlowStart {
                initial_capacity: INITIAL_CAPACITY,
                duration: SLOW_START_DURATION,
                overload_multiple: OVERLOAD_MULTIPLE,
            },
            ..settings(Idempotency::Idempotent)
        };
        let balancer = Balancer::new(self.random.next_u64(), settings);
        self.balancer_processes.push(BalancerProcess {
            balancer,
            is_notified: self.new_endpoints_started,
            is_alive: true,
            requests: BTreeMap::new(),
        });
        let balancer_process = self.balancer_processes.len() - 1;
        self.handle_event(balancer_process, Event::Start);
        let entries = self.list_entries();
        self.handle_event(
            balancer_process,
            Event::EndpointList {
                kind: ListUpdate::Full,
                entries,
            },
        );
        balancer_process
    }
}
