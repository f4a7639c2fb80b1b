//! Reports the metrics to operators and to the log.

use crate::control::Control;
use crate::log;
use crate::memory::resident_kilobytes;

impl Control {
    /// The metrics since the start of the process, under the names that operators read.
    pub fn metrics_json(&self) -> serde_json::Value {
        let state = self.state();
        // Draining endpoints are unavailable whatever their health, but are not in the balancer's
        // count.
        let draining = state.endpoints.count() - state.endpoints.ready_count();
        let unavailable = state.balancer.unavailable_count(state.clock.now()) + draining;
        let counters = state.metrics.counters();
        counters.to_json(&state.config.classes, state.endpoints.count(), unavailable)
    }

    /// Writes the metrics since the start of the process to the log.
    pub fn log_metrics(&self) {
        let json = self.metrics_json();
        let state = self.state();
        let open = state.pool.open_count();
        let idle = state.pool.idle_count();
        let max_idle = state.pool.max_idle(state.config.connection_idle_timeout);
        let counters = state.metrics.counters();
        log::line(&format!(
            "{open} connections to endpoints ({idle} idle, kept for at most {max_idle:?}), {json}, \
             {counters}, ids_dropped: {}, ids_unshared: {}, transfers: {}, {}, resident_kb: {}",
            state.requests.client_ids.dropped_count(),
            state.requests.client_ids.unshared_count(),
            state.memory.transfer_count(),
            state.memory.account(),
            resident_kilobytes().unwrap_or(0)
        ));
    }
}
