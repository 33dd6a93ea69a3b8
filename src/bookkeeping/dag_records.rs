//! Durable records of graphs. Parts are as on the wire (`protocol::graphs`).

use std::collections::BTreeMap;

use olivelatch_dag::{NodeOutcome, RetryState};
use serde::{Deserialize, Serialize};

use crate::protocol::graphs::{DagRunHeader, DagRunName, FailedAttempt};
use crate::protocol::users::MAX_TASKS;

/// Tasks whose failures share a record: with three failures of each as evidence it still fits a value.
pub const RETRY_BLOCK_TASKS: u32 = 8;
/// Failures told by the end of a node.
pub const MAX_EVIDENCE: usize = 5;

/// The acceptance of a run, or the word that nobody may accept it any more.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum DagRunRecord {
    Accepted {
        at: u64,
        #[serde(flatten)]
        header: DagRunHeader,
    },
    /// Its parts were not committed in time and are being removed.
    UploadExpired { swept: u64 },
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunPhase {
    #[default]
    Waiting,
    Active,
    Ended,
}

/// How far a run is, as far as its nodes' ends do not tell it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunPhaseRecord {
    pub phase: RunPhase,
    /// Time of day of the phase.
    #[serde(rename = "at")]
    pub since_wall_ms: u64,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub cancelled: bool,
    /// Of a run that has ended: did it go well?
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "well")]
    pub succeeded: Option<bool>,
    /// It has ended and is being forgotten.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    #[serde(rename = "gone")]
    pub deleting: bool,
    /// Parts that do nodes over: the first, and how many.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "redos")]
    pub reruns: Vec<(u32, u32)>,
}

impl RunPhaseRecord {
    /// Where the next parts that do nodes over begin.
    pub fn next_rerun_part(&self, first: u32) -> u32 {
        self.reruns.last().map_or(first, |(from, parts)| from + parts)
    }
}

/// How a node ended. With success it is the publication of its output.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeTerminalRecord {
    pub run: String,
    #[serde(rename = "n")]
    pub name: String,
    #[serde(rename = "o")]
    pub outcome: NodeOutcome,
    /// The attempt that won.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub attempt: Option<u64>,
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    pub list_len: Option<u32>,
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub evidence: Vec<FailedAttempt>,
}

impl NodeTerminalRecord {
    pub fn new(run: &DagRunName, name: &str, outcome: NodeOutcome) -> NodeTerminalRecord {
        let (run, name) = (run.to_string(), name.to_string());
        NodeTerminalRecord { run, name, outcome, attempt: None, list_len: None, evidence: Vec::new() }
    }

    /// The length of its list, if a job may have so many tasks.
    pub fn valid_list_len(&self) -> Option<u32> {
        self.list_len.filter(|gave| *gave <= MAX_TASKS)
    }
}

/// Failures of the tasks of a block, by task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryStateRecord {
    #[serde(rename = "tasks")]
    pub by_task: BTreeMap<u32, RetryState>,
}

#[cfg(test)]
#[path = "tests/dag_records.rs"]
mod tests;
