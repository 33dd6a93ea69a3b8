//! A job: what was submitted, with names interned and units converted, and what the records say of its progress.

use std::sync::Arc;

use olivelatch_dag::RetryPolicy;

use super::bit_set::BitSet;
use crate::ids::{
    ClassIx, ImageIx, Interner, JobId, MachineTypeIx, PoolIx, Resources, Revision, TeamIx, ZoneIx,
    seconds_to_ms, to_milli_ceil,
};
use crate::protocol::graphs::DagRunName;
use crate::protocol::users::{JobKind, JobManifest, PriorityClass};

/// How a job ended. Final.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TerminalState {
    /// All its tasks finished.
    Done,
    /// It was cancelled, or it is a graph node that did not succeed.
    Cancelled,
}

/// The names that jobs and machines use, interned: the rest of the controller compares indices.
#[derive(Debug, Default)]
pub struct NameRegistry {
    /// Machine types.
    pub machine_types: Interner<MachineTypeIx>,
    /// Zones.
    pub zones: Interner<ZoneIx>,
    /// Teams.
    pub teams: Interner<TeamIx>,
    /// Images that tasks run from.
    pub images: Interner<ImageIx>,
    /// Job classes.
    pub classes: Interner<ClassIx>,
    /// Pools of slots that graph nodes share.
    pub pools: Interner<PoolIx>,
}

/// What a job has in addition if it is a node of a graph's run.
#[derive(Debug, Clone)]
pub struct NodeSpec {
    /// The run.
    pub run: DagRunName,
    /// Name of the node.
    pub name: Box<str>,
    /// How often a task is tried, and the delays between.
    pub retry_policy: RetryPolicy,
    /// A task that runs longer than this has failed.
    pub timeout_ms: Option<u64>,
    /// The pool whose slots its tasks take.
    pub pool: Option<PoolIx>,
    /// Work on the longest path downstream of it.
    pub downstream_path_ms: u64,
    /// The first jobs whose output it reads, for placement near their data.
    pub upstream_jobs: Vec<JobId>,
    /// Size of the output that it reads of them.
    pub input_mb: u64,
    /// Other nodes are downstream of it.
    pub has_downstream: bool,
}

/// What of a job never changes. Field names carry the units.
#[derive(Debug, Clone)]
pub struct JobSpec {
    /// Unique id.
    pub id: JobId,
    /// Class that the user gave it.
    pub class: ClassIx,
    /// Team that its resources count for.
    pub team: TeamIx,
    /// Array, gang or service.
    pub kind: JobKind,
    /// Priority that the user asked for.
    pub urgency: PriorityClass,
    /// Number of tasks.
    pub tasks: u32,
    /// What one task takes.
    pub task_resources: Resources,
    /// Machine types that its tasks may run on; None: any.
    pub machine_types: Option<Vec<MachineTypeIx>>,
    /// Zone that its tasks must run in; None: any.
    pub zone: Option<ZoneIx>,
    /// All tasks must run in one zone, whichever it is.
    pub single_zone: bool,
    /// At most half of its tasks may run in one zone.
    pub spread: bool,
    /// Its tasks may run on spot instances.
    pub allows_spot: bool,
    /// Image that its tasks run from.
    pub image: ImageIx,
    /// Size of the image.
    pub image_mb: u64,
    /// Run time of a task as the user estimates it.
    pub estimated_run_ms: u64,
    /// Time between two checkpoints of a task; 0: it saves none.
    pub checkpoint_interval_ms: u64,
    /// Time that saving a checkpoint takes.
    pub checkpoint_save_ms: u64,
    /// Wall-clock time by which it should be complete.
    pub slo_wall_ms: Option<u64>,
    /// Wall-clock time of acceptance; of a graph node, when it became ready.
    pub accepted_wall_ms: u64,
    /// Revision of the acceptance: the order in which jobs came.
    pub accepted_revision: Revision,
    /// If it is a node of a graph's run.
    pub node: Option<Arc<NodeSpec>>,
}

/// A job and what the durable records say of it.
#[derive(Debug, Clone)]
pub struct Job {
    /// What never changes.
    pub spec: Arc<JobSpec>,
    /// Finished tasks that are on record.
    pub finished_tasks: BitSet,
    /// How it ended, and at what wall-clock time in milliseconds.
    pub terminal: Option<(TerminalState, u64)>,
    /// A task of it ran or may have run.
    pub has_started: bool,
}

impl Job {
    /// A job of which nothing has run.
    pub fn new(spec: JobSpec) -> Job {
        Job {
            finished_tasks: BitSet::new(spec.tasks),
            spec: Arc::new(spec),
            terminal: None,
            has_started: false,
        }
    }
}

impl JobSpec {
    /// A submitted job: interns its names and converts its units.
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
                .map(|allowed| allowed.iter().map(|name| names.machine_types.intern(name)).collect()),
            zone: manifest.zone.as_ref().map(|zone| names.zones.intern(zone)),
            single_zone: manifest.same_zone,
            spread: manifest.spread,
            allows_spot: manifest.spot_allowed,
            image: names.images.intern(&manifest.image),
            image_mb: to_milli_ceil(manifest.image_gb),
            estimated_run_ms: manifest.estimated_run_ms(),
            checkpoint_interval_ms: seconds_to_ms(manifest.checkpoint_interval_s),
            checkpoint_save_ms: seconds_to_ms(manifest.checkpoint_save_s),
            slo_wall_ms: manifest.deadline_s.map(|deadline| accepted_wall_ms + seconds_to_ms(deadline)),
            accepted_wall_ms,
            accepted_revision,
            node: None,
        }
    }

    /// May its tasks run on machines of this type?
    pub fn allows_machine_type(&self, machine_type: MachineTypeIx) -> bool {
        self.machine_types.as_ref().is_none_or(|allowed| allowed.contains(&machine_type))
    }

    /// May its tasks run on a machine of this type in this zone?
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

/// What one task takes, rounded up to thousandths.
pub fn task_resources(manifest: &JobManifest) -> Resources {
    Resources {
        cpu: to_milli_ceil(manifest.cpus),
        gpu: to_milli_ceil(manifest.gpus),
        mem: to_milli_ceil(manifest.memory_gb),
    }
}
