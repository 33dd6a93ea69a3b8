//! Job files: HCL or JSON with the fields that docs/client.md lists. Jobs are validated with the controllers'
//! own code before anything is sent, and errors name the file and the job.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use olivelatch::protocol::users::{JobKind, JobManifest, PriorityClass, UserRequest, parse_submission};
use olivelatch::source_location::with_line_number;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use thiserror::Error;

/// Why a job file, or a job in it, cannot be used.
#[derive(Debug, Error)]
pub enum JobFileError {
    /// The file cannot be read.
    #[error("{file}: {error}")]
    Read {
        /// The path of the file.
        file: String,
        /// The underlying I/O error.
        error: std::io::Error,
    },
    /// The file is not valid HCL or JSON, or contains unknown fields.
    #[error("{file}: {problem}")]
    Parse {
        /// The path of the file.
        file: String,
        /// The parser's message, with the line number if it is known.
        problem: String,
    },
    /// A job in the file cannot be submitted.
    #[error("{file}: job {job:?}: {problem}")]
    Job {
        /// The path of the file.
        file: String,
        /// The job's name in the file.
        job: String,
        /// Why the job cannot be submitted.
        problem: JobEntryError,
    },
    /// The file has no jobs.
    #[error("{file}: no jobs")]
    Empty {
        /// The path of the file.
        file: String,
    },
}

/// Why a job cannot be submitted.
#[derive(Debug, Error)]
pub enum JobEntryError {
    /// The shape is unknown.
    #[error("shape: expected array, gang or service, not {0:?}")]
    Shape(String),
    /// The urgency is unknown.
    #[error("urgency: expected critical, high, normal or low, not {0:?}")]
    Urgency(String),
    /// The id does not have the form that the protocol requires.
    #[error("id: expected one like job-000412, not {0:?}")]
    Id(String),
    /// The controllers would reject the job, with this message.
    #[error("{0}")]
    Invalid(String),
    /// The job cannot be encoded as JSON.
    #[error(transparent)]
    Encode(#[from] serde_json::Error),
}

/// The format of a job file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobFileFormat {
    /// HCL, with one `job` block per job.
    Hcl,
    /// JSON, with an object `job` that maps names to jobs.
    Json,
}

impl JobFileFormat {
    /// Returns the format for a file's extension: JSON for `.json`, HCL for all others.
    fn of(path: &Path) -> JobFileFormat {
        if path.extension().is_some_and(|extension| extension == "json") {
            JobFileFormat::Json
        } else {
            JobFileFormat::Hcl
        }
    }
}

/// A job as the user writes it. CPUs, GPUs, memory, image, run time and checkpoint times are those of one task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct JobEntry {
    /// The job's id; if `None`, the client generates one.
    pub id: Option<String>,
    /// The team to whose quota the job counts.
    pub team: String,
    /// The job class, for run time estimates and service-level objectives.
    pub class: String,
    /// `array`, `gang` or `service`.
    pub shape: String,
    /// `critical`, `high`, `normal` or `low`.
    pub urgency: String,
    /// The number of tasks.
    pub tasks: u32,
    /// CPUs per task.
    pub cpus: f64,
    /// GPUs per task.
    pub gpus: f64,
    /// Memory per task in GB.
    pub memory_gb: f64,
    /// The image that a machine fetches before it starts a task.
    pub image: String,
    /// The size of the image in GB.
    pub image_gb: f64,
    /// The machine types that the job may use; `None` allows all.
    #[serde(rename = "kinds")]
    pub machine_types: Option<Vec<String>>,
    /// The zone in which the job must run; `None` allows all.
    pub zone: Option<String>,
    /// Whether all tasks must run in the same zone.
    #[serde(rename = "together")]
    pub one_zone: bool,
    /// Whether at most half of the tasks may run in the same zone.
    #[serde(rename = "scatter")]
    pub spread_zones: bool,
    /// Whether the job may use spot machines.
    pub spot: bool,
    /// Estimated run time of a task in seconds; not used for services.
    #[serde(rename = "guess_s")]
    pub estimated_run_s: f64,
    /// Seconds between two checkpoints of a task; 0 if it writes none.
    #[serde(rename = "checkpoint_s")]
    pub checkpoint_interval_s: f64,
    /// Seconds that a task takes to write a checkpoint.
    #[serde(rename = "save_s")]
    pub checkpoint_write_s: f64,
    /// Time by which the job should be complete, in seconds from its submission.
    pub due_s: Option<f64>,
    /// The program and its arguments, run without a shell.
    pub command: Vec<String>,
    /// Environment variables of the command.
    pub env: BTreeMap<String, String>,
    /// The working directory of the command.
    pub dir: Option<String>,
}

impl Default for JobEntry {
    fn default() -> Self {
        JobEntry {
            id: None,
            team: "default".into(),
            class: "work".into(),
            shape: "array".into(),
            urgency: "normal".into(),
            tasks: 1,
            cpus: 1.0,
            gpus: 0.0,
            memory_gb: 0.1,
            image: "none".into(),
            image_gb: 0.0,
            machine_types: None,
            zone: None,
            one_zone: false,
            spread_zones: false,
            spot: false,
            estimated_run_s: 10.0,
            checkpoint_interval_s: 0.0,
            checkpoint_write_s: 0.0,
            due_s: None,
            command: Vec::new(),
            env: BTreeMap::new(),
            dir: None,
        }
    }
}

