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
pub struct Command {
    pub command: Vec<String>,
    #[serde(default)]
    pub env: BTreeMap<String, String>,
    /// Where it starts; the region's own folder for the task if not given.
    #[serde(default)]
    pub dir: Option<String>,
}

/// What a task does.
#[derive(Debug, Clone, PartialEq)]
pub enum Work {
    /// In virtual time: it takes so long, or fails as soon as it has its image.
    Takes {
        run_ms: u64,
        fails: bool,
        /// The length of the list it gives.
        gives: Option<u32>,
    },
    Runs(Command),
}

#[derive(Debug, Clone, PartialEq)]
pub struct Description {
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub image: String,
    pub size_gb: f64,
    pub gang: bool,
    pub tasks: u32,
    pub checkpoint: bool,
    pub save_ms: u64,
    pub work: Work,
    /// Jobs whose output it reads, by the names it knows them by.
    pub inputs: BTreeMap<String, String>,
    /// The job over whose list it runs: a task for each element.
    pub map: Option<String>,
}

pub type Descriptions = BTreeMap<String, Description>;

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
    run: Option<Command>,
    #[serde(default)]
    inputs: BTreeMap<String, String>,
    #[serde(default)]
    map: Option<String>,
}

fn amount(field: &'static str, value: f64) -> Result<f64, DescriptionError> {
    if (0.0..=1e9).contains(&value) {
        return Ok(value);
    }
    Err(DescriptionError::Value { field, expected: "0 to 1e9", found: value.to_string() })
}

impl Description {
    /// Reads an uploaded description of a job that runs commands.
    pub fn read(bytes: &[u8]) -> Result<Description, DescriptionError> {
        let upload: Upload = serde_json::from_slice(bytes)?;
        let run = upload.run.filter(|run| run.command.first().is_some_and(|program| !program.is_empty()));
        Ok(Description {
            cpus: amount("vcpus", upload.vcpus)?,
            gpus: amount("accelerators", upload.accelerators)?,
            memory_gb: amount("memory_gb", upload.memory_gb)?,
            image: upload.bundle,
            size_gb: amount("size_gb", upload.size_gb)?,
            gang: upload.shape == "gang",
            tasks: upload.tasks,
            checkpoint: amount("snapshot_s", upload.snapshot_s)? > 0.0,
            save_ms: (amount("flush_s", upload.flush_s)? * 1000.0) as u64,
            work: Work::Runs(run.ok_or(DescriptionError::NoCommand)?),
            inputs: upload.inputs,
            map: upload.map,
        })
    }
}
