//! The record of a job's terminal state. It is created once and kept for good.

use serde::{Deserialize, Serialize};

use olivelatch_dag::NodeOutcome;

use crate::bookkeeping::dag_records::NodeTerminalRecord;
use crate::bookkeeping::jobs::TerminalState;

/// [`TerminalState`] in the words on disk.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum StoredTerminalState {
    Done,
    #[serde(rename = "withdrawn")]
    Cancelled,
}

impl From<TerminalState> for StoredTerminalState {
    fn from(state: TerminalState) -> StoredTerminalState {
        match state {
            TerminalState::Done => StoredTerminalState::Done,
            TerminalState::Cancelled => StoredTerminalState::Cancelled,
        }
    }
}

/// How and when a job ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TerminalRecord {
    #[serde(rename = "end")]
    state: StoredTerminalState,
    /// Wall-clock time of the end, in milliseconds.
    #[serde(rename = "at")]
    pub ended_wall_ms: u64,
    /// What operators see of the job once its other records are deleted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<TerminalDetail>,
    /// For a job that is a node of a graph.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "node")]
    pub node_terminal: Option<NodeTerminalRecord>,
}

/// What is kept of an ended job for operators, if their interface is enabled. Wall-clock times in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TerminalDetail {
    /// Name of the team.
    pub team: String,
    /// Name of the job class.
    pub class: String,
    /// Number of tasks.
    pub tasks: u32,
    /// When the job was accepted.
    #[serde(rename = "accepted")]
    pub accepted_wall_ms: u64,
    /// When the leader saw the first task run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "first")]
    pub first_start_wall_ms: Option<u64>,
}

impl TerminalRecord {
    /// The record of a plain job.
    pub fn new(state: TerminalState, ended_wall_ms: u64, detail: Option<TerminalDetail>) -> TerminalRecord {
        TerminalRecord { state: state.into(), ended_wall_ms, detail, node_terminal: None }
    }

    /// The record of a graph node's job: done if the node succeeded, cancelled otherwise.
    pub fn for_node(
        node: NodeTerminalRecord,
        ended_wall_ms: u64,
        detail: Option<TerminalDetail>,
    ) -> TerminalRecord {
        let state = match node.outcome {
            NodeOutcome::Success => TerminalState::Done,
            _ => TerminalState::Cancelled,
        };
        TerminalRecord { node_terminal: Some(node), ..TerminalRecord::new(state, ended_wall_ms, detail) }
    }

    /// How the job ended.
    pub fn terminal_state(&self) -> TerminalState {
        match self.state {
            StoredTerminalState::Done => TerminalState::Done,
            StoredTerminalState::Cancelled => TerminalState::Cancelled,
        }
    }
}
