//! A task that may be on a machine, from the decision to start it until it has certainly left.

use super::records::assignment_log::SegmentId;
use crate::ids::{Attempt, JobIx, Millis, PoolIx, Resources, TaskId, TeamIx};
use crate::protocol::workers::TaskPhase;

/// How far the start of a task has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchState {
    /// Decided, and not yet recorded durably: must not be sent.
    Planned,
    /// Recorded and not sent, or certainly not carried out.
    Recorded,
    /// Sent with the response to the heartbeat of this sequence number.
    SentInResponse { sequence: u64 },
    /// Sent as a direct command; the outcome is open.
    SentDirect,
    /// The agent has reported the task.
    Observed,
    /// From the records of an earlier leader: may be on the machine or not.
    Inherited,
}

/// A task that may be on a machine.
#[derive(Debug, Clone)]
pub struct Binding {
    pub task: TaskId,
    /// None once the job has finished or been cancelled.
    pub job: Option<JobIx>,
    pub attempt: Attempt,
    pub need: Resources,
    pub team: Option<TeamIx>,
    pub pool: Option<PoolIx>,
    /// Best-effort tasks may use only a part of the cluster.
    pub best_effort: bool,
    /// It exceeded its DAG node's time limit before it was ordered to stop.
    pub timed_out: bool,
    pub dispatch: DispatchState,
    /// The log segment that records the binding.
    pub log_segment: Option<SegmentId>,
    pub reported_state: Option<TaskPhase>,
    /// A direct start without a response may still arrive.
    pub late_start_possible: bool,
    pub fetching_since: Option<Millis>,
    pub running_since: Option<Millis>,
    /// It is to be stopped, with this grace period in milliseconds.
    pub stop_grace_ms: Option<u64>,
    pub stop_sent_at: Option<Millis>,
    /// For a cancelled job: from then on the lease of its machine must not be renewed.
    pub lease_renewal_cutoff: Option<Millis>,
}
