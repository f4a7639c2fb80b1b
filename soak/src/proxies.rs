//! The proxies: real processes, what they are started with, and the signals that they get.

use crate::discovery::{start_agent, Mode};
use crate::world::World;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use rand::Rng;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::sleep;

/// Descriptors that a proxy may hold, and its memory.
const SOCKETS: usize = 160;
const MEMORY_MB: usize = 64;
/// A restarted proxy is ready within this time.
const READY_MOST: Duration = Duration::from_secs(10);
/// SIGKILL comes so long after SIGTERM: the longest deadline, taken as 3 s at the most, and 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(2_000 + 700);
/// New connections come for so long after SIGTERM.
const CONNECT_AFTER: Duration = Duration::from_millis(300);
/// What is lost in the last of a process is not its fault if it came later than this after SIGTERM.
const HELD_FOR: Duration = Duration::from_secs(4);

/// What runs it.
#[derive(Clone, Debug)]
pub struct Program {
    /// The program.
    pub path: PathBuf,
    /// The library that lets system calls fail.
    pub faults: Option<PathBuf>,
    /// For configurations and logs.
    pub folder: PathBuf,
}

/// A proxy, over all its processes.
#[derive(Debug)]
pub struct Proxy {
    /// Its number.
    pub number: usize,
    /// Where its clients connect.
    pub address: SocketAddr,
    world: World,
    program: Program,
    schedule: serde_json::Value,
    child: RefCell<Option<Child>>,
    /// The process before, while it ends beside the present one.
    old: RefCell<Option<Child>>,
    /// How many processes there have been, and which of them were ended by force.
    processes: Cell<u64>,
    killed: RefCell<Vec<u64>>,
    /// It takes new connections.
    takes_clients: Cell<bool>,
    held: RefCell<Vec<Instant>>,
    mode: watch::Sender<Mode>,
    agent: RefCell<(SocketAddr, AbortHandle)>,
    busy: Cell<bool>,
}

impl Proxy {
    /// A proxy that does not run yet.
    pub async fn new(
        world: &World,
        program: &Program,
        number: usize,
        schedule: serde_json::Value,
    ) -> Rc<Proxy> {
        // The port is free, and nobody else is given it while this program runs: the address is this run's own.
        let id = std::process::id();
        let ip = [127, 10 + (id % 200) as u8, (id / 200 % 250) as u8, 1 + number as u8];
        let (mode, modes) = watch::channel(Mode::Up);
        let agent = start_agent(world, number, modes).await;
        Rc::new(Proxy {
            number,
            address: SocketAddr::from((ip, 3_000)),
            world: world.clone(),
            program: program.clone(),
            schedule,
            child: RefCell::default(),
            old: RefCell::default(),
            processes: Cell::new(0),
            killed: RefCell::default(),
            takes_clients: Cell::new(false),
            held: RefCell::default(),
            mode,
            agent: RefCell::new(agent),
            busy: Cell::new(false),
        })
    }

    /// Claims it for a trouble that no other may overlap.
    pub fn claim(&self) -> bool {
        !self.busy.replace(true)
    }

    /// Gives it back.
    pub fn release(&self) {
        self.busy.set(false);
    }

    /// Whether clients may open new connections.
    pub fn takes_clients(&self) -> bool {
        self.takes_clients.get()
    }

    /// The number of its present process.
    pub fn process(&self) -> u64 {
        self.processes.get()
    }

    /// Whether that process was ended by force, or a later one runs by now.
    pub fn was_killed(&self, process: u64) -> bool {
        self.killed.borrow().contains(&process)
    }

    /// Whether it was held up or told to end since then.
    pub fn was_held(&self, since: Instant) -> bool {
        self.held.borrow().iter().any(|at| *at + HELD_FOR >= since)
    }

    fn folder(&self) -> PathBuf {
        self.program.folder.join(format!("proxy-{}", self.number))
    }

