//! Starts new endpoints, and restarts balancers during their slow start.

use super::*;

impl Fleet {
    /// Starts the new endpoints, and schedules when balancers are notified of them or restarted.
    pub(super) fn start_new_endpoints(&mut self) {
        let scenario = self.scenario;
        for id in 0..scenario.new_count {
            let old = self.process_by_endpoint.get(&id).copied();
            self.start_endpoint(id, self.now);
            // Attempts that were queued at the previous process end with a reset.
            if let Some(old) = old {
                let in_flight: Vec<AttemptEnd> = self.endpoint_processes[old]
                    .queued
                    .drain(..)
                    .map(|(_, end)| end)
                    .collect();
                let reset_at = self.now;
                in_flight.into_iter().for_each(|end| {
                    self.schedule(
                        reset_at,
                        ModelEvent::Ended(AttemptEnd {
                            outcome: Outcome::Reset,
                            ..end
                        }),
                    )
                });
            }
        }
        self.new_endpoints_started = true;
        for balancer_index in 0..self.active_processes.len() {
            let balancer_process = self.active_processes[balancer_index][0];
            let at = self.now + self.random_duration(scenario.notification_spread);
            self.schedule(at, ModelEvent::Notify(balancer_process));
            for round in 0..2 {
                let at = self.now + round * 2 * SECOND + self.random_duration(2 * SECOND);
                if scenario.restart == Restart::Killed
                    || (scenario.restart == Restart::Upgraded && round == 0)
                {
                    self.schedule(at, ModelEvent::Replace(balancer_index));
                }
            }
        }
    }

    pub(super) fn notify_of_new_endpoints(&mut self, balancer_process: usize) {
        if self.balancer_processes[balancer_process].is_notified {
            return;
        }
        self.balancer_processes[balancer_process].is_notified = true;
        let mut entries = self.list_entries();
        let mut kind = ListUpdate::Full;
        if !self.scenario.notified_by_full_list {
            kind = ListUpdate::Delta;
            entries.retain(|entry| entry.started_at > 0);
        }
        self.handle_event(balancer_process, Event::EndpointList { kind, entries });
    }

    pub(super) fn replace_balancer(&mut self, balancer_index: usize) {
        let old = self.active_processes[balancer_index][0];
        let new = self.start_balancer(balancer_index);
        if self.scenario.restart == Restart::Killed {
            self.balancer_processes[old].is_alive = false;
            self.active_processes[balancer_index] = vec![new];
        } else {
            self.active_processes[balancer_index] = vec![old, new];
            self.schedule(self.now + 2 * SECOND, ModelEvent::Retire(balancer_index));
        }
    }
}
