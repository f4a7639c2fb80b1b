//! The program: reads the configuration, serves, reads it again on SIGHUP, and stops on SIGTERM.
#![forbid(unsafe_code)]

use client_proxy::config::{Config, LoadError};
use client_proxy::transient_errors::{retry_transient, ErrorClass, RETRY_DELAY};
use client_proxy::{log, operators, process_handoff, Listeners};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};
use tokio::runtime::{self, Runtime};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::LocalSet;
use tokio::time::sleep;

/// How long the start goes on with calls that fail for the moment. A process is to be ready within 30 s.
const START_PATIENCE: Duration = Duration::from_secs(20);
/// How long a new configuration is read again where that fails: its file may be replaced just then, or the system be
/// short of descriptors. A change of discovery counts as told 4 s after the signal, the old one is there for 1.5 s.
const RELOAD_PATIENCE: Duration = Duration::from_secs(30);
/// Pause before it is read again.
const RELOAD_PAUSE: Duration = Duration::from_millis(100);

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            let _ = writeln!(std::io::stderr(), "client-proxy: {}", reason.replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), String> {
    if std::env::var_os("ROUTER_TRACE").is_some_and(|wanted| wanted == "1") {
        log::enable_request_trace();
    }
    let path = std::env::var_os("ROUTER_CONFIG").ok_or("ROUTER_CONFIG is not set")?;
    let path = Path::new(&path);
    let runtime = runtime().map_err(|e| e.to_string())?;
    LocalSet::new().block_on(&runtime, async {
        // First of all: a signal without a handler ends the program.
        let mut terminate = handled(SignalKind::terminate()).await?;
        let hangup = handled(SignalKind::hangup()).await?;
        let named_file = |error: LoadError| format!("{}: {error}", path.display());
        let config = first_configuration(path).await.map_err(named_file)?;
        let named = |address: SocketAddr| move |error: io::Error| format!("{address}: {error}");
        let clients = retry_transient(START_PATIENCE, async || process_handoff::bind(config.listen)).await;
        let clients = clients.map_err(named(config.listen))?;
        let operators = match admin(&config)? {
            Some(address) => {
                let listener = retry_transient(START_PATIENCE, async || operators::listen(address)).await;
                Some(listener.map_err(named(address))?)
            }
            None => None,
        };
        let listeners = Listeners { clients, operators };
        let stop = async move {
            terminate.recv().await;
        };
        let mut reloads = Reloads { hangup, path, retry_until: None };
        let reload = async || Some(reloads.next().await?.map_err(named_file));
        let folder = std::env::var_os("TMPDIR").map(PathBuf::from);
        // What is left after it are tasks without a client: the watch, idle connections.
        client_proxy::run(config, listeners, folder, reload, stop).await.map_err(|e| e.to_string())
    })
}

/// The runtime. There is none yet that could wait.
fn runtime() -> io::Result<Runtime> {
    let end = Instant::now() + START_PATIENCE;
    loop {
        match runtime::Builder::new_current_thread().enable_all().build() {
            Err(error) if ErrorClass::of(&error).is_retryable() && Instant::now() < end => {
                std::thread::sleep(RETRY_DELAY);
            }
            built => return built,
        }
    }
}

async fn handled(kind: SignalKind) -> Result<Signal, String> {
    retry_transient(START_PATIENCE, async || signal(kind)).await.map_err(|e| e.to_string())
}

/// The configuration at the start: a file that is there and can't be read for the moment is read again.
async fn first_configuration(path: &Path) -> Result<Config, LoadError> {
    let end = Instant::now() + START_PATIENCE;
    loop {
        match Config::load(path) {
            Err(LoadError::Unreadable(error))
                if ErrorClass::of(&error).is_retryable() && Instant::now() < end =>
            {
                sleep(RETRY_DELAY).await;
            }
            loaded => return loaded,
        }
    }
}

/// New configurations, as SIGHUP announces them. The signal is not sent again, so what can't be read is tried again.
struct Reloads<'a> {
    hangup: Signal,
    path: &'a Path,
    /// Until when the file is read again; `None`: the last one was read, or given up.
    retry_until: Option<Instant>,
}

impl Reloads<'_> {
    /// The next one, or why the file can't be used, once for each signal; `None`: none will come.
    async fn next(&mut self) -> Option<Result<Config, LoadError>> {
        loop {
            let announced = tokio::select! {
                announced = self.hangup.recv() => Some(announced?),
                () = sleep(RELOAD_PAUSE), if self.retry_until.is_some() => None,
            };
            if announced.is_some() {
                self.retry_until = Some(Instant::now() + RELOAD_PATIENCE);
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

/// Where operators call: the environment is this process's own, while the file may be another's as well.
fn admin(config: &Config) -> Result<Option<SocketAddr>, String> {
    match std::env::var("ROUTER_ADMIN") {
        Ok(address) => address.parse().map(Some).map_err(|e| format!("ROUTER_ADMIN: {e}")),
        Err(_) => Ok(config.admin),
    }
}
