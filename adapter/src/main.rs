//! Runs balancers on the simulator's wire: one JSON batch a line in, one JSON reply a line out.
//! Takes no decision of its own.
#![forbid(unsafe_code)]

mod adapter;
mod command;
mod endpoint_message;
mod error;
mod input;
mod instance;
mod message;
mod requests;

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

/// Answers each line of input until its end.
fn run(input: impl BufRead, mut output: impl Write) -> anyhow::Result<ExitCode> {
    let mut adapter = Adapter::default();
    for (index, line) in input.lines().enumerate() {
        let position = || format!("line {}", index + 1);
        let line = line.context("unreadable").with_context(position)?;
        let reply = adapter.reply(&line).with_context(position)?;
        if writeln!(output, "{reply}")
            .and_then(|()| output.flush())
            .is_err()
        {
            // The simulator has closed its end: there is nobody to report to.
            return Ok(ExitCode::FAILURE);
        }
    }
    Ok(ExitCode::SUCCESS)
}
