//! The olivelatch client library: sends requests to the controllers and reports their outcome, also if it is unknown.
//!
//! `RetryState` decides which controller is tried next and when, within one deadline; it does no I/O and
//! reads no clock. `Client` sends the requests, each over its own connection, and keeps no session: every
//! request can be repeated against any controller, and submissions are idempotent. `JobFile`, `ConfigFile`
//! and `Contexts` parse the files that users write. docs/client.md gives the reasons.

#![warn(missing_docs)]

mod client;
mod config;
mod contexts;
mod exchange;
mod graphs;
mod job_requests;
mod jobs;
mod retry;

pub use client::Client;
pub use config::{ChangeAuthor, ConfigDifference, ConfigFile, ConfigFileError};
pub use contexts::{Context, Contexts, ContextsError};
pub use exchange::ClientError;
pub use job_requests::{AttemptLog, JobStatusResponse, TaskLogs};
pub use jobs::{JobEntry, JobEntryError, JobFile, JobFileError, JobFileFormat, PreparedJob};
