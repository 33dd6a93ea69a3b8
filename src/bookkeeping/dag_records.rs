//! JSON formats of the durable records of graph runs and their nodes. Parts of a graph are stored as uploaded
//! (`protocol::graphs`).

use std::collections::BTreeMap;

use olivelatch_dag::{NodeOutcome, RetryState};
use serde::{Deserialize, Serialize};

use crate::protocol::graphs::{DagRunHeader, DagRunName, FailedAttempt};
use crate::protocol::users::MAX_TASKS;

/// Number of tasks whose failures share a record. Such a record, with the failures kept as evidence for each task,
/// still fits into one value of the store.
pub const RETRY_BLOCK_TASKS: u32 = 8;
/// Maximum number of failures in a node's terminal record.
pub const MAX_EVIDENCE: usize = 5;

/// The acceptance of a run, or a tombstone that prevents its acceptance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum DagRunRecord {
    /// The run was accepted.
    Accepted {
        /// Wall-clock time in milliseconds.
        at: u64,
        /// Header of the run as uploaded.
        #[serde(flatten)]
        header: DagRunHeader,
    },
    /// The uploaded parts were not committed in time and are being deleted.
    UploadExpired {
        /// Wall-clock time in milliseconds.
        swept: u64,
    },
}

/// The phase of an accepted run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunPhase {
    /// The run waits until the leader activates it, within the limit of active runs of its graph.
    #[default]
    Waiting,
    /// The ready nodes of the run become jobs.
    Active,
    /// All nodes of the run have an outcome.
    Ended,
}

/// The phase of a run, its cancellation and its reruns: the state of a run that cannot be derived from the terminal
/// records of its nodes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunPhaseRecord {
    /// Current phase.
    pub phase: RunPhase,
    /// Wall-clock time at which the current phase began, in milliseconds.
    #[serde(rename = "at")]
    pub since_wall_ms: u64,
    /// A user cancelled the run.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub cancelled: bool,
    /// Whether the run succeeded; None until all its nodes have an outcome.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "well")]
    pub succeeded: Option<bool>,
    /// The run is finished and its records are being deleted.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    #[serde(rename = "gone")]
    pub deleting: bool,
    /// Parts that describe the reruns, in order: first part and number of parts of each rerun.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "redos")]
    pub reruns: Vec<(u32, u32)>,
}

impl RunPhaseRecord {
    /// Returns the number of the first part of the next rerun; `graph_parts` is how many parts the graph itself has.
    pub fn next_rerun_part(&self, graph_parts: u32) -> u32 {
        self.reruns.last().map_or(graph_parts, |(first, count)| first + count)
    }
}

/// The outcome of a node. For a successful node, writing this record publishes the output.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeTerminalRecord {
    /// Name of the run.
    pub run: String,
    /// Name of the node.
    #[serde(rename = "n")]
    pub name: String,
    /// Outcome of the node.
    #[serde(rename = "o")]
    pub outcome: NodeOutcome,
    /// Attempt whose output is published.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub attempt: Option<u64>,
    /// Length of the list that the node produced for mapped nodes.
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    pub list_len: Option<u32>,
    /// Failures of the node's tasks, at most [`MAX_EVIDENCE`].
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub evidence: Vec<FailedAttempt>,
}

impl NodeTerminalRecord {
    /// Returns a record without attempt, list and evidence.
    pub fn new(run: &DagRunName, name: &str, outcome: NodeOutcome) -> NodeTerminalRecord {
        let (run, name) = (run.to_string(), name.to_string());
        NodeTerminalRecord { run, name, outcome, attempt: None, list_len: None, evidence: Vec::new() }
    }

    /// Returns the length of the node's list, if a job may have that many tasks.
    pub fn valid_list_len(&self) -> Option<u32> {
        self.list_len.filter(|len| *len <= MAX_TASKS)
    }
}

/// Recorded failures of the tasks of one block.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryStateRecord {
    /// Retry state by task number.
    #[serde(rename = "tasks")]
    pub by_task: BTreeMap<u32, RetryState>,
}

#[cfg(test)]
#[path = "tests/dag_records.rs"]
mod tests;
