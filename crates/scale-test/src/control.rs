//! The messages that the run exchanges with its processes, as JSON over loopback.

use std::collections::BTreeMap;

use olivelatch_worker::{JobDescription, Machine, TaskWork};
use serde::{Deserialize, Serialize};

/// The description of a job that simulated workers receive before the job is submitted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SimulatedJob {
    /// Id of the job.
    pub job: String,
    /// CPUs of one task.
    pub cpus: f64,
    /// Memory of one task in GB.
    pub memory_gb: f64,
    /// Image that a machine fetches before it starts a task.
    pub image: String,
    /// Size of the image in GB.
    pub size_gb: f64,
    /// Whether the tasks run as a gang.
    pub gang: bool,
    /// Number of tasks.
    pub tasks: u32,
    /// Time that saving a checkpoint takes, in ms. Not used, because simulated tasks save no checkpoints.
    #[serde(rename = "save_ms")]
    pub checkpoint_ms: u64,
    /// Run time of a task in ms.
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

/// The machine that a simulated worker runs on.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SimulatedMachine {
    /// Name of the machine.
    pub name: String,
    /// Address and port at which the machine's worker listens.
    pub endpoint: String,
    /// Name of the machine type.
    #[serde(rename = "kind")]
    pub machine_type: String,
    /// Name of the zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// CPUs of the machine.
    pub cpus: f64,
    /// Memory of the machine in GB.
    pub memory_gb: f64,
    /// Rate at which the machine fetches images, in GB per second.
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

/// A command to the process that runs a zone's simulated workers.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ZoneCommand {
    /// Starts the worker of a machine that has booted.
    Boot(SimulatedMachine),
    /// Removes a machine and all tasks on it.
    #[serde(rename = "drop")]
    Remove(String),
    /// Describes a job, so that its tasks can be started from now on.
    Describe(SimulatedJob),
    /// Partitions the zone from every controller (true), or ends the partition (false).
    #[serde(rename = "cut")]
    SetPartitioned(bool),
}

/// How the state of a task on a worker changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskEventKind {
    /// The machine has fetched the task's image; from now on the task counts as placed on the machine.
    #[serde(rename = "on")]
    Placed,
    /// The task started to run.
    #[serde(rename = "runs")]
    Started,
    /// The task was removed from the machine without having completed.
    #[serde(rename = "off")]
    Removed,
    /// The task completed and was removed from the machine.
    #[serde(rename = "done")]
    Completed,
}

/// A change in the state of a task, as a simulated worker observed it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskEvent {
    /// Time of the event in ms since the start of the run.
    pub at_ms: u64,
    /// Name of the worker's machine.
    pub worker: String,
    /// The task, as `JOB/INDEX`.
    pub task: String,
    /// Number of the attempt. Its upper bits are the fencing token of the leader that started it.
    pub attempt: u64,
    /// The change that was observed.
    pub kind: TaskEventKind,
}

/// The status of a zone's process, sent in response to each batch of commands.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ZoneStatus {
    /// All events before this time, in ms since the start of the run, have been delivered with this status or
    /// an earlier one.
    pub until_ms: u64,
    /// Events since the last status.
    pub events: Vec<TaskEvent>,
    /// Number of workers that are up.
    pub workers: usize,
    /// Number of tasks that are placed on a machine.
    #[serde(rename = "on")]
    pub tasks_on_machines: usize,
    /// Heartbeats sent. This counter and those below count from the start of the run.
    #[serde(rename = "reports")]
    pub heartbeats_sent: u64,
    /// Heartbeats that a controller answered with HTTP status 200.
    #[serde(rename = "answered")]
    pub heartbeats_acknowledged: u64,
    /// Requests with commands that controllers sent directly to a worker.
    #[serde(rename = "commands")]
    pub commands_received: u64,
    /// Bytes received by the workers.
    pub bytes_in: u64,
    /// Bytes sent by the workers.
    pub bytes_out: u64,
}

/// Counters of the kv store since the start of the run, and its present state.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct KvMeasurements {
    /// Requests of controllers.
    pub requests: u64,
    /// Requests that were refused because they exceeded a rate limit.
    pub refused: u64,
    /// Present revision of the store.
    pub revision: u64,
    /// Mutations that were applied.
    #[serde(rename = "changes")]
    pub mutations: u64,
    /// Number of keys stored.
    pub keys: usize,
    /// Name of the leader according to the leader record; `None` if there is no such record.
    pub leader: Option<String>,
    /// Bytes received.
    pub bytes_in: u64,
    /// Bytes sent.
    pub bytes_out: u64,
}
