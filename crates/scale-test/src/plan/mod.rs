//! The plan of a scale run: an HCL file, checked before anything is started.

mod validation;

use std::path::Path;

use indexmap::IndexMap;
use olivelatch::protocol::users::{JobKind, PriorityClass};
use olivelatch::source_location::with_line_number;
use olivelatch_local_cluster::{
    ControllerQuota, KvLimits, MachineTypeSpec, ObjectivePlan, Platform, TeamSettings, WorkerTimings,
};
use serde::Deserialize;
use thiserror::Error;

/// Why a file cannot be used as a plan.
#[derive(Debug, Error)]
pub enum PlanError {
    /// It cannot be read.
    #[error("{file}: {error}")]
    Read {
        /// The plan's file.
        file: String,
        /// Why not.
        error: std::io::Error,
    },
    /// It is not HCL, or has unknown or missing fields.
    #[error("{file}: {problem}")]
    Hcl {
        /// The plan's file.
        file: String,
        /// What is wrong, with the line.
        problem: String,
    },
    /// A value is outside of its range.
    #[error("{file}: {field}: expected {expected}, not {found}")]
    InvalidValue {
        /// The plan's file.
        file: String,
        /// Block and field.
        field: String,
        /// Values that are allowed.
        expected: String,
        /// The value in the plan.
        found: String,
    },
}

/// A machine type of the cloud.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineTypePlan {
    /// CPUs of a machine.
    pub cpus: f64,
    /// Memory of a machine in GB.
    pub memory_gb: f64,
    /// How fast a machine fetches images.
    pub fetch_gb_per_s: f64,
    /// Seconds from the request for a machine until it is up.
    pub boot_s: f64,
    /// Machines that a zone has room for.
    pub per_zone: usize,
    /// Of these, how many are up when the run begins.
    pub up_at_start: usize,
}

/// Teams, the largest first: shares fall off as one over the rank.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamsPlan {
    /// Number of teams.
    pub count: usize,
    /// CPUs guaranteed to all teams together.
    pub guaranteed_cpus: f64,
    /// A team's limit: so many times its guarantee, and at least `least_limit_cpus`.
    pub limit_factor: f64,
    /// Least limit of a team, in CPUs.
    #[serde(rename = "least_limit_cpus")]
    pub min_limit_cpus: f64,
}

/// A period of the load with a constant rate.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PhasePlan {
    /// Its length.
    pub seconds: f64,
    /// Task starts a second that the arriving jobs need, on average.
    pub starts_per_s: f64,
}

/// A kind of job.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobPlan {
    /// Batch, gang or another kind that the scheduler knows.
    pub shape: JobKind,
    /// Priority class of the jobs.
    pub urgency: PriorityClass,
    /// Part of all task starts that jobs of this kind need.
    pub share: f64,
    /// Numbers of tasks, one drawn for each job.
    pub tasks: Vec<u32>,
    /// CPUs of a task.
    pub cpus: f64,
    /// Memory of a task in GB.
    pub memory_gb: f64,
    /// Least and longest run time of a job's tasks, in seconds.
    pub run_s: [f64; 2],
    /// All tasks of a job must be in the same zone.
    #[serde(default)]
    pub one_zone: bool,
    /// Size of an image in GB.
    pub image_gb: f64,
    /// Number of different images, one drawn for each job.
    pub images: u32,
    /// Seconds within which most jobs of the kind should be done: the controllers provision machines by it.
    #[serde(default)]
    #[serde(rename = "done_within_s")]
    pub objective_s: Option<f64>,
    /// Part of the jobs that their users cancel.
    #[serde(default)]
    #[serde(rename = "cancelled")]
    pub cancelled_share: f64,
}

/// A fault, when it begins (seconds of the load) and when it ends.
#[derive(Debug, Clone, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultKind {
    /// The leader's process is killed, and started again after `back_s`.
    KillLeader {
        /// When it begins.
        at_s: f64,
        /// Seconds until the restart.
        back_s: f64,
    },
    /// A share of the workers is lost with all their tasks; the cloud has no room for others until `back_s` later.
    KillWorkers {
        /// When it begins.
        at_s: f64,
        /// Part of the workers, from 0 to 1.
        share: f64,
        /// Seconds until the cloud has its capacity again.
        back_s: f64,
    },
    /// A controller's process is paused.
    #[serde(rename = "freeze")]
    PauseController {
        /// When it begins.
        at_s: f64,
        /// The leader's process, or else a follower's.
        leader: bool,
        /// Its length in seconds.
        for_s: f64,
    },
    /// The workers of these zones neither reach a controller nor are reached.
    #[serde(rename = "cut_zones")]
    PartitionZones {
        /// When it begins.
        at_s: f64,
        /// Names of the zones.
        zones: Vec<String>,
        /// Its length in seconds.
        for_s: f64,
    },
}

impl FaultKind {
    /// When it begins, in seconds from the begin of the load.
    pub fn at_s(&self) -> f64 {
        match self {
            FaultKind::KillLeader { at_s, .. }
            | FaultKind::KillWorkers { at_s, .. }
            | FaultKind::PauseController { at_s, .. }
            | FaultKind::PartitionZones { at_s, .. } => *at_s,
        }
    }
}

/// A fault built into the simulated workers, to show that the checker detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Defect {
    /// Heartbeats leave out the tasks that are on the machine.
    HideTasks,
    /// Commands to stop a task are not carried out.
    #[serde(rename = "ignore_halts")]
    IgnoreStops,
}

