//! The plan of a scale run: an HCL file, checked before anything is started.

use std::path::Path;

use indexmap::IndexMap;
use olivelatch::protocol::users::{JobKind, PriorityClass};
use olivelatch::source_location::with_line_number;
use olivelatch_local_cluster::{
    ControllerQuota, KvLimits, MachineTypeSpec, ObjectivePlan, Platform, TeamSettings, WorkerTimings,
};
use serde::Deserialize;
use thiserror::Error;

#[derive(Debug, Error)]
pub enum PlanError {
    #[error("{file}: {error}")]
    Read { file: String, error: std::io::Error },
    #[error("{file}: {problem}")]
    Hcl { file: String, problem: String },
    #[error("{file}: {field}: expected {expected}, not {found}")]
    InvalidValue { file: String, field: String, expected: String, found: String },
}

/// A machine type of the cloud.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineTypePlan {
    pub cpus: f64,
    pub memory_gb: f64,
    pub fetch_gb_per_s: f64,
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
    pub count: usize,
    /// CPUs guaranteed to all teams together.
    pub guaranteed_cpus: f64,
    /// A team's limit: so many times its guarantee, and at least `least_limit_cpus`.
    pub limit_factor: f64,
    #[serde(rename = "least_limit_cpus")]
    pub min_limit_cpus: f64,
}

/// A spell of the load.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PhasePlan {
    pub seconds: f64,
    /// Task starts a second that the arriving jobs ask for, on average.
    pub starts_per_s: f64,
}

/// A kind of job.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobPlan {
    pub shape: JobKind,
    pub urgency: PriorityClass,
    /// Part of all task starts that this kind asks for.
    pub share: f64,
    /// Numbers of tasks, one drawn for each job.
    pub tasks: Vec<u32>,
    pub cpus: f64,
    pub memory_gb: f64,
    /// Least and longest run time of a job's tasks, in seconds.
    pub run_s: [f64; 2],
    #[serde(default)]
    pub one_zone: bool,
    pub image_gb: f64,
    /// So many different images, one drawn for each job.
    pub images: u32,
    /// Within what time most jobs of the kind should be done: the controllers plan the fleet by it.
    #[serde(default)]
    #[serde(rename = "done_within_s")]
    pub objective_s: Option<f64>,
    /// Part of the jobs that their users cancel.
    #[serde(default)]
    #[serde(rename = "cancelled")]
    pub cancelled_share: f64,
}

/// What strikes, and for how long.
#[derive(Debug, Clone, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultKind {
    /// The leader's process is killed, and started again after `back_s`.
    KillLeader { at_s: f64, back_s: f64 },
    /// A share of the workers is lost with all their tasks; the cloud has no room for others until `back_s` later.
    KillWorkers { at_s: f64, share: f64, back_s: f64 },
    /// A controller's process stands still: the leader, or else a follower.
    #[serde(rename = "freeze")]
    PauseController { at_s: f64, leader: bool, for_s: f64 },
    /// The workers of these zones neither reach a controller nor are reached.
    #[serde(rename = "cut_zones")]
    PartitionZones { at_s: f64, zones: Vec<String>, for_s: f64 },
}

impl FaultKind {
    /// When it strikes, in seconds from the begin of the load.
    pub fn at_s(&self) -> f64 {
        match self {
            FaultKind::KillLeader { at_s, .. }
            | FaultKind::KillWorkers { at_s, .. }
            | FaultKind::PauseController { at_s, .. }
            | FaultKind::PartitionZones { at_s, .. } => *at_s,
        }
    }
}

/// Hollow workers that break a rule on purpose, to show that the check sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Defect {
    /// Reports leave out the tasks that are there.
    HideTasks,
    /// Commands to stop a task are not carried out.
    #[serde(rename = "ignore_halts")]
    IgnoreStops,
}

/// Changes of team limits while the load runs.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangesPlan {
    /// When they begin and end, in seconds from the begin of the load.
    pub from_s: f64,
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
    pub seed: u64,
    pub controllers: usize,
    pub zones: Vec<String>,
    #[serde(rename = "machine")]
    pub machines: IndexMap<String, MachineTypePlan>,
    pub teams: TeamsPlan,
    pub workers: WorkerTimings,
    pub state: KvLimits,
    pub cloud_requests_per_s: f64,
    pub quota: ControllerQuota,
    /// The controllers' tunables (HCL).
    pub tunables: String,
    /// Seconds that the controllers get to find the machines before the load begins.
    pub settle_s: f64,
    #[serde(rename = "phase")]
    pub phases: IndexMap<String, PhasePlan>,
    /// Seconds after the last phase for the rest to run.
    pub drain_s: f64,
    #[serde(rename = "job")]
    pub jobs: IndexMap<String, JobPlan>,
    #[serde(rename = "fault", default)]
    pub faults: IndexMap<String, FaultKind>,
    #[serde(rename = "change", default)]
    pub changes: IndexMap<String, ChangesPlan>,
    #[serde(default)]
    pub defect: Option<Defect>,
}

