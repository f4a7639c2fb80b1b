//! A proxy across the processes that run it one after the other: starts and ends them and sends
//! them signals.

use super::configuration::proxy_configuration;
use crate::agent::{start_agent, Agent, AgentMode};
use crate::error::SetupError;
use crate::http::Reader;
use crate::ledger::Rule;
use crate::shared_state::SharedState;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::cell::{Cell, RefCell};
use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;

/// Port on which all proxies listen, each at its own address.
const LISTEN_PORT: u16 = 3_000;
/// Time within which a started proxy must be ready.
pub(super) const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// How long clients still open connections after SIGTERM.
const ACCEPT_AFTER_SIGTERM: Duration = Duration::from_millis(300);
/// How long the old agent continues after SIGHUP.
const OLD_AGENT_DELAY: Duration = Duration::from_millis(1_500);
/// Time after a pause, a SIGTERM or a handoff in which a missing response to an invalid request is
/// no violation.
const DISTURBANCE_DURATION: Duration = Duration::from_secs(4);
/// Interval at which the state of a process is polled.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The program that the proxies run, with the paths that its processes need.
#[derive(Clone, Debug)]
pub(crate) struct Program {
    /// Path of the executable.
    pub(crate) path: PathBuf,
    /// Path of the preloaded library that makes system calls fail, if they are to fail.
    pub(crate) faults: Option<PathBuf>,
    /// Folder for configurations and logs.
    pub(crate) folder: PathBuf,
}

/// A proxy, which is run by one process after the other.
#[derive(Debug)]
pub(crate) struct Proxy {
    /// Number of the proxy.
    pub(crate) number: usize,
    /// Address to which its clients connect.
    pub(crate) address: SocketAddr,
    pub(super) shared: SharedState,
    program: Program,
    syscall_schedule: serde_json::Value,
    pub(super) child: RefCell<Option<Child>>,
    /// The previous process, while it shuts down beside the present one after a handoff.
    pub(super) previous: RefCell<Option<Child>>,
    /// Number of processes started so far, which is also the number of the present one.
    pub(super) process_count: Cell<u64>,
    /// Numbers of the processes that may have ended with requests in flight.
    pub(super) ended_processes: RefCell<Vec<u64>>,
    pub(super) accepts_connections: Cell<bool>,
    /// Times of pauses, SIGTERM and handoffs.
    pub(super) disturbances: RefCell<Vec<Instant>>,
    agent_mode: watch::Sender<AgentMode>,
    agent: RefCell<Agent>,
    reserved: Cell<bool>,
}

impl Proxy {
    /// Creates a proxy, which does not run yet, and starts its agent.
    pub(crate) async fn new(
        shared: &SharedState,
        program: &Program,
        number: usize,
        syscall_schedule: serde_json::Value,
    ) -> Result<Rc<Proxy>, SetupError> {
        // If the system chose the port, another program could get it between two processes of the
        // proxy. Instead the address is derived from this program's process id, so that parallel
        // runs do not share addresses.
        let program_id = std::process::id();
        let ip = [
            127,
            10 + (program_id % 200) as u8,
            (program_id / 200 % 250) as u8,
            1 + number as u8,
        ];
        let (agent_mode, modes) = watch::channel(AgentMode::Responding);
        let agent = start_agent(shared, number, modes).await?;
        Ok(Rc::new(Proxy {
            number,
            address: SocketAddr::from((ip, LISTEN_PORT)),
            shared: shared.clone(),
            program: program.clone(),
            syscall_schedule,
            child: RefCell::default(),
            previous: RefCell::default(),
            process_count: Cell::new(0),
            ended_processes: RefCell::default(),
            accepts_connections: Cell::new(false),
            disturbances: RefCell::default(),
            agent_mode,
            agent: RefCell::new(agent),
            reserved: Cell::new(false),
        }))
    }

    /// Reserves the proxy for a fault that must not overlap others on it. Returns `false` if it is
    /// reserved already.
    pub(crate) fn reserve(&self) -> bool {
        !self.reserved.replace(true)
    }

    /// Ends the reservation.
    pub(crate) fn release(&self) {
        self.reserved.set(false);
    }

