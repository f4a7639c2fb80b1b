//! Errors of drawing a deployment.

use thiserror::Error;

/// Why no deployment could be drawn.
#[derive(Debug, Error)]
pub enum DrawError {
    /// There is no file to draw from.
    #[error("no site file to draw from")]
    NoBase,
    /// A base is not TOML.
    #[error("not a site file: {0}")]
    Syntax(toml::de::Error),
    /// A base lacks a table that every site file has.
    #[error("not a site file: there is no table '{0}'")]
    MissingTable(&'static str),
    /// The drawn deployment cannot be written as TOML.
    #[error("the drawn site cannot be written: {0}")]
    Output(toml::ser::Error),
}
