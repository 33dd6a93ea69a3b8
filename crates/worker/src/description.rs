//! Job descriptions: what a worker needs to run a job's tasks. Users upload them before they submit the job.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Reasons why an uploaded description is rejected.
#[derive(Debug, Error)]
pub enum DescriptionError {
    /// The body is not JSON of the expected form.
    #[error("invalid job description: {0}")]
    Json(#[from] serde_json::Error),
    /// The description has no command to run.
    #[error("the job description has no command; expected run.command to name a program")]
    NoCommand,
    /// A value is outside its allowed range.
    #[error("{field}: expected {expected}, not {found}")]
    OutOfRange {
        /// JSON name of the field.
        field: &'static str,
        /// Allowed range, as text.
        expected: &'static str,
        /// Value found, as text.
        found: String,
    },
}

/// A program and how to start it. It is started without a shell.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessCommand {
    /// The program and its arguments.
    pub command: Vec<String>,
    /// Environment variables, in addition to the inherited ones.
    #[serde(default)]
    pub env: BTreeMap<String, String>,
    /// Working directory of the process; by default that of the local cluster.
    #[serde(default)]
    pub dir: Option<String>,
}

/// The work of a task: simulated, or a process.
#[derive(Debug, Clone, PartialEq)]
pub enum TaskWork {
    /// The task executes nothing; it only takes time.
    Simulated {
        /// Run time in milliseconds.
        run_ms: u64,
        /// Whether the task fails as soon as its image is fetched.
        fails: bool,
        /// Length of the list that the task produces, if it produces one.
        list_len: Option<u32>,
    },
    /// The task runs a command.
    Process(ProcessCommand),
}

/// What workers know about a job.
#[derive(Debug, Clone, PartialEq)]
pub struct JobDescription {
    /// CPUs of one task.
    pub cpus: f64,
    /// Accelerators of one task.
    pub gpus: f64,
    /// Memory of one task, in GB.
    pub memory_gb: f64,
    /// Name of the image.
    pub image: String,
    /// Size of the image, in GB.
    pub image_gb: f64,
    /// Whether the job's tasks form a gang.
    pub gang: bool,
    /// Number of tasks.
    pub tasks: u32,
    /// Whether the job's tasks can save checkpoints.
    pub can_checkpoint: bool,
    /// How long saving a checkpoint takes, in milliseconds.
    pub checkpoint_save_ms: u64,
    /// The work of a task.
    pub work: TaskWork,
    /// Jobs whose output this job reads, by the names under which its tasks refer to them.
    pub inputs: BTreeMap<String, String>,
    /// For a mapped job, the job that produces the list; each element has one task.
    pub map_source: Option<String>,
}

/// Job descriptions, by job name.
pub type JobDescriptions = BTreeMap<String, JobDescription>;

/// The uploaded form of a description: the fields of the job's submission plus the command.
#[derive(Deserialize)]
struct UploadedDescription {
    shape: String,
    #[serde(rename = "pieces")]
    tasks: u32,
    vcpus: f64,
    #[serde(default)]
    accelerators: f64,
    memory_gb: f64,
    bundle: String,
    #[serde(default)]
    size_gb: f64,
    #[serde(default)]
    snapshot_s: f64,
    #[serde(default)]
    flush_s: f64,
    run: Option<ProcessCommand>,
    #[serde(default)]
    inputs: BTreeMap<String, String>,
    #[serde(default)]
    map: Option<String>,
}

/// Upper bound of resource amounts and durations; it keeps sums and conversions exact enough.
const MAX_AMOUNT: f64 = 1e9;

fn checked_amount(field: &'static str, value: f64) -> Result<f64, DescriptionError> {
    if (0.0..=MAX_AMOUNT).contains(&value) {
        return Ok(value);
    }
    Err(DescriptionError::OutOfRange { field, expected: "0 to 1e9", found: value.to_string() })
}

impl JobDescription {
    /// Parses the uploaded description of a job that runs commands.
    ///
    /// # Errors
    /// The description is malformed, has no command, or has a value out of range.
    pub fn parse(bytes: &[u8]) -> Result<JobDescription, DescriptionError> {
        let upload: UploadedDescription = serde_json::from_slice(bytes)?;
        let run = upload.run.filter(|run| run.command.first().is_some_and(|program| !program.is_empty()));
        Ok(JobDescription {
            cpus: checked_amount("vcpus", upload.vcpus)?,
            gpus: checked_amount("accelerators", upload.accelerators)?,
            memory_gb: checked_amount("memory_gb", upload.memory_gb)?,
            image: upload.bundle,
            image_gb: checked_amount("size_gb", upload.size_gb)?,
            gang: upload.shape == "gang",
            tasks: upload.tasks,
            can_checkpoint: checked_amount("snapshot_s", upload.snapshot_s)? > 0.0,
            checkpoint_save_ms: (checked_amount("flush_s", upload.flush_s)? * 1000.0) as u64,
            work: TaskWork::Process(run.ok_or(DescriptionError::NoCommand)?),
            inputs: upload.inputs,
            map_source: upload.map,
        })
    }
}