/// A validated job: the submission for the controllers, and the description for the workers.
#[derive(Debug, Clone, PartialEq)]
pub struct PreparedJob {
    /// The job's name in the file.
    pub name: String,
    /// The job's id, given in the file or generated.
    pub id: String,
    /// The body of the submission.
    pub submission: Value,
    /// The description for the workers: the submission, and under `run` the command. `None` if the job has no
    /// command; workers then need the description from another source.
    pub description: Option<Value>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct JobFileBody {
    #[serde(default)]
    job: BTreeMap<String, JobEntry>,
}

/// A parsed job file.
#[derive(Debug)]
pub struct JobFile {
    file: String,
    jobs: BTreeMap<String, JobEntry>,
}

fn parse_shape(word: &str) -> Result<JobKind, JobEntryError> {
    match word {
        "array" => Ok(JobKind::Array),
        "gang" => Ok(JobKind::Gang),
        "service" => Ok(JobKind::Service),
        _ => Err(JobEntryError::Shape(word.into())),
    }
}

fn parse_urgency(word: &str) -> Result<PriorityClass, JobEntryError> {
    match word {
        "critical" => Ok(PriorityClass::Critical),
        "high" => Ok(PriorityClass::High),
        "normal" => Ok(PriorityClass::Normal),
        "low" => Ok(PriorityClass::Low),
        _ => Err(JobEntryError::Urgency(word.into())),
    }
}

/// Number of distinct ids that can be generated per millisecond.
const IDS_PER_MS: u64 = 10_000;
/// Generated ids are below this number, so that they have at most 18 digits.
const ID_LIMIT: u64 = 1_000_000_000_000_000_000;

/// Generates an id from the time and a random number. `index` is the job's position among the jobs that are prepared
/// together; it keeps their ids distinct.
fn new_id(index: u64) -> String {
    let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    let random: u64 = rand::rng().random_range(0..IDS_PER_MS);
    format!("job-{}", ((now_ms + index) * IDS_PER_MS + random) % ID_LIMIT)
}

impl JobEntry {
    /// Validates the job and builds its requests. `index` is its position among the jobs that are prepared together.
    ///
    /// # Errors
    /// The controllers would reject the job.
    pub fn prepare(&self, name: &str, index: u64) -> Result<PreparedJob, JobEntryError> {
        let id = self.id.clone().unwrap_or_else(|| new_id(index));
        let submission = serde_json::to_value(self.manifest(&id)?)?;
        check_submission(&submission, &id)?;
        let description = (!self.command.is_empty()).then(|| {
            let mut description = submission.clone();
            description["run"] = json!({"command": self.command, "env": self.env, "dir": self.dir});
            description
        });
        Ok(PreparedJob { name: name.into(), id, submission, description })
    }

    fn manifest(&self, id: &str) -> Result<JobManifest, JobEntryError> {
        Ok(JobManifest {
            id: id.into(),
            job_class: self.class.clone(),
            team: self.team.clone(),
            kind: parse_shape(&self.shape)?,
            priority_class: parse_urgency(&self.urgency)?,
            tasks: self.tasks,
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory_gb,
            image: self.image.clone(),
            image_gb: self.image_gb,
            machine_types: self.machine_types.clone(),
            zone: self.zone.clone(),
            same_zone: self.one_zone,
            spread: self.spread_zones,
            spot_allowed: self.spot,
            estimated_run_s: if self.shape == "service" { 0.0 } else { self.estimated_run_s },
            checkpoint_interval_s: self.checkpoint_interval_s,
            checkpoint_save_s: self.checkpoint_write_s,
            deadline_s: self.due_s,
        })
    }
}

/// Validates a submission with the parser that the controllers use.
fn check_submission(submission: &Value, id: &str) -> Result<(), JobEntryError> {
    match parse_submission(submission.to_string().as_bytes()) {
        Ok(UserRequest::Submit { manifest: Err(problem), .. }) => {
            Err(JobEntryError::Invalid(problem.to_string()))
        }
        // The submission is a JSON object, so the parser can only have rejected its id.
        Err(_) => Err(JobEntryError::Id(id.into())),
        Ok(_) => Ok(()),
    }
}

impl JobFile {
    /// Reads and parses a file: JSON if its extension is `.json`, otherwise HCL.
    ///
    /// # Errors
    /// The file cannot be read, or is invalid.
    pub fn load(path: &Path) -> Result<JobFile, JobFileError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| JobFileError::Read { file: file.clone(), error })?;
        JobFile::parse(&file, &text, JobFileFormat::of(path))
    }

    /// Parses the text of a file; `file` is its name in errors.
    ///
    /// # Errors
    /// The text is not valid in the format, contains unknown fields, or has no jobs.
    pub fn parse(file: &str, text: &str, format: JobFileFormat) -> Result<JobFile, JobFileError> {
        let parsed: Result<JobFileBody, String> = match format {
            JobFileFormat::Json => serde_json::from_str(text).map_err(|error| error.to_string()),
            JobFileFormat::Hcl => {
                hcl::from_str(text).map_err(|error| with_line_number(text, &error.to_string()))
            }
        };
        let body = parsed.map_err(|problem| JobFileError::Parse { file: file.into(), problem })?;
        if body.job.is_empty() {
            return Err(JobFileError::Empty { file: file.into() });
        }
        Ok(JobFile { file: file.into(), jobs: body.job })
    }

    /// Validates all jobs and builds their requests.
    ///
    /// # Errors
    /// The controllers would reject a job; the error names the first one.
    pub fn prepare(&self) -> Result<Vec<PreparedJob>, JobFileError> {
        let prepare = |(index, (name, entry)): (usize, (&String, &JobEntry))| {
            let in_file = |problem| JobFileError::Job { file: self.file.clone(), job: name.clone(), problem };
            entry.prepare(name, index as u64).map_err(in_file)
        };
        self.jobs.iter().enumerate().map(prepare).collect()
    }
}

#[cfg(test)]
#[path = "tests/jobs.rs"]
mod tests;
