//! A real proxy process: its configuration, its memory, and its share of a core.

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::{json, Value};
use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Time within which a started process must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Period in which a process with a share of a core runs and stands still once.
const SHARE_PERIOD: Duration = Duration::from_millis(50);

/// The limits that a proxy's configuration names.
#[derive(Clone, Copy, Debug)]
pub struct ProcessLimits {
    /// `limits.memory_mb`.
    pub memory_mb: usize,
    /// `limits.sockets`.
    pub descriptors: usize,
}

/// A running proxy, which is killed when this is dropped.
#[derive(Debug)]
pub struct ProxyProcess {
    child: Child,
    /// Where its clients connect.
    pub address: SocketAddr,
    /// Where its operators connect.
    pub admin: SocketAddr,
}

/// An address of loopback that is free now.
///
/// # Errors
/// No port can be bound.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// A configuration with classes named `free`, `keyed` and `unsafe`.
pub fn configuration(
    listen: SocketAddr,
    discovery: SocketAddr,
    endpoints: &[SocketAddr],
    limits: ProcessLimits,
) -> Value {
    let class = |name: &str, idempotency: &str| {
        json!({"name": name, "objective_us": 500_000, "deadline_us": 8_000_000, "worth": 1.0,
               "idempotency": idempotency, "dedup_scope": "all", "repeat_window_us": 3_000_000})
    };
    let entries = endpoints.iter().enumerate().map(|(number, address)| {
        json!({"host": format!("s-{number:04}"), "dial": address.to_string(), "site": "a",
               "class": "m2", "block": 0, "health": "Ready", "share": 1.0, "born_ms": 0})
    });
    json!({
        "name": "n0", "listen": listen.to_string(), "discovery": discovery.to_string(),
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.descriptors},
        "known": {"seq": 41, "whole": true, "hosts": entries.collect::<Vec<_>>()},
        "settings": {
            "balancers": 1, "me": 0, "discovery": "ask", "tick_us": 1_000,
            "classes": [class("free", "free"), class("keyed", "guarded"),
                        class("unsafe", "single_shot")],
            "limits": {"cancel": true, "max_attempts": 3, "second_copies": false,
                       "max_retry_after_us": 750_000, "connect_timeout_us": 250_000,
                       "conn_idle_us": 15_000_000},
            "invariants": {"cold_from": 0.3, "cold_us": 7_500_000, "ask_every_us": 10_000_000}
        }
    })
}

/// Writes the configuration that the processes in this folder read, and returns its path.
pub(crate) fn write_configuration(folder: &Path, config: &Value) -> io::Result<PathBuf> {
    fs::create_dir_all(folder)?;
    let path = folder.join("config.json");
    fs::write(&path, config.to_string())?;
    Ok(path)
}

impl ProxyProcess {
    /// Starts the program with this configuration. `folder` gets the configuration and the log, and
    /// is the process's `TMPDIR`.
    ///
    /// # Errors
    /// The process cannot be started.
    pub fn start(program: &Path, folder: &Path, config: &Value) -> io::Result<ProxyProcess> {
        let path = write_configuration(folder, config)?;
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(folder.join("log.txt"))?;
        let address = config["listen"].as_str().and_then(|text| text.parse().ok());
        let address = address.ok_or(io::ErrorKind::InvalidInput)?;
        let admin = free_address()?;
        let child = Command::new(program)
            .env("ROUTER_CONFIG", &path)
            .env("ROUTER_ADMIN", admin.to_string())
            .env("TMPDIR", folder)
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        Ok(ProxyProcess {
            child,
            address,
            admin,
        })
    }

    /// Waits until the process accepts clients.
    ///
    /// # Errors
    /// It does not within 10 s.
    pub async fn wait_until_ready(&self) -> io::Result<()> {
        let started = Instant::now();
        while !self.is_ready().await {
            if started.elapsed() > READY_TIMEOUT {
                return Err(io::ErrorKind::TimedOut.into());
            }
            sleep(Duration::from_millis(5)).await;
        }
        Ok(())
    }

    async fn is_ready(&self) -> bool {
        let mut reply = String::new();
        if let Ok(mut stream) = TcpStream::connect(self.admin).await {
            // A process that does not answer is not ready.
            let _ = stream.write_all(b"health\n").await;
            let _ = stream.read_to_string(&mut reply).await;
        }
        reply.starts_with("SUCCESS")
    }

    /// The process's id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends the process a signal.
    pub fn signal(&self, signal: Signal) {
        // Fails only if the process has ended, which the caller sees by other means.
        let _ = kill(Pid::from_raw(self.id() as i32), signal);
    }
}

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        // Both fail only if the process has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Limits a process to a share of a core, by stopping and continuing it, until this is dropped.
#[derive(Debug)]
pub struct CoreShare {
    is_ended: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl CoreShare {
    /// Lets the process run for this fraction of the time.
    pub fn limit(process: u32, share: f64) -> CoreShare {
        let is_ended = Arc::new(AtomicBool::new(false));
        let ended = is_ended.clone();
        let thread = thread::spawn(move || {
            let process = Pid::from_raw(process as i32);
            while !ended.load(Ordering::Relaxed) {
                // Fail only if the process has ended.
                let _ = kill(process, Signal::SIGCONT);
                thread::sleep(SHARE_PERIOD.mul_f64(share));
                let _ = kill(process, Signal::SIGSTOP);
                thread::sleep(SHARE_PERIOD.mul_f64(1.0 - share));
            }
            let _ = kill(process, Signal::SIGCONT);
        });
        CoreShare {
            is_ended,
            thread: Some(thread),
        }
    }
}

impl Drop for CoreShare {
    fn drop(&mut self) {
        self.is_ended.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // The thread does not panic.
            let _ = thread.join();
        }
    }
}
