//! The plan of a scale run: an HCL file that is validated before any process is started.

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

/// The reason why a file cannot be used as a plan.
#[derive(Debug, Error)]
pub enum PlanError {
    /// The file cannot be read.
    #[error("{file}: {error}")]
    Read {
        /// Path of the plan's file.
        file: String,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// The file is not valid HCL, or has unknown or missing fields.
    #[error("{file}: {problem}")]
    Hcl {
        /// Path of the plan's file.
        file: String,
        /// Description of the syntax error or field, with the line number.
        problem: String,
    },
    /// A value is out of range.
    #[error("{file}: {field}: expected {expected}, not {found}")]
    InvalidValue {
        /// Path of the plan's file.
        file: String,
        /// Names of the block and the field.
        field: String,
        /// Range or list of the allowed values.
        expected: String,
        /// Value in the plan.
        found: String,
    },
}

/// A machine type of the cloud.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineTypePlan {
    /// CPUs of one machine.
    pub cpus: f64,
    /// Memory of one machine in GB.
    pub memory_gb: f64,
    /// Rate at which a machine fetches images, in GB per second.
    pub fetch_gb_per_s: f64,
    /// Seconds from the request for a machine until it is up.
    pub boot_s: f64,
    /// Maximum number of machines of this type in a zone.
    pub per_zone: usize,
    /// Number of machines of this type in a zone that are up when the run begins.
    pub up_at_start: usize,
}

/// The teams, ordered from the largest to the smallest: the guarantee of the n-th team and its share of the
/// jobs are proportional to 1/n.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamsPlan {
    /// Number of teams.
    pub count: usize,
    /// Sum of the CPUs guaranteed to the teams.
    pub guaranteed_cpus: f64,
    /// A team's limit is its guarantee times this factor, but at least `least_limit_cpus`.
    pub limit_factor: f64,
    /// Minimum limit of a team, in CPUs.
    #[serde(rename = "least_limit_cpus")]
    pub min_limit_cpus: f64,
}

/// A period of the load with a constant rate.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PhasePlan {
    /// Length of the phase in seconds.
    pub seconds: f64,
    /// Mean number of tasks per second in the jobs that arrive. Each task needs at least one start.
    pub starts_per_s: f64,
}

/// A class of jobs, which have the same shape and urgency, and whose tasks have the same size.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobClassPlan {
    /// How the tasks of a job relate to each other, such as array or gang.
    pub shape: JobKind,
    /// Priority class of the jobs.
    #[serde(rename = "urgency")]
    pub priority_class: PriorityClass,
    /// Fraction of `starts_per_s` that belongs to jobs of this class, from 0 to 1.
    pub share: f64,
    /// Possible numbers of tasks; one is drawn for each job.
    pub tasks: Vec<u32>,
    /// CPUs of one task.
    pub cpus: f64,
    /// Memory of one task in GB.
    pub memory_gb: f64,
    /// Minimum and maximum run time of a job's tasks, in seconds.
    pub run_s: [f64; 2],
    /// Whether all tasks of a job must run in the same zone.
    #[serde(default)]
    pub one_zone: bool,
    /// Size of an image in GB.
    pub image_gb: f64,
    /// Number of different images; one is drawn for each job.
    pub images: u32,
    /// Objective for this class: the seconds within which most of its jobs should be done. The controllers
    /// provision machines to meet it.
    #[serde(default)]
    #[serde(rename = "done_within_s")]
    pub objective_s: Option<f64>,
    /// Fraction of the jobs that their users cancel, from 0 to 1.
    #[serde(default)]
    #[serde(rename = "cancelled")]
    pub cancelled_share: f64,
}

/// A fault. Its times are in seconds; `at_s` counts from the beginning of the load.
#[derive(Debug, Clone, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultKind {
    /// Kills the leader's process and starts it again after `back_s`.
    KillLeader {
        /// Time at which the fault begins.
        at_s: f64,
        /// Seconds from the kill to the restart.
        back_s: f64,
    },
    /// Fails a share of the machines with all their tasks and reduces the cloud's capacity by the same share
    /// until `back_s` later.
    KillWorkers {
        /// Time at which the fault begins.
        at_s: f64,
        /// Fraction of the machines that fail, from 0 to 1.
        share: f64,
        /// Seconds until the capacity of the cloud is restored.
        back_s: f64,
    },
    /// Pauses a controller's process.
    #[serde(rename = "freeze")]
    PauseController {
        /// Time at which the fault begins.
        at_s: f64,
        /// Whether the leader is paused (true) or a follower (false).
        leader: bool,
        /// Length of the pause in seconds.
        for_s: f64,
    },
    /// Partitions zones: their workers cannot reach any controller, and no controller can reach them.
    #[serde(rename = "cut_zones")]
    PartitionZones {
        /// Time at which the fault begins.
        at_s: f64,
        /// Names of the zones.
        zones: Vec<String>,
        /// Length of the partition in seconds.
        for_s: f64,
    },
}

impl FaultKind {
    /// Returns the time at which the fault begins, in seconds from the beginning of the load.
    pub fn at_s(&self) -> f64 {
        match self {
            FaultKind::KillLeader { at_s, .. }
            | FaultKind::KillWorkers { at_s, .. }
            | FaultKind::PauseController { at_s, .. }
            | FaultKind::PartitionZones { at_s, .. } => *at_s,
        }
    }
}

