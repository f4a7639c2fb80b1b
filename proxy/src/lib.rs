//! A client-side proxy: it accepts an application's requests and forwards each to an endpoint of a
//! fleet, which the [`balancer`] selects.
#![forbid(unsafe_code)]

mod body;
pub mod config;
mod connect;
pub mod control;
pub mod discovery;
pub mod downstream;
mod header_list;
mod invariants;
pub mod log;
pub mod memory;
mod message_limits;
pub mod metrics;
pub mod operators;
pub mod process_handoff;
mod process_sharing;
mod request_ids;
mod socket;
mod task;
pub mod transient_errors;
mod upstream;
mod write_guard;

use config::{Config, LoadError};
use control::Control;
use std::future::{pending, Future};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// How long accepting clients is delayed while there is no endpoint list. After that, requests are
/// rejected until a list arrives. While another process of the program serves clients,
/// [`READY_DELAY_BESIDE_OTHER_PROCESS`] applies instead.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time from the start after which a process is reported ready even without an endpoint list. A
/// restarted process must be ready within 6 s.
const READY_DELAY: Duration = Duration::from_secs(5);
/// [`READY_DELAY`] while another process of the program runs, which this process may be about to
/// replace. A process that replaces another must be ready within 10 s.
const READY_DELAY_BESIDE_OTHER_PROCESS: Duration = Duration::from_secs(8);

/// The sockets on which the program accepts connections.
#[derive(Debug)]
pub struct Listeners {
    /// Bound to the clients' address. It starts to listen once there is an endpoint list, or after
    /// a timeout without one.
    pub clients: TcpSocket,
    /// Listener for operators; `None`: no address is configured for them.
    pub operators: Option<TcpListener>,
}

/// Why the proxy cannot serve.
#[derive(Debug, Error)]
pub enum RunError {
    /// Listening on the clients' address failed.
    #[error("cannot listen on the \"listen\" address {address}: {error}")]
    Listen {
        /// The clients' address.
        address: SocketAddr,
        /// Error returned by the system call.
        error: io::Error,
    },
}

/// Serves until `shutdown` completes and every accepted request has its reply. `reload` returns
/// each new configuration, and `None` when no more will follow. `presence_folder` holds the files
/// by which processes of the program detect each other and share the ids of requests; `None`: this
/// is the only process. Must be called inside a [`tokio::task::LocalSet`].
///
/// # Errors
/// Listening on the clients' address failed.
pub async fn run(
    config: Config,
    listeners: Listeners,
    presence_folder: Option<PathBuf>,
    reload: impl AsyncFnMut() -> Option<Result<Config, LoadError>>,
    shutdown: impl Future<Output = ()>,
) -> Result<(), RunError> {
    let control = Control::start(Rc::new(config));
    let operators = listeners
        .operators
        .map(|listener| task::spawn(operators::serve(listener, control.clone())));
    let _ready_delay = task::spawn(set_ready_after_delay(control.clone()));
    let _presence =
        presence_folder.map(|folder| task::spawn(process_sharing::share(folder, control.clone())));
    let result = tokio::select! {
        result = serve_clients(listeners.clients, &control, shutdown) => result,
        () = apply_reloads(&control, reload) => Ok(()),
    };
    drop(operators);
    result
}

/// Waits until clients may connect, then serves them until the graceful shutdown is complete.
async fn serve_clients(
    socket: TcpSocket,
    control: &Control,
    shutdown: impl Future<Output = ()>,
) -> Result<(), RunError> {
    let mut shutdown = pin!(shutdown);
    tokio::select! {
        biased;
        // No request has been accepted yet, so there is nothing to wait for.
        () = &mut shutdown => return Ok(()),
        () = wait_until_listening_allowed(control) => {}
    }
    let listener = socket
        .listen(downstream::LISTEN_BACKLOG)
        .map_err(|error| RunError::Listen {
            address: control.config().listen,
            error,
        })?;
    downstream::serve(listener, control.clone(), shutdown).await;
    control.log_metrics();
    Ok(())
}

/// Applies each new configuration. Never returns.
async fn apply_reloads(
    control: &Control,
    mut reload: impl AsyncFnMut() -> Option<Result<Config, LoadError>>,
) {
    while let Some(config) = reload().await {
        match config {
            Ok(config) => control.reload(config),
            // The proxy continues with its current configuration when a new one is invalid.
            Err(error) => {
                let reason = error.to_string().replace('\n', " ");
                log::line(&format!(
                    "configuration kept: the new one cannot be used: {reason}"
                ));
            }
        }
    }
    pending().await
}

/// Returns once clients may connect: when an endpoint list has been received, or after a timeout.
/// Without a list, requests could only be rejected. The timeout is longer while another process of
/// the program runs, because that process serves the clients.
async fn wait_until_listening_allowed(control: &Control) {
    let start = Instant::now();
    let list_timeout = || match control.config().process_count {
        0 | 1 => LIST_TIMEOUT,
        _ => READY_DELAY_BESIDE_OTHER_PROCESS,
    };
    while start.elapsed() < list_timeout() {
        // Waits for at most `LIST_TIMEOUT` at a time, because the process count, on which the
        // timeout depends, may change.
        let time_to_next_check = list_timeout()
            .saturating_sub(start.elapsed())
            .min(LIST_TIMEOUT);
        if timeout(time_to_next_check, control.wait_for_list())
            .await
            .is_ok()
        {
            return;
        }
    }
}

/// Reports the process ready after the delay, even if no endpoint list has been received.
async fn set_ready_after_delay(control: Control) {
    let start = Instant::now();
    sleep(READY_DELAY).await;
    if control.config().process_count > 1 {
        sleep_until(start + READY_DELAY_BESIDE_OTHER_PROCESS).await;
    }
    control.set_ready_without_list();
}
