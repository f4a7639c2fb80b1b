//! Runs one seed: starts endpoints, proxies and clients, runs the fault schedule, and prints the
//! verdict.

use crate::arguments::Arguments;
use crate::clients::{run_client, run_invalid_client};
use crate::config::RunConfig;
use crate::endpoint::endpoint_name;
use crate::endpoint_server;
use crate::error::SetupError;
use crate::faults;
use crate::proxy::{Program, Proxy};
use crate::shared_state::SharedState;
use crate::verdict::print_verdict;
use std::cell::Cell;
use std::fs;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// How long clients continue to send requests after the last time at which a fault may start.
const CLIENTS_DURATION_AFTER_FAULTS: Duration = Duration::from_secs(2);
/// Time after the fault schedule in which the last requests must get their responses.
const FINAL_RESPONSES_DELAY: Duration = Duration::from_secs(6);
/// How much longer clients that read slowly take for the longest response.
const SLOW_READER_DELAY: Duration = Duration::from_secs(15);
/// Interval between checks of the proxies' processes and limits.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between measurements of this program's scheduling delay.
const SCHEDULING_DELAY_INTERVAL: Duration = Duration::from_millis(5);
/// Age of the first endpoints at the start of a run, which is past their slow start.
const FIRST_ENDPOINTS_AGE: Duration = Duration::from_secs(3_600);

/// Runs one seed and returns whether it passed.
pub(crate) async fn run_seed(arguments: &Arguments, seed: u64) -> Result<bool, SetupError> {
    let config = RunConfig::draw(arguments.proxies, seed);
    println!("seed {seed}: {config:?}");
    let shared = SharedState::new(seed, config);
    start_endpoints(&shared, arguments.endpoints).await?;
    let proxies = start_proxies(&shared, arguments, seed).await?;
    let scheduling_delay = run_clients_and_faults(arguments, &shared, &proxies).await?;
    Ok(print_verdict(&shared, &proxies, seed, scheduling_delay))
}

/// Starts the first endpoints, dated back so that they are past their slow start.
async fn start_endpoints(shared: &SharedState, count: usize) -> Result<(), SetupError> {
    for index in 0..count {
        let zone = if index.is_multiple_of(2) { 'a' } else { 'b' };
        let name = endpoint_name(index as u32);
        let mut process = endpoint_server::start(shared, &name, zone).await?;
        process.started_unix_ms = 0;
        let started_at = process.started_at.checked_sub(FIRST_ENDPOINTS_AGE);
        process.started_at = started_at.unwrap_or(process.started_at);
        shared.add_endpoint(process);
    }
    Ok(())
}

/// Starts all proxies and waits until they are ready.
async fn start_proxies(
    shared: &SharedState,
    arguments: &Arguments,
    seed: u64,
) -> Result<Vec<Rc<Proxy>>, SetupError> {
    let folder = absolute_path(&arguments.folder)?.join(format!("seed-{seed}"));
    // Proxies append to their logs, so logs of an earlier run would be attributed to this one. The
    // folder usually does not exist, and removing it then fails.
    let _ = fs::remove_dir_all(&folder);
    let faults = arguments.faults.as_deref().map(absolute_path).transpose()?;
    let program = Program {
        path: absolute_path(&arguments.program)?,
        faults,
        folder,
    };
    let mut proxies = Vec::new();
    for number in 0..arguments.proxies {
        let syscall_schedule = faults::draw_syscall_schedule(shared, seed, number);
        proxies.push(Proxy::new(shared, &program, number, syscall_schedule).await?);
    }
    let start = |proxy: Rc<Proxy>| spawn_local(async move { proxy.start().await });
    let starts: Vec<_> = proxies.iter().cloned().map(start).collect();
    for start in starts {
        start.await??;
    }
    Ok(proxies)
}

fn absolute_path(path: &Path) -> Result<PathBuf, SetupError> {
    let path_error = |source| SetupError::Path {
        path: path.to_owned(),
        source,
    };
    std::path::absolute(path).map_err(path_error)
}

/// Runs the clients and the fault schedule. Returns the longest scheduling delay of this program.
async fn run_clients_and_faults(
    arguments: &Arguments,
    shared: &SharedState,
    proxies: &[Rc<Proxy>],
) -> Result<Duration, SetupError> {
    let end = Instant::now() + Duration::from_secs(arguments.seconds);
    let checks = spawn_local(check_proxies(proxies.to_vec()));
    let scheduling_delay = Rc::new(Cell::new(Duration::ZERO));
    let measurement = spawn_local(measure_scheduling_delay(scheduling_delay.clone()));
    for proxy in proxies {
        for _ in 0..arguments.clients {
            spawn_local(run_client(
                shared.clone(),
                proxy.clone(),
                end + CLIENTS_DURATION_AFTER_FAULTS,
            ));
        }
        spawn_local(run_invalid_client(shared.clone(), proxy.clone(), end));
    }
    let started = faults::run_schedule(shared.clone(), proxies.to_vec(), end).await?;
    println!("faults: {}", started.join(", "));
    sleep(FINAL_RESPONSES_DELAY).await;
    if shared.config().has_large_messages {
        sleep(SLOW_READER_DELAY).await;
    }
    checks.abort();
    measurement.abort();
    Ok(scheduling_delay.get())
}

async fn check_proxies(proxies: Vec<Rc<Proxy>>) {
    loop {
        for proxy in &proxies {
            proxy.check();
        }
        sleep(CHECK_INTERVAL).await;
    }
}

/// Measures repeatedly how late a task of this program runs, and keeps the longest delay.
async fn measure_scheduling_delay(longest: Rc<Cell<Duration>>) {
    loop {
        let due = Instant::now() + SCHEDULING_DELAY_INTERVAL;
        sleep(SCHEDULING_DELAY_INTERVAL).await;
        longest.set(longest.get().max(due.elapsed()));
    }
}
