//! A job as the controllers know it.

use std::sync::Arc;

use olivelatch_dag::RetryPolicy;

use super::bit_set::BitSet;
use crate::ids::{
    ClassIx, ImageIx, Interner, JobId, MachineTypeIx, PoolIx, Resources, Revision, TeamIx, ZoneIx,
    seconds_to_ms, to_milli_ceil,
};
use crate::protocol::graphs::DagRunName;
use crate::protocol::users::{JobKind, JobManifest, PriorityClass};

/// How a job ended; kept for good.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TerminalState {
    Done,
    Cancelled,
}

/// The names that jobs and machines use.
#[derive(Debug, Default)]
pub struct NameRegistry {
    pub machine_types: Interner<MachineTypeIx>,
    pub zones: Interner<ZoneIx>,
    pub teams: Interner<TeamIx>,
    pub images: Interner<ImageIx>,
    pub classes: Interner<ClassIx>,
    pub pools: Interner<PoolIx>,
}

/// What a job is besides, as a node of a graph's run.
#[derive(Debug, Clone)]
pub struct NodeSpec {
    pub run: DagRunName,
    pub name: Box<str>,
    pub retry_policy: RetryPolicy,
    /// A task that runs longer has failed.
    pub timeout_ms: Option<u64>,
    pub pool: Option<PoolIx>,
    /// Work on the longest path behind it.
    pub downstream_path_ms: u64,
    /// Jobs whose output it reads, the first ones.
    pub upstream_jobs: Vec<JobId>,
    pub input_mb: u64,
    /// Other nodes come after it.
    pub has_downstream: bool,
}

/// What of a job never changes.
#[derive(Debug, Clone)]
pub struct JobSpec {
    pub id: JobId,
    pub class: ClassIx,
    pub team: TeamIx,
    pub kind: JobKind,
    pub urgency: PriorityClass,
    pub tasks: u32,
    pub task_resources: Resources,
    pub machine_types: Option<Vec<MachineTypeIx>>,
    pub zone: Option<ZoneIx>,
    pub single_zone: bool,
    pub spread: bool,
    pub allows_spot: bool,
    pub image: ImageIx,
    pub image_mb: u64,
    pub estimated_run_ms: u64,
    pub checkpoint_interval_ms: u64,
    pub checkpoint_save_ms: u64,
    /// Time of day by which it should be complete.
    pub slo_wall_ms: Option<u64>,
    pub accepted_wall_ms: u64,
    /// Revision of acceptance: the order in which jobs came.
    pub accepted_revision: Revision,
    pub node: Option<Arc<NodeSpec>>,
}

/// A job and what the durable records say of it.
#[derive(Debug, Clone)]
pub struct Job {
    pub spec: Arc<JobSpec>,
    /// Finished tasks that are durable.
    pub finished_tasks: BitSet,
    /// How it ended, and a time of day at which its user was not yet told.
    pub terminal: Option<(TerminalState, u64)>,
    /// A task of it was, or may have been, on a machine.
    pub has_started: bool,
}

impl Job {
    pub fn new(info: JobSpec) -> Job {
        Job {
            finished_tasks: BitSet::new(info.tasks),
            spec: Arc::new(info),
            terminal: None,
            has_started: false,
        }
    }
}

impl JobSpec {
    pub fn new(
        id: JobId,
        manifest: &JobManifest,
        accepted_wall_ms: u64,
        accepted_revision: Revision,
        names: &mut NameRegistry,
    ) -> JobSpec {
        JobSpec {
            id,
            class: names.classes.intern(&manifest.job_class),
            team: names.teams.intern(&manifest.team),
            kind: manifest.kind,
            urgency: manifest.priority_class,
            tasks: manifest.tasks,
            task_resources: task_resources(manifest),
            machine_types: manifest
                .machine_types
                .as_ref()
                .map(|kinds| kinds.iter().map(|kind| names.machine_types.intern(kind)).collect()),
            zone: manifest.zone.as_ref().map(|zone| names.zones.intern(zone)),
            single_zone: manifest.same_zone,
            spread: manifest.spread,
            allows_spot: manifest.spot_allowed,
            image: names.images.intern(&manifest.image),
            image_mb: to_milli_ceil(manifest.image_gb),
            estimated_run_ms: manifest.estimated_run_ms(),
            checkpoint_interval_ms: seconds_to_ms(manifest.checkpoint_interval_s),
            checkpoint_save_ms: seconds_to_ms(manifest.checkpoint_save_s),
            slo_wall_ms: manifest.deadline_s.map(|due| accepted_wall_ms + seconds_to_ms(due)),
            accepted_wall_ms,
            accepted_revision,
            node: None,
        }
    }

    pub fn allows_machine_type(&self, machine_type: MachineTypeIx) -> bool {
        self.machine_types.as_ref().is_none_or(|kinds| kinds.contains(&machine_type))
    }

    pub fn allows(&self, machine_type: MachineTypeIx, zone: ZoneIx, spot: bool) -> bool {
        self.allows_machine_type(machine_type)
            && self.zone.is_none_or(|only| only == zone)
            && (!spot || self.allows_spot)
    }

    /// The pool whose slots its tasks take.
    pub fn pool(&self) -> Option<PoolIx> {
        self.node.as_ref()?.pool
    }

    /// Gangs and services are placed all or nothing.
    pub fn is_all_or_nothing(&self) -> bool {
        self.kind != JobKind::Array
    }
}

pub fn task_resources(spec: &JobManifest) -> Resources {
    Resources {
        cpu: to_milli_ceil(spec.cpus),
        gpu: to_milli_ceil(spec.gpus),
        mem: to_milli_ceil(spec.memory_gb),
    }
}
