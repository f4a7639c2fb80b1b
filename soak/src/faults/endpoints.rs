//! Injects faults of endpoints.

use crate::endpoint::{endpoint_name, Behaviour, EndpointHealth, EndpointProcess};
use crate::endpoint_server;
use crate::error::SetupError;
use crate::shared_state::SharedState;
use rand::Rng;
use std::time::Duration;
use tokio::time::sleep;

/// How long a process continues after its replacement was listed.
const REPLACED_PROCESS_DELAY: Duration = Duration::from_secs(1);
/// Minimum number of ready endpoints that a zone keeps.
const MIN_READY_PER_ZONE: usize = 2;

/// Adds an endpoint with a new name.
pub(super) async fn add_endpoint(shared: &SharedState) -> Result<(), SetupError> {
    let name = endpoint_name(shared.draw(|random| random.gen()));
    let zone = if shared.draw_bool(0.5) { 'a' } else { 'b' };
    let process = endpoint_server::start(shared, &name, zone).await?;
    shared.add_endpoint(process);
    Ok(())
}

/// Gives an endpoint this behaviour for a random time.
pub(super) async fn change_behaviour(shared: &SharedState, behaviour: Behaviour) {
    let count = shared.with_processes(|processes| processes.len());
    let index = shared.draw(|random| random.gen_range(0..count));
    let state = shared.with_processes(|processes| processes[index].state.clone());
    state.behaviour.set(behaviour);
    sleep(shared.draw_seconds(0.5, 3.0)).await;
    state.behaviour.set(Behaviour::Normal);
}

/// Lists all ready endpoints as draining for a random time.
pub(super) async fn drain_all(shared: &SharedState) {
    let mut ready: Vec<u64> = shared.with_processes(|processes| {
        processes
            .iter()
            .filter(|process| !process.is_draining())
            .map(|process| process.number)
            .collect()
    });
    shared.log_event(format!(
        "endpoint processes {ready:?} are listed as draining"
    ));
    for &number in &ready {
        shared.set_listed_health(number, EndpointHealth::Draining);
    }
    sleep(shared.draw_seconds(0.1, 0.7)).await;
    // An overlapping fault may have started to drain some of them, which must not become ready.
    ready.retain(|&number| {
        shared.with_processes(|processes| {
            processes
                .iter()
                .any(|process| process.number == number && !process.is_draining())
        })
    });
    for number in ready {
        shared.set_listed_health(number, EndpointHealth::Ready);
    }
}

/// An endpoint process that is to be replaced.
struct ReplacedProcess {
    number: u64,
    name: String,
    zone: char,
}

/// Replaces an endpoint process by another one, under the same name or a new one. The old process
/// drains during `replacement_delay` if `graceful`, and is killed first if not.
pub(super) async fn replace_process(
    shared: &SharedState,
    replacement_delay: Duration,
    graceful: bool,
) -> Result<(), SetupError> {
    let Some(old) = choose_process_to_replace(shared, replacement_delay) else {
        return Ok(());
    };
    let same_name = shared.draw_bool(0.5);
    let name = if same_name {
        old.name.clone()
    } else {
        endpoint_name(shared.draw(|random| random.gen()))
    };
    shared.log_event(format!(
        "endpoint process {} is to be replaced, drained first: {graceful}",
        old.number
    ));
    if graceful {
        shared.set_listed_health(old.number, EndpointHealth::Draining);
    } else {
        kill(shared, old.number);
    }
    sleep(replacement_delay).await;
    let new = endpoint_server::start(shared, &name, old.zone).await?;
    if !same_name {
        shared.set_listed_health(old.number, EndpointHealth::Removed);
    }
    shared.add_endpoint(new);
    sleep(REPLACED_PROCESS_DELAY).await;
    kill(shared, old.number);
    shared.with_processes(|processes| processes.retain(|process| process.number != old.number));
    Ok(())
}

/// Chooses a ready process in a zone that has more than the minimum, and marks it as draining.
fn choose_process_to_replace(
    shared: &SharedState,
    replacement_delay: Duration,
) -> Option<ReplacedProcess> {
    shared.with_processes(|processes| {
        let ready: Vec<_> = processes
            .iter()
            .filter(|process| !process.is_draining())
            .collect();
        let in_zone = |zone| ready.iter().filter(|process| process.zone == zone).count();
        let candidates: Vec<_> = ready
            .iter()
            .filter(|process| in_zone(process.zone) > MIN_READY_PER_ZONE)
            .collect();
        // The delay was drawn at random, so its nanoseconds select a random candidate.
        let index = (replacement_delay.subsec_nanos() as usize).checked_rem(candidates.len())?;
        let process = candidates[index];
        process.state.draining.set(true);
        Some(ReplacedProcess {
            number: process.number,
            name: process.name.clone(),
            zone: process.zone,
        })
    })
}

fn kill(shared: &SharedState, number: u64) {
    shared.log_event(format!("endpoint process {number} is killed"));
    shared.with_processes(|processes| {
        processes
            .iter()
            .filter(|process| process.number == number)
            .for_each(EndpointProcess::kill);
    });
    shared.with_ledger(|ledger| ledger.record_process_kill(number));
}
