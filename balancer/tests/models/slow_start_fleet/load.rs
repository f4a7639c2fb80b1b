//! Evaluates the load that new endpoints were sent.

use super::*;

impl Fleet {
    /// Returns two ratios for the load from balancers that had been notified of the new endpoints:
    /// the highest load of one new endpoint in any window relative to the load that overloads it,
    /// and the load of all new endpoints relative to their capacity.
    pub(crate) fn load_and_use(&self) -> (f64, f64) {
        let (mut worst, mut given, mut could) = (0.0_f64, 0.0, 0.0);
        let rate = CORES as f64 / MEAN_WORK_US * self.scenario.speed;
        let played = self.scenario.until - START;
        for process in self.processes.iter().filter(|p| p.started_at > 0) {
            let (mut sum, mut first) = (0.0, 0);
            let sent: Vec<_> = process.sent.iter().filter(|s| s.2).collect();
            for &&(at, work, _) in &sent {
                sum += work;
                while sent[first].0 + OVERLOAD_WINDOW <= at {
                    sum -= sent[first].1;
                    first += 1;
                }
                // Its capacity at the start of the window, where it is lowest.
                let present = warm_up(
                    process.started_at,
                    at.saturating_sub(OVERLOAD_WINDOW).max(process.started_at),
                );
                let allowed = OVERLOAD_MULTIPLE * present * rate * OVERLOAD_WINDOW as f64;
                worst = worst.max(sum / (allowed + 2.0 * allowed.sqrt() + 2.0));
            }
            given += sent.iter().map(|s| s.1).sum::<f64>();
            could += warm_up(START, START + played / 2) * rate * played as f64;
        }
        (worst, given / could)
    }
}
