//! Bindings of tasks to machines. A binding lasts from the decision to start the task until the task is
//! guaranteed to have left the machine.

use super::records::assignment_log::SegmentId;
use crate::ids::{Attempt, JobIx, Millis, PoolIx, Resources, TaskId, TeamIx};
use crate::protocol::workers::TaskPhase;

/// Progress of starting a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchState {
    /// Decided, but not yet recorded durably: the start command must not be sent.
    Planned,
    /// Recorded durably, and the start command is to be sent: it has not been sent, or was lost or refused,
    /// or its outcome is unknown.
    Recorded,
    /// Sent in the response to the heartbeat with this sequence number.
    SentInResponse {
        /// Sequence number of that heartbeat.
        sequence: u64,
    },
    /// Sent in a direct message whose outcome is not known yet.
    SentDirect,
    /// The worker has reported the task or has acknowledged its start command.
    Observed,
    /// Recovered from the records of an earlier leader: the task may or may not be on the machine.
    Inherited,
}

/// A task that may be on a machine.
#[derive(Debug, Clone)]
pub struct Binding {
    /// The bound task.
    pub task: TaskId,
    /// `None` once the job has finished or been cancelled, and for an orphan task.
    pub job: Option<JobIx>,
    /// The attempt that the start command names.
    pub attempt: Attempt,
    /// Resources that the task takes of the machine.
    pub need: Resources,
    /// The team whose limit applies. `None` for an orphan task.
    pub team: Option<TeamIx>,
    /// The pool in which the task takes a slot, if its job has one.
    pub pool: Option<PoolIx>,
    /// The task is a best-effort task. Together, these may use only part of the cluster.
    pub best_effort: bool,
    /// The task belongs to a service: it does not end by itself.
    pub service: bool,
    /// It is being stopped because it, or another task of its gang, exceeded the time limit of its DAG node.
    pub timed_out: bool,
    /// Progress of starting the task.
    pub dispatch: DispatchState,
    /// The log segment that records the binding.
    pub log_segment: Option<SegmentId>,
    /// The state in the latest message of the worker that lists the task.
    pub reported_state: Option<TaskPhase>,
    /// A direct start command with an unknown outcome may still reach the worker.
    pub late_start_possible: bool,
    /// When the task was first seen fetching its image. `None` once the image is there.
    pub fetching_since: Option<Millis>,
    /// When this leader first saw the task running.
    pub running_since: Option<Millis>,
    /// Grace period, in milliseconds, with which the task is to be stopped. `None` if it is not to be
    /// stopped.
    pub stop_grace_ms: Option<u64>,
    /// When the stop command was last sent.
    pub stop_sent_at: Option<Millis>,
    /// For a task of a cancelled job: the time from which the lease of its machine must not be renewed.
    pub lease_renewal_cutoff: Option<Millis>,
}
