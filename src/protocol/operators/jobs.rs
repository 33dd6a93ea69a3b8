//! Jobs as operators see them: rows of a list, and one job with its tasks.

use serde::{Deserialize, Serialize};

use crate::protocol::users::{JobKind, PriorityClass};

/// Where a job is in its life.

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobPhase {
    Pending,
    Running,
    Done,
    #[serde(rename = "withdrawn")]
    Cancelled,
}

impl JobPhase {
    /// Whether the job is over.
    pub fn is_terminal(self) -> bool {
        matches!(self, JobPhase::Done | JobPhase::Cancelled)
    }

    /// The name used on the wire and in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            JobPhase::Pending => "pending",
            JobPhase::Running => "running",
            JobPhase::Done => "done",
            JobPhase::Cancelled => "withdrawn",
        }
    }
}

/// One job of a list. A value that is not known is null; times are times of day in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSummary {
    pub id: String,
    pub state: JobPhase,
    pub team: Option<String>,
    pub class: Option<String>,
    pub tasks: Option<u32>,
    pub done: Option<u32>,
    pub running: Option<u32>,
    pub accepted_ms: Option<u64>,
    pub first_start_ms: Option<u64>,
    #[serde(rename = "ended_ms")]
    pub finished_ms: Option<u64>,
}

/// A page of jobs, in the order of their numbers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobList {
    #[serde(rename = "node")]
    pub controller: String,
    /// Revision of the key-value store up to which the list is complete.
    pub revision: u64,
    pub jobs: Vec<JobSummary>,
    /// The `after` of the next page; null at the end. A page may be short, or empty, before the end.
    pub next: Option<String>,
}

/// Where a response comes from: the leader knows where tasks are, the stored records only where they may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResponseSource {
    Leader,
    #[serde(rename = "records")]
    Store,
}

/// The parts of a job's manifest that influence its placement.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpecView {
    #[serde(rename = "shape")]
    pub kind: JobKind,
    #[serde(rename = "urgency")]
    pub priority_class: PriorityClass,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    #[serde(rename = "kinds")]
    pub machine_types: Option<Vec<String>>,
    pub zone: Option<String>,
    #[serde(rename = "one_zone")]
    pub same_zone: bool,
    pub spread: bool,
    #[serde(rename = "spot")]
    pub spot_allowed: bool,
    pub image: String,
    pub image_gb: f64,
    #[serde(rename = "guess_s")]
    pub estimated_run_s: f64,
    #[serde(rename = "checkpoint_s")]
    pub checkpoint_interval_s: f64,
    #[serde(rename = "due_ms")]
    pub deadline_ms: Option<u64>,
}

/// Where a task that is not done is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskStateView {
    Waiting,
    /// Failed or was rejected by a worker; retried after a backoff.
    RetryWait,
    /// Recorded for a machine: it may be there, its state is not known.
    #[serde(rename = "placed")]
    Recorded,
    Starting,
    Fetching,
    #[serde(rename = "gathering")]
    WaitingForPeers,
    Running,
    #[serde(rename = "saving")]
    Checkpointing,
    Stopping,
}

impl TaskStateView {
    /// The name used on the wire and in tables.
    pub fn as_str(self) -> &'static str {
        match self {
            TaskStateView::Waiting => "waiting",
            TaskStateView::RetryWait => "retry_wait",
            TaskStateView::Recorded => "placed",
            TaskStateView::Starting => "starting",
            TaskStateView::Fetching => "fetching",
            TaskStateView::WaitingForPeers => "gathering",
            TaskStateView::Running => "running",
            TaskStateView::Checkpointing => "saving",
            TaskStateView::Stopping => "stopping",
        }
    }
}

/// A task that is not done.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskSummary {
    pub task: u32,
    pub state: TaskStateView,
    pub attempt: Option<u64>,
    /// Machines on which it runs or may run; after a failover there can be several.
    pub machines: Vec<String>,
}

/// One job with a page of its unfinished tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobDetail {
    #[serde(rename = "node")]
    pub controller: String,
    pub source: ResponseSource,
    #[serde(rename = "row")]
    pub summary: JobSummary,
    /// Null for a job that is over, as its manifest is deleted.
    pub spec: Option<JobSpecView>,
    pub tasks: Vec<TaskSummary>,
    /// The `after` of the next page of tasks.
    pub next: Option<u32>,
}
