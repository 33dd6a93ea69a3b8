//! How a scale run fails.

use std::io;

use olivelatch_kv_store::StoreError;
use thiserror::Error;

use crate::plan::PlanError;

/// Why a run could not be started or continued.
#[derive(Debug, Error)]
pub enum ScaleError {
    /// A file, a socket or a process.
    #[error("{what}: {error}")]
    Io {
        /// What was being done.
        what: String,
        /// Why it failed.
        error: io::Error,
    },
    /// The plan is wrong.
    #[error(transparent)]
    Plan(#[from] PlanError),
    /// The kv store's file.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The machine is too small for the plan.
    #[error("refused: {0}")]
    Refused(String),
    /// A process of the run does not respond, or ended by itself.
    #[error("{0}")]
    Process(String),
    /// A message between processes of the run, or a file, is not as expected.
    #[error("{what}: {error}")]
    Json {
        /// Which one.
        what: String,
        /// Why not.
        error: serde_json::Error,
    },
}

/// An error with what was being done when an operation failed.
pub(crate) fn io_error(what: impl Into<String>) -> impl FnOnce(io::Error) -> ScaleError {
    let what = what.into();
    move |error| ScaleError::Io { what, error }
}
