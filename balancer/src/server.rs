//! A server as one balancer sees it: what it was sent, what came of that, and whether it takes more.

use crate::api::*;
use crate::budget::{enough, Budget, BACKOFF_DOUBLINGS, RATE_MEMORY};
use crate::state::Manner;

/// Memory of how busy a server was kept, in sends of this balancer for each server: calls differ in their
/// work far more than servers in their speed.
const BUSY_ROUNDS: f64 = 16.0;

/// A server as this balancer sees it.
#[derive(Debug, Default)]
pub(crate) struct Server {
    pub(crate) id: ServerId,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) listed: bool,
    /// Its start as the list stamps it, which tells its processes apart; 0: long ago.
    pub(crate) started: Micros,
    /// The same in this balancer's time.
    pub(crate) began: Micros,
    pub(crate) in_flight: u32,
    pub(crate) budget: Budget,
    pub(crate) weight: f64,
    /// Time that this balancer's calls lately spent there: it breaks the pick's ties.
    pub(crate) busy: f64,
    pub(crate) busy_at: u64,
    /// Answer times over what its classes allow; 1 is the limit.
    pub(crate) strain: f64,
    pub(crate) answers_since: u32,
    /// Its last report, as strain.
    pub(crate) crowding: f64,
    /// When its budget last changed, when an attempt there last ended, and when it last served.
    pub(crate) changed: Micros,
    pub(crate) heard: Micros,
    pub(crate) answered: Micros,
    /// Recent share of failures.
    pub(crate) failing: f64,
    /// It is sent nothing before this time and that many answers of this balancer: it has refused or failed.
    pub(crate) not_before: Micros,
    pub(crate) rest: u64,
    /// While cold it is sent a call when this balancer's answers have earned it one, or after this time.
    pub(crate) cold_earned: f64,
    pub(crate) cold_until: Micros,
    /// By class.
    pub(crate) manners: Vec<Manner>,
}

impl Server {
    pub(crate) fn new(entry: &Entry, began: Micros, settings: &Settings) -> Self {
        let &Entry { server: id, zone, cell, started, .. } = entry;
        let (budget, weight) = (Budget::new(settings.balancers), 1.0);
        let manners = vec![Manner::default(); settings.classes.len()];
        Server { id, zone, cell, started, began, weight, budget, manners, ..Server::default() }
    }

    pub(crate) fn takes(&self, class_id: usize, now: Micros) -> bool {
        self.manners.get(class_id).is_none_or(|m| now >= m.not_before)
    }

    /// Notes what became of a call of a class, and tells whether the server turns that class alone away: it
    /// refused more than one, and served calls of others that were sent after the first.
    pub(crate) fn singles_out(
        &mut self,
        class_id: usize,
        outcome: Outcome,
        sent: Micros,
        now: Micros,
        first: Micros,
    ) -> bool {
        let others = self.manners.iter().enumerate().filter(|(class, _)| *class != class_id);
        let served = others.map(|(_, m)| m.served).max().unwrap_or(0);
        let Some(manner) = self.manners.get_mut(class_id) else { return false };
        match outcome {
            Outcome::Served => *manner = Manner { served: sent, ..Manner::default() },
            Outcome::TurnedAway => {
                manner.refused = manner.refused.saturating_add(1);
                if manner.refused == 1 {
                    manner.since = sent;
                } else if served > manner.since {
                    manner.not_before = now + (first << (manner.refused - 2).min(BACKOFF_DOUBLINGS));
                    return true;
                }
            }
            _ => {}
        }
        false
    }

    /// With few calls there are none in flight at most servers: recent past and listed size tell them apart.
    pub(crate) fn recent_load(&self, sends: f64, per: f64) -> f64 {
        self.busy * (-(sends - self.busy_at as f64) / (per * BUSY_ROUNDS)).exp() / self.weight
    }

    pub(crate) fn kept_busy(&mut self, time: f64, sends: u64, per: f64) {
        self.busy = self.recent_load(sends as f64, per) * self.weight + time;
        self.busy_at = sends;
    }

    /// Share of its capacity that a server has at the least, by the rules' cold share and time.
    pub(crate) fn warmth(&self, now: Micros, rules: &Rules) -> f64 {
        let age = now.saturating_sub(self.began);
        if self.started == 0 || age >= rules.cold_time {
            return 1.0;
        }
        rules.cold_share + (1.0 - rules.cold_share) * age as f64 / rules.cold_time as f64
    }

    pub(crate) fn full(&self, now: Micros, rules: &Rules) -> bool {
        let budget = f64::from(self.budget.steps) * self.budget.concurrency * self.warmth(now, rules);
        self.in_flight >= (budget + 0.5).max(1.0) as u32
    }

    pub(crate) fn open(&self, now: Micros, served: u64, rules: &Rules) -> bool {
        let paced = self.cold_earned >= 1.0 || now >= self.cold_until || self.warmth(now, rules) >= 1.0;
        let rested = served >= self.rest || now.saturating_sub(self.heard) as f64 >= 3.0 * RATE_MEMORY;
        self.listed && now >= self.not_before && paced && rested
    }

    pub(crate) fn usable(&self, now: Micros, served: u64, rules: &Rules) -> bool {
        self.budget.steps > 0 && self.open(now, served, rules)
    }

    pub(crate) fn settled(&self, now: Micros, usual: f64) -> bool {
        let answers = self.answers_since;
        answers >= self.in_flight.max(1) && enough(answers, now.saturating_sub(self.changed), usual)
    }

    pub(crate) fn returning(&self, now: Micros, served: u64, rules: &Rules) -> bool {
        self.budget.steps == 0 && self.budget.trial_ready(now) && self.open(now, served, rules)
    }
}
