//! Writes a drawn deployment into a folder, with the files that its base's folder has beside the
//! site file.
#![forbid(unsafe_code)]

use anyhow::Context;
use clap::Parser;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Files that a site file needs in its folder.
const COMPANION_FILES: [&str; 3] = ["wire.json", "real.json", "unlock.txt"];

/// Draws a deployment from site files.
#[derive(Parser)]
struct Arguments {
    /// The same bases and seed give the same deployment.
    #[arg(long)]
    seed: u64,
    /// Folder for site.toml and the files that it needs; created if absent.
    #[arg(long)]
    out: PathBuf,
    /// Site files to draw from.
    #[arg(required = true)]
    bases: Vec<PathBuf>,
}

fn main() -> ExitCode {
    match run(&Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("site-generator: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &Arguments) -> anyhow::Result<()> {
    let read =
        |path: &PathBuf| fs::read_to_string(path).with_context(|| path.display().to_string());
    let bases = arguments
        .bases
        .iter()
        .map(read)
        .collect::<Result<Vec<_>, _>>()?;
    let site = site_generator::draw(&bases, arguments.seed)?;
    fs::create_dir_all(&arguments.out).with_context(|| arguments.out.display().to_string())?;
    let path = arguments.out.join("site.toml");
    fs::write(&path, site.text).with_context(|| path.display().to_string())?;
    let base_folder = arguments.bases[site.base]
        .parent()
        .unwrap_or(Path::new("."));
    for name in COMPANION_FILES {
        let from = base_folder.join(name);
        let to = arguments.out.join(name);
        let bytes = fs::read(&from).with_context(|| from.display().to_string())?;
        fs::write(&to, bytes).with_context(|| to.display().to_string())?;
    }
    Ok(())
}
