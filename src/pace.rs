//! How long answers of a class take.

use crate::api::Micros;
use crate::budget::SMOOTHING;
use crate::state::Pace;

/// Time over which a class's unloaded answer time may drift up to its present mean.
const BASE_DRIFT: f64 = 120e6;
/// Share of a class's answers that come before a call counts as late.
const TAIL_SHARE: f64 = 0.95;

impl Pace {
    pub(crate) fn answered(&mut self, now: Micros, elapsed: f64) {
        if self.seen == 0 {
            self.fair_from = now.saturating_add(self.aim);
        }
        self.seen = self.seen.saturating_add(1);
        // Of the first calls the quick ones are answered first: their mean is under what is usual.
        let early = self.seen <= 8 || now < self.fair_from;
        let sample = if !early { elapsed.min(8.0 * self.base) } else { elapsed };
        let above = if elapsed > self.tail { TAIL_SHARE } else { TAIL_SHARE - 1.0 };
        self.tail *= 1.0 + above * SMOOTHING;
        self.mean += (sample - self.mean) * (1.0 / f64::from(self.seen)).max(SMOOTHING / 2.0);
        let drift = (now.saturating_sub(self.at) as f64 / BASE_DRIFT).min(1.0);
        self.at = now;
        let drifted = if early { self.mean } else { self.base + (self.mean - self.base) * drift };
        self.base = self.mean.min(drifted).max(1.0);
    }
}
