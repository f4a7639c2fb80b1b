//! A soak test. It runs dozens of real proxies on loopback with real sockets and signals, and
//! subjects them to overlapping faults and failing system calls. The verdict is based on what
//! clients and endpoints observed. Each run prints its seed, which determines the configuration.
//! The fault schedule is not reproducible from the seed alone: it also depends on the order in
//! which concurrent tasks draw random numbers.

mod agent;
mod arguments;
mod clients;
mod config;
mod endpoint;
mod endpoint_list;
mod endpoint_response;
mod endpoint_server;
mod error;
mod faults;
mod http;
mod ledger;
mod notification;
mod proxy;
mod run;
mod shared_state;
#[cfg(test)]
mod test_support;
mod verdict;

use arguments::Arguments;
use clap::Parser;
use std::process::ExitCode;
use tokio::task::LocalSet;

fn main() -> anyhow::Result<ExitCode> {
    let arguments = Arguments::parse();
    let mut failed = 0;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        if !LocalSet::new().block_on(&runtime, run::run_seed(&arguments, seed))? {
            failed += 1;
        }
    }
    println!("{} passed, {failed} failed", arguments.seeds - failed);
    Ok(if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
