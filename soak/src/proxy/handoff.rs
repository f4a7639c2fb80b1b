//! Process handoff: a new process takes over from the running one.

use super::process::{kill_child, Proxy, POLL_INTERVAL, READY_TIMEOUT};
use crate::error::SetupError;
use crate::ledger::Rule;
use nix::sys::signal::Signal;
use std::net::SocketAddr;
use std::process::Child;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Base of the ports of admin interfaces. The number of the process that is replaced is added to
/// it, so that each handoff of a proxy uses another port.
const ADMIN_PORT_BASE: u16 = 4_000;
/// Time after a new process reported to be ready until it counts as notified of the endpoint list.
/// Deliveries before then may have gone only to the old process.
const HANDOFF_NOTIFICATION_DELAY: Duration = Duration::from_secs(2);

impl Proxy {
    /// Starts a new process beside the running one, and shuts the old one down when the new one is
    /// ready.
    pub(crate) async fn hand_off(&self) -> Result<(), SetupError> {
        if !self.accepts_connections() {
            return Ok(());
        }
        let admin_address = SocketAddr::new(
            self.address.ip(),
            ADMIN_PORT_BASE + self.process_number() as u16,
        );
        let new = self.spawn(Some(admin_address))?;
        self.log_event("a new process was started for a handoff");
        self.wait_for_new_process(admin_address).await;
        self.replace_process(new);
        let previous = self.process_number();
        self.process_count.set(previous + 1);
        sleep(self.shared.config().shutdown_timeout()).await;
        self.ended_processes.borrow_mut().push(previous);
        self.end_previous_process();
        Ok(())
    }

    async fn wait_for_new_process(&self, admin_address: SocketAddr) {
        let started = Instant::now();
        while !reports_ready(admin_address).await {
            if started.elapsed() > READY_TIMEOUT {
                self.record_violation(
                    Rule::Readiness,
                    &format!("has a new process that was not ready within {READY_TIMEOUT:?}"),
                );
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    fn replace_process(&self, new: Child) {
        let now = Instant::now();
        self.shared
            .with_notifications(self.number, |notifications| {
                notifications.record_process_start(now + HANDOFF_NOTIFICATION_DELAY);
            });
        self.disturbances.borrow_mut().push(now);
        self.signal(Signal::SIGTERM);
        self.log_event(&format!(
            "process {}, the old one in the handoff, is sent SIGTERM",
            self.process_number()
        ));
        let previous = self.child.borrow_mut().replace(new);
        *self.previous.borrow_mut() = previous;
    }

    fn end_previous_process(&self) {
        let Some(mut previous) = self.previous.borrow_mut().take() else {
            return;
        };
        if let Ok(Some(status)) = previous.try_wait() {
            if !status.success() {
                self.record_violation(
                    Rule::Crash,
                    &format!(
                        "had an old process that ended with {status} after SIGTERM in a handoff"
                    ),
                );
            }
        }
        kill_child(&mut previous);
    }
}

/// Whether the process with this admin interface reports that it accepts client connections.
async fn reports_ready(admin_address: SocketAddr) -> bool {
    let mut reply = String::new();
    if let Ok(mut stream) = TcpStream::connect(admin_address).await {
        // If either call fails, the reply stays empty or incomplete, which counts as not ready.
        let _ = stream.write_all(b"health\n").await;
        let _ = stream.read_to_string(&mut reply).await;
    }
    reply.starts_with("SUCCESS")
}