    /// Whether clients may open new connections.
    pub(crate) fn accepts_connections(&self) -> bool {
        self.accepts_connections.get()
    }

    /// Returns the number of its present process.
    pub(crate) fn process_number(&self) -> u64 {
        self.process_count.get()
    }

    /// Whether this process may have ended with requests in flight: it was killed, or its time for
    /// a graceful shutdown is over.
    pub(crate) fn may_have_dropped_requests(&self, process: u64) -> bool {
        self.ended_processes.borrow().contains(&process)
    }

    /// Whether a pause, SIGTERM or handoff may have delayed a client that connected at `since`.
    pub(crate) fn was_disturbed(&self, since: Instant) -> bool {
        self.disturbances
            .borrow()
            .iter()
            .any(|at| *at + DISTURBANCE_DURATION >= since)
    }

    fn folder(&self) -> PathBuf {
        self.program.folder.join(format!("proxy-{}", self.number))
    }

    pub(super) fn log_path(&self) -> PathBuf {
        self.folder().join("log.txt")
    }

    fn write_configuration(&self) -> Result<PathBuf, SetupError> {
        let discovery = self.agent.borrow().address;
        let configuration = proxy_configuration(&self.shared, self.number, self.address, discovery);
        let path = self.folder().join("config.json");
        fs::create_dir_all(self.folder())
            .and_then(|()| fs::write(&path, configuration.to_string()))
            .map_err(|source| SetupError::Write {
                path: path.clone(),
                source,
            })?;
        Ok(path)
    }

    /// Starts a process. It has an admin interface only if `admin_address` is given.
    pub(super) fn spawn(&self, admin_address: Option<SocketAddr>) -> Result<Child, SetupError> {
        let configuration = self.write_configuration()?;
        let path = self.log_path();
        let log = File::options().create(true).append(true).open(&path);
        let log = log.map_err(|source| SetupError::Write { path, source })?;
        let mut command = Command::new(&self.program.path);
        command
            .env("ROUTER_CONFIG", configuration)
            .env("TMPDIR", self.folder())
            .env("ROUTER_TRACE", "1")
            .stdout(Stdio::null())
            .stderr(log);
        if let Some(admin_address) = admin_address {
            command.env("ROUTER_ADMIN", admin_address.to_string());
        }
        if let Some(faults) = &self.program.faults {
            command
                .env("LD_PRELOAD", faults)
                .env("SYSCALL_FAULTS", self.syscall_schedule.to_string());
        }
        let path = &self.program.path;
        command.spawn().map_err(|source| SetupError::Spawn {
            path: path.clone(),
            source,
        })
    }

    /// Starts a process and waits until it is ready; records a violation if it is not in time.
    pub(crate) async fn start(&self) -> Result<(), SetupError> {
        let started = Instant::now();
        self.shared
            .with_notifications(self.number, |notifications| {
                notifications.record_process_start(started);
            });
        self.process_count.set(self.process_count.get() + 1);
        let child = self.spawn(None)?;
        *self.child.borrow_mut() = Some(child);
        while !self.is_ready().await {
            if self.has_ended() {
                self.record_violation(
                    Rule::Crash,
                    &format!("ended with {} before it was ready", self.exit_status_text()),
                );
                return Ok(());
            }
            if started.elapsed() > READY_TIMEOUT {
                self.record_violation(
                    Rule::Readiness,
                    &format!("was not ready within {READY_TIMEOUT:?}"),
                );
                return Ok(());
            }
            sleep(POLL_INTERVAL).await;
        }
        self.accepts_connections.set(true);
        self.log_process_event("is ready");
        Ok(())
    }