/// Processes that a run may start.
pub const MAX_PROCESSES: usize = 200;
/// A cloud's list is late by this in a run.
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
        plan.validate().map_err(|wrong| PlanError::InvalidValue {
            file: file.into(),
            field: wrong.field,
            expected: wrong.expected,
            found: wrong.found,
        })?;
        Ok(plan)
    }

    fn validate(&self) -> Result<(), InvalidValue> {
        check_range("controllers", self.controllers as f64, 1.0, 100.0)?;
        check_range("zones", self.zones.len() as f64, 1.0, 100.0)?;
        check_range("machine", self.machines.len() as f64, 1.0, 20.0)?;
        check_range("phase", self.phases.len() as f64, 1.0, 100.0)?;
        check_range("job", self.jobs.len() as f64, 1.0, 100.0)?;
        check_range("teams.count", self.teams.count as f64, 1.0, 10_000.0)?;
        check_range("processes", self.processes() as f64, 1.0, MAX_PROCESSES as f64)?;
        for (name, machine) in &self.machines {
            check_range(
                &format!("machine {name}: up_at_start"),
                machine.up_at_start as f64,
                0.0,
                machine.per_zone as f64,
            )?;
            check_range(&format!("machine {name}: cpus"), machine.cpus, 0.001, 1e6)?;
            check_range(&format!("machine {name}: fetch_gb_per_s"), machine.fetch_gb_per_s, 1e-6, 1e6)?;
        }
        for (name, phase) in &self.phases {
            check_range(&format!("phase {name}: seconds"), phase.seconds, 1.0, 86_400.0)?;
            check_range(&format!("phase {name}: starts_per_s"), phase.starts_per_s, 0.0, 1e5)?;
        }
        for (name, job) in &self.jobs {
            check_range(&format!("job {name}: share"), job.share, 0.0, 1.0)?;
            check_range(&format!("job {name}: cancelled"), job.cancelled_share, 0.0, 1.0)?;
            check_range(
                &format!("job {name}: tasks"),
                job.tasks.iter().min().copied().unwrap_or(0).into(),
                1.0,
                100_000.0,
            )?;
            check_range(&format!("job {name}: images"), job.images.into(), 1.0, 1e6)?;
            check_range(&format!("job {name}: run_s"), job.run_s[1] - job.run_s[0], 0.0, 1e6)?;
        }
        for (name, fault) in &self.faults {
            check_range(&format!("fault {name}: at_s"), fault.at_s(), 0.0, self.load_s())?;
            if let FaultKind::PartitionZones { zones, .. } = fault
                && let Some(unknown) = zones.iter().find(|zone| !self.zones.contains(zone))
            {
                let expected = format!("one of {}", self.zones.join(", "));
                return Err(InvalidValue {
                    field: format!("fault {name}: zones"),
                    expected,
                    found: unknown.clone(),
                });
            }
        }
        for (name, changes) in &self.changes {
            check_range(&format!("change {name}: every_s"), changes.every_s, 0.1, 86_400.0)?;
            check_range(&format!("change {name}: burst"), changes.burst as f64, 1.0, 1000.0)?;
            check_range(&format!("change {name}: to_s"), changes.to_s, changes.from_s, self.load_s())?;
        }
        Ok(())
    }

    /// Seconds of all phases together.
    pub fn load_s(&self) -> f64 {
        self.phases.values().map(|phase| phase.seconds).sum()
    }

    /// Controllers, a process of hollow workers for each zone, the state service, the run itself.
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
        let whole: f64 = (0..self.teams.count).map(weight).sum();
        let team = |rank: usize| {
            let guaranteed = (self.teams.guaranteed_cpus * weight(rank) / whole * 10.0).floor() / 10.0;
            let limit = (guaranteed * self.teams.limit_factor).max(self.teams.min_limit_cpus);
            TeamSettings { name: team_name(rank), guaranteed, limit }
        };
        (0..self.teams.count).map(team).collect()
    }

    /// What the controllers are told of the platform.
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
        let aim = |(class, job): (&String, &JobPlan)| {
            Some(ObjectivePlan { class: class.clone(), within_s: job.objective_s? })
        };
        self.jobs.iter().filter_map(aim).collect()
    }

    /// The machine types as the cloud's stand-in has them.
    pub fn machine_types(&self) -> Vec<MachineTypeSpec> {
        let kind = |(name, machine): (&String, &MachineTypePlan)| MachineTypeSpec {
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
        self.machines.iter().map(kind).collect()
    }
}

/// The name of a team by its rank.
pub fn team_name(rank: usize) -> String {
    format!("team-{rank:03}")
}

/// A value that can't be used.
struct InvalidValue {
    field: String,
    expected: String,
    found: String,
}

fn check_range(field: &str, value: f64, low: f64, high: f64) -> Result<(), InvalidValue> {
    if (low..=high).contains(&value) {
        return Ok(());
    }
    Err(InvalidValue { field: field.into(), expected: format!("{low} to {high}"), found: value.to_string() })
}
