//! The proxy's configuration: loads and validates the file that `ROUTER_CONFIG` names, and derives
//! the limits on connections from the configured number of file descriptors.

mod error;
mod message;

pub use error::{ConfigError, LoadError};

use crate::config::message::{parse_address, ConfigMessage};
use crate::discovery::{EndpointList, WatchTimeouts};
use crate::memory::MemoryLimits;
use crate::request_ids::ProcessUsage;
use balancer::{DiscoveryMode, Settings};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Maximum number of open operator connections.
pub const MAX_OPERATOR_CONNECTIONS: usize = 12;

/// File descriptors reserved for everything except client and endpoint connections. 16 are always
/// open: 3 standard streams, 3 for the event queue, 3 for signals, 1 for the runtime, 2 listeners,
/// the lock file and 3 files with ids of requests. Up to 4 more are open at times: the current watch
/// and the one it replaces, a file while it is read or opened again, and an operator connection that
/// was accepted before another is closed to make room for it. The operator
/// connections are reserved in addition. Client and endpoint connections never use the reserve: at
/// their limit, one is closed before another is accepted or opened. While two processes run, each
/// has half of all descriptors and reserves this many of its half.
const RESERVED_DESCRIPTORS: usize = 20 + MAX_OPERATOR_CONNECTIONS;
/// File descriptors that a process has open when it starts, before it notices others and they notice
/// it.
const SUCCESSOR_DESCRIPTORS: usize = 24;
/// Number of descriptors from which on some are left for the start of another process.
const MIN_DESCRIPTORS_FOR_SUCCESSOR: usize = 192;
/// Minimum number of client and endpoint connections of a process, however few descriptors remain.
const MIN_CONNECTIONS: usize = 10;
/// Of the connections to endpoints, so many in ten may be occupied by bodies that are streamed. A
/// slow client occupies one for as long as it takes; the others are for short requests.
const TRANSFER_TENTHS: usize = 7;

/// A validated configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address at which clients connect.
    pub listen: SocketAddr,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Address at which operators connect; `None`: the configuration file names none.
    pub admin: Option<SocketAddr>,
    /// Seed of the balancer's random number generator. The configuration file should contain a new
    /// one for each start; a reload does not apply it.
    pub seed: u64,
    /// Maximum number of file descriptors that all processes of the program may have open together.
    pub max_descriptors: usize,
    /// Maximum resident memory of all processes of the program together, in bytes.
    pub memory_bytes: usize,
    /// Number of processes that share the descriptors and the memory.
    pub process_count: usize,
    /// What the other processes use, as far as they tell.
    pub(crate) used_by_others: ProcessUsage,
    /// The endpoint list that this proxy had last, if the file contains one; it may be outdated.
    pub cached_list: Option<EndpointList>,
    /// The balancer's settings.
    pub settings: Settings,
    /// Names of the classes, in the order of the settings.
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of the settings.
    pub tenants: Vec<String>,
    /// Timeout for establishing a connection to an endpoint.
    pub connect_timeout: Duration,
    /// Time after which endpoints close an idle connection.
    pub connection_idle_timeout: Duration,
    /// How long attempts may still start at an endpoint after the proxy was notified that the
    /// endpoint is draining or removed.
    pub drain_grace: Duration,
}

/// The outcome of reloading the configuration of a running proxy.
#[derive(Clone, Debug)]
pub struct ReloadedConfig {
    /// The configuration to use from now on.
    pub config: Config,
    /// Whether the new configuration also changes the clients' address, the balancer's settings,
    /// the classes or the tenants, which take effect only at a restart. Changes of the operators'
    /// address, the seed, the memory limit, the cached list and the drain grace need a restart as
    /// well, but are not detected.
    pub needs_restart: bool,
}

impl Config {
    /// Loads and validates a configuration file.
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

