//! Job files: HCL or JSON in the words of docs/client.md. A job that the controllers would find wrong is found before
//! anything is sent, and reported with the file and the job.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use olivelatch::protocol::users::{JobKind, JobManifest, PriorityClass, UserRequest, parse_submission};
use olivelatch::source_location::with_line_number;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use thiserror::Error;

/// What is wrong with a job file.
#[derive(Debug, Error)]
pub enum JobFileError {
    /// It cannot be read.
    #[error("{file}: {error}")]
    Read {
        /// Its path.
        file: String,
        /// Why not.
        error: std::io::Error,
    },
    /// It is not HCL or JSON, or has unknown names in it.
    #[error("{file}: {problem}")]
    Form {
        /// Its path.
        file: String,
        /// With the line, where it is known.
        problem: String,
    },
    /// A job in it cannot be submitted.
    #[error("{file}: job {job:?}: {problem}")]
    Job {
        /// Its path.
        file: String,
        /// The job's name.
        job: String,
        /// What is wrong with the job.
        problem: JobEntryError,
    },
    /// It has no jobs.
    #[error("{file}: no jobs")]
    Empty {
        /// Its path.
        file: String,
    },
}

/// Why a job cannot be submitted.
#[derive(Debug, Error)]
pub enum JobEntryError {
    /// An unknown shape.
    #[error("shape: expected array, gang or service, not {0:?}")]
    Shape(String),
    /// An unknown urgency.
    #[error("urgency: expected critical, high, normal or low, not {0:?}")]
    Urgency(String),
    /// An id that is not of the protocol's form.
    #[error("id: expected one like job-000412, not {0:?}")]
    Id(String),
    /// The controllers would refuse it, with this text.
    #[error("{0}")]
    Invalid(String),
    /// A value that JSON cannot hold.
    #[error(transparent)]
    Encode(#[from] serde_json::Error),
}

/// The format of a job file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobFileFormat {
    /// HCL.
    Hcl,
    /// JSON.
    Json,
}

impl JobFileFormat {
    /// By the file's extension; HCL unless it is `.json`.
    fn of(path: &Path) -> JobFileFormat {
        if path.extension().is_some_and(|extension| extension == "json") {
            JobFileFormat::Json
        } else {
            JobFileFormat::Hcl
        }
    }
}

/// A job as a person writes it. CPUs, GPUs, memory, image and times are those of one task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct JobEntry {
    /// The job's id; without one the client chooses it.
    pub id: Option<String>,
    /// The team that the job counts for.
    pub team: String,
    /// The class of work, for estimates and objectives.
    pub class: String,
    /// `array`, `gang` or `service`.
    pub shape: String,
    /// `critical`, `high`, `normal` or `low`.
    pub urgency: String,
    /// How many tasks it has.
    pub tasks: u32,
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
    /// The image that machines fetch first.
    pub image: String,
    /// Its size in GB.
    pub image_gb: f64,
    /// The machine types that it may use; `None`: any.
    #[serde(rename = "kinds")]
    pub machine_types: Option<Vec<String>>,
    /// The zone that it must run in.
    pub zone: Option<String>,
    /// All tasks must be in one zone.
    #[serde(rename = "together")]
    pub one_zone: bool,
    /// At most half of the tasks may be in one zone.
    #[serde(rename = "scatter")]
    pub spread_zones: bool,
    /// It may use spot machines.
    pub spot: bool,
    /// Estimated run time in seconds.
    #[serde(rename = "guess_s")]
    pub estimated_run_s: f64,
    /// Seconds between checkpoints; 0: it writes none.
    #[serde(rename = "checkpoint_s")]
    pub checkpoint_interval_s: f64,
    /// Seconds that it takes to write one.
    #[serde(rename = "save_s")]
    pub checkpoint_write_s: f64,
    /// When it should be complete, in seconds from its submission.
    pub due_s: Option<f64>,
    /// Program and arguments; no shell.
    pub command: Vec<String>,
    /// Environment variables of the command.
    pub env: BTreeMap<String, String>,
    /// The working folder of the command.
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

/// A job ready to be sent: the submission for the controllers, and the description for the workers.
#[derive(Debug, Clone, PartialEq)]
pub struct PreparedJob {
    /// Its name in the file.
    pub name: String,
    /// Its id, given or chosen.
    pub id: String,
    /// The submission.
    pub spec: Value,
    /// What workers must know of it. `None`: they get it in another way.
    pub description: Option<Value>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct JobFileBody {
    #[serde(default)]
    job: BTreeMap<String, JobEntry>,
}

/// A job file that was read.
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

/// Ids of one millisecond.
const IDS_PER_MS: u64 = 10_000;
/// Ids have 18 digits at most.
const ID_LIMIT: u64 = 1_000_000_000_000_000_000;

/// A new id from the time and a random number. `index`: the job's position among those that are prepared together, which
/// keeps their ids apart.
fn new_id(index: u64) -> String {
    let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    let random: u64 = rand::rng().random_range(0..IDS_PER_MS);
    format!("job-{}", ((now_ms + index) * IDS_PER_MS + random) % ID_LIMIT)
}

impl JobEntry {
    /// The job ready to be sent. `index`: its position among the jobs that are prepared together.
    ///
    /// # Errors
    /// The controllers would refuse the job.
    pub fn prepare(&self, name: &str, index: u64) -> Result<PreparedJob, JobEntryError> {
        let id = self.id.clone().unwrap_or_else(|| new_id(index));
        let spec = serde_json::to_value(self.manifest(&id)?)?;
        check_submission(&spec, &id)?;
        let description = (!self.command.is_empty()).then(|| {
            let mut description = spec.clone();
            description["run"] = json!({"command": self.command, "env": self.env, "dir": self.dir});
            description
        });
        Ok(PreparedJob { name: name.into(), id, spec, description })
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

/// Checks a submission by the code that the controllers check it by.
fn check_submission(spec: &Value, id: &str) -> Result<(), JobEntryError> {
    match parse_submission(spec.to_string().as_bytes()) {
        Ok(UserRequest::Submit { manifest: Err(problem), .. }) => {
            Err(JobEntryError::Invalid(problem.to_string()))
        }
        Err(_) => Err(JobEntryError::Id(id.into())),
        Ok(_) => Ok(()),
    }
}

impl JobFile {
    /// Reads a file, in the format of its extension.
    ///
    /// # Errors
    /// It cannot be read, or is wrong.
    pub fn load(path: &Path) -> Result<JobFile, JobFileError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| JobFileError::Read { file: file.clone(), error })?;
        JobFile::parse(&file, &text, JobFileFormat::of(path))
    }

    /// Reads the text of a file; `file` is its name in errors.
    ///
    /// # Errors
    /// It has another form, unknown names, or no jobs.
    pub fn parse(file: &str, text: &str, format: JobFileFormat) -> Result<JobFile, JobFileError> {
        let parsed: Result<JobFileBody, String> = match format {
            JobFileFormat::Json => serde_json::from_str(text).map_err(|error| error.to_string()),
            JobFileFormat::Hcl => {
                hcl::from_str(text).map_err(|error| with_line_number(text, &error.to_string()))
            }
        };
        let body = parsed.map_err(|problem| JobFileError::Form { file: file.into(), problem })?;
        if body.job.is_empty() {
            return Err(JobFileError::Empty { file: file.into() });
        }
        Ok(JobFile { file: file.into(), jobs: body.job })
    }

    /// All jobs ready to be sent.
    ///
    /// # Errors
    /// The first job that the controllers would refuse.
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
