//! A machine as its leader knows it, and the tasks that may be on it.

use std::collections::{BTreeSet, HashSet};

use super::placement::gangs;
use super::placement::queues::Queue;
use super::records::history::PartId;
use crate::ids::{
    Amount, Attempt, ImageIx, JobId, JobIx, KindIx, Millis, PoolIx, Session, TaskRef, TeamIx, ZoneIx,
};
use crate::protocol::workers::TaskState;

/// Once may be a lost packet, or our own standstill.
const DEAF_RUNS: u32 = 2;

/// How far the run command of a task has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Run {
    /// Not yet in the machine's record: must not be sent.
    Planned,
    /// In the record, not sent (or certainly not carried out).
    Recorded,
    /// Sent with the response to this report.
    Answered { tick: u64 },
    /// Sent straight to the worker, outcome open.
    Direct,
    /// The worker has shown it.
    Seen,
    /// From another leader's record: may be there or not.
    Inherited,
}

/// A task that may be on a machine.
#[derive(Debug, Clone)]
pub struct Binding {
    pub task: TaskRef,
    /// None once the job has ended.
    pub job: Option<JobIx>,
    pub attempt: Attempt,
    pub need: Amount,
    pub team: Option<TeamIx>,
    pub pool: Option<PoolIx>,
    /// Nobody waits for it: it may use only so much of the fleet.
    pub idle_time: bool,
    /// It had run longer than its node allows when it was told to stop.
    pub over_limit: bool,
    pub run: Run,
    /// The part of the log that tells of it.
    pub part: Option<PartId>,
    pub state: Option<TaskState>,
    /// A direct command without an answer may still arrive.
    pub late: bool,
    pub fetching_since: Option<Millis>,
    pub running_since: Option<Millis>,
    /// Stop it, with this grace.
    pub halt: Option<u64>,
    pub halt_sent: Option<Millis>,
    /// For a withdrawn job: when its worker must no longer be kept alive.
    pub gone_by: Option<Millis>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Life {
    /// Rented, not yet heard of.
    Booting,
    Up,
    /// Its worker's lease has run out; it may come back with a new session.
    Silent,
    /// Returned or taken: nothing is on it.
    Gone,
}

#[derive(Debug)]
pub struct Machine {
    pub name: String,
    pub endpoint: String,
    pub kind: KindIx,
    pub zone: ZoneIx,
    pub spot: bool,
    pub life: Life,
    /// The cloud lists it as running: its worker may only not have found this leader yet.
    pub running: bool,
    /// When it was rented, as far as known.
    pub since: Millis,
    pub session: Session,
    /// When its session was first seen: the session's lease began no later.
    pub session_seen: Option<Millis>,
    pub tick: u64,
    /// Session and number of the newest report that came as such.
    pub reported: (Session, u64),
    /// It has shown our token: no other leader's command can reach it any more.
    pub confirmed: bool,
    /// When it first showed our token in an answer to `/orders`, if that came before a report.
    pub shown: Option<Millis>,
    /// When the last report that was answered came in.
    pub answered: Option<Millis>,
    /// Since when it reports without ever having heard an answer of ours, or our token.
    pub unheard_since: Option<Millis>,
    /// Answers and commands with starts that it has not heard, one after the other.
    pub unheard_runs: u32,
    pub notice_until: Option<Millis>,
    pub returning: bool,
    /// The part of the log that tells that it goes back.
    pub return_part: Option<PartId>,
    pub bindings: Vec<Binding>,
    pub used: Amount,
    pub size: Amount,
    pub shared: Queue,
    pub dedicated: Queue,
    pub steal_wait_ms: f64,
    pub next_steal: Millis,
    pub held_for: Option<gangs::Hold>,
    /// Images it should have, most recently used last, with their size.
    pub images: Vec<(ImageIx, u64)>,
    pub direct_open: bool,
    pub direct_after: Millis,
    pub late: HashSet<(TaskRef, Attempt)>,
    pub idle_since: Millis,
    pub errors: BTreeSet<JobId>,
    pub sick: bool,
    /// Runs finished here, and the sum of how much longer than their jobs' mean they took.
    pub pace: (u32, f64),
    pub slow: bool,
    /// Not needed: takes no queued tasks, so that it runs empty.
    pub parked: bool,
    /// Gangs wait for machines like it: takes no queued tasks either.
    pub kept: bool,
    /// Times of the tasks it finished within the last minute.
    pub finishes: Vec<Millis>,
}

impl Machine {
    pub fn free(&self) -> Amount {
        self.size.less(&self.used)
    }

    /// It may get more tasks.
    pub fn open(&self) -> bool {
        self.life == Life::Up
            && self.confirmed
            && !self.returning
            && !self.sick
            && !self.slow
            && !self.deaf()
            && self.notice_until.is_none()
    }

    /// Its reports arrive, but what it is told does not: it gets nothing to start until it has heard something.
    pub fn deaf(&self) -> bool {
        self.unheard_runs >= DEAF_RUNS
    }

    pub fn has_image(&self, image: ImageIx) -> bool {
        self.images.iter().any(|(held, _)| *held == image)
    }
}
