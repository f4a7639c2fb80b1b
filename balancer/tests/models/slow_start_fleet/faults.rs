//! Starts new endpoints, and restarts balancers during their slow start.

use super::*;

impl Fleet {
    /// Starts the new endpoints, and schedules when balancers are notified of them or restarted.
    pub(super) fn start(&mut self) {
        let scenario = self.scenario;
        for id in 0..scenario.warming {
            let old = self.at.get(&id).copied();
            self.boot(id, self.now);
            // Attempts that were queued at the previous process end with a reset.
            if let Some(old) = old {
                let open: Vec<AttemptEnd> =
                    self.processes[old].queued.drain(..).map(|w| w.1).collect();
                let sent = self.now;
                open.into_iter().for_each(|end| {
                    self.later(
                        sent,
                        Step::Ended(AttemptEnd {
                            outcome: Outcome::Reset,
                            ..end
                        }),
                    )
                });
            }
        }
        self.begun = true;
        for slot in 0..self.slots.len() {
            let node = self.slots[slot][0];
            let at = self.now + self.within(scenario.spread);
            self.later(at, Step::Notify(node));
            for part in 0..2 {
                let at = self.now + part * 2 * SECOND + self.within(2 * SECOND);
                if scenario.restart == Restart::Killed
                    || (scenario.restart == Restart::Upgraded && part == 0)
                {
                    self.later(at, Step::Replace(slot));
                }
            }
        }
    }

    pub(super) fn notify(&mut self, node: usize) {
        if self.nodes[node].is_notified {
            return;
        }
        self.nodes[node].is_notified = true;
        let mut entries = self.entries();
        let mut kind = ListUpdate::Full;
        if !self.scenario.full_list {
            kind = ListUpdate::Delta;
            entries.retain(|e| e.started_at > 0);
        }
        self.event(node, Event::EndpointList { kind, entries });
    }

    pub(super) fn replace(&mut self, slot: usize) {
        let old = self.slots[slot][0];
        let new = self.node(slot);
        if self.scenario.restart == Restart::Killed {
            self.nodes[old].alive = false;
            self.slots[slot] = vec![new];
        } else {
            self.slots[slot] = vec![old, new];
            self.later(self.now + 2 * SECOND, Step::Retire(slot));
        }
    }
}
