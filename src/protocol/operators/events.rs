//! Events of a job, as recorded by the leader.
//!
//! Events are for diagnostics only: the leader keeps a bounded number of them in memory, and a failover loses them.

use serde::{Deserialize, Serialize};

/// A decision or observation of the leader about a job or its tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobEventKind {
    Accepted,
    /// The job was accepted under an earlier leader, whose events are lost.
    #[serde(rename = "inherited")]
    Recovered,
    /// Added to the shared queue of a machine; a `QueuedBacklog` event follows for tasks that found no machine.
    QueuedShared,
    /// Added to the dedicated queue of a machine.
    QueuedDedicated,
    /// Added to the backlog, because no current machine may run it.
    #[serde(rename = "queued_nowhere")]
    QueuedBacklog,
    /// Moved to the machine that stole it from the shared queue of another machine.
    Stolen,
    /// Moved from a dedicated queue to a shared one.
    Spilled,
    /// Assigned to a machine.
    Bound,
    Running,
    #[serde(rename = "halted_for_urgent")]
    StoppedForPreemption,
    #[serde(rename = "halted_for_drain")]
    StoppedForDrain,
    #[serde(rename = "halted_withdrawn")]
    StoppedForCancel,
    Done,
    Failed,
    /// Rejected by the worker: it had too little free capacity, still had another attempt of the task, or did not have
    /// the description of the job.
    #[serde(rename = "refused")]
    WorkerRejected,
    Stopped,
    /// Ended by the worker because another task of its gang was lost or not ready in time.
    GangLeft,
    /// The machine that it was assigned to was lost, or lost its tasks.
    #[serde(rename = "machine_gone")]
    MachineLost,
    #[serde(rename = "withdrawn")]
    Cancelled,
    /// The job is done and its terminal record is durable.
    JobDone,
}

/// One event of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobEvent {
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub at_ms: u64,
    #[serde(rename = "event")]
    pub kind: JobEventKind,
    /// Index of the first task that it concerns; null if it concerns the job as a whole.
    pub first_task: Option<u32>,
    /// Number of tasks that it concerns: successive events of the same kind on the same machine are merged.
    pub tasks: u32,
    pub machine: Option<String>,
}

/// The events of one job, oldest first.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobEventList {
    /// Name of the controller that responded.
    #[serde(rename = "node")]
    pub controller: String,
    pub job: String,
    /// Whether earlier events are missing, because they were dropped or recorded by an earlier leader.
    #[serde(rename = "earlier_unknown")]
    pub truncated: bool,
    pub events: Vec<JobEvent>,
}
