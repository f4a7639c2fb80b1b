//! How long answers of a class take.

use crate::concurrency_limit::LATENCY_SMOOTHING;
use crate::Micros;

/// Time over which a class's unloaded answer time may drift up to its present mean.
const BASE_DRIFT_US: f64 = 120e6;
/// Share of a class's answers that come before a call counts as late.
const TAIL_QUANTILE: f64 = 0.95;

/// An answer is strained beyond this many times its class's unloaded time: about two calls a core.
const LIMIT_BASE_MULTIPLE: f64 = 3.0;
/// ... or beyond this share of its aim, whichever is shorter.
const LIMIT_OBJECTIVE_FRACTION: f64 = 0.33;
/// The same under a shared budget, of what the aim leaves for waiting. No balancer sees a server
/// often enough to spare the one that is crowded: all have to stay well below what crowds it.
const SHARED_LIMIT_SLACK_FRACTION: f64 = 0.2;
/// ... but not below this many times the unloaded time, as at two cores that are nearly three
/// fifths busy (M/M/2), nor beyond this share of what the aim leaves: near aims would make an idle
/// fleet look crowded.
const SHARED_MIN_LIMIT_BASE_MULTIPLE: f64 = 1.5;
const SHARED_MIN_LIMIT_SLACK_FRACTION: f64 = 0.5;
/// Strain for which one answer counts there at the most: a few that met slow servers are no sign of
/// all.
const MAX_SHARED_LATENCY_PRESSURE: f64 = 2.0;

/// Answer times of a class: the present mean and the least it has been, which stands for an
/// unloaded server.
#[derive(Debug, Default)]
pub(crate) struct LatencyEstimate {
    pub(crate) mean: f64,
    pub(crate) base: f64,
    /// Nearly all answers come within this: a percentile that is followed step by step.
    pub(crate) tail: f64,
    pub(crate) sample_count: u32,
    /// The class's aim, and when an aim has gone by since the first answer.
    pub(crate) latency_objective: Micros,
    pub(crate) unbiased_from: Micros,
    pub(crate) at: Micros,
    pub(crate) request_count: f64,
}

impl LatencyEstimate {
    /// How long an answer of this class may take before its server counts as strained.
    pub(crate) fn limit(&self) -> f64 {
        (self.base * LIMIT_BASE_MULTIPLE)
            .min(self.latency_objective as f64 * LIMIT_OBJECTIVE_FRACTION)
            .max(self.base)
    }

    /// How long it took, over what is allowed under a shared budget. That cannot spare the one
    /// server that is slow: it heeds what the aim leaves for waiting.
    pub(crate) fn shared_latency_pressure(&self, elapsed: f64) -> f64 {
        let slack = (self.latency_objective as f64 - self.base).max(0.0);
        let busy = (self.base * SHARED_MIN_LIMIT_BASE_MULTIPLE)
            .min(self.base + slack * SHARED_MIN_LIMIT_SLACK_FRACTION);
        let limit =
            (self.base * LIMIT_BASE_MULTIPLE).min(self.base + slack * SHARED_LIMIT_SLACK_FRACTION).max(busy);
        (elapsed / limit).min(MAX_SHARED_LATENCY_PRESSURE)
    }

    pub(crate) fn record(&mut self, now: Micros, elapsed: f64) {
        if self.sample_count == 0 {
            self.unbiased_from = now.saturating_add(self.latency_objective);
        }
        self.sample_count = self.sample_count.saturating_add(1);
        // Of the first calls the quick ones are answered first: their mean is under what is usual.
        let early = self.sample_count <= 8 || now < self.unbiased_from;
        let sample = if !early { elapsed.min(8.0 * self.base) } else { elapsed };
        let above = if elapsed > self.tail { TAIL_QUANTILE } else { TAIL_QUANTILE - 1.0 };
        self.tail *= 1.0 + above * LATENCY_SMOOTHING;
        self.mean += (sample - self.mean) * (1.0 / f64::from(self.sample_count)).max(LATENCY_SMOOTHING / 2.0);
        let drift = (now.saturating_sub(self.at) as f64 / BASE_DRIFT_US).min(1.0);
        self.at = now;
        let drifted = if early { self.mean } else { self.base + (self.mean - self.base) * drift };
        self.base = self.mean.min(drifted).max(1.0);
    }
}
