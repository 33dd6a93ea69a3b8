//! A job as the controllers know it.

use std::sync::Arc;

use olivelatch_graph::Retry;

use super::bits::Bits;
use crate::ids::{
    Amount, ClassIx, ImageIx, JobId, KindIx, Names, PoolIx, Revision, TeamIx, ZoneIx, milli_up, seconds,
};
use crate::protocol::graphs::RunName;
use crate::protocol::users::{JobSpec, Shape, Urgency};

/// How a job ended; kept for good.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    Done,
    Withdrawn,
}

/// The names that jobs and machines use.
#[derive(Debug, Default)]
pub struct Registry {
    pub kinds: Names<KindIx>,
    pub zones: Names<ZoneIx>,
    pub teams: Names<TeamIx>,
    pub images: Names<ImageIx>,
    pub classes: Names<ClassIx>,
    pub pools: Names<PoolIx>,
}

/// What a job is besides, as a node of a graph's run.
#[derive(Debug, Clone)]
pub struct NodeInfo {
    pub run: RunName,
    pub name: Box<str>,
    pub retry: Retry,
    /// A task that runs longer has failed.
    pub limit_ms: Option<u64>,
    pub pool: Option<PoolIx>,
    /// Work on the longest path behind it.
    pub ahead_ms: u64,
    /// Jobs whose output it reads, the first ones.
    pub upstream: Vec<JobId>,
    pub input_mb: u64,
    /// Other nodes come after it.
    pub feeds: bool,
}

/// What of a job never changes.
#[derive(Debug, Clone)]
pub struct JobInfo {
    pub id: JobId,
    pub class: ClassIx,
    pub team: TeamIx,
    pub shape: Shape,
    pub urgency: Urgency,
    pub tasks: u32,
    pub need: Amount,
    pub kinds: Option<Vec<KindIx>>,
    pub zone: Option<ZoneIx>,
    pub one_zone: bool,
    pub spread: bool,
    pub spot: bool,
    pub image: ImageIx,
    pub image_mb: u64,
    pub guess_ms: u64,
    pub checkpoint_ms: u64,
    pub save_ms: u64,
    /// Time of day by which it should be complete.
    pub due_wall_ms: Option<u64>,
    pub accepted_wall_ms: u64,
    /// Revision of acceptance: the order in which jobs came.
    pub seq: Revision,
    pub node: Option<Arc<NodeInfo>>,
}

/// A job and what the durable records say of it.
#[derive(Debug, Clone)]
pub struct Job {
    pub info: Arc<JobInfo>,
    /// Finished tasks that are durable.
    pub finished: Bits,
    /// How it ended, and a time of day at which its user was not yet told.
    pub end: Option<(End, u64)>,
    /// A task of it was, or may have been, on a machine.
    pub started: bool,
}

impl Job {
    pub fn new(info: JobInfo) -> Job {
        Job { finished: Bits::new(info.tasks), info: Arc::new(info), end: None, started: false }
    }
}

impl JobInfo {
    pub fn new(id: JobId, spec: &JobSpec, at_wall_ms: u64, seq: Revision, names: &mut Registry) -> JobInfo {
        JobInfo {
            id,
            class: names.classes.intern(&spec.jobclass),
            team: names.teams.intern(&spec.owner),
            shape: spec.shape,
            urgency: spec.urgency,
            tasks: spec.pieces,
            need: need_of(spec),
            kinds: spec
                .boxkinds
                .as_ref()
                .map(|kinds| kinds.iter().map(|kind| names.kinds.intern(kind)).collect()),
            zone: spec.hall.as_ref().map(|zone| names.zones.intern(zone)),
            one_zone: spec.together,
            spread: spec.scatter,
            spot: spec.loaners,
            image: names.images.intern(&spec.bundle),
            image_mb: milli_up(spec.size_gb),
            guess_ms: spec.guess_ms(),
            checkpoint_ms: seconds(spec.snapshot_s),
            save_ms: seconds(spec.flush_s),
            due_wall_ms: spec.due_s.map(|due| at_wall_ms + seconds(due)),
            accepted_wall_ms: at_wall_ms,
            seq,
            node: None,
        }
    }

    pub fn allows_kind(&self, kind: KindIx) -> bool {
        self.kinds.as_ref().is_none_or(|kinds| kinds.contains(&kind))
    }

    pub fn allows(&self, kind: KindIx, zone: ZoneIx, spot: bool) -> bool {
        self.allows_kind(kind) && self.zone.is_none_or(|only| only == zone) && (!spot || self.spot)
    }

    /// The pool whose slots its tasks take.
    pub fn pool(&self) -> Option<PoolIx> {
        self.node.as_ref()?.pool
    }

    /// Gangs and services are placed all or nothing.
    pub fn together(&self) -> bool {
        self.shape != Shape::Array
    }
}

pub fn need_of(spec: &JobSpec) -> Amount {
    Amount { cpu: milli_up(spec.vcpus), gpu: milli_up(spec.accelerators), mem: milli_up(spec.memory_gb) }
}
