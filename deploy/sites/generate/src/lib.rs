//! Generates random deployments from existing site files, so that programs can be tested on more
//! deployments than the few that their maintainers know. The same base site files and seed give the
//! same generated file, byte for byte.
#![forbid(unsafe_code)]

mod error;
mod generator;

pub use error::DrawError;

use error::MissingTable;
use generator::Generator;
use rand::seq::SliceRandom;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use toml::Table;

/// A generated deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrawnSite {
    /// Index of the base site file from which the deployment was generated.
    pub base: usize,
    /// Contents of the generated site file.
    pub text: String,
}

/// Generates a deployment: chooses one of the site files in `bases` at random and replaces parts of
/// it by random values.
///
/// # Errors
/// There is no base, or the chosen one is not a site file.
pub fn draw(bases: &[String], seed: u64) -> Result<DrawnSite, DrawError> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let indices: Vec<usize> = (0..bases.len()).collect();
    let base = *indices.choose(&mut random).ok_or(DrawError::NoBase)?;
    let mut site: Table = bases[base]
        .parse()
        .map_err(|error| DrawError::Syntax { base, error })?;
    site.insert("name".into(), format!("generated-{seed}").into());
    Generator::new(random)
        .redraw(&mut site)
        .map_err(|MissingTable(table)| DrawError::MissingTable { base, table })?;
    let text = toml::to_string(&site).map_err(DrawError::Output)?;
    Ok(DrawnSite { base, text })
}
