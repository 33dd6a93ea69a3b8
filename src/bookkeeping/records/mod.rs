//! The durable records of the cluster: their keys in the key-value store and their JSON.
//!
//! This module only converts between types and text. [`store_cache`](super::store_cache) interprets the records, and
//! the leader decides when to write them. Stored field names are fixed (`serde(rename)`): records of earlier versions
//! must stay readable.

mod assignment_log;
mod controller;
mod key;
mod machine;
mod terminal;

use serde::{Deserialize, Serialize};

use crate::protocol::users::JobManifest;

pub use assignment_log::{AssignmentLogRecord, max_tasks_per_machine};
pub use controller::LeaderRecord;
pub use key::{GRAPH_ACCEPTANCE_KEY, KEY_PREFIX, LEADER_KEY, RecordKey};
pub use machine::{LegacyMachineRecord, MachineDescriptor, ProvisioningRecord, RecordedMachine};
pub use terminal::{TerminalDetail, TerminalRecord};

/// The record of an accepted job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Wall-clock time of acceptance, in milliseconds.
    #[serde(rename = "at")]
    pub accepted_wall_ms: u64,
    /// Manifest as submitted.
    #[serde(rename = "spec")]
    pub manifest: JobManifest,
}

/// The finished tasks of one block of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FinishedRecord {
    /// Block as encoded by [`BitSet::encode_block`](super::bit_set::BitSet::encode_block).
    #[serde(rename = "tasks")]
    pub encoded_tasks: String,
}