    fn configuration(&self) -> serde_json::Value {
        let settings = self.world.settings();
        let class = |name: &str, kind: &str, deadline: u64| {
            json!({"name": name, "objective_us": 400_000, "deadline_us": deadline, "worth": 1.0,
                "idempotency": kind, "dedup_scope": "zone", "repeat_window_us": settings.window.as_micros() as u64})
        };
        let known = self.world.list(|list| list.object());
        json!({
            "name": format!("n{}", self.number),
            "listen": self.address.to_string(),
            "discovery": self.agent.borrow().0.to_string(),
            "seed": format!("{:016x}", self.world.draw(|r| r.gen::<u64>())),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
            "known": known,
            "settings": {
                "balancers": settings.proxies, "me": self.number, "tick_us": 1_000,
                "discovery": if settings.pushed { "push" } else { "ask" },
                "azs": ["a", "b"], "locality": if self.number.is_multiple_of(2) { "a" } else { "b" },
                "classes": [class("free", "free", 1_500_000), class("keyed", "guarded", 2_000_000),
                    class("unsafe", "single_shot", 1_200_000)],
                "tenants": [{"name": "a", "portion": 1.0, "quota_per_s": 1_000.0}],
                "limits": {"cancel": true, "max_attempts": 3, "second_copies": settings.second_copies,
                    "max_retry_after_us": 750_000, "connect_timeout_us": 250_000,
                    "conn_idle_us": settings.server_idle.as_micros() as u64},
                "invariants": {"cold_from": settings.cold_from, "cold_us": settings.cold_time.as_micros() as u64,
                    "fall_multiple": settings.fall_multiple, "tip_after_us": settings.tip_after.as_micros() as u64,
                    "drain_grace_us": settings.drain_grace.as_micros() as u64, "ask_every_us": 10_000_000},
            },
        })
    }

    fn write_configuration(&self) -> PathBuf {
        let path = self.folder().join("config.json");
        let written = fs::create_dir_all(self.folder())
            .and_then(|()| fs::write(&path, self.configuration().to_string()));
        written.expect("a configuration is written");
        path
    }

    /// Starts a process of it.
    fn spawn(&self, admin: Option<SocketAddr>) -> Child {
        let path = self.write_configuration();
        let log = File::options().create(true).append(true).open(self.folder().join("log.txt"));
        let mut command = Command::new(&self.program.path);
        if let Some(admin) = admin {
            command.env("ROUTER_ADMIN", admin.to_string());
        }
        command
            .env("ROUTER_CONFIG", path)
            .env("TMPDIR", self.folder())
            .env("ROUTER_TRACE", "1")
            .stdout(Stdio::null());
        command.stderr(log.expect("a log"));
        if let Some(faults) = &self.program.faults {
            command.env("LD_PRELOAD", faults).env("SYSCALL_FAULTS", self.schedule.to_string());
        }
        command.spawn().expect("the program starts")
    }