/// Changes of team limits while the load runs.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangesPlan {
    /// When they begin, in seconds from the begin of the load.
    pub from_s: f64,
    /// When they end, in seconds from the begin of the load.
    pub to_s: f64,
    /// Seconds between two changes, or between two bursts.
    pub every_s: f64,
    /// Changes made at once.
    pub burst: usize,
}

/// The plan of a run.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Seed of all random generators of the run.
    pub seed: u64,
    /// Number of controllers.
    pub controllers: usize,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Machine types by name.
    #[serde(rename = "machine")]
    pub machines: IndexMap<String, MachineTypePlan>,
    /// The teams.
    pub teams: TeamsPlan,
    /// Timings of heartbeats, leases and gangs.
    pub workers: WorkerTimings,
    /// Limits of the kv store.
    pub state: KvLimits,
    /// Rate limit of the cloud.
    pub cloud_requests_per_s: f64,
    /// What a controller's process may use.
    pub quota: ControllerQuota,
    /// The controllers' tunables (HCL).
    pub tunables: String,
    /// Seconds that the controllers get to find the machines before the load begins.
    pub settle_s: f64,
    /// Phases of the load by name, in order.
    #[serde(rename = "phase")]
    pub phases: IndexMap<String, PhasePlan>,
    /// Seconds after the last phase in which unfinished jobs may complete.
    pub drain_s: f64,
    /// Kinds of jobs by name.
    #[serde(rename = "job")]
    pub jobs: IndexMap<String, JobPlan>,
    /// Faults by name.
    #[serde(rename = "fault", default)]
    pub faults: IndexMap<String, FaultKind>,
    /// Series of configuration changes by name.
    #[serde(rename = "change", default)]
    pub changes: IndexMap<String, ChangesPlan>,
    /// A fault built into the simulated workers.
    #[serde(default)]
    pub defect: Option<Defect>,
}

/// How far the cloud's list of machines lags behind its state.
const LIST_LAG_S: f64 = 0.5;

impl Plan {
    /// Reads a plan from its HCL file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, is no plan, or asks for more than a run may use.
    pub fn load(path: &Path) -> Result<Plan, PlanError> {
        let file = path.display().to_string();
        let text =
            std::fs::read_to_string(path).map_err(|error| PlanError::Read { file: file.clone(), error })?;
        Plan::parse(&file, &text)
    }

    /// Parses and checks a plan; `file` is named in errors.
    ///
    /// # Errors
    ///
    /// The text is no plan, or asks for more than a run may use.
    pub fn parse(file: &str, text: &str) -> Result<Plan, PlanError> {
        let plan: Plan = hcl::from_str(text).map_err(|error| PlanError::Hcl {
            file: file.into(),
            problem: with_line_number(text, &error.to_string()),
        })?;
        plan.validate().map_err(|invalid| PlanError::InvalidValue {
            file: file.into(),
            field: invalid.field,
            expected: invalid.expected,
            found: invalid.found,
        })?;
        Ok(plan)
    }

    /// Seconds of all phases together.
    pub fn load_s(&self) -> f64 {
        self.phases.values().map(|phase| phase.seconds).sum()
    }

    /// Number of processes: controllers, one of simulated workers for each zone, the kv store, the run itself.
    pub fn processes(&self) -> usize {
        self.controllers + self.zones.len() + 2
    }

    /// Workers that the zones have room for.
    pub fn max_workers(&self) -> usize {
        self.machines.values().map(|machine| machine.per_zone * self.zones.len()).sum()
    }

    /// Name, guarantee and limit of each team, the largest first.
    pub fn team_plans(&self) -> Vec<TeamSettings> {
        let weight = |rank: usize| 1.0 / (rank + 1) as f64;
        let total_weight: f64 = (0..self.teams.count).map(weight).sum();
        let team = |rank: usize| {
            let guaranteed = (self.teams.guaranteed_cpus * weight(rank) / total_weight * 10.0).floor() / 10.0;
            let limit = (guaranteed * self.teams.limit_factor).max(self.teams.min_limit_cpus);
            TeamSettings { name: team_name(rank), guaranteed, limit }
        };
        (0..self.teams.count).map(team).collect()
    }

    /// The platform as the controllers' settings describe it.
    pub fn platform(&self) -> Platform {
        Platform {
            zones: self.zones.clone(),
            teams: self.team_plans(),
            objectives: self.objectives(),
            workers: self.workers,
            kv_limits: self.state,
            cloud_requests_per_s: self.cloud_requests_per_s,
            list_lag_s: LIST_LAG_S,
            quota: self.quota,
        }
    }

    fn objectives(&self) -> Vec<ObjectivePlan> {
        let objective = |(class, job): (&String, &JobPlan)| {
            Some(ObjectivePlan { class: class.clone(), within_s: job.objective_s? })
        };
        self.jobs.iter().filter_map(objective).collect()
    }

    /// The machine types of the simulated cloud.
    pub fn machine_types(&self) -> Vec<MachineTypeSpec> {
        let machine_type = |(name, machine): (&String, &MachineTypePlan)| MachineTypeSpec {
            name: name.clone(),
            cpus: machine.cpus,
            memory_gb: machine.memory_gb,
            gpus: 0.0,
            fetch_gb_per_s: machine.fetch_gb_per_s,
            boot_s: machine.boot_s,
            zones: self.zones.clone(),
            on_demand_per_zone: machine.per_zone,
            spot_per_zone: 0,
        };
        self.machines.iter().map(machine_type).collect()
    }
}

/// The name of a team by its rank.
pub fn team_name(rank: usize) -> String {
    format!("team-{rank:03}")
}
