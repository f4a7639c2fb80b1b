//! Connects balancers to the simulator: reads one JSON batch of messages per line from standard
//! input and writes one JSON reply per line to standard output. All decisions are the balancer's.
#![forbid(unsafe_code)]

mod adapter;
mod command;
mod endpoint_message;
mod error;
mod input;
mod message;
mod requests;
mod simulated_balancer;

use adapter::Adapter;
use anyhow::Context;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run(io::stdin().lock(), io::stdout().lock()) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("simulator-adapter: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Answers each line of input until end of file.
fn run(input: impl BufRead, mut output: impl Write) -> anyhow::Result<ExitCode> {
    let mut adapter = Adapter::default();
    for (index, line) in input.lines().enumerate() {
        let position = || format!("line {}", index + 1);
        let line = line
            .context("cannot read standard input")
            .with_context(position)?;
        let reply = adapter.handle_line(&line).with_context(position)?;
        if writeln!(output, "{reply}")
            .and_then(|()| output.flush())
            .is_err()
        {
            // The simulator has closed the pipe, so no further reply can reach it.
            return Ok(ExitCode::FAILURE);
        }
    }
    Ok(ExitCode::SUCCESS)
}