    async fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect(self.address).await else {
            return false;
        };
        let mut reader = Reader::new(stream);
        let written = reader
            .stream
            .write_all(b"GET /_health HTTP/1.1\r\n\r\n")
            .await;
        written.is_ok()
            && reader
                .read_message()
                .await
                .is_ok_and(|reply| reply.status == Some(200))
    }

    pub(super) fn signal(&self, signal: Signal) {
        if let Some(child) = self.child.borrow().as_ref() {
            // This fails only for a process that has already ended.
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Sends its process SIGHUP with an unchanged configuration.
    pub(crate) fn signal_hangup(&self) {
        self.log_process_event("is sent SIGHUP, with an unchanged configuration");
        self.signal(Signal::SIGHUP);
    }

    /// Whether its present process has ended.
    pub(super) fn has_ended(&self) -> bool {
        self.child
            .borrow_mut()
            .as_mut()
            .is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Returns the exit status of its present process; `None` if it has not ended.
    fn exit_status(&self) -> Option<ExitStatus> {
        self.child
            .borrow_mut()
            .as_mut()
            .and_then(|child| child.try_wait().ok().flatten())
    }

    /// Describes the exit status of its present process, which has ended.
    pub(super) fn exit_status_text(&self) -> String {
        self.exit_status().map_or_else(
            || "an unknown status".to_owned(),
            |status| status.to_string(),
        )
    }

    pub(super) fn log_event(&self, description: &str) {
        self.shared
            .log_event(format!("proxy {}: {description}", self.number));
    }

    /// Logs an event of its present process.
    fn log_process_event(&self, description: &str) {
        self.log_event(&format!("process {} {description}", self.process_number()));
    }

    pub(super) fn record_violation(&self, rule: Rule, description: &str) {
        self.shared
            .record_violation(rule, format!("proxy {} {description}", self.number));
    }

    /// Kills its present process.
    pub(crate) fn kill(&self) {
        self.log_process_event("is killed if it still runs");
        self.accepts_connections.set(false);
        self.ended_processes
            .borrow_mut()
            .push(self.process_number());
        if let Some(mut child) = self.child.borrow_mut().take() {
            kill_child(&mut child);
        }
    }

    /// Shuts its process down by SIGTERM, and kills the process if it does not end in time.
    pub(crate) async fn shut_down(&self) {
        let started = Instant::now();
        self.disturbances.borrow_mut().push(started);
        self.log_process_event("is sent SIGTERM");
        self.signal(Signal::SIGTERM);
        sleep(ACCEPT_AFTER_SIGTERM).await;
        self.accepts_connections.set(false);
        let timeout = self.shared.config().shutdown_timeout();
        while !self.has_ended() && started.elapsed() < timeout {
            sleep(POLL_INTERVAL).await;
        }
        if let Some(status) = self.exit_status().filter(|status| !status.success()) {
            self.record_violation(Rule::Crash, &format!("ended with {status} after SIGTERM"));
        }
        self.kill();
    }

    /// Pauses its process by SIGSTOP and SIGCONT.
    pub(crate) async fn pause(&self, duration: Duration) {
        self.disturbances.borrow_mut().push(Instant::now());
        self.log_process_event("is sent SIGSTOP");
        self.signal(Signal::SIGSTOP);
        sleep(duration).await;
        self.signal(Signal::SIGCONT);
    }

    /// Reloads its configuration by SIGHUP, with a new agent in it. The old agent ends later.
    pub(crate) async fn reload(&self) -> Result<(), SetupError> {
        let agent = start_agent(&self.shared, self.number, self.agent_mode.subscribe()).await?;
        let old = self.agent.replace(agent);
        self.write_configuration()?;
        self.shared
            .with_notifications(self.number, |notifications| notifications.record_reload());
        self.log_process_event("is sent SIGHUP");
        self.signal(Signal::SIGHUP);
        sleep(OLD_AGENT_DELAY).await;
        old.task.abort();
        Ok(())
    }

    /// Sets how its agent behaves from now on.
    pub(crate) fn set_agent_mode(&self, mode: AgentMode) {
        self.shared
            .with_notifications(self.number, |notifications| {
                if mode == AgentMode::Responding {
                    notifications.record_outage_end();
                } else {
                    notifications.record_outage_start();
                }
            });
        // This fails only if the agent has already ended with the run.
        let _ = self.agent_mode.send(mode);
    }
}

/// Kills a process and waits for its end.
pub(super) fn kill_child(child: &mut Child) {
    // Both fail only for a process that has already ended.
    let _ = child.kill();
    let _ = child.wait();
}

impl Drop for Proxy {
    fn drop(&mut self) {
        if let Some(mut previous) = self.previous.borrow_mut().take() {
            kill_child(&mut previous);
        }
        self.kill();
    }
}
