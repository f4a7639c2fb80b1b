//! Latency estimates per class of requests.

use crate::{Class, Micros};

/// Weight of a new sample in an exponential moving average of latencies.
pub(crate) const LATENCY_SMOOTHING: f64 = 0.1;
/// Time that must remain until the latency objective when a request is hedged, or when a
/// high-priority request is queued, in mean latencies.
pub(crate) const SLACK_MEAN_LATENCIES: f64 = 2.0;
/// Estimated mean before the first response, as a fraction of the class's latency objective.
const INITIAL_MEAN_OBJECTIVE_FRACTION: f64 = 0.25;
/// Estimated tail before the first response, as a fraction of the class's latency objective.
const INITIAL_TAIL_OBJECTIVE_FRACTION: f64 = 0.5;
/// Number of first samples that are not capped: fast responses arrive first, so the unloaded
/// latency that the cap is based on is at first estimated too low.
const BIASED_SAMPLES: u32 = 8;
/// Cap on later samples, as a multiple of the unloaded latency.
const MAX_SAMPLE_UNLOADED_MULTIPLE: f64 = 8.0;
/// Time constant with which the estimate of the unloaded latency rises towards the mean.
const UNLOADED_DRIFT_US: f64 = 120e6;
/// Quantile of a class's latencies that is estimated as its tail latency.
const TAIL_QUANTILE: f64 = 0.95;

/// A response has a latency pressure above 1 if it takes longer than a threshold: the shorter of
/// this multiple of the unloaded latency of its class and [`THRESHOLD_OBJECTIVE_FRACTION`] of its
/// latency objective, but at least the unloaded latency.
const THRESHOLD_UNLOADED_MULTIPLE: f64 = 3.0;
/// See [`THRESHOLD_UNLOADED_MULTIPLE`].
const THRESHOLD_OBJECTIVE_FRACTION: f64 = 0.33;
/// Replaces [`THRESHOLD_OBJECTIVE_FRACTION`] under a shared limit: there the threshold is the
/// shorter of [`THRESHOLD_UNLOADED_MULTIPLE`] times the unloaded latency and the unloaded latency
/// plus this fraction of the slack, but at least the minimum below. The slack is the latency
/// objective minus the unloaded latency. The fraction is low because a single balancer sends too
/// few requests to an endpoint to detect that the endpoint is overloaded, so the load of every
/// endpoint has to stay well below overload.
const SHARED_THRESHOLD_SLACK_FRACTION: f64 = 0.2;
/// Minimum of the threshold under a shared limit: this multiple of the unloaded latency, but at
/// most the unloaded latency plus [`SHARED_MIN_THRESHOLD_SLACK_FRACTION`] of the slack. Without it,
/// tight objectives would make idle endpoints look overloaded.
const SHARED_MIN_THRESHOLD_UNLOADED_MULTIPLE: f64 = 1.5;
/// See [`SHARED_MIN_THRESHOLD_UNLOADED_MULTIPLE`].
const SHARED_MIN_THRESHOLD_SLACK_FRACTION: f64 = 0.5;
/// Maximum latency pressure of one response under a shared limit: a few responses of slow endpoints
/// must not count as an overload of all endpoints.
const MAX_SHARED_LATENCY_PRESSURE: f64 = 2.0;

/// Assumed latency of a class that has no samples, or that the settings don't name.
fn default_latency(latency_objective: Micros) -> f64 {
    latency_objective as f64 * INITIAL_MEAN_OBJECTIVE_FRACTION
}

/// Latency estimates of one class, in microseconds.
#[derive(Debug, Default)]
pub(crate) struct LatencyEstimate {
    pub(crate) mean: f64,
    /// Latency without load: the lowest value of the mean. This estimate rises towards the current
    /// mean with the time constant [`UNLOADED_DRIFT_US`].
    pub(crate) unloaded: f64,
    /// Estimate of the quantile [`TAIL_QUANTILE`].
    pub(crate) tail: f64,
    /// Number of requests of the class that have arrived.
    pub(crate) request_count: f64,
    sample_count: u32,
    latency_objective: Micros,
    /// Time from which the samples include slow responses too.
    unbiased_from: Micros,
    updated_at: Micros,
}

