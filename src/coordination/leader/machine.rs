//! The leader's state of one machine.
//!
//! Heartbeats, the cloud's machine list and the records determine this state; placement assigns tasks based on it.

use std::collections::BTreeSet;

use super::binding::Binding;
use super::placement::gangs;
use super::placement::queues::Queue;
use super::records::assignment_log::SegmentId;
use crate::ids::{FencingToken, ImageIx, JobId, MachineTypeIx, Millis, Resources, WorkerEpoch, ZoneIx};

/// Consecutive messages with task starts that must be unacknowledged before a machine's receive path counts as down. A
/// single one may be due to a lost packet or a pause of this controller.
const RECEIVE_PATH_DOWN_STARTS: u32 = 2;

/// Lifecycle state of a machine, as far as the leader can know it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// Requested from the cloud; no heartbeat has been received yet.
    Booting,
    /// Its worker sends heartbeats, or the worker's lease may still be valid.
    Up,
    /// Its worker's lease has expired, or the cloud lists it as failed: it runs no task. It may come back with a new
    /// epoch.
    Unreachable,
    /// Released by the cloud: it runs no task.
    Gone,
}

/// A machine with the state of its worker, its queues and the tasks that may be on it.
#[derive(Debug)]
pub struct Machine {
    /// Name given by the cloud.
    pub name: String,
    /// Address at which its worker listens, `ip:port`. Empty if it is not known yet.
    pub endpoint: String,
    /// Type in the catalog.
    pub machine_type: MachineTypeIx,
    /// Zone of the machine.
    pub zone: ZoneIx,
    /// Whether the cloud may reclaim it.
    pub spot: bool,
    /// Lifecycle state.
    pub state: MachineState,
    /// The cloud has listed it as running. Without a heartbeat, its worker may still be looking for this leader.
    pub cloud_running: bool,
    /// Best estimate of when it was requested from the cloud.
    pub created_at: Millis,
    /// The latest worker epoch that was seen in any message.
    pub epoch: WorkerEpoch,
    /// When `epoch` was first seen: the lease of that epoch began no later than this.
    pub epoch_first_seen: Option<Millis>,
    /// The highest heartbeat sequence number that was seen in `epoch`, in any message.
    pub sequence: u64,
    /// Epoch and sequence number of the latest heartbeat that arrived as a request, not in the response to a direct
    /// command.
    pub last_heartbeat_id: (WorkerEpoch, u64),
    /// Its worker has acknowledged the fencing token of this term, so it rejects commands of earlier leaders.
    pub token_acknowledged: bool,
    /// When its worker first acknowledged the token, if it did so in the response to a direct command and not in a
    /// heartbeat.
    pub token_first_acknowledged: Option<Millis>,
    /// Time of the last heartbeat that this leader answered and did not reject.
    pub last_answered_heartbeat_at: Option<Millis>,
    /// Time of the first heartbeat that did not acknowledge the token of this term. `None` once a heartbeat has
    /// acknowledged it.
    pub unacknowledged_since: Option<Millis>,
    /// Consecutive messages with task starts that it has not received, or is not known to have received.
    pub unacknowledged_starts: u32,
    /// When the cloud reclaims it, according to the reclaim notice.
    pub reclaim_notice_until: Option<Millis>,
    /// It is being returned to the cloud.
    pub returning: bool,
    /// The log segment that records its return.
    pub return_log_segment: Option<SegmentId>,
    /// Tasks that may be on it.
    pub bindings: Vec<Binding>,
    /// Sum of the resources that `bindings` need.
    pub used: Resources,
    /// The part of `used` that belongs to tasks of services, which do not end by themselves.
    pub service_use: Resources,
    /// Resources of the machine when it is empty.
    pub capacity: Resources,
    /// Tasks that other machines may steal (DAWS, section 2.2.2).
    pub shared_queue: Queue,
    /// Tasks bound to it by their image or input (DAWS, section 2.2.2).
    pub dedicated_queue: Queue,
    /// Backoff after the next failed steal, in milliseconds; doubles with each failure (DAWS, section 2.2.1).
    pub steal_backoff_ms: f64,
    /// Earliest time of its next steal.
    pub steal_not_before: Millis,
    /// Reservation for a gang that waits for capacity on this machine.
    pub hold: Option<gangs::Hold>,
    /// Images that its cache should hold, least recently used first, with their size in MB.
    pub images: Vec<(ImageIx, u64)>,
    /// A direct message to it is in flight.
    pub direct_send_in_flight: bool,
    /// Earliest time of the next direct message to it.
    pub direct_send_not_before: Millis,
    /// The fencing token of messages to its worker: the highest one that this leader has sent it.
    pub token: FencingToken,
    /// The token of the latest direct message with task starts in this epoch. Copies of it, and of earlier ones, start
    /// nothing once the worker has seen a higher token.
    pub direct_start_token: Option<FencingToken>,
    /// When its last binding was removed, or when it came up or was lost.
    pub idle_since: Millis,
    /// Jobs with tasks that failed on it since a task last succeeded on it.
    pub failed_jobs: BTreeSet<JobId>,
    /// Several different jobs have failed on it: it gets no tasks and is replaced.
    pub quarantined: bool,
    /// Comparison of its run times with the mean run times of the same jobs.
    pub run_time_ratios: RunTimeRatios,
    /// Tasks run much longer on it than on other machines: it gets no tasks and is replaced.
    pub slow: bool,
    /// The capacity plan does not need it: it takes no queued tasks, so that it becomes empty.
    pub cordoned: bool,
    /// Gangs wait for machines of its type: it takes no queued tasks.
    pub reserved: bool,
    /// Times at which tasks finished on it. Those older than a minute are removed when another task finishes.
    pub recent_finishes: Vec<Millis>,
}