/// A defect that the simulated workers have on purpose, to test that the checker detects its effects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Defect {
    /// Heartbeats omit the tasks that are on the machine.
    HideTasks,
    /// Commands to stop a task are ignored.
    #[serde(rename = "ignore_halts")]
    IgnoreStops,
}

/// A series of changes to team limits during the load.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeSeriesPlan {
    /// Start of the series, in seconds from the beginning of the load.
    pub from_s: f64,
    /// End of the series, in seconds from the beginning of the load.
    pub to_s: f64,
    /// Seconds between two bursts of changes.
    pub every_s: f64,
    /// Number of changes in each burst, all requested at the same time.
    pub burst: usize,
}

/// The plan of a run.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Seed of all random number generators of the run.
    pub seed: u64,
    /// Number of controllers.
    pub controllers: usize,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Machine types by name.
    #[serde(rename = "machine")]
    pub machine_types: IndexMap<String, MachineTypePlan>,
    /// Number of teams, and their guarantees and limits.
    pub teams: TeamsPlan,
    /// Timings of heartbeats, leases, gangs and cancellations.
    #[serde(rename = "workers")]
    pub worker_timings: WorkerTimings,
    /// Limits of the kv store.
    #[serde(rename = "state")]
    pub kv_limits: KvLimits,
    /// Rate limit of the cloud, in requests per second.
    pub cloud_requests_per_s: f64,
    /// Resources that a controller's process may use.
    pub quota: ControllerQuota,
    /// Content of the controllers' tunables file (HCL).
    pub tunables: String,
    /// Seconds that the controllers get to discover the machines before the load begins.
    pub settle_s: f64,
    /// Phases of the load by name, in order.
    #[serde(rename = "phase")]
    pub phases: IndexMap<String, PhasePlan>,
    /// Maximum time in seconds that the run waits after the last phase for unfinished jobs to complete.
    pub drain_s: f64,
    /// Classes of jobs by name.
    #[serde(rename = "job")]
    pub job_classes: IndexMap<String, JobClassPlan>,
    /// Faults by name.
    #[serde(rename = "fault", default)]
    pub faults: IndexMap<String, FaultKind>,
    /// Series of configuration changes by name.
    #[serde(rename = "change", default)]
    pub change_series: IndexMap<String, ChangeSeriesPlan>,
    /// Defect of the simulated workers, if the run tests the checker.
    #[serde(default)]
    pub defect: Option<Defect>,
}

/// Maximum lag of the cloud's list of machines, in seconds, as the controllers' settings state it.
const LIST_LAG_S: f64 = 0.5;

impl Plan {
    /// Reads a plan from its HCL file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, is not a valid plan, or has a value that is out of range.
    pub fn load(path: &Path) -> Result<Plan, PlanError> {
        let file = path.display().to_string();
        let text =
            std::fs::read_to_string(path).map_err(|error| PlanError::Read { file: file.clone(), error })?;
        Plan::parse(&file, &text)
    }

    /// Parses and validates a plan; `file` is the file name shown in errors.
    ///
    /// # Errors
    ///
    /// The text is not a valid plan, or has a value that is out of range.
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

    /// Returns the length of the load in seconds: the sum of all phases.
    pub fn load_s(&self) -> f64 {
        self.phases.values().map(|phase| phase.seconds).sum()
    }

    /// Returns the number of processes: the controllers, one process of simulated workers per zone, the kv
    /// store and the run itself.
    pub fn process_count(&self) -> usize {
        self.controllers + self.zones.len() + 2
    }

    /// Returns the maximum number of workers in all zones together.
    pub fn max_workers(&self) -> usize {
        self.machine_types.values().map(|machine| machine.per_zone * self.zones.len()).sum()
    }

    /// Returns the name, guarantee and limit of each team, ordered from the largest to the smallest.
    pub fn team_settings(&self) -> Vec<TeamSettings> {
        let weight = |rank: usize| 1.0 / (rank + 1) as f64;
        let total_weight: f64 = (0..self.teams.count).map(weight).sum();
        let team = |rank: usize| {
            let guaranteed = (self.teams.guaranteed_cpus * weight(rank) / total_weight * 10.0).floor() / 10.0;
            let limit = (guaranteed * self.teams.limit_factor).max(self.teams.min_limit_cpus);
            TeamSettings { name: team_name(rank), guaranteed, limit }
        };
        (0..self.teams.count).map(team).collect()
    }

    /// Returns the platform from which the controllers' settings are written.
    pub fn platform(&self) -> Platform {
        Platform {
            zones: self.zones.clone(),
            teams: self.team_settings(),
            objectives: self.objectives(),
            workers: self.worker_timings,
            kv_limits: self.kv_limits,
            cloud_requests_per_s: self.cloud_requests_per_s,
            list_lag_s: LIST_LAG_S,
            quota: self.quota,
        }
    }

    fn objectives(&self) -> Vec<ObjectivePlan> {
        let objective = |(class, job): (&String, &JobClassPlan)| {
            Some(ObjectivePlan { class: class.clone(), within_s: job.objective_s? })
        };
        self.job_classes.iter().filter_map(objective).collect()
    }

    /// Returns the machine types of the simulated cloud.
    pub fn machine_type_specs(&self) -> Vec<MachineTypeSpec> {
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
        self.machine_types.iter().map(machine_type).collect()
    }
}

/// Returns the name of the team with this rank; rank 0 is the largest team.
pub fn team_name(rank: usize) -> String {
    format!("team-{rank:03}")
}
