//! The fault schedule: draws and injects overlapping faults.

mod crowds;
mod endpoints;
mod proxies;
mod syscalls;

pub(crate) use syscalls::draw_syscall_schedule;

use crate::agent::AgentMode;
use crate::endpoint::Behaviour;
use crate::error::SetupError;
use crate::proxy::Proxy;
use crate::shared_state::SharedState;
use rand::Rng;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::sleep;

/// Longest time for which an endpoint drains in runs with slow peers, in seconds.
const LONGEST_DRAIN_S: f64 = 10.0;

/// A fault that can be injected. The report prints the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// Proxies are shut down by SIGTERM and restarted.
    ProxyShutdown,
    /// Proxies are killed and restarted.
    ProxyKill,
    /// Proxies are paused by SIGSTOP.
    ProxyPause,
    /// Proxies get SIGHUP with a new agent in their configuration.
    ProxyReload,
    /// A new process takes over from a proxy's running one (process handoff).
    ProxyHandoff,
    /// Many idle connections are opened to a proxy.
    IdleConnections,
    /// An endpoint process drains and is replaced.
    EndpointDrain,
    /// An endpoint process is killed and replaced.
    EndpointCrash,
    /// An endpoint is added.
    EndpointAdded,
    /// An endpoint has this behaviour for 0.5 s to 3 s.
    EndpointBehaviour(Behaviour),
    /// All endpoints are listed as draining for 0.1 s to 0.7 s, so that requests queue and clients
    /// disconnect.
    AllEndpointsDrain,
    /// A crowd of difficult clients connects to a proxy, and perhaps floods it.
    Crowd,
    /// A proxy is killed several times in a row, soon after each start.
    KillSeries,
    /// A proxy gets several signals in a row.
    SignalSeries,
    /// The agents of some proxies have this mode for 0.3 s to 4 s.
    AgentOutage(AgentMode),
}

/// Faults to draw from; a fault that is listed twice is drawn twice as often.
const FAULTS: [Fault; 17] = [
    Fault::ProxyShutdown,
    Fault::ProxyShutdown,
    Fault::ProxyKill,
    Fault::ProxyPause,
    Fault::ProxyReload,
    Fault::EndpointDrain,
    Fault::EndpointDrain,
    Fault::EndpointCrash,
    Fault::EndpointBehaviour(Behaviour::Hanging),
    Fault::EndpointBehaviour(Behaviour::Resetting),
    Fault::EndpointBehaviour(Behaviour::Failing),
    Fault::AgentOutage(AgentMode::Silent),
    Fault::AgentOutage(AgentMode::Refusing),
    Fault::IdleConnections,
    Fault::AllEndpointsDrain,
    Fault::AllEndpointsDrain,
    Fault::ProxyHandoff,
];

/// Faults that are drawn too in runs with crowds.
const CROWD_FAULTS: [Fault; 6] = [
    Fault::Crowd,
    Fault::Crowd,
    Fault::Crowd,
    Fault::KillSeries,
    Fault::SignalSeries,
    Fault::ProxyHandoff,
];

/// Starts faults at random intervals until `end`, and waits until all are over. Returns a
/// description of each fault with the time of its start.
pub(crate) async fn run_schedule(
    shared: SharedState,
    proxies: Vec<Rc<Proxy>>,
    end: Instant,
) -> Result<Vec<String>, SetupError> {
    let start = Instant::now();
    let mut started = Vec::new();
    let mut running: Vec<JoinHandle<Result<(), SetupError>>> = Vec::new();
    while Instant::now() < end {
        let (fault, pause) = draw_fault(&shared);
        started.push(format!("{:.2} s {fault:?}", start.elapsed().as_secs_f64()));
        running.push(spawn_local(inject(shared.clone(), proxies.clone(), fault)));
        sleep(pause).await;
    }
    for fault in running {
        fault.await??;
    }
    Ok(started)
}

/// Draws a fault, and the pause between its start and the next one's.
fn draw_fault(shared: &SharedState) -> (Fault, Duration) {
    let crowd_faults: &[Fault] = if shared.config().has_crowds {
        &CROWD_FAULTS
    } else {
        &[]
    };
    let faults = [&FAULTS[..], crowd_faults].concat();
    let (fault, pause_s) = shared.draw(|random| {
        (
            faults[random.gen_range(0..faults.len())],
            random.gen_range(0.1..0.6),
        )
    });
    let added = shared.draw_bool(0.1);
    (
        if added { Fault::EndpointAdded } else { fault },
        Duration::from_secs_f64(pause_s),
    )
}

async fn inject(
    shared: SharedState,
    proxies: Vec<Rc<Proxy>>,
    fault: Fault,
) -> Result<(), SetupError> {
    let shared = &shared;
    let proxies = &proxies;
    match fault {
        Fault::ProxyShutdown | Fault::ProxyKill => {
            let graceful = fault == Fault::ProxyShutdown;
            proxies::restart_proxies(shared, proxies, graceful).await
        }
        Fault::ProxyPause => {
            proxies::pause_proxies(shared, proxies).await;
            Ok(())
        }
        Fault::ProxyReload => proxies::reload_proxies(shared, proxies).await,
        Fault::ProxyHandoff => proxies::hand_off_proxies(shared, proxies).await,
        Fault::Crowd => {
            crowds::run_crowd(shared, proxies).await;
            Ok(())
        }
        Fault::KillSeries => proxies::kill_in_series(shared, proxies).await,
        Fault::SignalSeries => proxies::signal_in_series(shared, proxies).await,
        Fault::IdleConnections => {
            proxies::open_idle_connections(shared, proxies).await;
            Ok(())
        }
        Fault::AgentOutage(mode) => {
            proxies::fail_agents(shared, proxies, mode).await;
            Ok(())
        }
        Fault::EndpointDrain => {
            // A proxy that a slow agent does not reach sends to a draining endpoint for as long as
            // that runs, which shows only after the time in which it has to be notified.
            let max_delay_s = if shared.config().has_slow_peers {
                LONGEST_DRAIN_S
            } else {
                3.0
            };
            let replacement_delay = shared.draw_seconds(0.6, max_delay_s);
            endpoints::replace_process(shared, replacement_delay, true).await
        }
        Fault::EndpointCrash => {
            let replacement_delay = shared.draw_seconds(0.2, 2.5);
            endpoints::replace_process(shared, replacement_delay, false).await
        }
        Fault::EndpointAdded => endpoints::add_endpoint(shared).await,
        Fault::EndpointBehaviour(behaviour) => {
            endpoints::change_behaviour(shared, behaviour).await;
            Ok(())
        }
        Fault::AllEndpointsDrain => {
            endpoints::drain_all(shared).await;
            Ok(())
        }
    }
}
