//! The client library: asks olivelatch's controllers, and says truly what came of it.
//!
//! `Tries` decides which controller is asked next and when, within one deadline; it does no I/O and reads no clock. `Client`
//! carries that out over plain connections and holds no session: every request can be asked again of any controller, and a
//! repeated submission is the same submission. `JobFile` and `Contexts` read what people write. docs/client.md argues for it.

mod client;
mod config;
mod contexts;
mod graphs;
mod jobs;
mod retry;

pub use client::{Client, ClientError, SubmissionStatus, TaskLogs};
pub use config::{ChangeAuthor, ConfigDifference, ConfigFile, ConfigFileError};
pub use contexts::{Context, Contexts, ContextsError};
pub use jobs::{JobEntry, JobFile, JobFileError, PreparedJob, new_id};
pub use retry::{AttemptOutcome, RetryDecision, RetryState};
