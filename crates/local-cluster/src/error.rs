//! Errors of a local cluster.

use std::io;

use olivelatch_kv_store::StoreError;
use thiserror::Error;

/// Reasons why a local cluster cannot be opened or stops with an error.
#[derive(Debug, Error)]
pub enum LocalClusterError {
    /// An operation on a file, a socket or a process failed.
    #[error("{operation}: {error}")]
    Io {
        /// The operation that failed.
        operation: String,
        /// The underlying error.
        error: io::Error,
    },
    /// The state file cannot be read or written.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A file or a record cannot be decoded from JSON, or encoded as JSON.
    #[error("{file}: invalid JSON: {error}")]
    Json {
        /// Path of the file, or name of the record in the state file.
        file: String,
        /// The error of the JSON parser or writer.
        error: serde_json::Error,
    },
}

/// Returns a function that adds the failed operation to an I/O error.
pub(crate) fn io_error(operation: impl Into<String>) -> impl FnOnce(io::Error) -> LocalClusterError {
    let operation = operation.into();
    move |error| LocalClusterError::Io { operation, error }
}
