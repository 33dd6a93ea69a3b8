//! A machine as the leader knows it.
//!
//! Heartbeats, the cloud's list and the records say what it is; placement decides what it gets.

use std::collections::{BTreeSet, HashSet};

use super::binding::Binding;
use super::placement::gangs;
use super::placement::queues::Queue;
use super::records::assignment_log::SegmentId;
use crate::ids::{AgentEpoch, Attempt, ImageIx, JobId, MachineTypeIx, Millis, Resources, TaskId, ZoneIx};

/// Task starts in a row that a machine must not have received before its receive path counts as down. One may be a lost
/// packet, or a pause of this controller.
const RECEIVE_PATH_DOWN_STARTS: u32 = 2;

/// Whether a machine runs, as far as the leader can know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// Requested from the cloud; no heartbeat yet.
    Booting,
    /// Its agent sends heartbeats, or its lease may still be valid.
    Up,
    /// Its agent's lease has expired, so no task is on it. It may come back with a new epoch.
    Unreachable,
    /// Returned or reclaimed: nothing is on it.
    Gone,
}

/// A machine with its agent, its queues and the tasks that may be on it.
#[derive(Debug)]
pub struct Machine {
    pub name: String,
    /// Where its agent listens, `ip:port`.
    pub endpoint: String,
    pub machine_type: MachineTypeIx,
    pub zone: ZoneIx,
    pub spot: bool,
    pub state: MachineState,
    /// The cloud lists it as running: its agent may only not have found this leader yet.
    pub cloud_running: bool,
    /// When it was requested from the cloud, as far as known.
    pub created_at: Millis,
    /// The newest epoch and, in it, the newest heartbeat sequence number that were seen in any message.
    pub epoch: AgentEpoch,
    /// When `epoch` was first seen: the lease of that epoch began no later.
    pub epoch_first_seen: Option<Millis>,
    pub sequence: u64,
    /// Epoch and sequence number of the newest heartbeat that came as a request, not in the response to a direct command.
    pub last_heartbeat_id: (AgentEpoch, u64),
    /// It has acknowledged the fencing token of this term: it rejects commands of earlier leaders.
    pub token_acknowledged: bool,
    /// When it first acknowledged the token in the response to a direct command, if that came before a heartbeat.
    pub token_first_acknowledged: Option<Millis>,
    /// When the last heartbeat that was answered was received.
    pub last_answered_heartbeat_at: Option<Millis>,
    /// Since when its heartbeats arrive without any sign that it received a response of this term.
    pub unacknowledged_since: Option<Millis>,
    /// Task starts in a row that it did not receive.
    pub unacknowledged_starts: u32,
    /// When the cloud reclaims it, by its notice.
    pub reclaim_notice_until: Option<Millis>,
    /// It is being returned to the cloud.
    pub returning: bool,
    /// The log segment that records its return.
    pub return_log_segment: Option<SegmentId>,
    /// Tasks that may be on it.
    pub bindings: Vec<Binding>,
    /// Sum of the bindings' resources.
    pub used: Resources,
    pub capacity: Resources,
    /// Tasks that other machines may steal (DAWS, section 2.2.2).
    pub shared_queue: Queue,
    /// Tasks bound to it by their image or input (DAWS, section 2.2.2).
    pub dedicated_queue: Queue,
    /// Wait after the next failed steal, in milliseconds; doubles with each (DAWS, section 2.2.1).
    pub steal_backoff_ms: f64,
    pub steal_not_before: Millis,
    /// Kept free for a gang or a preempting job.
    pub hold: Option<gangs::Hold>,
    /// Images it should have, most recently used last, with their size in MB.
    pub images: Vec<(ImageIx, u64)>,
    /// A direct command to it is unanswered.
    pub direct_send_in_flight: bool,
    pub direct_send_not_before: Millis,
    /// Exited attempts whose direct start may still arrive: they are not removed from the agent in this epoch.
    pub late_starts: HashSet<(TaskId, Attempt)>,
    pub idle_since: Millis,
    /// Jobs that failed on it since a task last succeeded there.
    pub failed_jobs: BTreeSet<JobId>,
    /// Different jobs failed on it: it gets no tasks and is replaced.
    pub quarantined: bool,
    /// How its run times compare with those of other machines.
    pub run_time_ratios: RunTimeRatios,
    /// Its runs take far longer than elsewhere: it gets no tasks and is replaced.
    pub slow: bool,
    /// Not needed by the capacity plan: takes no queued tasks, so that it runs empty.
    pub cordoned: bool,
    /// Gangs wait for machines of its type: takes no queued tasks.
    pub reserved: bool,
    /// Times of the tasks it finished within the last minute.
    pub recent_finishes: Vec<Millis>,
}

