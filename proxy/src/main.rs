//! The program: reads the configuration, serves, reloads it on SIGHUP, and shuts down on SIGTERM.
#![forbid(unsafe_code)]

use anyhow::Context;
use client_proxy::config::{Config, LoadError};
use client_proxy::transient_errors::{retry_transient, ErrorClass, RETRY_DELAY};
use client_proxy::{log, operators, process_handoff, Listeners};
use std::env;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};
use tokio::runtime::{self, Runtime};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::LocalSet;
use tokio::time::sleep;

/// For how long calls that fail transiently are retried at the start: a process must be ready
/// within 30 s.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// For how long a new configuration is read again if that fails: its file may be replaced just
/// then, or the system be short of descriptors. A change of discovery counts as notified 4 s after
/// the signal; the old discovery stays for 1.5 s.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause before it is read again.
const RELOAD_RETRY_DELAY: Duration = Duration::from_millis(100);

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let reason = format!("{error:#}").replace('\n', " ");
            let _ = writeln!(io::stderr(), "client-proxy: {reason}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> anyhow::Result<()> {
    if env::var_os("ROUTER_TRACE").is_some_and(|value| value == "1") {
        log::enable_request_trace();
    }
    let path = env::var_os("ROUTER_CONFIG").context("ROUTER_CONFIG is not set")?;
    let runtime = new_runtime().context("the runtime cannot be started")?;
    LocalSet::new().block_on(&runtime, serve(Path::new(&path)))
}

/// Serves until SIGTERM. What remains after that are tasks without a client: the watch, idle
/// connections.
async fn serve(path: &Path) -> anyhow::Result<()> {
    // First of all: a signal without a handler ends the program.
    let mut terminate = handler(SignalKind::terminate()).await.context("SIGTERM")?;
    let hangup = handler(SignalKind::hangup()).await.context("SIGHUP")?;
    let config = load_at_start(path).await?;
    let listeners = Listeners {
        clients: bind_for_clients(&config).await?,
        operators: listen_for_operators(&config).await?,
    };
    let shutdown = async move {
        terminate.recv().await;
    };
    let mut reloads = Reloads {
        hangup,
        path,
        retry_until: None,
    };
    let reload = async || reloads.next().await;
    let presence_folder = env::var_os("TMPDIR").map(PathBuf::from);
    client_proxy::run(config, listeners, presence_folder, reload, shutdown).await?;
    Ok(())
}

/// The runtime. Before there is one, nothing can be awaited.
fn new_runtime() -> io::Result<Runtime> {
    let end = Instant::now() + START_TIMEOUT;
    loop {
        match runtime::Builder::new_current_thread().enable_all().build() {
            Err(error) if ErrorClass::of(&error).is_retryable() && Instant::now() < end => {
                std::thread::sleep(RETRY_DELAY);
            }
            built => return built,
        }
    }
}

async fn handler(kind: SignalKind) -> io::Result<Signal> {
    retry_transient(START_TIMEOUT, async || signal(kind)).await
}

async fn bind_for_clients(config: &Config) -> anyhow::Result<tokio::net::TcpSocket> {
    let address = config.listen;
    let socket = retry_transient(START_TIMEOUT, async || process_handoff::bind(address)).await;
    socket.with_context(|| format!("listen: {address}"))
}

async fn listen_for_operators(config: &Config) -> anyhow::Result<Option<tokio::net::TcpListener>> {
    let Some(address) = operators_address(config)? else {
        return Ok(None);
    };
    let listener = retry_transient(START_TIMEOUT, async || operators::listen(address)).await;
    listener
        .map(Some)
        .with_context(|| format!("admin: {address}"))
}

/// Where operators connect: the environment is this process's own, while another process may have
/// the same file.
fn operators_address(config: &Config) -> anyhow::Result<Option<SocketAddr>> {
    match env::var("ROUTER_ADMIN") {
        Ok(value) => {
            let address = value
                .parse()
                .with_context(|| format!("ROUTER_ADMIN: {value:?}"))?;
            Ok(Some(address))
        }
        Err(_) => Ok(config.admin),
    }
}

/// Loads the configuration at the start. A file that transiently cannot be read is read again.
async fn load_at_start(path: &Path) -> Result<Config, LoadError> {
    let end = Instant::now() + START_TIMEOUT;
    loop {
        match Config::load(path) {
            Err(LoadError::Unreadable { error, .. })
                if ErrorClass::of(&error).is_retryable() && Instant::now() < end =>
            {
                sleep(RETRY_DELAY).await;
            }
            loaded => return loaded,
        }
    }
}

/// New configurations, as SIGHUP announces them. The signal is not sent again, so a file that
/// cannot be used is read again for a while.
struct Reloads<'a> {
    hangup: Signal,
    path: &'a Path,
    /// Until when the file is read again; `None`: the last one was loaded, or abandoned.
    retry_until: Option<Instant>,
}

impl Reloads<'_> {
    /// The next configuration, or why the file cannot be used, once for each signal. `None`: no
    /// more will follow.
    async fn next(&mut self) -> Option<Result<Config, LoadError>> {
        loop {
            let announced = tokio::select! {
                announced = self.hangup.recv() => Some(announced?),
                () = sleep(RELOAD_RETRY_DELAY), if self.retry_until.is_some() => None,
            };
            if announced.is_some() {
                self.retry_until = Some(Instant::now() + RELOAD_TIMEOUT);
            }
            match Config::load(self.path) {
                Ok(config) => {
                    self.retry_until = None;
                    return Some(Ok(config));
                }
                Err(error) if announced.is_some() => return Some(Err(error)),
                Err(_) => self.retry_until = self.retry_until.filter(|end| Instant::now() < *end),
            }
        }
    }
}
