//! A client-side proxy: it takes an application's requests and forwards each to an endpoint of a
//! fleet, as the [`balancer`] decides.
#![forbid(unsafe_code)]

mod body;
pub mod config;
mod connect;
pub mod control;
pub mod discovery;
pub mod downstream;
mod invariants;
pub mod log;
mod message_limits;
pub mod metrics;
pub mod operators;
pub mod process_handoff;
mod socket;
mod task;
pub mod transient_errors;
mod upstream;
mod write_guard;

use config::{Config, LoadError};
use control::Control;
use std::future::{pending, Future};
use std::io;
use std::path::PathBuf;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// How long clients wait for the first endpoint list. Without one they are rejected, unless another
/// process serves them.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// When a process is ready, with or without a list: a restarted one must be within 6 s.
const READY_DELAY: Duration = Duration::from_secs(5);
/// The same beside another process, which may be about to end: it must be ready within 10 s.
const READY_DELAY_BESIDE_OTHER: Duration = Duration::from_secs(8);

/// Where the program listens.
#[derive(Debug)]
pub struct Listeners {
    /// For clients. It begins to listen once there is an endpoint list, or after a while without
    /// one.
    pub clients: TcpSocket,
    /// For operators, if they have an address.
    pub operators: Option<TcpListener>,
}

/// Why the proxy cannot serve.
#[derive(Debug, Error)]
pub enum RunError {
    /// The clients' address cannot be listened to.
    #[error("cannot listen for clients: {0}")]
    Listen(io::Error),
}

/// Serves until `shutdown` is done and every request that was taken has its response. `reload`
/// gives each new configuration, and `None` when no more follow. `presence_folder` is where another
/// process of the program is found, if there may be one. Runs inside a [`tokio::task::LocalSet`].
///
/// # Errors
/// The clients' address cannot be listened to.
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
    let _list_wait = task::spawn(end_list_wait(control.clone()));
    let _presence =
        presence_folder.map(|folder| task::spawn(follow_other_process(folder, control.clone())));
    let ended = tokio::select! {
        ended = serve_clients(listeners.clients, &control, shutdown) => ended,
        () = apply_reloads(&control, reload) => Ok(()),
    };
    drop(operators);
    ended
}

/// Serves clients once there is a list, until shutdown has ended.
async fn serve_clients(
    socket: TcpSocket,
    control: &Control,
    shutdown: impl Future<Output = ()>,
) -> Result<(), RunError> {
    let mut shutdown = pin!(shutdown);
    tokio::select! {
        biased;
        // No request has been taken.
        () = &mut shutdown => return Ok(()),
        () = listening_allowed(control) => {}
    }
    let listener = socket
        .listen(downstream::LISTEN_BACKLOG)
        .map_err(RunError::Listen)?;
    downstream::serve(listener, control.clone(), shutdown).await;
    control.log_metrics();
    Ok(())
}

/// Applies each new configuration; it never returns.
async fn apply_reloads(
    control: &Control,
    mut reload: impl AsyncFnMut() -> Option<Result<Config, LoadError>>,
) {
    while let Some(config) = reload().await {
        match config {
            Ok(config) => control.reload(config),
            // An invalid file must not end what serves well with the one before.
            Err(error) => {
                let reason = error.to_string().replace('\n', " ");
                log::line(&format!("configuration kept: {reason}"));
            }
        }
    }
    pending().await
}

/// Returns when clients may connect. Before there is a list they could only be rejected; while
/// another process is to be replaced, that one serves them.
async fn listening_allowed(control: &Control) {
    let start = Instant::now();
    let list_timeout = || match control.config().process_count {
        0 | 1 => LIST_TIMEOUT,
        _ => READY_DELAY_BESIDE_OTHER,
    };
    while start.elapsed() < list_timeout() {
        let left = list_timeout()
            .saturating_sub(start.elapsed())
            .min(LIST_TIMEOUT);
        if timeout(left, control.list_received()).await.is_ok() {
            return;
        }
    }
}

/// Reports the process ready once it has waited long enough for a list.
async fn end_list_wait(control: Control) {
    let start = Instant::now();
    sleep(READY_DELAY).await;
    if control.config().process_count > 1 {
        sleep_until(start + READY_DELAY_BESIDE_OTHER).await;
    }
    control.end_list_wait();
}

/// Shares the limits with another process of the program for as long as there is one.
async fn follow_other_process(folder: PathBuf, control: Control) {
    let on_change = |is_shared| {
        if is_shared {
            log::line("another process serves too");
            control.set_process_count(2);
        } else {
            log::line("no other process serves any more");
            control.set_process_count(1);
        }
    };
    let Err(error) = process_handoff::maintain_presence(&folder, on_change).await;
    log::line(&format!("{}: {error}", folder.display()));
}
