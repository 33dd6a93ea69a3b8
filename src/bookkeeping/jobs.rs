//! A job: its specification as submitted, with names interned and units converted, and its recorded progress.

use std::sync::Arc;

use olivelatch_dag::RetryPolicy;

use super::bit_set::BitSet;
use crate::ids::{
    ClassIx, ImageIx, Interner, JobId, MachineTypeIx, PoolIx, Resources, Revision, TeamIx, ZoneIx,
    seconds_to_ms, to_milli_ceil,
};
use crate::protocol::graphs::DagRunName;
use crate::protocol::users::{JobKind, JobManifest, PriorityClass};

/// The terminal state of a job. It never changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TerminalState {
    /// All tasks finished.
    Done,
    /// The job was cancelled, or it is a graph node that did not succeed.
    Cancelled,
}

/// The interned names that jobs and machines refer to. The rest of the controller compares indices.
#[derive(Debug, Default)]
pub struct NameRegistry {
    /// Names of machine types.
    pub machine_types: Interner<MachineTypeIx>,
    /// Names of zones.
    pub zones: Interner<ZoneIx>,
    /// Names of teams.
    pub teams: Interner<TeamIx>,
    /// Names of the images that tasks are started from.
    pub images: Interner<ImageIx>,
    /// Names of job classes.
    pub classes: Interner<ClassIx>,
    /// Names of the pools whose slots the tasks of graph nodes share.
    pub pools: Interner<PoolIx>,
}

/// The additional specification of a job that is a node of a graph run.
#[derive(Debug, Clone)]
pub struct NodeSpec {
    /// Name of the run that the node belongs to.
    pub run: DagRunName,
    /// Name of the node.
    pub name: Box<str>,
    /// Maximum number of attempts of a task, and the delays between them.
    pub retry_policy: RetryPolicy,
    /// Run time after which a task counts as failed; None: no limit.
    pub timeout_ms: Option<u64>,
    /// The pool whose slots the tasks occupy, if the node names one.
    pub pool: Option<PoolIx>,
    /// Estimated run time of the longest path downstream of the node, the node itself excluded.
    pub downstream_path_ms: u64,
    /// Upstream jobs whose output it reads, used to place it near its data. Only the first few are kept.
    pub upstream_jobs: Vec<JobId>,
    /// Total size of the output of these upstream jobs, as declared by their templates.
    pub input_mb: u64,
    /// Whether the node has downstream nodes.
    pub has_downstream: bool,
}

/// The immutable part of a job. Field names carry the units.
#[derive(Debug, Clone)]
pub struct JobSpec {
    /// Unique id.
    pub id: JobId,
    /// Job class, chosen by the user.
    pub class: ClassIx,
    /// Team whose quota the job's resources are charged to.
    pub team: TeamIx,
    /// Array, gang or service.
    pub kind: JobKind,
    /// Priority class that the user requested.
    pub priority_class: PriorityClass,
    /// Number of tasks.
    pub tasks: u32,
    /// Resources of one task.
    pub task_resources: Resources,
    /// Machine types that the tasks may run on; None: any.
    pub machine_types: Option<Vec<MachineTypeIx>>,
    /// Zone that the tasks must run in; None: any.
    pub zone: Option<ZoneIx>,
    /// All tasks must run in the same zone.
    pub single_zone: bool,
    /// At most half of the tasks may run in any one zone.
    pub spread: bool,
    /// The tasks may run on spot instances.
    pub allows_spot: bool,
    /// Image that the tasks are started from.
    pub image: ImageIx,
    /// Size of the image.
    pub image_mb: u64,
    /// Run time of a task, as estimated by the user.
    pub estimated_run_ms: u64,
    /// Time between two checkpoints of a task; 0: the tasks save no checkpoints.
    pub checkpoint_interval_ms: u64,
    /// Duration of saving a checkpoint.
    pub checkpoint_save_ms: u64,
    /// Wall-clock time by which the job should be complete, if it has a deadline.
    pub slo_wall_ms: Option<u64>,
    /// Wall-clock time of acceptance; for a graph node, the time at which it became ready.
    pub accepted_wall_ms: u64,
    /// Revision of the acceptance, which orders jobs by their arrival.
    pub accepted_revision: Revision,
    /// The node's specification if the job is a node of a graph run.
    pub node: Option<Arc<NodeSpec>>,
}

/// A job and its progress according to the durable records.
#[derive(Debug, Clone)]
pub struct Job {
    /// The immutable part of the job.
    pub spec: Arc<JobSpec>,
    /// Tasks that are recorded as finished.
    pub finished_tasks: BitSet,
    /// The terminal state and the wall-clock time at which it was reached, in milliseconds.
    pub terminal: Option<(TerminalState, u64)>,
    /// Whether at least one task ran or may have run.
    pub has_started: bool,
}

impl Job {
    /// Returns a job without progress.
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
    /// Builds the specification from a manifest: interns the names and converts the units.
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
            priority_class: manifest.priority_class,
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

    /// Returns whether the tasks may run on machines of this type.
    pub fn allows_machine_type(&self, machine_type: MachineTypeIx) -> bool {
        self.machine_types.as_ref().is_none_or(|allowed| allowed.contains(&machine_type))
    }

    /// Returns whether the tasks may run on a machine of this type in this zone; `spot`: it is a spot instance.
    pub fn allows(&self, machine_type: MachineTypeIx, zone: ZoneIx, spot: bool) -> bool {
        self.allows_machine_type(machine_type)
            && self.zone.is_none_or(|only| only == zone)
            && (!spot || self.allows_spot)
    }

    /// Returns the pool whose slots the tasks occupy, if the job is a graph node that names one.
    pub fn pool(&self) -> Option<PoolIx> {
        self.node.as_ref()?.pool
    }

    /// Returns whether the job is placed all or nothing, as gangs and services are.
    pub fn is_all_or_nothing(&self) -> bool {
        self.kind != JobKind::Array
    }
}

/// Returns the resources of one task, rounded up to thousandths.
pub fn task_resources(manifest: &JobManifest) -> Resources {
    Resources {
        cpu: to_milli_ceil(manifest.cpus),
        gpu: to_milli_ceil(manifest.gpus),
        mem: to_milli_ceil(manifest.memory_gb),
    }
}
