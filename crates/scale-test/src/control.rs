//! What the run and its processes of hollow workers say to each other: JSON over loopback.

use std::collections::BTreeMap;

use olivelatch_worker::{JobDescription, Machine, TaskWork};
use serde::{Deserialize, Serialize};

/// What workers know of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SimulatedJob {
    pub job: String,
    pub cpus: f64,
    pub memory_gb: f64,
    pub image: String,
    pub size_gb: f64,
    pub gang: bool,
    pub tasks: u32,
    #[serde(rename = "save_ms")]
    pub checkpoint_ms: u64,
    pub run_ms: u64,
}

impl From<SimulatedJob> for JobDescription {
    fn from(job: SimulatedJob) -> JobDescription {
        JobDescription {
            cpus: job.cpus,
            gpus: 0.0,
            memory_gb: job.memory_gb,
            image: job.image,
            image_gb: job.size_gb,
            gang: job.gang,
            tasks: job.tasks,
            can_checkpoint: false,
            checkpoint_save_ms: job.checkpoint_ms,
            work: TaskWork::Simulated { run_ms: job.run_ms, fails: false, list_len: None },
            inputs: BTreeMap::new(),
            map_source: None,
        }
    }
}

/// A machine that comes up.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SimulatedMachine {
    pub name: String,
    pub endpoint: String,
    #[serde(rename = "kind")]
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub cpus: f64,
    pub memory_gb: f64,
    pub fetch_gb_per_s: f64,
}

impl From<SimulatedMachine> for Machine {
    fn from(machine: SimulatedMachine) -> Machine {
        Machine {
            name: machine.name,
            endpoint: machine.endpoint,
            machine_type: machine.machine_type,
            zone: machine.zone,
            spot: machine.spot,
            cpus: machine.cpus,
            gpus: 0.0,
            memory_gb: machine.memory_gb,
            image_fetch_gb_per_s: machine.fetch_gb_per_s,
        }
    }
}

/// What a process of hollow workers is told to do.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ZoneCommand {
    /// A machine comes up.
    Boot(SimulatedMachine),
    /// A machine is gone, with all that is on it.
    #[serde(rename = "drop")]
    Remove(String),
    /// A job that may be started from now on.
    Describe(SimulatedJob),
    /// The zone is cut off from every controller, or reachable again.
    #[serde(rename = "cut")]
    SetPartitioned(bool),
}

/// What became of a task on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskEventKind {
    /// It has its image: from now on it is on the machine.
    #[serde(rename = "on")]
    Placed,
    /// It runs.
    #[serde(rename = "runs")]
    Started,
    /// It is not on the machine any more.
    #[serde(rename = "off")]
    Removed,
    /// It is not on the machine any more and has completed.
    #[serde(rename = "done")]
    Completed,
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
pub struct ZoneStatus {
    /// All events before this time are told.
    pub until_ms: u64,
    pub events: Vec<TaskEvent>,
    pub workers: usize,
    /// Tasks that are on a machine.
    #[serde(rename = "on")]
    pub tasks_on_machines: usize,
    /// Since the begin: reports sent, reports answered with 200, commands received, bytes of control traffic.
    #[serde(rename = "reports")]
    pub heartbeats_sent: u64,
    #[serde(rename = "answered")]
    pub heartbeats_acknowledged: u64,
    #[serde(rename = "commands")]
    pub commands_received: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
}

/// What the state service has served.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct KvMeasurements {
    pub requests: u64,
    pub refused: u64,
    pub revision: u64,
    #[serde(rename = "changes")]
    pub mutations: u64,
    pub keys: usize,
    /// The controller that leads by the record.
    pub leader: Option<String>,
    pub bytes_in: u64,
    pub bytes_out: u64,
}
