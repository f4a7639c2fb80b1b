//! Command-line arguments.

use clap::Parser;
use std::path::PathBuf;

/// Runs real proxies under overlapping faults.
#[derive(Debug, Parser)]
pub(crate) struct Arguments {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Number of consecutive seeds, run one after the other.
    #[arg(long, default_value_t = 1)]
    pub(crate) seeds: u64,
    /// Duration of the fault schedule of each run, in seconds.
    #[arg(long, default_value_t = 20)]
    pub(crate) seconds: u64,
    /// Number of proxies.
    #[arg(long, default_value_t = 24)]
    pub(crate) proxies: usize,
    /// Number of endpoints at the start of a run.
    #[arg(long, alias = "servers", default_value_t = 10)]
    pub(crate) endpoints: usize,
    /// Number of clients of each proxy, each with one connection at a time.
    #[arg(long, default_value_t = 4)]
    pub(crate) clients: usize,
    /// Path of the proxy's executable.
    #[arg(long, default_value = "target/release/client-proxy")]
    pub(crate) program: PathBuf,
    /// Path of the preloaded library that makes system calls fail; without it none fail.
    #[arg(long)]
    pub(crate) faults: Option<PathBuf>,
    /// Folder for configurations and logs, with a subfolder for each seed.
    #[arg(long, default_value = "target/soak")]
    pub(crate) folder: PathBuf,
}
