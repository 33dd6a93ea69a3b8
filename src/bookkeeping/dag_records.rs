//! Durable records of graph runs and of their nodes: JSON only. Parts of a graph are stored as they are uploaded
//! (`protocol::graphs`).

use std::collections::BTreeMap;

use olivelatch_dag::{NodeOutcome, RetryState};
use serde::{Deserialize, Serialize};

use crate::protocol::graphs::{DagRunHeader, DagRunName, FailedAttempt};
use crate::protocol::users::MAX_TASKS;

/// Tasks whose failures share a record: with the failures kept as evidence of each, it still fits a value of the
/// store.
pub const RETRY_BLOCK_TASKS: u32 = 8;
/// Failures in a node's terminal record.
pub const MAX_EVIDENCE: usize = 5;

/// The acceptance of a run, or a tombstone that prevents it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum DagRunRecord {
    /// It was accepted.
    Accepted {
        /// Wall-clock time in milliseconds.
        at: u64,
        /// As uploaded.
        #[serde(flatten)]
        header: DagRunHeader,
    },
    /// Its parts were not committed in time and are being deleted.
    UploadExpired {
        /// Wall-clock time in milliseconds.
        swept: u64,
    },
}

/// The phase of an accepted run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunPhase {
    /// Other runs of the graph come first.
    #[default]
    Waiting,
    /// Its ready nodes are jobs.
    Active,
    /// All its nodes have ended.
    Ended,
}

/// The phase of a run and what users did to it: all that does not follow from the terminal records of its nodes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunPhaseRecord {
    /// The phase it is in.
    pub phase: RunPhase,
    /// Wall-clock time at which the phase began, in milliseconds.
    #[serde(rename = "at")]
    pub since_wall_ms: u64,
    /// A user cancelled it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub cancelled: bool,
    /// Whether it succeeded, once it has ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "well")]
    pub succeeded: Option<bool>,
    /// It has ended and its records are being deleted.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    #[serde(rename = "gone")]
    pub deleting: bool,
    /// Parts that describe its reruns, in order: the first of each rerun, and how many.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "redos")]
    pub reruns: Vec<(u32, u32)>,
}

impl RunPhaseRecord {
    /// The number of the part with which the next rerun begins; `graph_parts`: how many parts the graph itself has.
    pub fn next_rerun_part(&self, graph_parts: u32) -> u32 {
        self.reruns.last().map_or(graph_parts, |(first, count)| first + count)
    }
}

/// How a node ended. For a successful node, writing it publishes the output.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeTerminalRecord {
    /// Name of the run.
    pub run: String,
    /// Name of the node.
    #[serde(rename = "n")]
    pub name: String,
    /// How it ended.
    #[serde(rename = "o")]
    pub outcome: NodeOutcome,
    /// The attempt whose output is published.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub attempt: Option<u64>,
    /// Length of the list that the node produced for mapped nodes.
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    pub list_len: Option<u32>,
    /// Failures of its tasks, at most [`MAX_EVIDENCE`].
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub evidence: Vec<FailedAttempt>,
}

impl NodeTerminalRecord {
    /// Without attempt, list and evidence.
    pub fn new(run: &DagRunName, name: &str, outcome: NodeOutcome) -> NodeTerminalRecord {
        let (run, name) = (run.to_string(), name.to_string());
        NodeTerminalRecord { run, name, outcome, attempt: None, list_len: None, evidence: Vec::new() }
    }

    /// The length of its list, if a job may have that many tasks.
    pub fn valid_list_len(&self) -> Option<u32> {
        self.list_len.filter(|len| *len <= MAX_TASKS)
    }
}

/// Failures of the tasks of one block.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryStateRecord {
    /// By task number.
    #[serde(rename = "tasks")]
    pub by_task: BTreeMap<u32, RetryState>,
}

#[cfg(test)]
#[path = "tests/dag_records.rs"]
mod tests;
