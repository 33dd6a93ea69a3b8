//! What a worker must know of a job: users upload it before they submit.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

#[derive(Debug, Error)]
pub enum DescriptionError {
    #[error("the description is not as expected: {0}")]
    Json(#[from] serde_json::Error),
    #[error("the description names no command")]
    NoCommand,
    #[error("{field}: expected {expected}, not {found}")]
    Value { field: &'static str, expected: &'static str, found: String },
}

/// A program with its arguments; no shell.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessCommand {
    pub command: Vec<String>,
    #[serde(default)]
    pub env: BTreeMap<String, String>,
    /// Where it starts; the region's own folder for the task if not given.
    #[serde(default)]
    pub dir: Option<String>,
}

/// What a task does.
#[derive(Debug, Clone, PartialEq)]
pub enum TaskWork {
    /// In virtual time: it takes so long, or fails as soon as it has its image.
    Simulated {
        run_ms: u64,
        fails: bool,
        /// The length of the list it gives.
        list_len: Option<u32>,
    },
    Process(ProcessCommand),
}

#[derive(Debug, Clone, PartialEq)]
pub struct JobDescription {
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub image: String,
    pub image_gb: f64,
    pub gang: bool,
    pub tasks: u32,
    pub can_checkpoint: bool,
    pub checkpoint_save_ms: u64,
    pub work: TaskWork,
    /// Jobs whose output it reads, by the names it knows them by.
    pub inputs: BTreeMap<String, String>,
    /// The job over whose list it runs: a task for each element.
    pub map_source: Option<String>,
}

pub type JobDescriptions = BTreeMap<String, JobDescription>;

/// What users upload: the submission itself, and the command beside it.
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

fn checked_amount(field: &'static str, value: f64) -> Result<f64, DescriptionError> {
    if (0.0..=1e9).contains(&value) {
        return Ok(value);
    }
    Err(DescriptionError::Value { field, expected: "0 to 1e9", found: value.to_string() })
}

impl JobDescription {
    /// Reads an uploaded description of a job that runs commands.
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
