//! Messages between the run and its processes, as JSON over loopback.

use std::collections::BTreeMap;

use olivelatch_worker::{JobDescription, Machine, TaskWork};
use serde::{Deserialize, Serialize};

/// A job as simulated workers know it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SimulatedJob {
    /// Its id.
    pub job: String,
    /// CPUs of a task.
    pub cpus: f64,
    /// Memory of a task in GB.
    pub memory_gb: f64,
    /// The image that machines fetch first.
    pub image: String,
    /// Its size in GB.
    pub size_gb: f64,
    /// The tasks run as a gang.
    pub gang: bool,
    /// How many tasks it has.
    pub tasks: u32,
    /// How long a task saves when it is stopped, in ms.
    #[serde(rename = "save_ms")]
    pub checkpoint_ms: u64,
    /// How long a task runs, in ms.
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

/// A machine as its simulated worker knows it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SimulatedMachine {
    /// Its name.
    pub name: String,
    /// Where its worker listens.
    pub endpoint: String,
    /// Its type.
    #[serde(rename = "kind")]
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// It is a spot machine.
    pub spot: bool,
    /// CPUs.
    pub cpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
    /// How fast it fetches images.
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

/// A command to a zone's process of simulated workers.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ZoneCommand {
    /// A machine has booted.
    Boot(SimulatedMachine),
    /// A machine is gone, with all tasks on it.
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

/// An event that a simulated worker saw.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskEvent {
    /// In ms since the start of the run.
    pub at_ms: u64,
    /// The machine.
    pub worker: String,
    /// The task, as `JOB/INDEX`.
    pub task: String,
    /// Its upper bits are the token of the leader that started it.
    pub attempt: u64,
    /// What happened.
    pub kind: TaskEventKind,
}

/// The state of a zone's process.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ZoneStatus {
    /// `events` has all events before this time.
    pub until_ms: u64,
    /// The events since the last status.
    pub events: Vec<TaskEvent>,
    /// Workers that are up.
    pub workers: usize,
    /// Tasks that are on a machine.
    #[serde(rename = "on")]
    pub tasks_on_machines: usize,
    /// Heartbeats sent since the start, as all counters below.
    #[serde(rename = "reports")]
    pub heartbeats_sent: u64,
    /// Heartbeats with a response of status 200.
    #[serde(rename = "answered")]
    pub heartbeats_acknowledged: u64,
    /// Commands that came directly.
    #[serde(rename = "commands")]
    pub commands_received: u64,
    /// Bytes received.
    pub bytes_in: u64,
    /// Bytes sent.
    pub bytes_out: u64,
}

/// What the kv store has served since the start.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct KvMeasurements {
    /// Requests of controllers.
    pub requests: u64,
    /// Requests above a rate limit.
    pub refused: u64,
    /// The present revision.
    pub revision: u64,
    /// Changes that were carried out.
    #[serde(rename = "changes")]
    pub mutations: u64,
    /// Keys that it holds.
    pub keys: usize,
    /// The leader by its record.
    pub leader: Option<String>,
    /// Bytes received.
    pub bytes_in: u64,
    /// Bytes sent.
    pub bytes_out: u64,
}
