//! Errors of this program itself, as opposed to violations by the proxies.

use std::io;
use std::path::PathBuf;
use thiserror::Error;
use tokio::task::JoinError;

/// Why a run could not be set up or go on.
#[derive(Debug, Error)]
pub(crate) enum SetupError {
    /// A listener could not be opened.
    #[error("no loopback port for {purpose}")]
    Listen {
        /// What was to listen.
        purpose: &'static str,
        /// What the system said.
        source: io::Error,
    },
    /// A file or folder could not be written.
    #[error("cannot write {}", path.display())]
    Write {
        /// Which.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A path of the command line could not be resolved.
    #[error("cannot resolve {}", path.display())]
    Path {
        /// Which.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The proxy's program could not be started.
    #[error("cannot start {}", path.display())]
    Spawn {
        /// The program.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A task of the run panicked.
    #[error("a task of the run ended early")]
    Task(#[from] JoinError),
}