impl LatencyEstimate {
    fn new(class: &Class) -> Self {
        let mean = default_latency(class.latency_objective);
        LatencyEstimate {
            mean,
            unloaded: mean,
            tail: class.latency_objective as f64 * INITIAL_TAIL_OBJECTIVE_FRACTION,
            latency_objective: class.latency_objective,
            ..LatencyEstimate::default()
        }
    }

    /// The duration above which a response indicates that its endpoint is overloaded.
    pub(crate) fn overload_threshold(&self) -> f64 {
        let objective_threshold = self.latency_objective as f64 * THRESHOLD_OBJECTIVE_FRACTION;
        (self.unloaded * THRESHOLD_UNLOADED_MULTIPLE)
            .min(objective_threshold)
            .max(self.unloaded)
    }

    /// Latency pressure of a response under a shared limit: its duration divided by the threshold
    /// that applies there.
    pub(crate) fn shared_latency_pressure(&self, elapsed: f64) -> f64 {
        let slack = (self.latency_objective as f64 - self.unloaded).max(0.0);
        let min_threshold = (self.unloaded * SHARED_MIN_THRESHOLD_UNLOADED_MULTIPLE)
            .min(self.unloaded + slack * SHARED_MIN_THRESHOLD_SLACK_FRACTION);
        let threshold = (self.unloaded * THRESHOLD_UNLOADED_MULTIPLE)
            .min(self.unloaded + slack * SHARED_THRESHOLD_SLACK_FRACTION)
            .max(min_threshold);
        (elapsed / threshold).min(MAX_SHARED_LATENCY_PRESSURE)
    }

    /// Adds the time of a response to the estimates.
    pub(crate) fn record(&mut self, now: Micros, elapsed: f64) {
        if self.sample_count == 0 {
            self.unbiased_from = now.saturating_add(self.latency_objective);
        }
        self.sample_count = self.sample_count.saturating_add(1);
        let is_biased = self.sample_count <= BIASED_SAMPLES || now < self.unbiased_from;
        let sample = if is_biased {
            elapsed
        } else {
            elapsed.min(MAX_SAMPLE_UNLOADED_MULTIPLE * self.unloaded)
        };
        let tail_step = if elapsed > self.tail {
            TAIL_QUANTILE
        } else {
            TAIL_QUANTILE - 1.0
        };
        self.tail *= 1.0 + tail_step * LATENCY_SMOOTHING;
        let weight = (1.0 / f64::from(self.sample_count)).max(LATENCY_SMOOTHING / 2.0);
        self.mean += (sample - self.mean) * weight;
        let drift = (now.saturating_sub(self.updated_at) as f64 / UNLOADED_DRIFT_US).min(1.0);
        self.updated_at = now;
        let drifted = if is_biased {
            self.mean
        } else {
            self.unloaded + (self.mean - self.unloaded) * drift
        };
        self.unloaded = self.mean.min(drifted).max(1.0);
    }
}

/// The latency estimates of all classes.
#[derive(Debug)]
pub(crate) struct Latencies {
    by_class: Vec<LatencyEstimate>,
}

impl Latencies {
    pub(crate) fn new(classes: &[Class]) -> Self {
        Latencies {
            by_class: classes.iter().map(LatencyEstimate::new).collect(),
        }
    }

    pub(crate) fn get(&self, class_id: usize) -> Option<&LatencyEstimate> {
        self.by_class.get(class_id)
    }

    pub(crate) fn get_mut(&mut self, class_id: usize) -> Option<&mut LatencyEstimate> {
        self.by_class.get_mut(class_id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &LatencyEstimate> {
        self.by_class.iter()
    }

    /// Mean latency of a class, or a fraction of `latency_objective` if the settings don't name the
    /// class.
    pub(crate) fn mean(&self, class_id: usize, latency_objective: Micros) -> f64 {
        self.get(class_id)
            .map_or(default_latency(latency_objective), |estimate| estimate.mean)
    }

    /// The longest mean latency of all classes.
    pub(crate) fn longest_mean(&self) -> f64 {
        self.iter()
            .map(|estimate| estimate.mean)
            .fold(1.0, f64::max)
    }
}
