//! Views of jobs as shown to operators: rows of a list, and one job with its tasks.

use serde::{Deserialize, Serialize};

use crate::protocol::users::{JobKind, PriorityClass};

/// The phase of a job.
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
    /// Returns whether the job is done or cancelled.
    pub fn is_terminal(self) -> bool {
        matches!(self, JobPhase::Done | JobPhase::Cancelled)
    }

    /// Returns the name used on the wire and in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            JobPhase::Pending => "pending",
            JobPhase::Running => "running",
            JobPhase::Done => "done",
            JobPhase::Cancelled => "withdrawn",
        }
    }
}

/// One job in a list. A value that is not known is null. Times are wall-clock times in milliseconds since the Unix
/// epoch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSummary {
    pub id: String,
    pub state: JobPhase,
    pub team: Option<String>,
    pub class: Option<String>,
    /// Number of tasks.
    pub tasks: Option<u32>,
    /// Number of tasks done.
    pub done: Option<u32>,
    /// Number of tasks running.
    pub running: Option<u32>,
    pub accepted_ms: Option<u64>,
    /// When a task of the job first ran.
    pub first_start_ms: Option<u64>,
    /// When the job was done or cancelled.
    #[serde(rename = "ended_ms")]
    pub finished_ms: Option<u64>,
}

/// A page of jobs, sorted by the number in their ids.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobList {
    /// Name of the controller that responded.
    #[serde(rename = "node")]
    pub controller: String,
    /// Revision of the key-value store up to which the list is complete.
    pub revision: u64,
    pub jobs: Vec<JobSummary>,
    /// The value of `after` for the next page; null on the last page. Other pages may also be short or empty.
    pub next: Option<String>,
}

/// The source of a response: the leader knows where tasks are, the stored records only where they may be.
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
    /// CPUs per task.
    pub cpus: f64,
    /// GPUs per task.
    pub gpus: f64,
    /// Memory per task, in GB.
    pub memory_gb: f64,
    /// Machine types that it may run on; null means any.
    #[serde(rename = "kinds")]
    pub machine_types: Option<Vec<String>>,
    /// Zone that it must run in; null means any.
    pub zone: Option<String>,
    /// Whether all tasks must run in one zone, whichever it is.
    #[serde(rename = "one_zone")]
    pub same_zone: bool,
    /// Whether at most half of the tasks may run in one zone.
    pub spread: bool,
    /// Whether tasks may run on spot instances.
    #[serde(rename = "spot")]
    pub spot_allowed: bool,
    pub image: String,
    pub image_gb: f64,
    /// Run time of a task as the user estimates it, in seconds.
    #[serde(rename = "guess_s")]
    pub estimated_run_s: f64,
    /// Seconds between two checkpoints of a task; 0 if it saves none.
    #[serde(rename = "checkpoint_s")]
    pub checkpoint_interval_s: f64,
    /// Wall-clock time of the deadline, in milliseconds since the Unix epoch.
    #[serde(rename = "due_ms")]
    pub deadline_ms: Option<u64>,
}

/// The state of a task that is not done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskStateView {
    Waiting,
    /// The task failed or a worker rejected it; it is retried after a backoff.
    RetryWait,
    /// The stored records assign the task to a machine: it may be running there, but its state is not known.
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
    /// Returns the name used on the wire and in tables.
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
    /// Index of the task within its job.
    pub task: u32,
    pub state: TaskStateView,
    /// Number of its attempt; null if the task is on no machine or the attempt is not known.
    pub attempt: Option<u64>,
    /// Machines on which it is running or may be running; after a failover there can be several.
    pub machines: Vec<String>,
}

/// One job with a page of its unfinished tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobDetail {
    /// Name of the controller that responded.
    #[serde(rename = "node")]
    pub controller: String,
    pub source: ResponseSource,
    #[serde(rename = "row")]
    pub summary: JobSummary,
    /// Null for a finished job, whose manifest has been deleted.
    pub spec: Option<JobSpecView>,
    pub tasks: Vec<TaskSummary>,
    /// The value of `after` for the next page of tasks; null on the last page.
    pub next: Option<u32>,
}
