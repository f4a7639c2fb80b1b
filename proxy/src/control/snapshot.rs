//! Metrics as operators and the log get them.

use crate::control::Control;
use crate::log;

impl Control {
    /// The metrics so far, as operators read them.
    pub fn metrics_json(&self) -> serde_json::Value {
        let state = self.state();
        // Draining endpoints are unavailable by the list's word, whatever the balancer thinks of
        // them.
        let draining = state.endpoints.count() - state.endpoints.ready_count();
        let unavailable = state.balancer.unavailable_count(state.clock.now()) + draining;
        let metrics = state.metrics.snapshot();
        metrics.to_json(&state.config.classes, state.endpoints.count(), unavailable)
    }

    /// Writes the metrics so far to the log.
    pub fn log_metrics(&self) {
        let snapshot = self.metrics_json();
        let state = self.state();
        let open = state.pool.open_count();
        let idle = state.pool.idle_count();
        let max_idle = state.pool.max_idle(state.config.connection_idle_timeout);
        let metrics = state.metrics.snapshot();
        log::line(&format!(
            "{open} connections ({idle} idle, for at most {max_idle:?}), {snapshot}, {metrics}"
        ));
    }
}
