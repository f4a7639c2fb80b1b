//! One play: a proxy with four endpoints, a crowd, floods, and ordinary clients beside them.

use crate::behaviour::Behaviour;
use crate::endpoint::{Ledger, StandInEndpoint};
use crate::flood::{Flood, FloodKind};
use crate::large_body::{LargeBody, LargeBodyAnswer};
use crate::ordinary::OrdinaryClients;
use crate::process::{
    configuration, free_address, write_configuration, CoreShare, ProcessLimits, ProxyProcess,
};
use crate::report::Report;
use crate::resources::ResourceSampler;
use nix::sys::signal::Signal;
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Number of endpoints.
const ENDPOINTS: usize = 4;
/// Time between the starts of a crowd's clients.
const CONNECT_INTERVAL: Duration = Duration::from_micros(500);
/// Time after which a client that reconnects does so.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// How long the crowd is there before ordinary clients begin.
const HEAD_START: Duration = Duration::from_secs(1);
/// Interval between ordinary requests.
const ORDINARY_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between requests with large bodies.
const LARGE_BODY_INTERVAL: Duration = Duration::from_millis(250);
/// Time after the crowd has gone after which its memory must be free.
const MEMORY_RETURN_TIME: Duration = Duration::from_secs(2);
/// Time between SIGTERM and SIGKILL: the longest deadline of a class, 3 s where it is longer, and
/// 0.7 s more.
const KILL_DELAY: Duration = Duration::from_millis(3_000 + 700);

/// What is played.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The proxy's program.
    pub program: PathBuf,
    /// Folder for its configuration and log.
    pub folder: PathBuf,
    /// Its limits.
    pub limits: ProcessLimits,
    /// The behaviours of the crowd, in turn; empty for no crowd.
    pub behaviours: Vec<Behaviour>,
    /// Number of the crowd's clients.
    pub clients: usize,
    /// Whether a client connects again when the proxy has closed its connection.
    pub reconnects: bool,
    /// The floods, a client each.
    pub floods: Vec<FloodKind>,
    /// Requests with large bodies, one each 250 ms in turn, from the first second on.
    pub large_bodies: Vec<LargeBody>,
    /// What happens to the proxy, and how long after the start, in ascending order.
    pub disturbances: Vec<(Duration, Disturbance)>,
    /// How long crowd and floods last.
    pub hold: Duration,
    /// Share of a core that the proxy gets; 1 for a whole one.
    pub core_share: f64,
    /// The timeout of ordinary clients, in milliseconds.
    pub budget_ms: u64,
}

impl Scenario {
    /// A play of 600 clients for 7 s with the smallest memory limit and the most descriptors.
    pub fn new(program: PathBuf, folder: PathBuf) -> Scenario {
        Scenario {
            program,
            folder,
            limits: ProcessLimits {
                memory_mb: 32,
                descriptors: 1_024,
            },
            behaviours: Vec::new(),
            clients: 600,
            reconnects: false,
            floods: Vec::new(),
            large_bodies: Vec::new(),
            disturbances: Vec::new(),
            hold: Duration::from_secs(7),
            core_share: 1.0,
            budget_ms: 1_500,
        }
    }
}

/// What happens to the proxy in the middle of a play.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbance {
    /// SIGHUP, with the same configuration.
    Reload,
    /// SIGHUP, with this memory limit in MB in the configuration.
    MemoryLimit(usize),
    /// A new process takes over: SIGTERM to the old one when it is ready, and SIGKILL at the
    /// earliest time that is allowed.
    Upgrade,
}

/// The processes of a proxy, while a scenario is played.
struct PlayedProxy<'a> {
    scenario: &'a Scenario,
    config: Value,
    process: ProxyProcess,
    sampler: ResourceSampler,
}

