//! Errors of generating a deployment.

use thiserror::Error;

/// Why no deployment could be generated. Messages number the base site files from 1, in the order
/// in which they were given.
#[derive(Debug, Error)]
pub enum GenerateError {
    /// There is no base site file.
    #[error("no base site file was given; at least one is required")]
    NoBase,
    /// A base is not TOML.
    #[error("base {} is not a site file: it is not valid TOML: {error}", base_index + 1)]
    Syntax {
        /// Index of the base, from 0.
        base_index: usize,
        /// Where the text is not TOML, and why.
        error: toml::de::Error,
    },
    /// A base lacks a table or an array of tables that every site file has, or has a value of
    /// another type in its place.
    #[error(
        "base {} is not a site file: '{table}' is missing or has the wrong type",
        base_index + 1
    )]
    MissingTable {
        /// Index of the base, from 0.
        base_index: usize,
        /// Path of the table or array.
        table: &'static str,
    },
    /// The generated deployment cannot be written as TOML.
    #[error("the generated site cannot be serialized as TOML: {0}")]
    Output(toml::ser::Error),
}

/// A table or an array of tables that every site file has is missing or has another type; the field
/// is its path.
#[derive(Debug)]
pub(crate) struct MissingTable(pub(crate) &'static str);
