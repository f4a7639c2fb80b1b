//! The command line of the load tool.

use anyhow::Context;
use clap::Parser;
use crowd::process::ProcessLimits;
use crowd::{play, Behaviour, Disturbance, FloodKind, LargeBody, Scenario};
use std::path::PathBuf;
use std::time::Duration;
use tokio::task::LocalSet;

/// Time from the start until the memory limit is changed.
const MEMORY_LIMIT_DELAY: Duration = Duration::from_secs(2);

/// Plays a crowd of difficult clients against a real proxy process.
#[derive(Debug, Parser)]
struct Arguments {
    /// The proxy's program.
    #[arg(long, default_value = "target/release/client-proxy")]
    program: PathBuf,
    /// Folder for its configuration and log.
    #[arg(long, default_value = "target/crowd")]
    folder: PathBuf,
    /// Its memory limit, in MB.
    #[arg(long, default_value_t = 32)]
    memory_mb: usize,
    /// Its limit on descriptors.
    #[arg(long, default_value_t = 1_024)]
    descriptors: usize,
    /// Behaviours of the crowd by name, in turn; `mix` for those that occupy no endpoint.
    #[arg(long, value_delimiter = ',')]
    behaviours: Vec<String>,
    /// Number of the crowd's clients.
    #[arg(long, default_value_t = 600)]
    clients: usize,
    /// Whether its clients connect again when the proxy has closed their connection.
    #[arg(long)]
    reconnect: bool,
    /// Floods by name, a client each.
    #[arg(long, value_delimiter = ',')]
    floods: Vec<String>,
    /// Number of requests with 8 MB that endpoints read at 320 kB/s, whose clients wait 2 s.
    #[arg(long, default_value_t = 0)]
    slow_uploads: usize,
    /// Number of responses of 400 kB that endpoints write over 4 s, whose clients wait 6 s.
    #[arg(long, default_value_t = 0)]
    slow_responses: usize,
    /// Send SIGHUP after so many seconds, again and again.
    #[arg(long, value_delimiter = ',')]
    reload_after: Vec<f64>,
    /// Set this memory limit, in MB, by SIGHUP two seconds after the start.
    #[arg(long)]
    reload_memory_mb: Option<usize>,
    /// Upgrade to a new process after so many seconds.
    #[arg(long, value_delimiter = ',')]
    upgrade_after: Vec<f64>,
    /// How long crowd and floods last, in seconds.
    #[arg(long, default_value_t = 7.0)]
    hold: f64,
    /// Share of a core that the proxy gets.
    #[arg(long, default_value_t = 1.0)]
    core_share: f64,
}

fn behaviours(names: &[String]) -> anyhow::Result<Vec<Behaviour>> {
    if names == ["mix"] {
        return Ok(Behaviour::mix());
    }
    let parse = |name: &String| {
        Behaviour::parse(name).with_context(|| {
            let known: Vec<_> = Behaviour::all().into_iter().map(Behaviour::name).collect();
            let known = known.join(", ");
            format!("unknown behaviour {name:?}; known: mix, {known}")
        })
    };
    names.iter().map(parse).collect()
}

fn floods(names: &[String]) -> anyhow::Result<Vec<FloodKind>> {
    let parse = |name: &String| {
        FloodKind::parse(name)
            .with_context(|| format!("unknown flood {name:?}; known: {:?}", FloodKind::ALL))
    };
    names.iter().map(parse).collect()
}

fn large_bodies(uploads: usize, responses: usize) -> Vec<LargeBody> {
    let mut bodies = vec![LargeBody::SLOW_UPLOAD; uploads];
    bodies.extend(vec![LargeBody::SLOW_RESPONSE; responses]);
    bodies
}

fn disturbances(arguments: &Arguments) -> Vec<(Duration, Disturbance)> {
    let at = |disturbance| move |after: &f64| (Duration::from_secs_f64(*after), disturbance);
    let reloads = arguments.reload_after.iter().map(at(Disturbance::Reload));
    let upgrades = arguments.upgrade_after.iter().map(at(Disturbance::Upgrade));
    let memory_limit = arguments.reload_memory_mb.map(Disturbance::MemoryLimit);
    let memory_limit = memory_limit.map(|disturbance| (MEMORY_LIMIT_DELAY, disturbance));
    let mut disturbances: Vec<_> = reloads.chain(upgrades).chain(memory_limit).collect();
    disturbances.sort_by_key(|(after, _)| *after);
    disturbances
}

fn main() -> anyhow::Result<()> {
    let arguments = Arguments::parse();
    let scenario = Scenario {
        limits: ProcessLimits {
            memory_mb: arguments.memory_mb,
            descriptors: arguments.descriptors,
        },
        behaviours: behaviours(&arguments.behaviours)?,
        clients: arguments.clients,
        reconnects: arguments.reconnect,
        floods: floods(&arguments.floods)?,
        large_bodies: large_bodies(arguments.slow_uploads, arguments.slow_responses),
        disturbances: disturbances(&arguments),
        hold: Duration::from_secs_f64(arguments.hold),
        core_share: arguments.core_share,
        ..Scenario::new(arguments.program, arguments.folder)
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let report = LocalSet::new().block_on(&runtime, play(&scenario))?;
    println!("{report}");
    Ok(())
}
