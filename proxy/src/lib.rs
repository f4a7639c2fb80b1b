//! client-proxy is a client proxy: it takes an application's requests and passes each to a host of a fleet, as
//! the decision module `balancer` says.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

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

use config::Config;
use std::future::Future;
use std::io;
use std::path::PathBuf;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Where the program listens.
#[derive(Debug)]
pub struct Listeners {
    /// For clients. It begins to listen once there is a list of hosts, or after a while without one.
    pub clients: TcpSocket,
    /// For operators, if they have an address.
    pub operators: Option<TcpListener>,
}

/// How long clients are kept waiting for a list of hosts: without one they are at least told so, unless another process
/// serves them.
const LIST_WAIT: Duration = Duration::from_secs(2);
/// A restarted process is ready within 6 s, list or not, and one beside another within 10 s: the other may be about to end.
const READY_ALONE: Duration = Duration::from_secs(5);
const READY_BESIDE: Duration = Duration::from_secs(8);

/// Serves until `stop` is done and all that was taken is answered. `reload` gives the next configuration each
/// time there is one, and `None` when none will come. `folder` is where a second process of the program shows itself, if
/// there may be one. Runs inside a [`tokio::task::LocalSet`].
pub async fn run(
    config: Config,
    listeners: Listeners,
    folder: Option<PathBuf>,
    mut reload: impl AsyncFnMut() -> Option<Result<Config, String>>,
    stop: impl Future<Output = ()>,
) -> io::Result<()> {
    let driver = control::Control::start(Rc::new(config));
    let operators =
        listeners.operators.map(|listener| task::spawn(operators::serve(listener, driver.clone())));
    let reloads = async {
        while let Some(config) = reload().await {
            match config {
                Ok(config) => driver.reload(config),
                // A broken file must not end what serves well with the one before.
                Err(reason) => log::line(&format!("configuration kept: {}", reason.replace('\n', " "))),
            }
        }
        std::future::pending().await
    };
    let _readiness = task::spawn(be_ready(driver.clone()));
    let _presence = folder.map(|folder| task::spawn(share(folder, driver.clone())));
    let serving = async {
        let mut stop = pin!(stop);
        tokio::select! {
            biased;
            // Nothing has been taken.
            () = &mut stop => return Ok(()),
            () = may_listen(&driver) => {}
        }
        downstream::serve(listeners.clients.listen(downstream::LISTEN_BACKLOG)?, driver.clone(), stop).await;
        driver.log_counts();
        Ok(())
    };
    let ended = tokio::select! {
        ended = serving => ended,
        () = reloads => Ok(()),
    };
    drop(operators);
    ended
}

/// Returns when clients can be taken. One that connects before there is a list could only be turned away, and one of a
/// process that is to be replaced would have been served there.
async fn may_listen(driver: &control::Control) {
    let start = Instant::now();
    let wait = || if driver.config().processes > 1 { READY_BESIDE } else { LIST_WAIT };
    while start.elapsed() < wait() {
        let left = wait().saturating_sub(start.elapsed()).min(LIST_WAIT);
        if timeout(left, driver.listed()).await.is_ok() {
            return;
        }
    }
}

/// Says that the process is ready once it need not wait for a list any longer.
async fn be_ready(driver: control::Control) {
    let start = Instant::now();
    sleep(READY_ALONE).await;
    if driver.config().processes > 1 {
        sleep_until(start + READY_BESIDE).await;
    }
    driver.wait_no_longer();
}

/// Shares the limits with another process of the program for as long as there is one.
async fn share(folder: PathBuf, driver: control::Control) {
    let shared = |shared| {
        log::line(if shared { "another process serves too" } else { "no other process serves any more" });
        driver.share(if shared { 2 } else { 1 });
    };
    let Err(error) = process_handoff::maintain_presence(&folder, shared).await;
    log::line(&format!("{}: {error}", folder.display()));
}
