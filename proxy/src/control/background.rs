//! Background tasks: the balancer's timer, and the periodic sweep and log line.

use crate::control::Control;
use balancer::Event;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Interval at which expired idle connections are closed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Number of sweeps between two lines of metrics in the log.
const SWEEPS_PER_LOG_LINE: u32 = 10;

impl Control {
    /// Starts the background tasks, which run until the thread's `LocalSet` is dropped.
    pub(super) fn spawn_background_tasks(&self) {
        spawn_local(self.clone().run_timer());
        spawn_local(self.clone().sweep_periodically());
    }

    async fn run_timer(self) {
        let timer = self.state().timer.clone();
        loop {
            timer.expired().await;
            self.dispatch([Event::Timer]);
        }
    }

    async fn sweep_periodically(self) {
        for sweep in 1_u32.. {
            sleep(SWEEP_INTERVAL).await;
            self.state_mut().sweep();
            self.memory().account().release_unused_pages();
            if sweep % SWEEPS_PER_LOG_LINE == 0 {
                self.log_metrics();
            }
        }
    }
}
