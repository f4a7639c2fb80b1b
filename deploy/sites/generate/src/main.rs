//! Writes a generated deployment into a folder: the site file, and copies of the files that have to
//! be in its folder, from the folder of the base site file.
#![forbid(unsafe_code)]

use anyhow::Context;
use clap::Parser;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Files that belong to a site file and have to be in its folder.
const COMPANION_FILES: [&str; 3] = ["wire.json", "real.json", "unlock.txt"];

/// Generates a random deployment from existing site files.
#[derive(Parser)]
struct Arguments {
    /// Seed of the random numbers. The same base site files and seed give the same deployment.
    #[arg(long)]
    seed: u64,
    /// Folder for the generated site.toml and the files beside it; created if absent.
    #[arg(long)]
    out: PathBuf,
    /// Base site files, one of which is chosen at random.
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
    let read = |path: &PathBuf| {
        fs::read_to_string(path)
            .with_context(|| format!("cannot read base site file {}", path.display()))
    };
    let bases = arguments
        .bases
        .iter()
        .map(read)
        .collect::<Result<Vec<_>, _>>()?;
    let site = site_generator::generate(&bases, arguments.seed)?;
    fs::create_dir_all(&arguments.out)
        .with_context(|| format!("cannot create folder {}", arguments.out.display()))?;
    let path = arguments.out.join("site.toml");
    fs::write(&path, site.text).with_context(|| format!("cannot write {}", path.display()))?;
    let base_folder = arguments.bases[site.base_index]
        .parent()
        .unwrap_or(Path::new("."));
    for name in COMPANION_FILES {
        let from = base_folder.join(name);
        let to = arguments.out.join(name);
        let bytes = fs::read(&from).with_context(|| {
            format!(
                "cannot read {}, which belongs to the base site file",
                from.display()
            )
        })?;
        fs::write(&to, bytes).with_context(|| format!("cannot write {}", to.display()))?;
    }
    Ok(())
}
