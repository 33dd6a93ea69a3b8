//! The errors of a scale run.

use std::io;

use olivelatch_kv_store::StoreError;
use thiserror::Error;

use crate::plan::PlanError;

/// The reason why a run could not be started or continued.
#[derive(Debug, Error)]
pub enum ScaleError {
    /// An operation on a file, a socket or a process failed.
    #[error("{what}: {error}")]
    Io {
        /// The operation or the file that failed.
        what: String,
        /// Error of the operating system.
        error: io::Error,
    },
    /// The plan cannot be read or is invalid.
    #[error(transparent)]
    Plan(#[from] PlanError),
    /// The kv store's file cannot be opened or written.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The machine is too small for the plan, or the processes use more memory than the limit.
    #[error("refused: {0}")]
    Refused(String),
    /// A process of the run does not respond, exited unexpectedly or received an invalid address, no controller
    /// became leader, or the memory of the machine cannot be read.
    #[error("{0}")]
    Process(String),
    /// A message between processes of the run, or the report, cannot be converted to or from JSON.
    #[error("{what}: {error}")]
    Json {
        /// The message or the file.
        what: String,
        /// Error of the JSON conversion.
        error: serde_json::Error,
    },
}

/// Returns a function that wraps an I/O error; `what` names the operation or the file that failed.
pub(crate) fn io_error(what: impl Into<String>) -> impl FnOnce(io::Error) -> ScaleError {
    let what = what.into();
    move |error| ScaleError::Io { what, error }
}
