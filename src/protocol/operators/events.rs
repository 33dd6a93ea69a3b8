//! What happened to a job, as its leader recorded it.
//!
//! Events are diagnostics: the leader keeps a bounded number of them in memory, and none survive a failover.

use serde::{Deserialize, Serialize};

/// What the leader decided or observed about tasks of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobEventKind {
    Accepted,
    /// Taken over from an earlier leader, whose events are lost.
    #[serde(rename = "inherited")]
    Recovered,
    /// Put into the shared queue of an image.
    QueuedShared,
    /// Put into the dedicated queue of a machine.
    QueuedDedicated,
    /// Put aside, as no present machine may take it.
    #[serde(rename = "queued_nowhere")]
    QueuedBacklog,
    /// Moved to an idle machine that stole it.
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
    /// Rejected by the worker: no capacity, or busy.
    #[serde(rename = "refused")]
    WorkerRejected,
    Stopped,
    /// Ended because another task of its gang did.
    GangLeft,
    #[serde(rename = "machine_gone")]
    MachineLost,
    #[serde(rename = "withdrawn")]
    Cancelled,
    JobDone,
}

/// One event of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobEvent {
    /// Time of day in milliseconds.
    pub at_ms: u64,
    #[serde(rename = "event")]
    pub kind: JobEventKind,
    /// The first task it is about; null if it is about the job as a whole.
    pub first_task: Option<u32>,
    /// Number of tasks: adjacent events of one kind are merged.
    pub tasks: u32,
    pub machine: Option<String>,
}

/// The events of one job, oldest first.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobEventList {
    #[serde(rename = "node")]
    pub controller: String,
    pub job: String,
    /// Older events are missing: they were dropped, or another controller led before.
    #[serde(rename = "earlier_unknown")]
    pub truncated: bool,
    pub events: Vec<JobEvent>,
}
