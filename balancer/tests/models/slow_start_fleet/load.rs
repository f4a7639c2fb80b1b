//! Evaluates the load that new endpoints were sent.

use super::*;

impl Fleet {
    /// Returns two ratios for the load from balancers that had been notified of the new endpoints:
    /// the highest load of one new endpoint in any window relative to the load that overloads it,
    /// and the load of all new endpoints relative to their capacity.
    pub(crate) fn peak_load_and_utilization(&self) -> (f64, f64) {
        let (mut peak_load, mut sent_work, mut capacity) = (0.0_f64, 0.0, 0.0);
        let rate = CORES as f64 / MEAN_WORK_US * self.scenario.new_endpoint_speed;
        let duration = self.scenario.end_at - NEW_ENDPOINTS_START;
        for process in self
            .endpoint_processes
            .iter()
            .filter(|process| process.started_at > 0)
        {
            let (mut window_work, mut window_start) = (0.0, 0);
            let received: Vec<_> = process
                .received_requests
                .iter()
                .filter(|request| request.2)
                .collect();
            for &&(at, work, _) in &received {
                window_work += work;
                while received[window_start].0 + OVERLOAD_WINDOW <= at {
                    window_work -= received[window_start].1;
                    window_start += 1;
                }
                // The endpoint's capacity at the start of the window, where it is lowest. The
                // tolerance in `peak_load` is for requests that balancers send independently of
                // each other, whose number varies by about its square root.
                let warm_up_fraction = warm_up(
                    process.started_at,
                    at.saturating_sub(OVERLOAD_WINDOW).max(process.started_at),
                );
                let allowed = OVERLOAD_MULTIPLE * warm_up_fraction * rate * OVERLOAD_WINDOW as f64;
                peak_load = peak_load.max(window_work / (allowed + 2.0 * allowed.sqrt() + 2.0));
            }
            sent_work += received.iter().map(|request| request.1).sum::<f64>();
            capacity += warm_up(NEW_ENDPOINTS_START, NEW_ENDPOINTS_START + duration / 2)
                * rate
                * duration as f64;
        }
        (peak_load, sent_work / capacity)
    }
}
