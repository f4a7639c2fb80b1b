//! What the proxy is told at start: the file that `ROUTER_CONFIG` names.

use crate::discovery::{EndpointList, WatchTimeouts};
use crate::operators::CALLERS_MOST;
use balancer::{DiscoveryMode, Settings};
use balancer_settings::SiteSettings;
use serde::Deserialize;
use serde_json::Value;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Descriptors for all but connections of clients and hosts. 13 are open at rest: standard streams 3, the event queue 3,
/// signals 3, the runtime 1, listeners 2, the lock file 1. Up to 4 come and go: the watch 1 and the one before it until its
/// task has ended 1, the configuration as it is read 1, the caller of operators for whom another is closed 1. So 3 are to
/// spare. Clients and hosts stay within their own: a place is made before a connection is accepted or opened, and its
/// descriptor is closed as the place is given up. A process that is not alone holds half of all, and as much is kept here.
const SPARE_DESCRIPTORS: usize = 20 + CALLERS_MOST;

/// The part of the memory that gathered bodies may take; two processes may share it for a while.
const BODIES_PART: usize = 4;
/// Least memory that the program runs in, and the longest times that settings can mean.
const MEMORY_LEAST_MB: usize = 8;
const TIME_MOST: Duration = Duration::from_secs(24 * 3_600);
/// Connections that a process may hold however little it has been left.
const CONNECTIONS_LEAST: usize = 10;

/// The configuration, checked.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where the application connects.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// Where operators call, if anywhere.
    pub admin: Option<SocketAddr>,
    /// For random numbers; new with each start.
    pub seed: u64,
    /// Most file descriptors that the program's processes may hold together.
    pub sockets: usize,
    /// Bytes that gathered bodies may take together.
    pub bodies: usize,
    /// How many processes share the descriptors.
    pub processes: usize,
    /// The hosts as this proxy last had them; maybe old.
    pub known: Option<EndpointList>,
    /// What the decision module is told.
    pub settings: Settings,
    /// Names of the classes, in the order of the settings.
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of the settings.
    pub tenants: Vec<String>,
    /// When a connection must be up.
    pub connect_timeout: Duration,
    /// How long hosts keep an idle connection.
    pub conn_idle: Duration,
    /// How long something new may still be sent to a host after it was told to be draining or gone.
    pub drain_grace: Duration,
}

/// Why a configuration could not be had from its file.
#[derive(Debug)]
pub enum LoadError {
    /// The file could not be read.
    Unreadable(io::Error),
    /// What it holds can't be meant.
    Invalid(String),
}

impl fmt::Display for LoadError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LoadError::Unreadable(error) => error.fmt(formatter),
            LoadError::Invalid(reason) => reason.replace('\n', " ").fmt(formatter),
        }
    }
}

#[derive(Deserialize)]
struct File {
    listen: SocketAddr,
    discovery: SocketAddr,
    #[serde(default)]
    admin: Option<SocketAddr>,
    seed: String,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: Option<EndpointList>,
    settings: Value,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
    memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1_024, memory_mb: 64 }
    }
}

/// The part of the settings that is about connections; the rest is the decision module's.
#[derive(Deserialize)]
struct Site {
    #[serde(default)]
    limits: Connections,
    #[serde(default)]
    invariants: Drains,
}

#[derive(Deserialize)]
#[serde(default)]
struct Drains {
    drain_grace_us: u64,
}

impl Default for Drains {
    fn default() -> Self {
        Drains { drain_grace_us: 400_000 }
    }
}

#[derive(Deserialize)]
#[serde(default)]
struct Connections {
    connect_timeout_us: u64,
    conn_idle_us: u64,
}

impl Default for Connections {
    fn default() -> Self {
        Connections { connect_timeout_us: 250_000, conn_idle_us: 15_000_000 }
    }
}

