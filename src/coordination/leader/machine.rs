//! A machine as its leader knows it, and the tasks that may be on it.

use std::collections::{BTreeSet, HashSet};

use super::placement::gangs;
use super::placement::queues::Queue;
use super::records::assignment_log::SegmentId;
use crate::ids::{
    AgentEpoch, Attempt, ImageIx, JobId, JobIx, MachineTypeIx, Millis, PoolIx, Resources, TaskId, TeamIx,
    ZoneIx,
};
use crate::protocol::workers::TaskPhase;

/// Once may be a lost packet, or our own standstill.
const RECEIVE_PATH_DOWN_STARTS: u32 = 2;

/// How far the run command of a task has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchState {
    /// Not yet in the machine's record: must not be sent.
    Planned,
    /// In the record, not sent (or certainly not carried out).
    Recorded,
    /// Sent with the response to this report.
    SentInResponse { sequence: u64 },
    /// Sent straight to the worker, outcome open.
    SentDirect,
    /// The worker has shown it.
    Observed,
    /// From another leader's record: may be there or not.
    Inherited,
}

/// A task that may be on a machine.
#[derive(Debug, Clone)]
pub struct Binding {
    pub task: TaskId,
    /// None once the job has ended.
    pub job: Option<JobIx>,
    pub attempt: Attempt,
    pub need: Resources,
    pub team: Option<TeamIx>,
    pub pool: Option<PoolIx>,
    /// Nobody waits for it: it may use only so much of the fleet.
    pub best_effort: bool,
    /// It had run longer than its node allows when it was told to stop.
    pub timed_out: bool,
    pub dispatch: DispatchState,
    /// The part of the log that tells of it.
    pub log_segment: Option<SegmentId>,
    pub reported_state: Option<TaskPhase>,
    /// A direct command without an answer may still arrive.
    pub late_start_possible: bool,
    pub fetching_since: Option<Millis>,
    pub running_since: Option<Millis>,
    /// Stop it, with this grace.
    pub stop_grace_ms: Option<u64>,
    pub stop_sent_at: Option<Millis>,
    /// For a withdrawn job: when its worker must no longer be kept alive.
    pub lease_renewal_cutoff: Option<Millis>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// Rented, not yet heard of.
    Booting,
    Up,
    /// Its worker's lease has run out; it may come back with a new session.
    Unreachable,
    /// Returned or taken: nothing is on it.
    Gone,
}

#[derive(Debug)]
pub struct Machine {
    pub name: String,
    pub endpoint: String,
    pub machine_type: MachineTypeIx,
    pub zone: ZoneIx,
    pub spot: bool,
    pub state: MachineState,
    /// The cloud lists it as running: its worker may only not have found this leader yet.
    pub cloud_running: bool,
    /// When it was rented, as far as known.
    pub created_at: Millis,
    pub epoch: AgentEpoch,
    /// When its session was first seen: the session's lease began no later.
    pub epoch_first_seen: Option<Millis>,
    pub sequence: u64,
    /// Session and number of the newest report that came as such.
    pub last_heartbeat_id: (AgentEpoch, u64),
    /// It has shown our token: no other leader's command can reach it any more.
    pub token_acknowledged: bool,
    /// When it first showed our token in an answer to `/orders`, if that came before a report.
    pub token_first_acknowledged: Option<Millis>,
    /// When the last report that was answered came in.
    pub last_answered_heartbeat_at: Option<Millis>,
    /// Since when it reports without ever having heard an answer of ours, or our token.
    pub unacknowledged_since: Option<Millis>,
    /// Answers and commands with starts that it has not heard, one after the other.
    pub unacknowledged_starts: u32,
    pub reclaim_notice_until: Option<Millis>,
    pub returning: bool,
    /// The part of the log that tells that it goes back.
    pub return_log_segment: Option<SegmentId>,
    pub bindings: Vec<Binding>,
    pub used: Resources,
    pub capacity: Resources,
    pub shared_queue: Queue,
    pub dedicated_queue: Queue,
    pub steal_backoff_ms: f64,
    pub steal_not_before: Millis,
    pub hold: Option<gangs::Hold>,
    /// Images it should have, most recently used last, with their size.
    pub images: Vec<(ImageIx, u64)>,
    pub direct_send_in_flight: bool,
    pub direct_send_not_before: Millis,
    pub late_starts: HashSet<(TaskId, Attempt)>,
    pub idle_since: Millis,
    pub failed_jobs: BTreeSet<JobId>,
    pub quarantined: bool,
    /// Runs finished here, and the sum of how much longer than their jobs' mean they took.
    pub run_time_ratio: (u32, f64),
    pub slow: bool,
    /// Not needed: takes no queued tasks, so that it runs empty.
    pub cordoned: bool,
    /// Gangs wait for machines like it: takes no queued tasks either.
    pub reserved: bool,
    /// Times of the tasks it finished within the last minute.
    pub recent_finishes: Vec<Millis>,
}

/// What tells a machine from others: by its heartbeats, the cloud's list or the records.
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
    /// A machine that has been rented and not been heard from.
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
            run_time_ratio: (0, 0.0),
            slow: false,
            cordoned: false,
            reserved: false,
            recent_finishes: Vec::new(),
        }
    }

    pub fn free(&self) -> Resources {
        self.capacity.saturating_sub(&self.used)
    }

    /// It may get more tasks.
    pub fn is_schedulable(&self) -> bool {
        self.state == MachineState::Up
            && self.token_acknowledged
            && !self.returning
            && !self.quarantined
            && !self.slow
            && !self.receive_path_down()
            && self.reclaim_notice_until.is_none()
    }

    /// Its reports arrive, but what it is told does not: it gets nothing to start until it has heard something.
    pub fn receive_path_down(&self) -> bool {
        self.unacknowledged_starts >= RECEIVE_PATH_DOWN_STARTS
    }

    pub fn has_image(&self, image: ImageIx) -> bool {
        self.images.iter().any(|(held, _)| *held == image)
    }
}
