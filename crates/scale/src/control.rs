//! What the run and its processes of hollow workers say to each other: JSON over loopback.

use std::collections::BTreeMap;

use olivelatch_worker::{Description, Machine, Work};
use serde::{Deserialize, Serialize};

/// What workers know of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HollowJob {
    pub job: String,
    pub cpus: f64,
    pub memory_gb: f64,
    pub image: String,
    pub size_gb: f64,
    pub gang: bool,
    pub tasks: u32,
    pub save_ms: u64,
    pub run_ms: u64,
}

impl From<HollowJob> for Description {
    fn from(job: HollowJob) -> Description {
        Description {
            cpus: job.cpus,
            gpus: 0.0,
            memory_gb: job.memory_gb,
            image: job.image,
            size_gb: job.size_gb,
            gang: job.gang,
            tasks: job.tasks,
            checkpoint: false,
            save_ms: job.save_ms,
            work: Work::Takes { run_ms: job.run_ms, fails: false, gives: None },
            inputs: BTreeMap::new(),
            map: None,
        }
    }
}

/// A machine that comes up.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HollowMachine {
    pub name: String,
    pub endpoint: String,
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub cpus: f64,
    pub memory_gb: f64,
    pub fetch_gb_per_s: f64,
}

impl From<HollowMachine> for Machine {
    fn from(machine: HollowMachine) -> Machine {
        Machine {
            name: machine.name,
            endpoint: machine.endpoint,
            kind: machine.kind,
            zone: machine.zone,
            spot: machine.spot,
            cpus: machine.cpus,
            gpus: 0.0,
            memory_gb: machine.memory_gb,
            fetch_gb_per_s: machine.fetch_gb_per_s,
        }
    }
}

/// What a process of hollow workers is told to do.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ZoneCommand {
    /// A machine comes up.
    Boot(HollowMachine),
    /// A machine is gone, with all that is on it.
    Drop(String),
    /// A job that may be started from now on.
    Describe(HollowJob),
    /// The zone is cut off from every controller, or reachable again.
    Cut(bool),
}

/// What became of a task on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskEventKind {
    /// It has its image: from now on it is on the machine.
    On,
    /// It runs.
    Runs,
    /// It is not on the machine any more.
    Off,
    /// It is not on the machine any more and has completed.
    Done,
}

/// Seen by a hollow worker. Times are milliseconds from the begin of the run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskEvent {
    pub at_ms: u64,
    pub worker: String,
    pub task: String,
    /// Its upper bits are the token of the leader that started it.
    pub attempt: u64,
    pub kind: TaskEventKind,
}

/// What a process of hollow workers has seen and used.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ZoneNews {
    /// All events before this time are told.
    pub until_ms: u64,
    pub events: Vec<TaskEvent>,
    pub workers: usize,
    /// Tasks that are on a machine.
    pub on: usize,
    /// Since the begin: reports sent, reports answered with 200, commands received, bytes of control traffic.
    pub reports: u64,
    pub answered: u64,
    pub commands: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
}

/// What the state service has served.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct StateFigures {
    pub requests: u64,
    pub refused: u64,
    pub revision: u64,
    pub changes: u64,
    pub keys: usize,
    /// The controller that leads by the record.
    pub leader: Option<String>,
    pub bytes_in: u64,
    pub bytes_out: u64,
}