    /// Starts it and waits until it is ready.
    pub async fn start(&self) {
        let started = Instant::now();
        self.world.telling(self.number, |telling| telling.started = Some(started));
        self.processes.set(self.processes.get() + 1);
        *self.child.borrow_mut() = Some(self.spawn(None));
        while !self.is_ready().await {
            if self.has_ended() {
                return self.world.broken("crash", format!("proxy {} ended at its start", self.number));
            }
            if started.elapsed() > READY_MOST {
                self.world.broken("ready", format!("proxy {} was not ready within 10 s", self.number));
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
        self.takes_clients.set(true);
        self.note(&format!("ready, process {}", self.processes.get()));
    }

    async fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect(self.address).await else { return false };
        let mut reader = crate::http::Reader::new(stream);
        let asked =
            tokio::io::AsyncWriteExt::write_all(&mut reader.stream, b"GET /_health HTTP/1.1\r\n\r\n").await;
        asked.is_ok() && reader.message().await.is_ok_and(|answer| answer.status == 200)
    }

    fn signal(&self, signal: Signal) {
        if let Some(child) = self.child.borrow().as_ref() {
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Whether its process has ended by itself.
    pub fn has_ended(&self) -> bool {
        self.child.borrow_mut().as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    fn note(&self, what: &str) {
        self.world.note(format!("proxy {}: {what}", self.number));
    }

    /// Ends it by force.
    pub fn kill(&self) {
        self.note("killed");
        self.takes_clients.set(false);
        self.killed.borrow_mut().push(self.processes.get());
        if let Some(mut child) = self.child.borrow_mut().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Tells it to end, and ends it by force when its time is up.
    pub async fn stop(&self) {
        let told = Instant::now();
        self.held.borrow_mut().push(told);
        self.note("SIGTERM");
        self.signal(Signal::SIGTERM);
        sleep(CONNECT_AFTER).await;
        self.takes_clients.set(false);
        while !self.has_ended() && told.elapsed() < KILL_AFTER {
            sleep(Duration::from_millis(20)).await;
        }
        let status = self.child.borrow_mut().as_mut().and_then(|child| child.try_wait().ok().flatten());
        match status {
            Some(status) if !status.success() => {
                self.world
                    .broken("crash", format!("proxy {} ended with {status} after SIGTERM", self.number));
            }
            _ => {}
        }
        self.kill();
    }

    /// Starts a new process beside it, which takes over when it says that it takes clients.
    pub async fn upgrade(&self) {
        if !self.takes_clients() {
            return;
        }
        let begun = Instant::now();
        let port = 4_000 + self.processes.get() as u16;
        let admin = SocketAddr::new(self.address.ip(), port);
        let new = self.spawn(Some(admin));
        self.note("a new process beside it");
        while !takes_clients(admin).await {
            if begun.elapsed() > READY_MOST {
                self.world.broken("ready", format!("proxy {}: a new process says no for 10 s", self.number));
                break;
            }
            sleep(Duration::from_millis(20)).await;
        }
        // News of discovery binds from 2 s after the yes.
        let binds = Instant::now() + Duration::from_secs(2);
        self.world.telling(self.number, |telling| telling.started = Some(binds));
        let told = Instant::now();
        self.held.borrow_mut().push(told);
        self.signal(Signal::SIGTERM);
        self.note("SIGTERM to the old process");
        let old = self.child.borrow_mut().replace(new);
        *self.old.borrow_mut() = old;
        let before = self.processes.get();
        self.processes.set(before + 1);
        sleep(KILL_AFTER).await;
        self.killed.borrow_mut().push(before);
        if let Some(mut old) = self.old.borrow_mut().take() {
            if let Ok(Some(status)) = old.try_wait() {
                if !status.success() {
                    self.world.broken("crash", format!("proxy {} ended with {status}", self.number));
                }
            }
            let _ = old.kill();
            let _ = old.wait();
        }
    }

    /// Holds it up.
    pub async fn hold(&self, time: Duration) {
        self.held.borrow_mut().push(Instant::now());
        self.note("SIGSTOP");
        self.signal(Signal::SIGSTOP);
        sleep(time).await;
        self.signal(Signal::SIGCONT);
    }

    /// Gives it a new agent: the old one closes 1.5 s after the signal.
    pub async fn reload(&self) {
        let old = self.agent.borrow().1.clone();
        let agent = start_agent(&self.world, self.number, self.mode.subscribe()).await;
        *self.agent.borrow_mut() = agent;
        self.write_configuration();
        self.world.telling(self.number, |telling| telling.reload());
        self.note("SIGHUP");
        self.signal(Signal::SIGHUP);
        sleep(Duration::from_millis(1_500)).await;
        old.abort();
    }

    /// Its agent goes away, or comes back.
    pub fn agent(&self, mode: Mode) {
        self.world.telling(self.number, |telling| telling.outage(mode != Mode::Up));
        let _ = self.mode.send(mode);
    }

    /// Looks whether it has ended by itself or is over its limits.
    pub fn look(&self) {
        if !self.takes_clients() {
            return;
        }
        if self.has_ended() {
            self.world.broken("crash", format!("proxy {} has ended by itself", self.number));
            self.takes_clients.set(false);
            return;
        }
        let Some(id) = self.child.borrow().as_ref().map(Child::id) else { return };
        let ids = [Some(id), self.old.borrow().as_ref().map(Child::id)];
        // Both together are within the limits, but for the moment in which the first hears of the second.
        let files = |id| fs::read_dir(format!("/proc/{id}/fd")).map_or(0, |files| files.count());
        let open: usize = ids.into_iter().flatten().map(files).sum();
        if open > SOCKETS {
            self.world
                .broken("limit", format!("proxy {} holds {open} descriptors of {SOCKETS}", self.number));
        }
        let memory = memory_kb(id);
        if memory > MEMORY_MB * 1_024 {
            self.world.broken("limit", format!("proxy {} takes {memory} kB", self.number));
        }
    }

    /// What it said of itself that needs a look.
    pub fn complaints(&self) -> Vec<String> {
        let log = fs::read_to_string(self.folder().join("log.txt")).unwrap_or_default();
        let bad = |line: &&str| line.contains("panicked") || line.contains("invariant violated");
        log.lines().filter(bad).map(|line| format!("proxy {}: {line}", self.number)).collect()
    }
}

/// Whether the process that answers operators here takes clients.
async fn takes_clients(admin: SocketAddr) -> bool {
    let mut answer = String::new();
    if let Ok(mut stream) = TcpStream::connect(admin).await {
        let _ = tokio::io::AsyncWriteExt::write_all(&mut stream, b"health\n").await;
        let _ = tokio::io::AsyncReadExt::read_to_string(&mut stream, &mut answer).await;
    }
    answer.starts_with("SUCCESS")
}

impl Drop for Proxy {
    fn drop(&mut self) {
        if let Some(mut old) = self.old.borrow_mut().take() {
            let _ = old.kill();
            let _ = old.wait();
        }
        self.kill();
    }
}

fn memory_kb(process: u32) -> usize {
    let status = fs::read_to_string(Path::new("/proc").join(process.to_string()).join("status"));
    let line = status.unwrap_or_default();
    let line = line.lines().find(|line| line.starts_with("VmRSS:")).map(str::to_owned);
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}
