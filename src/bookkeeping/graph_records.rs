//! Durable records of graphs. Parts are as on the wire (`protocol::graphs`).

use std::collections::BTreeMap;

use olivelatch_graph::{Outcome, Tries};
use serde::{Deserialize, Serialize};

use crate::protocol::graphs::{Evidence, GraphHeader, RunName};
use crate::protocol::users::MOST_TASKS;

/// Tasks whose failures share a record: with three failures of each as evidence it still fits a value.
pub const TRIES_BLOCK: u32 = 8;
/// Failures told by the end of a node.
pub const MOST_EVIDENCE: usize = 5;

/// The acceptance of a run, or the word that nobody may accept it any more.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum GraphRecord {
    Accepted {
        at: u64,
        #[serde(flatten)]
        header: GraphHeader,
    },
    /// Its parts were not committed in time and are being removed.
    Swept { swept: u64 },
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    #[default]
    Waiting,
    Active,
    Ended,
}

/// How far a run is, as far as its nodes' ends do not tell it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnRecord {
    pub phase: Phase,
    /// Time of day of the phase.
    pub at: u64,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub cancelled: bool,
    /// Of a run that has ended: did it go well?
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub well: Option<bool>,
    /// It has ended and is being forgotten.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub gone: bool,
    /// Parts that do nodes over: the first, and how many.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub redos: Vec<(u32, u32)>,
}

impl TurnRecord {
    /// Where the next parts that do nodes over begin.
    pub fn next_part(&self, first: u32) -> u32 {
        self.redos.last().map_or(first, |(from, parts)| from + parts)
    }
}

/// How a node ended. With success it is the publication of its output.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeEnd {
    pub run: String,
    #[serde(rename = "n")]
    pub name: String,
    #[serde(rename = "o")]
    pub outcome: Outcome,
    /// The attempt that won.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub attempt: Option<u64>,
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    pub gave: Option<u32>,
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub evidence: Vec<Evidence>,
}

impl NodeEnd {
    pub fn new(run: &RunName, name: &str, outcome: Outcome) -> NodeEnd {
        let (run, name) = (run.to_string(), name.to_string());
        NodeEnd { run, name, outcome, attempt: None, gave: None, evidence: Vec::new() }
    }

    /// The length of its list, if a job may have so many tasks.
    pub fn list(&self) -> Option<u32> {
        self.gave.filter(|gave| *gave <= MOST_TASKS)
    }
}

/// Failures of the tasks of a block, by task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TriesRecord {
    pub tasks: BTreeMap<u32, Tries>,
}

#[cfg(test)]
#[path = "tests/graph_records.rs"]
mod tests;
