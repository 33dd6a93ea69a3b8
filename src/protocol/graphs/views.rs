//! Views of DAG runs and their nodes, as shown to operators.

use std::collections::BTreeMap;

use olivelatch_dag::{Failure, TriggerRule};
use serde::{Deserialize, Serialize};

/// The state of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DagRunState {
    /// The run has not started because the graph's limit of active runs is reached.
    Waiting,
    Running,
    Cancelling,
    Success,
    Failed,
    Cancelled,
}

impl DagRunState {
    /// Returns the name used on the wire and in tables.
    pub fn as_str(self) -> &'static str {
        match self {
            DagRunState::Waiting => "waiting",
            DagRunState::Running => "running",
            DagRunState::Cancelling => "cancelling",
            DagRunState::Success => "success",
            DagRunState::Failed => "failed",
            DagRunState::Cancelled => "cancelled",
        }
    }

    /// Returns whether the run has reached a final state.
    pub fn is_terminal(self) -> bool {
        matches!(self, DagRunState::Success | DagRunState::Failed | DagRunState::Cancelled)
    }
}

/// One run in a list. Times are wall-clock times in milliseconds since the Unix epoch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DagRunSummary {
    pub run: String,
    pub graph: String,
    pub state: DagRunState,
    /// Number of nodes.
    pub nodes: u32,
    /// Number of nodes in each state, by the name of the state.
    #[serde(rename = "states")]
    pub node_states: BTreeMap<String, u32>,
    pub accepted_ms: u64,
    /// Null until the run has reached a final state.
    #[serde(rename = "ended_ms")]
    pub finished_ms: Option<u64>,
    /// Index that the first part of the next rerun must have.
    pub next_part: u32,
}

/// A page of runs, sorted by name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DagRunList {
    /// Name of the controller that responded.
    #[serde(rename = "node")]
    pub controller: String,
    /// Revision of the key-value store up to which the list is complete.
    pub revision: u64,
    pub runs: Vec<DagRunSummary>,
    /// The value of `after` for the next page; null on the last page.
    pub next: Option<String>,
}

/// The state of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DagNodeState {
    Waiting,
    /// Its tasks may run, but none is running yet.
    Ready,
    Running,
    /// Its tasks may run, and at least one of them has failed and waits for its retry.
    UpForRetry,
    Success,
    Failed,
    UpstreamFailed,
    Skipped,
    Cancelled,
}

impl DagNodeState {
    /// Returns the name used on the wire and in tables.
    pub fn as_str(self) -> &'static str {
        match self {
            DagNodeState::Waiting => "waiting",
            DagNodeState::Ready => "ready",
            DagNodeState::Running => "running",
            DagNodeState::UpForRetry => "up_for_retry",
            DagNodeState::Success => "success",
            DagNodeState::Failed => "failed",
            DagNodeState::UpstreamFailed => "upstream_failed",
            DagNodeState::Skipped => "skipped",
            DagNodeState::Cancelled => "cancelled",
        }
    }
}

/// An attempt that failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedAttempt {
    /// Index of the task within its job.
    #[serde(rename = "t")]
    pub task: u32,
    #[serde(flatten)]
    pub failure: Failure,
}

/// One node of a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DagNodeView {
    pub name: String,
    /// Id of the job that runs the node.
    pub job: String,
    pub state: DagNodeState,
    #[serde(rename = "rule")]
    pub trigger_rule: TriggerRule,
    /// Ranges of its upstream nodes: the index of the first node, and the length of the range.
    #[serde(rename = "after")]
    pub upstream: Vec<(u32, u32)>,
    /// For a mapped node, the index of the node whose output list it maps over.
    #[serde(rename = "map")]
    pub mapped_from: Option<u32>,
    /// Number of tasks; null for a mapped node until the length of the list is known.
    pub tasks: Option<u32>,
    /// Number of tasks done.
    pub done: u32,
    /// Number of tasks running.
    pub running: u32,
    /// Run time of a task as the user estimates it, in seconds.
    #[serde(rename = "guess_s")]
    pub estimated_run_s: f64,
    /// Estimated run time of the longest path downstream of the node, in seconds.
    #[serde(rename = "ahead_s")]
    pub downstream_path_s: f64,
    /// The attempt whose output was published; null if there is none.
    #[serde(rename = "attempt")]
    pub published_attempt: Option<u64>,
    /// Length of the output list that the attempt published.
    #[serde(rename = "gave")]
    pub output_list_len: Option<u32>,
    /// Wall-clock time in milliseconds since the Unix epoch; null until the node has finished.
    #[serde(rename = "ended_ms")]
    pub finished_ms: Option<u64>,
    /// The latest failed attempts: a bounded number of them, not necessarily of all tasks.
    #[serde(rename = "evidence")]
    pub failed_attempts: Vec<FailedAttempt>,
}

/// One run with a page of its nodes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DagRunDetail {
    /// Name of the controller that responded.
    #[serde(rename = "node")]
    pub controller: String,
    #[serde(rename = "row")]
    pub summary: DagRunSummary,
    /// Index of the first node of the page.
    #[serde(rename = "first")]
    pub first_node: u32,
    pub nodes: Vec<DagNodeView>,
    /// The value of `after` for the next page; null on the last page.
    pub next: Option<u32>,
}
