//! A soak test: some dozen real proxies on loopback, real sockets and signals, troubles that overlap, system calls that fail.
//! The verdict comes from what clients and servers saw. Each run prints its seed; a seed that fails is played again by it.

mod clients;
mod discovery;
mod fleet;
mod http;
mod ledger;
mod proxies;
mod troubles;
mod world;

use clap::Parser;
use fleet::Health;
use proxies::{Program, Proxy};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;
use world::{Settings, World};

/// What is asked for on the command line.
#[derive(Debug, Parser)]
struct Arguments {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds are played, one after the other.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// How long troubles begin in each, in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// How many proxies.
    #[arg(long, default_value_t = 24)]
    proxies: usize,
    /// How many servers.
    #[arg(long, default_value_t = 10)]
    servers: usize,
    /// Connections of clients at each proxy.
    #[arg(long, default_value_t = 4)]
    clients: usize,
    /// The program.
    #[arg(long, default_value = "target/release/client-proxy")]
    program: PathBuf,
    /// The library that lets system calls fail; without it none do.
    #[arg(long)]
    faults: Option<PathBuf>,
    /// For configurations and logs, a folder a seed.
    #[arg(long, default_value = "target/soak")]
    folder: PathBuf,
}

/// How late this program itself may be: beyond it a run judges nothing.
const LATE_MOST: Duration = Duration::from_millis(60);
/// What was done so many seconds before a violation is printed with it.
const BEFORE: f64 = 3.0;
/// What is asked near the end is answered by then.
const LAST_ANSWERS: Duration = Duration::from_secs(6);

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let mut failed = 0;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let run = LocalSet::new().block_on(&runtime.expect("a runtime"), run(&arguments, seed));
        failed += u64::from(!run);
    }
    println!("{} passed, {failed} failed", arguments.seeds - failed);
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// What a seed is played with.
fn settings(arguments: &Arguments, seed: u64) -> Settings {
    let mut random = Pcg64Mcg::seed_from_u64(seed ^ 0x5e77);
    Settings {
        proxies: arguments.proxies,
        pushed: random.gen_bool(0.5),
        drain_grace: Duration::from_millis(if random.gen_bool(0.5) { 400 } else { 200 }),
        window: Duration::from_millis(if random.gen_bool(0.5) { 800 } else { 300 }),
        server_idle: Duration::from_millis(if random.gen_bool(0.5) { 3_000 } else { 400 }),
        second_copies: random.gen_bool(0.5),
        cold_from: 0.13,
        cold_time: Duration::from_secs(8),
        fall_multiple: 2.0,
        tip_after: Duration::from_secs(2),
        capacity: 60.0,
    }
}

/// Plays one seed; whether it passed.
async fn run(arguments: &Arguments, seed: u64) -> bool {
    let settings = settings(arguments, seed);
    println!("seed {seed}: pushed {}, {settings:?}", settings.pushed);
    let world = World::new(seed, settings);
    let folder = std::path::absolute(&arguments.folder).expect("a path").join(format!("seed-{seed}"));
    let _ = std::fs::remove_dir_all(&folder);
    let absolute = |path: &PathBuf| std::path::absolute(path).expect("a path");
    let faults = arguments.faults.as_ref().map(absolute);
    let program = Program { path: absolute(&arguments.program), faults, folder };
    for place in 0..arguments.servers {
        let zone = if place.is_multiple_of(2) { 'a' } else { 'b' };
        let mut process = fleet::start(&world, &format!("s-{place:08x}"), zone).await;
        process.born_ms = 0;
        process.started = process.started.checked_sub(Duration::from_secs(3_600)).unwrap_or(process.started);
        let number = world.add(process);
        world.say(number, Health::Ready);
    }
    let mut proxies = Vec::new();
    for number in 0..arguments.proxies {
        let schedule = troubles::failing_calls(&world, seed, number);
        proxies.push(Proxy::new(&world, &program, number, schedule).await);
    }
    for proxy in &proxies {
        let proxy = proxy.clone();
        spawn_local(async move { proxy.start().await });
    }
    while !proxies.iter().all(|proxy| proxy.takes_clients()) && world.ledger(|l| l.violations.is_empty()) {
        sleep(Duration::from_millis(20)).await;
    }
    let late = play(arguments, &world, &proxies).await;
    verdict(&world, &proxies, seed, late)
}

/// Plays the troubles; how late this program was.
async fn play(arguments: &Arguments, world: &World, proxies: &[Rc<Proxy>]) -> Duration {
    let end = Instant::now() + Duration::from_secs(arguments.seconds);
    let looks = proxies.to_vec();
    let watching = spawn_local(async move {
        loop {
            looks.iter().for_each(|proxy| proxy.look());
            sleep(Duration::from_millis(500)).await;
        }
    });
    let lateness = Rc::new(std::cell::Cell::new(Duration::ZERO));
    let measured = lateness.clone();
    let measuring = spawn_local(async move {
        loop {
            let due = Instant::now() + Duration::from_millis(5);
            sleep(Duration::from_millis(5)).await;
            measured.set(measured.get().max(due.elapsed()));
        }
    });
    for proxy in proxies {
        for _ in 0..arguments.clients {
            spawn_local(clients::ask(world.clone(), proxy.clone(), end + Duration::from_secs(2)));
        }
        spawn_local(clients::misbehave(world.clone(), proxy.clone(), end));
    }
    let begun = troubles::play(world.clone(), proxies.to_vec(), end).await;
    println!("troubles: {}", begun.join(", "));
    sleep(LAST_ANSWERS).await;
    watching.abort();
    measuring.abort();
    lateness.get()
}

fn verdict(world: &World, proxies: &[Rc<Proxy>], seed: u64, late: Duration) -> bool {
    let mut statuses: BTreeMap<String, usize> = BTreeMap::new();
    world.ledger(|ledger| {
        ledger.close();
        for request in ledger.requests.values() {
            let name = match (request.answer, request.left_at, request.excused) {
                (Some((status, _)), ..) if status != 0 => status.to_string(),
                (_, Some(_), _) => "left".to_owned(),
                (_, _, true) => "excused".to_owned(),
                _ => "none".to_owned(),
            };
            *statuses.entry(name).or_default() += 1;
        }
    });
    println!("requests: {statuses:?}, this program late by {late:?} at the most");
    let violations = world.ledger(|ledger| ledger.violations.clone());
    let mut rules: BTreeMap<&str, usize> = BTreeMap::new();
    for violation in &violations {
        *rules.entry(violation.rule).or_default() += 1;
        println!("  {}: {}", violation.rule, violation.what);
        let at: f64 = violation.what.split(' ').next().and_then(|at| at.parse().ok()).unwrap_or(0.0);
        let near = |event: &&(f64, String)| (at - BEFORE..=at + 0.1).contains(&event.0);
        world.ledger(|ledger| {
            for (at, what) in ledger.events.iter().filter(near) {
                println!("      {at:.3} {what}");
            }
        });
    }
    // Not judged by them, but each wants a look.
    let complaints: Vec<String> = proxies.iter().flat_map(|proxy| proxy.complaints()).collect();
    complaints.iter().take(10).for_each(|line| println!("  said: {line}"));
    let judged = late <= LATE_MOST;
    let passed = judged && violations.is_empty() && complaints.is_empty();
    let word = match (judged, passed) {
        (false, _) => "NOT JUDGED, this program was late",
        (true, true) => "passed",
        (true, false) => "FAILED",
    };
    println!("seed {seed}: {word} {rules:?}");
    passed
}
