//! Draws deployments from existing site files, so that a program can be tested on more than the few
//! that its maintainers know. The same bases and seed give the same file, byte for byte.
#![forbid(unsafe_code)]

mod error;
mod generator;

pub use error::DrawError;

use generator::Generator;
use rand::seq::SliceRandom;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use toml::Table;

/// A drawn deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrawnSite {
    /// Index of the base whose endpoints it has.
    pub base: usize,
    /// The site file.
    pub text: String,
}

/// Draws a deployment from the site files in `bases`.
///
/// # Errors
/// There is no base, or one is not a site file.
pub fn draw(bases: &[String], seed: u64) -> Result<DrawnSite, DrawError> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let indices: Vec<usize> = (0..bases.len()).collect();
    let base = *indices.choose(&mut random).ok_or(DrawError::NoBase)?;
    let mut site: Table = bases[base].parse().map_err(DrawError::Syntax)?;
    site.insert("name".into(), format!("generated-{seed}").into());
    Generator::new(random).redraw(&mut site)?;
    let text = toml::to_string(&site).map_err(DrawError::Output)?;
    Ok(DrawnSite { base, text })
}
