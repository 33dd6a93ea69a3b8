//! How a region fails.

use std::io;

use olivelatch_kv_store::StoreError;
use thiserror::Error;

/// Why a region could not be opened or went down.
#[derive(Debug, Error)]
pub enum LocalClusterError {
    /// A file, a socket or a process.
    #[error("{what}: {error}")]
    Io {
        /// What was being done.
        what: String,
        /// Why it failed.
        error: io::Error,
    },
    /// The state file.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// JSON that cannot be read or written.
    #[error("{file}: {error}")]
    Addresses {
        /// The file, or the record in the state file.
        file: String,
        /// Why not.
        error: serde_json::Error,
    },
}

pub(crate) fn io_error(what: impl Into<String>) -> impl FnOnce(io::Error) -> LocalClusterError {
    let what = what.into();
    move |error| LocalClusterError::Io { what, error }
}
