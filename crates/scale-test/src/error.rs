//! What can go wrong in a scale run.

use std::io;

use olivelatch_kv_store::StoreError;
use thiserror::Error;

use crate::plan::PlanError;

/// Why a run could not be started or gone on with.
#[derive(Debug, Error)]
pub enum ScaleError {
    #[error("{what}: {error}")]
    Io { what: String, error: io::Error },
    #[error(transparent)]
    Plan(#[from] PlanError),
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The machine is too small for the plan.
    #[error("refused: {0}")]
    Refused(String),
    /// A process of the run does not answer, or ended by itself.
    #[error("{0}")]
    Process(String),
    /// What a process of the run said is not what was expected.
    #[error("{what}: {error}")]
    Json { what: String, error: serde_json::Error },
}

/// Names what was being done when an operation failed.
pub(crate) fn io_error(what: impl Into<String>) -> impl FnOnce(io::Error) -> ScaleError {
    let what = what.into();
    move |error| ScaleError::Io { what, error }
}
