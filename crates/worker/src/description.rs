//! What a worker must know of a job. Users upload it before they submit the job.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why an uploaded description is refused.
#[derive(Debug, Error)]
pub enum DescriptionError {
    /// It is not JSON of the expected form.
    #[error("the description is not as expected: {0}")]
    Json(#[from] serde_json::Error),
    /// There is nothing to run.
    #[error("the description names no command")]
    NoCommand,
    /// A value is out of its range.
    #[error("{field}: expected {expected}, not {found}")]
    Value {
        /// Name of the field.
        field: &'static str,
        /// What is allowed.
        expected: &'static str,
        /// What it is.
        found: String,
    },
}

/// A program and how to start it, without a shell.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessCommand {
    /// The program and its arguments.
    pub command: Vec<String>,
    /// Environment variables in addition to those that it inherits.
    #[serde(default)]
    pub env: BTreeMap<String, String>,
    /// Its working directory; by default that of the local cluster.
    #[serde(default)]
    pub dir: Option<String>,
}

/// What a task does.
#[derive(Debug, Clone, PartialEq)]
pub enum TaskWork {
    /// Nothing: it only takes time.
    Simulated {
        /// How long it runs.
        run_ms: u64,
        /// It fails as soon as it has its image.
        fails: bool,
        /// The length of the list that it produces.
        list_len: Option<u32>,
    },
    /// It runs a command.
    Process(ProcessCommand),
}

/// A job as workers see it.
#[derive(Debug, Clone, PartialEq)]
pub struct JobDescription {
    /// CPUs of one task.
    pub cpus: f64,
    /// Accelerators of one task.
    pub gpus: f64,
    /// Memory of one task, in GB.
    pub memory_gb: f64,
    /// Name of its image.
    pub image: String,
    /// Size of its image, in GB.
    pub image_gb: f64,
    /// Its tasks form a gang.
    pub gang: bool,
    /// Number of tasks.
    pub tasks: u32,
    /// Its tasks can save checkpoints.
    pub can_checkpoint: bool,
    /// How long saving a checkpoint takes.
    pub checkpoint_save_ms: u64,
    /// What a task does.
    pub work: TaskWork,
    /// Jobs whose output it reads, by the names that it uses for them.
    pub inputs: BTreeMap<String, String>,
    /// The job over whose list it runs, with a task for each element.
    pub map_source: Option<String>,
}

/// Descriptions by the names of the jobs.
pub type JobDescriptions = BTreeMap<String, JobDescription>;

/// What users upload: the fields of the submission, and the command in addition.
#[derive(Deserialize)]
struct Upload {
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

/// Upper bound of amounts; keeps sums and conversions exact enough.
const MAX_AMOUNT: f64 = 1e9;

fn checked_amount(field: &'static str, value: f64) -> Result<f64, DescriptionError> {
    if (0.0..=MAX_AMOUNT).contains(&value) {
        return Ok(value);
    }
    Err(DescriptionError::Value { field, expected: "0 to 1e9", found: value.to_string() })
}

impl JobDescription {
    /// Parses the uploaded description of a job that runs commands.
    ///
    /// # Errors
    /// It is malformed, names no command, or has a value out of range.
    pub fn parse(bytes: &[u8]) -> Result<JobDescription, DescriptionError> {
        let upload: Upload = serde_json::from_slice(bytes)?;
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