/// Run times on a machine relative to the mean run times of their jobs.
#[derive(Debug, Clone, Copy, Default)]
pub struct RunTimeRatios {
    /// Number of finished runs that were compared.
    pub runs: u32,
    /// Sum of the ratios: run time divided by the job's mean run time.
    pub sum: f64,
}

/// The properties that identify a machine in a heartbeat, in the cloud's list or in a record. The machine may be new to
/// the leader.
#[derive(Debug, Clone, Copy)]
pub struct MachineIdentity<'a> {
    /// Name given by the cloud.
    pub name: &'a str,
    /// Address at which its worker listens, `ip:port`. Empty if it is not known yet.
    pub endpoint: &'a str,
    /// Type in the catalog.
    pub machine_type: MachineTypeIx,
    /// Zone of the machine.
    pub zone: ZoneIx,
    /// Whether the cloud may reclaim it.
    pub spot: bool,
}

impl Machine {
    /// Creates a booting machine, from which no heartbeat has been received. `token` is the first of the leader's term.
    pub fn new(
        identity: MachineIdentity<'_>,
        capacity: Resources,
        steal_backoff_ms: f64,
        token: FencingToken,
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
            epoch: WorkerEpoch(0),
            epoch_first_seen: None,
            sequence: 0,
            last_heartbeat_id: (WorkerEpoch(0), 0),
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
            service_use: Resources::default(),
            capacity,
            shared_queue: Queue::default(),
            dedicated_queue: Queue::default(),
            steal_backoff_ms,
            steal_not_before: Millis::default(),
            hold: None,
            images: Vec::new(),
            direct_send_in_flight: false,
            direct_send_not_before: Millis::default(),
            token,
            direct_start_token: None,
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

    /// Returns the capacity that no binding uses.
    pub fn free(&self) -> Resources {
        self.capacity.saturating_sub(&self.used)
    }

    /// Returns whether placement may assign more tasks to it.
    pub fn is_schedulable(&self) -> bool {
        self.state == MachineState::Up
            && self.token_acknowledged
            && !self.returning
            && !self.quarantined
            && !self.slow
            && !self.receive_path_down()
            && self.reclaim_notice_until.is_none()
    }

    /// Returns whether its heartbeats arrive while responses and commands do not reach it. It gets no task until it has
    /// received a message again.
    pub fn receive_path_down(&self) -> bool {
        self.unacknowledged_starts >= RECEIVE_PATH_DOWN_STARTS
    }

    /// Returns whether its cache should hold the image.
    pub fn has_image(&self, image: ImageIx) -> bool {
        self.images.iter().any(|(held, _)| *held == image)
    }
}