impl Config {
    /// Reads a configuration file.
    pub fn load(path: &Path) -> Result<Config, LoadError> {
        let text = std::fs::read_to_string(path).map_err(LoadError::Unreadable)?;
        Config::parse(&text).map_err(LoadError::Invalid)
    }

    /// Reads a configuration's text.
    pub fn parse(text: &str) -> Result<Config, String> {
        let file: File = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let seed = u64::from_str_radix(&file.seed, 16).map_err(|e| format!("seed: {e}"))?;
        let SiteSettings { settings, class_names, tenant_names } =
            balancer_settings::read(&file.settings).map_err(|e| format!("settings: {e}"))?;
        balancer_settings::validate(&settings).map_err(|e| format!("settings: {e}"))?;
        let site = Site::deserialize(&file.settings).map_err(|e| format!("settings: {e}"))?;
        if file.limits.sockets < 2 * SPARE_DESCRIPTORS {
            return Err(format!("limits: {} sockets are too few", file.limits.sockets));
        }
        if file.limits.memory_mb < MEMORY_LEAST_MB {
            return Err(format!("limits: {} MB are too little", file.limits.memory_mb));
        }
        let Connections { connect_timeout_us, conn_idle_us } = site.limits;
        // Connections may well be meant not to be kept at all.
        for (name, us, least) in
            [("connect_timeout_us", connect_timeout_us, 1), ("conn_idle_us", conn_idle_us, 0)]
        {
            if us < least || Duration::from_micros(us) > TIME_MOST {
                return Err(format!("settings: {name} of {us} us cannot be meant"));
            }
        }
        Ok(Config {
            listen: file.listen,
            discovery: file.discovery,
            admin: file.admin,
            seed,
            sockets: file.limits.sockets,
            bodies: file.limits.memory_mb.saturating_mul(1 << 20) / BODIES_PART,
            processes: 1,
            known: file.known,
            settings,
            classes: class_names,
            tenants: tenant_names,
            connect_timeout: Duration::from_micros(connect_timeout_us),
            conn_idle: Duration::from_micros(conn_idle_us),
            drain_grace: Duration::from_micros(site.invariants.drain_grace_us),
        })
    }

    /// What a running proxy takes over from a new configuration. The rest is for its whole life; whether the two
    /// differ there comes back too.
    pub fn renewed(&self, new: Config) -> (Config, bool) {
        let Config { discovery, sockets, connect_timeout, conn_idle, .. } = new;
        let old = (self.listen, &self.settings, &self.classes, &self.tenants);
        let differs = old != (new.listen, &new.settings, &new.classes, &new.tenants);
        (Config { discovery, sockets, connect_timeout, conn_idle, ..self.clone() }, differs)
    }

    /// Descriptors of this process for connections to clients and hosts.
    fn connections(&self) -> usize {
        (self.sockets / self.processes).saturating_sub(SPARE_DESCRIPTORS).max(CONNECTIONS_LEAST)
    }

    /// Most connections to hosts: clients hold a third of the descriptors at most for requests, and each request
    /// has one connection to a host.
    pub fn connections_to_hosts(&self) -> usize {
        self.connections() * 2 / 5
    }

    /// Most connections to clients: the rest, as some clients connect and ask for nothing.
    pub fn connections_to_clients(&self) -> usize {
        self.connections() - self.connections_to_hosts()
    }

    /// Connections to clients beyond which idle ones are dear: half of what clients hold at most for requests.
    pub fn crowded_from(&self) -> usize {
        self.sockets / self.processes / 6
    }

    /// How long a watch of the list is waited for.
    pub fn watch_patience(&self) -> WatchTimeouts {
        match self.settings.discovery.mode {
            DiscoveryMode::Poll => WatchTimeouts::for_polling(),
            DiscoveryMode::Push => WatchTimeouts::for_push(self.drain_grace),
        }
    }

    /// How long requests that were taken before the order to stop are given at the most.
    pub fn longest_deadline(&self) -> Duration {
        Duration::from_micros(self.settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0))
    }
}