/// Run times of a machine in proportion to the means of their jobs.
#[derive(Debug, Clone, Copy, Default)]
pub struct RunTimeRatios {
    /// Finished runs that could be compared.
    pub runs: u32,
    /// Sum of run time over the job's mean run time.
    pub sum: f64,
}

/// What a heartbeat, the cloud's list or a record says of a machine that may be new.
#[derive(Debug, Clone, Copy)]
pub struct MachineIdentity<'a> {
    pub name: &'a str,
    /// Where its agent listens, `ip:port`.
    pub endpoint: &'a str,
    pub machine_type: MachineTypeIx,
    pub zone: ZoneIx,
    pub spot: bool,
}

impl Machine {
    /// A machine of which no heartbeat has been received.
    pub fn new(
        identity: MachineIdentity<'_>,
        capacity: Resources,
        steal_backoff_ms: f64,
        now: Millis,
    ) -> Machine {
        Machine {
            name: identity.name.into(),
            endpoint: identity.endpoint.into(),
            machine_type: identity.machine_type,
            zone: identity.zone,
            spot: identity.spot,
            state: MachineState::Booting,
            cloud_running: false,
            created_at: now,
            epoch: AgentEpoch(0),
            epoch_first_seen: None,
            sequence: 0,
            last_heartbeat_id: (AgentEpoch(0), 0),
            token_acknowledged: false,
            token_first_acknowledged: None,
            last_answered_heartbeat_at: None,
            unacknowledged_since: None,
            unacknowledged_starts: 0,
            reclaim_notice_until: None,
            returning: false,
            return_log_segment: None,
            bindings: Vec::new(),
            used: Resources::default(),
            capacity,
            shared_queue: Queue::default(),
            dedicated_queue: Queue::default(),
            steal_backoff_ms,
            steal_not_before: Millis::default(),
            hold: None,
            images: Vec::new(),
            direct_send_in_flight: false,
            direct_send_not_before: Millis::default(),
            late_starts: HashSet::new(),
            idle_since: now,
            failed_jobs: BTreeSet::new(),
            quarantined: false,
            run_time_ratios: RunTimeRatios::default(),
            slow: false,
            cordoned: false,
            reserved: false,
            recent_finishes: Vec::new(),
        }
    }

    /// Capacity that no binding uses.
    pub fn free(&self) -> Resources {
        self.capacity.saturating_sub(&self.used)
    }

    /// Whether it may get more tasks.
    pub fn is_schedulable(&self) -> bool {
        self.state == MachineState::Up
            && self.token_acknowledged
            && !self.returning
            && !self.quarantined
            && !self.slow
            && !self.receive_path_down()
            && self.reclaim_notice_until.is_none()
    }

    /// Its heartbeats arrive, but responses and commands do not reach it: it gets no task until one has been received.
    pub fn receive_path_down(&self) -> bool {
        self.unacknowledged_starts >= RECEIVE_PATH_DOWN_STARTS
    }

    /// Whether its cache should hold the image.
    pub fn has_image(&self, image: ImageIx) -> bool {
        self.images.iter().any(|(held, _)| *held == image)
    }
}
