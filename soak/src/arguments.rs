//! The command line.

use clap::Parser;
use std::path::PathBuf;

/// Runs real proxies under overlapping faults.
#[derive(Debug, Parser)]
pub(crate) struct Arguments {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Number of seeds, run one after the other.
    #[arg(long, default_value_t = 1)]
    pub(crate) seeds: u64,
    /// How long faults are started in each run, in seconds.
    #[arg(long, default_value_t = 20)]
    pub(crate) seconds: u64,
    /// Number of proxies.
    #[arg(long, default_value_t = 24)]
    pub(crate) proxies: usize,
    /// Number of endpoints at the start.
    #[arg(long, alias = "servers", default_value_t = 10)]
    pub(crate) endpoints: usize,
    /// Client connections to each proxy.
    #[arg(long, default_value_t = 4)]
    pub(crate) clients: usize,
    /// The proxy's program.
    #[arg(long, default_value = "target/release/client-proxy")]
    pub(crate) program: PathBuf,
    /// The library that makes system calls fail; without it none do.
    #[arg(long)]
    pub(crate) faults: Option<PathBuf>,
    /// Folder for configurations and logs, one folder a seed.
    #[arg(long, default_value = "target/soak")]
    pub(crate) folder: PathBuf,
}
