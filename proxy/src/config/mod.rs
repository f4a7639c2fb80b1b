//! The proxy's configuration: the file that `ROUTER_CONFIG` names, checked, and the budget of file
//! descriptors that follows from it.

mod error;
mod message;

pub use error::{ConfigError, LoadError};

use crate::config::message::{address, ConfigMessage};
use crate::discovery::{EndpointList, WatchTimeouts};
use balancer::{DiscoveryMode, Settings};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Most connections of operators at once.
pub const MAX_OPERATOR_CONNECTIONS: usize = 12;

/// File descriptors for all but connections of clients and endpoints. 13 are open at rest: standard
/// streams 3, the event queue 3, signals 3, the runtime 1, listeners 2, the lock file 1. Up to 4
/// come and go: the watch and the one before it, the configuration while it is read, and an
/// operator's connection for which another one is closed. Connections of clients and endpoints
/// never exceed their own: one is closed before another is accepted or opened. While two processes
/// run, each has half of all descriptors, and reserves as many of them.
const RESERVED_DESCRIPTORS: usize = 20 + MAX_OPERATOR_CONNECTIONS;
/// Connections that a process may have however few descriptors are left.
const MIN_CONNECTIONS: usize = 10;
/// Buffered bodies get one part of so many of the memory: two processes may share it for a while.
const BODY_MEMORY_DIVISOR: usize = 4;

/// The configuration, checked.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// Where operators connect, if anywhere.
    pub admin: Option<SocketAddr>,
    /// Seed of the balancer's random numbers; new with each start.
    pub seed: u64,
    /// Most file descriptors that the program's processes may have open together.
    pub max_descriptors: usize,
    /// Bytes that buffered bodies may take together.
    pub body_memory_bytes: usize,
    /// Number of processes that share the descriptors.
    pub process_count: usize,
    /// The endpoint list as this proxy last had it, possibly outdated.
    pub cached_list: Option<EndpointList>,
    /// The balancer's settings.
    pub settings: Settings,
    /// Names of the classes, in the order of the settings.
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of the settings.
    pub tenants: Vec<String>,
    /// Within which time a connection to an endpoint must be established.
    pub connect_timeout: Duration,
    /// After which time endpoints close an idle connection.
    pub connection_idle_timeout: Duration,
    /// How long an attempt may still start at an endpoint after the proxy was notified that it is
    /// draining or removed.
    pub drain_grace: Duration,
}

/// What a running proxy adopts of a new configuration.
#[derive(Clone, Debug)]
pub struct Reloaded {
    /// The configuration from now on.
    pub config: Config,
    /// The new configuration differs besides in what is only read at the start.
    pub needs_restart: bool,
}

impl Config {
    /// Reads and checks a configuration file.
    ///
    /// # Errors
    /// The file cannot be read, or its content is not a valid configuration.
    pub fn load(path: &Path) -> Result<Config, LoadError> {
        match std::fs::read_to_string(path) {
            Ok(text) => Config::parse(&text).map_err(|error| LoadError::Invalid {
                path: path.to_owned(),
                error,
            }),
            Err(error) => Err(LoadError::Unreadable {
                path: path.to_owned(),
                error,
            }),
        }
    }

    /// Parses and checks a configuration.
    ///
    /// # Errors
    /// The text is not JSON, or a key is missing, of the wrong type or out of range.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        let message = ConfigMessage::parse(text)?;
        let listen = address("listen", &message.listen)?;
        let discovery = address("discovery", &message.discovery)?;
        let admin = message
            .admin
            .as_deref()
            .map(|admin| address("admin", admin))
            .transpose()?;
        let seed = message.seed()?;
        let site = balancer_settings::read(&message.settings)?;
        balancer_settings::validate(&site.settings)?;
        let connections = message.connection_settings()?;
        message.limits.check(2 * RESERVED_DESCRIPTORS)?;
        let memory_bytes = message.limits.memory_mb.saturating_mul(1 << 20);
        Ok(Config {
            listen,
            discovery,
            admin,
            seed,
            max_descriptors: message.limits.max_descriptors,
            body_memory_bytes: memory_bytes / BODY_MEMORY_DIVISOR,
            process_count: 1,
            cached_list: message.cached_list,
            settings: site.settings,
            classes: site.class_names,
            tenants: site.tenant_names,
            connect_timeout: connections.limits.connect_timeout()?,
            connection_idle_timeout: connections.limits.connection_idle_timeout()?,
            drain_grace: connections.invariants.drain_grace(),
        })
    }

    /// What a running proxy adopts of a new configuration; the rest is fixed at its start.
    pub fn reloaded(&self, new: Config) -> Reloaded {
        let needs_restart = self.listen != new.listen
            || self.settings != new.settings
            || self.classes != new.classes
            || self.tenants != new.tenants;
        let config = Config {
            discovery: new.discovery,
            max_descriptors: new.max_descriptors,
            connect_timeout: new.connect_timeout,
            connection_idle_timeout: new.connection_idle_timeout,
            ..self.clone()
        };
        Reloaded {
            config,
            needs_restart,
        }
    }

    /// File descriptors of this process.
    fn process_descriptors(&self) -> usize {
        self.max_descriptors / self.process_count
    }

    /// Most connections of this process to clients and endpoints.
    fn max_connections(&self) -> usize {
        self.process_descriptors()
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(MIN_CONNECTIONS)
    }

    /// Most connections to endpoints: clients have a third of the descriptors at most for requests,
    /// and each request has one connection to an endpoint.
    pub fn max_endpoint_connections(&self) -> usize {
        self.max_connections() * 2 / 5
    }

    /// Most connections to clients: the rest, as some clients connect and send nothing.
    pub fn max_client_connections(&self) -> usize {
        self.max_connections() - self.max_endpoint_connections()
    }

    /// Number of connections to clients beyond which idle ones are closed early: half of what
    /// clients have at most for requests.
    pub fn busy_client_connections(&self) -> usize {
        self.process_descriptors() / 6
    }

    /// Timeouts of a watch of the endpoint list.
    pub fn watch_timeouts(&self) -> WatchTimeouts {
        match self.settings.discovery.mode {
            DiscoveryMode::Poll => WatchTimeouts::for_polling(),
            DiscoveryMode::Push => WatchTimeouts::for_push(self.drain_grace),
        }
    }

    /// The longest deadline of any class.
    pub fn max_deadline(&self) -> Duration {
        let deadlines = self.settings.classes.iter().map(|class| class.deadline);
        Duration::from_micros(deadlines.max().unwrap_or(0))
    }
}
