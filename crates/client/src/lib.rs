//! The client library: sends requests to olivelatch's controllers, and reports truly what came of them.
//!
//! `RetryState` decides which controller is tried next and when, within one deadline; it does no I/O and reads no clock.
//! `Client` carries that out over plain connections and holds no session: every request can be sent again to any controller,
//! and a repeated submission is the same submission. `JobFile`, `ConfigFile` and `Contexts` read what people write.
//! docs/client.md gives the reasons.

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
pub use job_requests::{AttemptLog, SubmissionStatus, TaskLogs};
pub use jobs::{JobEntry, JobEntryError, JobFile, JobFileError, JobFileFormat, PreparedJob};