impl<'a> PlayedProxy<'a> {
    async fn start(scenario: &'a Scenario, ledger: &Ledger) -> io::Result<PlayedProxy<'a>> {
        let mut endpoints = Vec::new();
        for _ in 0..ENDPOINTS {
            endpoints.push(StandInEndpoint::start(ledger).await?.address);
        }
        let limits = scenario.limits;
        let config = configuration(free_address()?, free_address()?, &endpoints, limits);
        let process = ProxyProcess::start(&scenario.program, &scenario.folder, &config)?;
        process.wait_until_ready().await?;
        let sampler = ResourceSampler::start(&scenario.folder);
        sampler.add(process.id());
        Ok(PlayedProxy {
            scenario,
            config,
            process,
            sampler,
        })
    }

    async fn disturb(&mut self, disturbance: Disturbance) -> io::Result<()> {
        match disturbance {
            Disturbance::Reload => self.process.signal(Signal::SIGHUP),
            Disturbance::MemoryLimit(memory_mb) => {
                self.config["limits"]["memory_mb"] = memory_mb.into();
                write_configuration(&self.scenario.folder, &self.config)?;
                self.process.signal(Signal::SIGHUP);
            }
            Disturbance::Upgrade => self.upgrade().await?,
        }
        Ok(())
    }

    async fn upgrade(&mut self) -> io::Result<()> {
        let scenario = self.scenario;
        let new = ProxyProcess::start(&scenario.program, &scenario.folder, &self.config)?;
        self.sampler.add(new.id());
        new.wait_until_ready().await?;
        let old = std::mem::replace(&mut self.process, new);
        old.signal(Signal::SIGTERM);
        spawn_local(async move {
            sleep(KILL_DELAY).await;
            drop(old);
        });
        Ok(())
    }
}

/// Plays a scenario. Must be called inside a `LocalSet`.
///
/// # Errors
/// An endpoint or the proxy cannot be started.
pub async fn play(scenario: &Scenario) -> io::Result<Report> {
    let ledger = Ledger::default();
    let mut proxy = PlayedProxy::start(scenario, &ledger).await?;
    let address = proxy.process.address;
    let share = (scenario.core_share < 1.0)
        .then(|| CoreShare::limit(proxy.process.id(), scenario.core_share));
    let end = Instant::now() + scenario.hold;
    let floods = scenario.floods.iter();
    let floods: Vec<Flood> = floods.map(|kind| Flood::start(address, *kind)).collect();
    let others = OrdinaryClients::default();
    let running = spawn_local(run_ordinary_clients(
        others.clone(),
        scenario.clone(),
        address,
        end,
    ));
    let large_bodies = spawn_local(run_large_bodies(scenario.large_bodies.clone(), address));
    let crowd = spawn_local(run_crowd(scenario.clone(), address, end));
    for (after, disturbance) in &scenario.disturbances {
        let at = end - scenario.hold + *after;
        sleep(at.saturating_duration_since(Instant::now())).await;
        proxy.disturb(*disturbance).await?;
    }
    // The tasks do not panic and are not aborted.
    let _ = crowd.await;
    let at_end = proxy.sampler.now();
    drop(floods);
    let _ = running.await;
    let large_answers = large_bodies.await.unwrap_or_default();
    drop(share);
    sleep(MEMORY_RETURN_TIME).await;
    let answers = others.answers.borrow().clone();
    Ok(Report {
        at_end,
        afterwards: proxy.sampler.now(),
        most: proxy.sampler.most(),
        answers,
        large_answers,
        survived: proxy.process.is_running(),
    })
}

async fn run_ordinary_clients(
    others: OrdinaryClients,
    scenario: Scenario,
    proxy: SocketAddr,
    end: Instant,
) {
    sleep(HEAD_START).await;
    let budget_ms = scenario.budget_ms;
    others.run(proxy, ORDINARY_INTERVAL, budget_ms, end).await;
}

/// Runs one client until its connection ends, or for good if it reconnects.
async fn run_client(behaviour: Behaviour, proxy: SocketAddr, reconnects: bool) {
    loop {
        // A client whose connection the proxy closes needs no further handling.
        let _ = behaviour.run(proxy).await;
        if !reconnects {
            return;
        }
        sleep(RECONNECT_DELAY).await;
    }
}

/// Runs the crowd's clients until `end`, when all of them leave.
async fn run_crowd(scenario: Scenario, proxy: SocketAddr, end: Instant) {
    let mut clients = Vec::new();
    for behaviour in scenario.behaviours.iter().cycle().take(scenario.clients) {
        let behaviour = *behaviour;
        let reconnects = scenario.reconnects;
        clients.push(spawn_local(run_client(behaviour, proxy, reconnects)));
        sleep(CONNECT_INTERVAL).await;
    }
    sleep(end.saturating_duration_since(Instant::now())).await;
    for client in clients {
        client.abort();
        // Its connection is closed once the task has ended.
        let _ = client.await;
    }
}

async fn run_large_bodies(large_bodies: Vec<LargeBody>, proxy: SocketAddr) -> Vec<LargeBodyAnswer> {
    if !large_bodies.is_empty() {
        sleep(HEAD_START).await;
    }
    let mut clients = Vec::new();
    for large_body in large_bodies {
        clients.push(spawn_local(large_body.run(proxy)));
        sleep(LARGE_BODY_INTERVAL).await;
    }
    let mut answers = Vec::new();
    for client in clients {
        answers.extend(client.await.ok());
    }
    answers
}
