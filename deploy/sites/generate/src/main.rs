//! Writes a drawn deployment into a folder, with the files that its base's folder holds beside the site file.
#![forbid(unsafe_code)]

use clap::Parser;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Files that a site file needs in its folder.
const COMPANIONS: [&str; 3] = ["wire.json", "real.json", "unlock.txt"];

/// Draws a deployment from site files.
#[derive(Parser)]
struct Arguments {
    /// The same bases and seed give the same deployment.
    #[arg(long)]
    seed: u64,
    /// The folder that gets site.toml and what it needs; made if it is not there.
    #[arg(long)]
    out: PathBuf,
    /// Site files to draw from.
    #[arg(required = true)]
    bases: Vec<PathBuf>,
}

fn main() -> ExitCode {
    match run(&Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            eprintln!("site-generator: {reason}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &Arguments) -> Result<(), String> {
    let named = |path: &Path| {
        let path = path.display().to_string();
        move |error| format!("{path}: {error}")
    };
    let texts = arguments.bases.iter().map(|path| std::fs::read_to_string(path).map_err(named(path)));
    let texts = texts.collect::<Result<Vec<_>, _>>()?;
    let (base, site) = site_generator::draw(&texts, arguments.seed).map_err(|error| error.to_string())?;
    std::fs::create_dir_all(&arguments.out).map_err(named(&arguments.out))?;
    let file = arguments.out.join("site.toml");
    std::fs::write(&file, site).map_err(named(&file))?;
    let folder = arguments.bases[base].parent().unwrap_or(Path::new("."));
    for name in COMPANIONS {
        let (from, to) = (folder.join(name), arguments.out.join(name));
        let bytes = std::fs::read(&from).map_err(named(&from))?;
        std::fs::write(&to, bytes).map_err(named(&to))?;
    }
    Ok(())
}
