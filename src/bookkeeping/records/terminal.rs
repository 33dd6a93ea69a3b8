//! The record of a job's terminal state. It is created once and never changed or deleted.

use serde::{Deserialize, Serialize};

use olivelatch_dag::NodeOutcome;

use crate::bookkeeping::dag_records::NodeTerminalRecord;
use crate::bookkeeping::jobs::TerminalState;

/// [`TerminalState`] with the names that are stored.
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

/// The terminal state of a job, and when it was reached.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TerminalRecord {
    #[serde(rename = "end")]
    state: StoredTerminalState,
    /// Wall-clock time at which the terminal state was reached, in milliseconds.
    #[serde(rename = "at")]
    pub ended_wall_ms: u64,
    /// Data shown to operators after the job's other records are deleted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<TerminalDetail>,
    /// Outcome of the node, for a job that is a graph node.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "node")]
    pub node_terminal: Option<NodeTerminalRecord>,
}

/// Data of a finished job that is kept for operators if their interface is enabled. Wall-clock times in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TerminalDetail {
    /// Name of the team.
    pub team: String,
    /// Name of the job class.
    pub class: String,
    /// Number of tasks.
    pub tasks: u32,
    /// Time of acceptance.
    #[serde(rename = "accepted")]
    pub accepted_wall_ms: u64,
    /// Time at which the leader observed the first running task, if it did.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "first")]
    pub first_start_wall_ms: Option<u64>,
}

impl TerminalRecord {
    /// Returns the record of a job that is not a graph node.
    pub fn new(state: TerminalState, ended_wall_ms: u64, detail: Option<TerminalDetail>) -> TerminalRecord {
        TerminalRecord { state: state.into(), ended_wall_ms, detail, node_terminal: None }
    }

    /// Returns the record of a graph node's job: `Done` if the node succeeded, `Cancelled` otherwise.
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

    /// Returns the terminal state of the job.
    pub fn terminal_state(&self) -> TerminalState {
        match self.state {
            StoredTerminalState::Done => TerminalState::Done,
            StoredTerminalState::Cancelled => TerminalState::Cancelled,
        }
    }
}
