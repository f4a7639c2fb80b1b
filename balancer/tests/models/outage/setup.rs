//! Creates the model's endpoints, balancers, load and faults, at random from the seed.

use super::*;
use rand_core::SeedableRng;
use std::collections::VecDeque;

impl Fleet {
    pub(crate) fn new(seed: u64, balancers: usize, endpoints: usize, load: f64) -> Fleet {
        let mut fleet = Fleet {
            now: LOAD_START,
            events: BinaryHeap::new(),
            sequence_number: 0,
            random: Pcg32::seed_from_u64(seed),
            endpoints: Vec::new(),
            balancers: Vec::new(),
            timers: vec![0; balancers],
            user_requests: Vec::new(),
            requests: HashMap::new(),
            connections: HashSet::new(),
            is_partitioned: false,
            counts_per_second: vec![[0; 3]; ((LOAD_END - LOAD_START) / SECOND) as usize + 3],
        };
        let mut capacity = 0.0;
        for index in 0..endpoints {
            capacity += fleet.add_endpoint(index);
        }
        fleet.add_balancers(seed, balancers);
        fleet.add_load(balancers, capacity * load);
        fleet.schedule_faults();
        fleet
    }

    /// Adds an endpoint and returns its capacity, without the reduction of a faulty one.
    fn add_endpoint(&mut self, index: usize) -> f64 {
        let (cores, base) = if self.random_unit() < 0.55 {
            (3.0, 1.5)
        } else {
            (2.0, 0.97)
        };
        let speed = base * (0.8 + 0.4 * self.random_unit());
        // One of eight is faulty: it fails half of its requests immediately, or is five times
        // slower.
        let is_faulty = index % 8 == 3;
        let is_failing = is_faulty && self.random_unit() < 0.4;
        let present_speed = if is_faulty && !is_failing {
            speed / 5.0
        } else {
            speed
        };
        let zone = (self.random_unit() * f64::from(ZONES)) as u32;
        let slows_down_when_overloaded = self.random_unit() < 0.6;
        self.endpoints.push(Endpoint {
            cores,
            speed: present_speed,
            zone,
            is_up: true,
            started_at: 0,
            is_failing,
            slows_down_when_overloaded,
            is_slowed_down: false,
            overloaded_since: None,
            low_load_since: None,
            executing: Vec::new(),
            queued: VecDeque::new(),
            updated_at: LOAD_START,
            completion_number: 0,
        });
        cores * speed
    }

    fn add_balancers(&mut self, seed: u64, balancers: usize) {
        let class = |class: usize| Class {
            latency_objective: LATENCY_OBJECTIVE[class],
            deadline: DEADLINE[class],
            priority_weight: 1.0,
            late_weight_fraction: 0.0,
            idempotency: Idempotency::Idempotent,
        };
        let settings = Settings {
            balancer_count: balancers as u32,
            classes: vec![class(0), class(1)],
            slow_start: SlowStart {
                initial_capacity: INITIAL_CAPACITY,
                duration: SLOW_START_DURATION,
                overload_multiple: 3.0,
            },
            ..Settings::default()
        };
        for index in 0..balancers {
            let settings = Settings {
                balancer_index: index as u32,
                ..settings.clone()
            };
            self.balancers
                .push(Balancer::new(seed * 1_000 + index as u64, settings));
            self.handle_event(index, Event::Start);
            let entries = self.list_entries(|_| true, EndpointState::Ready);
            self.handle_event(
                index,
                Event::EndpointList {
                    kind: ListUpdate::Full,
                    entries,
                },
            );
        }
    }

    /// Schedules the client requests. Some balancers get several times the mean load. The total
    /// load is `initial_load` at the start, in work per microsecond, and falls by a third until the
    /// end.
    fn add_load(&mut self, balancers: usize, initial_load: f64) {
        let shares: Vec<f64> = (0..balancers)
            .map(|_| 0.3 - self.random_unit().ln())
            .collect();
        let per_second = initial_load * 2e6 / (WORK[0] + WORK[1]) / shares.iter().sum::<f64>();
        for (balancer, share) in shares.iter().enumerate() {
            let mut sent_at = LOAD_START as f64;
            loop {
                let load_factor =
                    1.0 - 0.33 * (sent_at - LOAD_START as f64) / (LOAD_END - LOAD_START) as f64;
                sent_at -=
                    self.random_unit().max(1e-9).ln() * 1e6 / (per_second * share * load_factor);
                if sent_at >= LOAD_END as f64 {
                    break;
                }
                let class = usize::from(self.random_unit() < 0.5);
                let sent_at = sent_at as Micros;
                self.schedule(sent_at, ModelEvent::ClientRequest(self.user_requests.len()));
                let request = UserRequest {
                    balancer,
                    class,
                    sent_at,
                    tries: 0,
                    has_ended: false,
                };
                self.user_requests.push(request);
            }
        }
    }

    fn schedule_faults(&mut self) {
        self.schedule(PARTITION_AT, ModelEvent::Partition(true));
        self.schedule(LOSS_AT, ModelEvent::LoseZone);
        self.schedule(REMOVAL_LISTED_AT, ModelEvent::ListRemoval);
        self.schedule(RETURN_AT, ModelEvent::Partition(false));
        self.schedule(RETURN_AT, ModelEvent::ZoneReturns);
    }
}
