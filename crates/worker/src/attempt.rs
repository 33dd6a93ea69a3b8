//! One attempt of a task, from the command that starts it to its end.

use serde::{Deserialize, Serialize};

/// Why an attempt ended, in the words of the protocol.
pub(crate) mod cause {
    /// It finished.
    pub(crate) const DONE: &str = "done";
    /// It failed.
    pub(crate) const ERROR: &str = "error";
    /// A controller stopped it.
    pub(crate) const HALTED: &str = "halted";
    /// The worker has no description of the job.
    pub(crate) const UNKNOWN: &str = "unknown";
    /// Another attempt of the task has not ended.
    pub(crate) const BUSY: &str = "busy";
    /// The machine has no room for it.
    pub(crate) const FULL: &str = "full";
    /// Its gang did not come together in time.
    pub(crate) const INCOMPLETE: &str = "incomplete";
    /// A member of its gang was lost.
    pub(crate) const PEERS: &str = "peers";
}

/// Where an attempt is in its life. Times are milliseconds.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptPhase {
    /// Its image is being fetched.
    FetchingImage {
        /// When the image will be there.
        until: u64,
    },
    /// It waits for the other members of its gang.
    WaitingForGang {
        /// Since when.
        since: u64,
    },
    /// It runs.
    Running {
        /// When simulated work is done; None: until its process exits.
        until: Option<u64>,
    },
    /// A gang member's process has succeeded and waits for the others.
    WaitingForGangExit,
    /// It was stopped and saves a checkpoint.
    Checkpointing {
        /// When simulated work has saved it; None: until its process exits.
        until: Option<u64>,
    },
    /// It was stopped, and its process has not exited yet.
    Stopping {
        /// How it will have ended.
        cause: &'static str,
    },
    /// It has ended.
    Ended {
        /// Why.
        cause: &'static str,
        /// It saved a checkpoint.
        checkpoint_kept: bool,
    },
}

impl AttemptPhase {
    /// Ended without a checkpoint.
    pub(crate) fn ended(cause: &'static str) -> AttemptPhase {
        AttemptPhase::Ended { cause, checkpoint_kept: false }
    }
}

/// The result of a finished task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TaskResult {
    /// The attempt whose output counts; 0 if that is not known.
    pub attempt: u64,
    /// The length of the list that it produced for mapped jobs.
    #[serde(default)]
    #[serde(rename = "gave")]
    pub list_len: Option<u32>,
}

/// An attempt of a task on this machine.
#[derive(Debug, Clone)]
pub struct TaskAttempt {
    /// Name of the task: its job, a slash, its number.
    pub task: String,
    /// Number of the attempt; numbers rise.
    pub attempt: u64,
    /// Where it is in its life.
    pub phase: AttemptPhase,
    /// Its image was fetched: from then on it counts as being on the machine.
    pub has_image: bool,
}

/// The job that a task belongs to.
pub(crate) fn job_of_task(task: &str) -> &str {
    task.split('/').next().unwrap_or("")
}

impl TaskAttempt {
    /// The job that the task belongs to.
    pub fn job_name(&self) -> &str {
        job_of_task(&self.task)
    }

    /// It has ended.
    pub fn is_ended(&self) -> bool {
        matches!(self.phase, AttemptPhase::Ended { .. })
    }

    /// It runs, or its process may still exist.
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