    /// Parses and validates a configuration.
    ///
    /// # Errors
    /// The text is not JSON, or a key is missing, of the wrong type or out of range.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        let message = ConfigMessage::parse(text)?;
        let listen = parse_address("listen", &message.listen)?;
        let discovery = parse_address("discovery", &message.discovery)?;
        let admin = message
            .admin
            .as_deref()
            .map(|admin| parse_address("admin", admin))
            .transpose()?;
        let seed = message.parse_seed()?;
        let parsed_settings = balancer_settings::read(&message.settings)?;
        balancer_settings::validate(&parsed_settings.settings)?;
        let connections = message.parse_connection_settings()?;
        message.limits.validate(2 * RESERVED_DESCRIPTORS)?;
        let memory_bytes = message.limits.memory_mb.saturating_mul(1 << 20);
        Ok(Config {
            listen,
            discovery,
            admin,
            seed,
            max_descriptors: message.limits.max_descriptors,
            memory_bytes,
            process_count: 1,
            used_by_others: ProcessUsage::default(),
            cached_list: message.cached_list,
            settings: parsed_settings.settings,
            classes: parsed_settings.class_names,
            tenants: parsed_settings.tenant_names,
            connect_timeout: connections.limits.connect_timeout()?,
            connection_idle_timeout: connections.limits.connection_idle_timeout()?,
            drain_grace: connections.invariants.drain_grace(),
        })
    }

    /// Merges a newly loaded configuration into that of a running proxy. Only values that can
    /// change at run time are taken from the new one; the others stay as they were at the start.
    pub fn merge_reloaded(&self, new: Config) -> ReloadedConfig {
        let needs_restart = self.listen != new.listen
            || self.admin != new.admin
            || self.seed != new.seed
            || self.drain_grace != new.drain_grace
            || self.settings != new.settings
            || self.classes != new.classes
            || self.tenants != new.tenants;
        let config = Config {
            discovery: new.discovery,
            max_descriptors: new.max_descriptors,
            memory_bytes: new.memory_bytes,
            connect_timeout: new.connect_timeout,
            connection_idle_timeout: new.connection_idle_timeout,
            ..self.clone()
        };
        ReloadedConfig {
            config,
            needs_restart,
        }
    }

    /// This process's share of the file descriptors: its part, or what the others leave if that is
    /// less. A single process leaves some for the start of another one.
    fn process_descriptors(&self) -> usize {
        let used_by_others = self.used_by_others.descriptors as usize;
        match self.process_count {
            0 | 1 if self.max_descriptors >= MIN_DESCRIPTORS_FOR_SUCCESSOR => {
                self.max_descriptors - SUCCESSOR_DESCRIPTORS
            }
            count => {
                let part = self.max_descriptors / count.max(1);
                part.min(self.max_descriptors.saturating_sub(used_by_others))
            }
        }
    }

    /// Maximum number of connections of this process to clients and endpoints together.
    fn max_connections(&self) -> usize {
        self.process_descriptors()
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(MIN_CONNECTIONS)
    }

    /// Maximum number of connections to endpoints: two fifths of the connections to clients and
    /// endpoints. Clients may hold at most a third of the descriptors for their requests, and each
    /// attempt of a request uses one connection to an endpoint.
    pub fn max_endpoint_connections(&self) -> usize {
        self.max_connections() * 2 / 5
    }

    /// Maximum number of connections to clients: all that are not for endpoints, because some
    /// clients connect and send nothing.
    pub fn max_client_connections(&self) -> usize {
        self.max_connections() - self.max_endpoint_connections()
    }

    /// Maximum number of bodies that are streamed at once, in either direction.
    pub fn max_transfers(&self) -> usize {
        (self.max_endpoint_connections() * TRANSFER_TENTHS / 10).max(1)
    }

    /// The limits of this process's memory.
    pub fn memory_limits(&self) -> MemoryLimits {
        let used_by_others = self.used_by_others.memory_kb as usize * 1_024;
        MemoryLimits::new(self.memory_bytes, self.process_count, used_by_others)
    }

    /// Number of client connections above which the process is busy and closes idle connections
    /// earlier: a sixth of its descriptors, which is half of the third that clients may hold for
    /// their requests.
    pub fn busy_connection_threshold(&self) -> usize {
        self.max_descriptors / self.process_count.max(1) / 6
    }

    /// Timeouts of the endpoint list watch, which depend on the discovery mode.
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
