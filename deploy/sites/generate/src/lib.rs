//! Generates random deployments from existing site files, so that programs can be tested on more
//! deployments than the few that their maintainers know. The same base site files and seed give the
//! same generated file, byte for byte.
#![forbid(unsafe_code)]

mod error;
mod generator;

pub use error::GenerateError;

use error::MissingTable;
use generator::Generator;
use rand::seq::SliceRandom;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use toml::Table;

/// A generated deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GeneratedSite {
    /// Index of the base site file from which the deployment was generated.
    pub base_index: usize,
    /// Contents of the generated site file.
    pub text: String,
}

/// Generates a deployment: chooses one of the site files in `bases` at random and replaces parts of
/// it by random values.
///
/// # Errors
/// There is no base, or the chosen one is not a site file.
pub fn generate(bases: &[String], seed: u64) -> Result<GeneratedSite, GenerateError> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let indices: Vec<usize> = (0..bases.len()).collect();
    let base_index = *indices.choose(&mut random).ok_or(GenerateError::NoBase)?;
    let mut site: Table = bases[base_index]
        .parse()
        .map_err(|error| GenerateError::Syntax { base_index, error })?;
    site.insert("name".into(), format!("generated-{seed}").into());
    Generator::new(random)
        .randomize(&mut site)
        .map_err(|MissingTable(table)| GenerateError::MissingTable { base_index, table })?;
    let text = toml::to_string(&site).map_err(GenerateError::Output)?;
    Ok(GeneratedSite { base_index, text })
}
