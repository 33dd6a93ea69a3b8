//! One attempt of a task, from the command that starts it until its end.

use serde::{Deserialize, Serialize};

/// Values of the protocol field `cause`, which says why an attempt ended.
pub(crate) mod cause {
    /// The task finished successfully.
    pub(crate) const DONE: &str = "done";
    /// The task failed.
    pub(crate) const ERROR: &str = "error";
    /// A controller stopped the attempt.
    pub(crate) const STOPPED: &str = "halted";
    /// The worker has no description of the job.
    pub(crate) const UNKNOWN_JOB: &str = "unknown";
    /// Another attempt of the task has not ended.
    pub(crate) const BUSY: &str = "busy";
    /// The machine has too little free capacity for the task.
    pub(crate) const INSUFFICIENT_CAPACITY: &str = "full";
    /// The gang was not complete when the gather time-out expired.
    pub(crate) const GANG_INCOMPLETE: &str = "incomplete";
    /// Another member of the gang was lost.
    pub(crate) const PEER_LOST: &str = "peers";
}

/// Lifecycle phase of an attempt. Times are milliseconds of the caller's clock.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptPhase {
    /// The image is being fetched.
    FetchingImage {
        /// Time at which the fetch completes.
        until: u64,
    },
    /// The attempt waits until all members of its gang are ready to start.
    WaitingForGang {
        /// Time at which the wait began.
        since: u64,
    },
    /// The task runs.
    Running {
        /// When simulated work finishes; `None` for a process, which runs until it exits.
        until: Option<u64>,
    },
    /// The process of this gang member has exited successfully; other members still run.
    WaitingForGangExit,
    /// A controller stopped the attempt, which now saves a checkpoint.
    Checkpointing {
        /// When simulated work has saved the checkpoint; `None` for a process, which saves until it exits.
        until: Option<u64>,
    },
    /// The attempt was stopped without a checkpoint, and its process has not exited yet.
    Stopping {
        /// The cause to report once the process has exited.
        cause: &'static str,
    },
    /// The attempt has ended.
    Ended {
        /// Why the attempt ended, as the protocol names it.
        cause: &'static str,
        /// Whether the attempt saved a checkpoint.
        checkpoint_kept: bool,
    },
}

impl AttemptPhase {
    /// Returns the phase of an attempt that ended without a checkpoint.
    pub(crate) fn ended(cause: &'static str) -> AttemptPhase {
        AttemptPhase::Ended { cause, checkpoint_kept: false }
    }
}

/// The result of a finished task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TaskResult {
    /// Number of the attempt that produced the output; 0 if it was not recorded.
    pub attempt: u64,
    /// Length of the list that the task produced for mapped jobs, if it produced one.
    #[serde(default)]
    #[serde(rename = "gave")]
    pub list_len: Option<u32>,
}

/// An attempt of a task on this machine.
#[derive(Debug, Clone)]
pub struct TaskAttempt {
    /// Name of the task: the job's name, a slash and the task's index.
    pub task: String,
    /// Number of the attempt. Later attempts of a task have higher numbers.
    pub attempt: u64,
    /// Current phase of the attempt.
    pub phase: AttemptPhase,
    /// Whether the image was fetched. From then on, invariant checks count the task as started on this machine.
    pub has_image: bool,
}

/// Returns the name of the job that a task belongs to.
pub(crate) fn job_of_task(task: &str) -> &str {
    task.split('/').next().unwrap_or("")
}

impl TaskAttempt {
    /// Returns the name of the job that the task belongs to.
    pub fn job_name(&self) -> &str {
        job_of_task(&self.task)
    }

    /// Returns whether the attempt has ended.
    pub fn is_ended(&self) -> bool {
        matches!(self.phase, AttemptPhase::Ended { .. })
    }

    /// Returns whether the task runs or its process may still exist.
    pub fn is_live(&self) -> bool {
        matches!(
            self.phase,
            AttemptPhase::Running { .. }
                | AttemptPhase::WaitingForGangExit
                | AttemptPhase::Checkpointing { .. }
                | AttemptPhase::Stopping { .. }
        )
    }
}
