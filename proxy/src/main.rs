//! The program: loads the configuration, serves, reloads the configuration on SIGHUP, and shuts
//! down gracefully on SIGTERM.
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

/// How long each call that fails transiently is retried at startup, where a process must be ready
/// within 30 s. The limit applies to each call separately.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// How long loading a new configuration is retried after a failure: the file may be incomplete
/// while it is being replaced, or the system may be out of descriptors.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay before loading a new configuration is retried. If the discovery address has changed, the
/// list of the new discovery counts as delivered to the proxy 4 s after the signal, whether or not
/// it has arrived; the old discovery remains available for 1.5 s.
const RELOAD_RETRY_DELAY: Duration = Duration::from_millis(100);

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let reason = format!("{error:#}").replace('\n', " ");
            let _ = writeln!(io::stderr(), "client-proxy: {reason}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> anyhow::Result<()> {
    if env::var_os("ROUTER_TRACE").is_some_and(|value| value == "1") {
        log::enable_request_trace();
    }
    let path = env::var_os("ROUTER_CONFIG")
        .context("ROUTER_CONFIG is not set; it must be the path of the configuration file")?;
    let runtime = build_runtime().context("cannot start the async runtime")?;
    LocalSet::new().block_on(&runtime, serve(Path::new(&path)))
}

/// Serves until SIGTERM and the graceful shutdown that follows it. Tasks that still run after that
/// serve no client, such as the watch and idle connections, and end with the program.
async fn serve(path: &Path) -> anyhow::Result<()> {
    // Must come first: a signal that arrives before its handler is installed terminates the
    // program.
    let mut terminate = signal_handler(SignalKind::terminate())
        .await
        .context("cannot install the handler for SIGTERM")?;
    let hangup = signal_handler(SignalKind::hangup())
        .await
        .context("cannot install the handler for SIGHUP")?;
    let config = load_at_start(path).await?;
    let listeners = Listeners {
        clients: bind_for_clients(&config).await?,
        operators: listen_for_operators(&config).await?,
    };
    let shutdown = async move {
        terminate.recv().await;
    };
    let mut reloader = ConfigReloader {
        hangup,
        path,
        retry_until: None,
    };
    let reload = async || reloader.next().await;
    let presence_folder = env::var_os("TMPDIR").map(PathBuf::from);
    client_proxy::run(config, listeners, presence_folder, reload, shutdown).await?;
    Ok(())
}

/// Creates the runtime. Transient failures are retried with blocking sleeps, as nothing can be
/// awaited without a runtime.
fn build_runtime() -> io::Result<Runtime> {
    let retry_until = Instant::now() + START_TIMEOUT;
    loop {
        match runtime::Builder::new_current_thread().enable_all().build() {
            Err(error) if ErrorClass::of(&error).is_retryable() && Instant::now() < retry_until => {
                std::thread::sleep(RETRY_DELAY);
            }
            built => return built,
        }
    }
}

async fn signal_handler(kind: SignalKind) -> io::Result<Signal> {
    retry_transient(START_TIMEOUT, async || signal(kind)).await
}

async fn bind_for_clients(config: &Config) -> anyhow::Result<tokio::net::TcpSocket> {
    let address = config.listen;
    let socket = retry_transient(START_TIMEOUT, async || process_handoff::bind(address)).await;
    socket.with_context(|| format!("cannot bind the \"listen\" address {address}"))
}

async fn listen_for_operators(config: &Config) -> anyhow::Result<Option<tokio::net::TcpListener>> {
    let Some(address) = operators_address(config)? else {
        return Ok(None);
    };
    let listener = retry_transient(START_TIMEOUT, async || operators::listen(address)).await;
    listener
        .map(Some)
        .with_context(|| format!("cannot listen on the \"admin\" address {address}"))
}

/// The address for operators. `ROUTER_ADMIN` overrides the configuration file, because two
/// processes may use the same file and need different addresses.
fn operators_address(config: &Config) -> anyhow::Result<Option<SocketAddr>> {
    match env::var("ROUTER_ADMIN") {
        Ok(value) => {
            let address = value.parse().with_context(|| {
                format!("ROUTER_ADMIN: {value:?} is not an address of the form \"127.0.0.1:8080\"")
            })?;
            Ok(Some(address))
        }
        Err(_) => Ok(config.admin),
    }
}

/// Loads the configuration at startup. Transient failures to read the file are retried.
async fn load_at_start(path: &Path) -> Result<Config, LoadError> {
    let retry_until = Instant::now() + START_TIMEOUT;
    loop {
        match Config::load(path) {
            Err(LoadError::Unreadable { error, .. })
                if ErrorClass::of(&error).is_retryable() && Instant::now() < retry_until =>
            {
                sleep(RETRY_DELAY).await;
            }
            loaded => return loaded,
        }
    }
}

/// Loads a new configuration on each SIGHUP. The signal is sent only once per change, so loading is
/// retried for [`RELOAD_TIMEOUT`] if the file cannot be used.
struct ConfigReloader<'a> {
    hangup: Signal,
    path: &'a Path,
    /// When to stop retrying; `None`: the last reload succeeded or was abandoned.
    retry_until: Option<Instant>,
}

impl ConfigReloader<'_> {
    /// Returns the next configuration, or the error of the first try after a signal; errors of its
    /// retries are not reported. `None`: no more signals will follow.
    async fn next(&mut self) -> Option<Result<Config, LoadError>> {
        loop {
            let sighup = tokio::select! {
                sighup = self.hangup.recv() => Some(sighup?),
                () = sleep(RELOAD_RETRY_DELAY), if self.retry_until.is_some() => None,
            };
            if sighup.is_some() {
                self.retry_until = Some(Instant::now() + RELOAD_TIMEOUT);
            }
            match Config::load(self.path) {
                Ok(config) => {
                    self.retry_until = None;
                    return Some(Ok(config));
                }
                Err(error) if sighup.is_some() => return Some(Err(error)),
                Err(_) => self.retry_until = self.retry_until.filter(|end| Instant::now() < *end),
            }
        }
    }
}
