//! Errors of this program, as opposed to violations by the proxies.

use std::io;
use std::path::PathBuf;
use thiserror::Error;
use tokio::task::JoinError;

/// Reason why a run could not be set up or continued.
#[derive(Debug, Error)]
pub(crate) enum SetupError {
    /// A listener could not be opened.
    #[error("cannot open a loopback listener for {purpose}")]
    Listen {
        /// What the listener was for.
        purpose: &'static str,
        /// The system's error.
        source: io::Error,
    },
    /// A file or folder could not be written.
    #[error("cannot write {}", path.display())]
    Write {
        /// The path.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// A path from the command line could not be resolved.
    #[error("cannot resolve {}", path.display())]
    Path {
        /// The path.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The proxy's executable could not be started.
    #[error("cannot start {}", path.display())]
    Spawn {
        /// Path of the executable.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// A task of the run panicked or was cancelled.
    #[error("a task of the run panicked or was cancelled")]
    Task(#[from] JoinError),
}
