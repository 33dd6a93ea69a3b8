//! Runs and their nodes as operators see them.

use std::collections::BTreeMap;

use olivelatch_dag::{Failure, TriggerRule};
use serde::{Deserialize, Serialize};

/// Where a run is in its life.

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DagRunState {
    /// As many runs of the graph as allowed are active.
    Waiting,
    Running,
    Cancelling,
    Success,
    Failed,
    Cancelled,
}

impl DagRunState {
    /// The name used on the wire and in tables.
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

    /// Whether the run is over.
    pub fn is_terminal(self) -> bool {
        matches!(self, DagRunState::Success | DagRunState::Failed | DagRunState::Cancelled)
    }
}

/// One run of a list. Times are times of day in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DagRunSummary {
    pub run: String,
    pub graph: String,
    pub state: DagRunState,
    pub nodes: u32,
    /// Number of nodes by the name of their state.
    #[serde(rename = "states")]
    pub node_states: BTreeMap<String, u32>,
    pub accepted_ms: u64,
    #[serde(rename = "ended_ms")]
    pub finished_ms: Option<u64>,
    /// Index of the first part of the next rerun.
    pub next_part: u32,
}

/// A page of runs, in the order of their names.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DagRunList {
    #[serde(rename = "node")]
    pub controller: String,
    /// Revision of the key-value store up to which the list is complete.
    pub revision: u64,
    pub runs: Vec<DagRunSummary>,
    /// The `after` of the next page; null at the end.
    pub next: Option<String>,
}

/// Where a node is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DagNodeState {
    Waiting,
    /// Its tasks may run, and none does yet.
    Ready,
    Running,
    /// Its tasks may run, and one that failed waits for a retry.
    UpForRetry,
    Success,
    Failed,
    UpstreamFailed,
    Skipped,
    Cancelled,
}

impl DagNodeState {
    /// The name used on the wire and in tables.
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
    #[serde(rename = "t")]
    pub task: u32,
    #[serde(flatten)]
    pub failure: Failure,
}

/// One node of a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DagNodeView {
    pub name: String,
    pub job: String,
    pub state: DagNodeState,
    #[serde(rename = "rule")]
    pub trigger_rule: TriggerRule,
    /// Ranges of its upstream nodes: the first, and the length.
    #[serde(rename = "after")]
    pub upstream: Vec<(u32, u32)>,
    /// Index of the node whose output list it is mapped over.
    #[serde(rename = "map")]
    pub mapped_from: Option<u32>,
    /// Number of its tasks; null for a mapped node until the list is known.
    pub tasks: Option<u32>,
    pub done: u32,
    pub running: u32,
    #[serde(rename = "guess_s")]
    pub estimated_run_s: f64,
    /// Estimated seconds of run time on the longest path downstream of it.
    #[serde(rename = "ahead_s")]
    pub downstream_path_s: f64,
    /// The attempt whose output was published.
    #[serde(rename = "attempt")]
    pub published_attempt: Option<u64>,
    /// Length of the list that it published.
    #[serde(rename = "gave")]
    pub output_list_len: Option<u32>,
    #[serde(rename = "ended_ms")]
    pub finished_ms: Option<u64>,
    /// The last failed attempts of each task.
    #[serde(rename = "evidence")]
    pub failed_attempts: Vec<FailedAttempt>,
}

/// One run with a page of its nodes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DagRunDetail {
    #[serde(rename = "node")]
    pub controller: String,
    #[serde(rename = "row")]
    pub summary: DagRunSummary,
    /// Index of the first node of the page.
    #[serde(rename = "first")]
    pub first_node: u32,
    pub nodes: Vec<DagNodeView>,
    /// The `after` of the next page.
    pub next: Option<u32>,
}
