//! Job files: HCL or JSON, with words for people. What is wrong is named with file and job.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use olivelatch::protocol::users::{JobKind, JobManifest, PriorityClass, parse_submission};
use olivelatch::source_location::with_line_number;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use thiserror::Error;

#[derive(Debug, Error)]
pub enum JobFileError {
    #[error("{file}: {error}")]
    Read { file: String, error: std::io::Error },
    #[error("{file}: {problem}")]
    Form { file: String, problem: String },
    #[error("{file}: job {job:?}: {problem}")]
    Job { file: String, job: String, problem: String },
    #[error("{file}: no jobs")]
    Empty { file: String },
}

/// A job as a person writes it. Amounts are of one task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct JobEntry {
    /// Chosen by the client if not given.
    pub id: Option<String>,
    pub team: String,
    pub class: String,
    pub shape: String,
    pub urgency: String,
    pub tasks: u32,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub image: String,
    pub image_gb: f64,
    #[serde(rename = "kinds")]
    pub machine_types: Option<Vec<String>>,
    pub zone: Option<String>,
    #[serde(rename = "together")]
    pub one_zone: bool,
    #[serde(rename = "scatter")]
    pub spread_zones: bool,
    pub spot: bool,
    #[serde(rename = "guess_s")]
    pub estimated_run_s: f64,
    #[serde(rename = "checkpoint_s")]
    pub checkpoint_interval_s: f64,
    #[serde(rename = "save_s")]
    pub checkpoint_write_s: f64,
    pub due_s: Option<f64>,
    /// Program and arguments; no shell.
    pub command: Vec<String>,
    pub env: BTreeMap<String, String>,
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

/// A job ready to be sent: what the controllers get, and what the workers do.
#[derive(Debug, Clone, PartialEq)]
pub struct PreparedJob {
    pub name: String,
    pub id: String,
    pub spec: Value,
    /// None: the job's description comes to the workers by another way.
    pub description: Option<Value>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct JobFileBody {
    #[serde(default)]
    job: BTreeMap<String, JobEntry>,
}

#[derive(Debug)]
pub struct JobFile {
    file: String,
    jobs: BTreeMap<String, JobEntry>,
}

fn parse_shape(word: &str) -> Result<JobKind, String> {
    match word {
        "array" => Ok(JobKind::Array),
        "gang" => Ok(JobKind::Gang),
        "service" => Ok(JobKind::Service),
        _ => Err(format!("shape: expected array, gang or service, not {word:?}")),
    }
}

fn parse_urgency(word: &str) -> Result<PriorityClass, String> {
    match word {
        "critical" => Ok(PriorityClass::Critical),
        "high" => Ok(PriorityClass::High),
        "normal" => Ok(PriorityClass::Normal),
        "low" => Ok(PriorityClass::Low),
        _ => Err(format!("urgency: expected critical, high, normal or low, not {word:?}")),
    }
}

/// An id that nobody has chosen before: the time of day, and chance. The n-th of several at once.
pub fn new_id(n: u64) -> String {
    let ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    let chance: u64 = rand::rng().random_range(0..10_000);
    // At most 18 digits, and never two of one call alike.
    format!("job-{}", (ms * 10_000 + chance + n * 10_000) % 1_000_000_000_000_000_000)
}

impl JobEntry {
    /// The submission and the description, or what is wrong.
    pub fn prepare(&self, name: &str, n: u64) -> Result<PreparedJob, String> {
        let id = self.id.clone().unwrap_or_else(|| new_id(n));
        let spec = JobManifest {
            id: id.clone(),
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
        };
        let spec = serde_json::to_value(&spec).map_err(|error| error.to_string())?;
        // What the controllers would say is said before anything is sent.
        let read = parse_submission(spec.to_string().as_bytes());
        match read {
            Ok(olivelatch::protocol::users::UserRequest::Submit { manifest: Err(problem), .. }) => {
                return Err(problem);
            }
            Err(_) => return Err(format!("id: expected one like job-000412, not {id:?}")),
            Ok(_) => {}
        }
        let description = (!self.command.is_empty()).then(|| {
            let mut description = spec.clone();
            description["run"] = json!({"command": self.command, "env": self.env, "dir": self.dir});
            description
        });
        Ok(PreparedJob { name: name.into(), id, spec, description })
    }
}

impl JobFile {
    pub fn load(path: &Path) -> Result<JobFile, JobFileError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| JobFileError::Read { file: file.clone(), error })?;
        let json = path.extension().is_some_and(|extension| extension == "json");
        JobFile::parse(&file, &text, json)
    }

    pub fn parse(file: &str, text: &str, json: bool) -> Result<JobFile, JobFileError> {
        let read: Result<JobFileBody, String> = if json {
            serde_json::from_str(text).map_err(|error| error.to_string())
        } else {
            hcl::from_str(text).map_err(|error| with_line_number(text, &error.to_string()))
        };
        let form = read.map_err(|problem| JobFileError::Form { file: file.into(), problem })?;
        if form.job.is_empty() {
            return Err(JobFileError::Empty { file: file.into() });
        }
        Ok(JobFile { file: file.into(), jobs: form.job })
    }

    /// All jobs ready to be sent, or the first that cannot be.
    pub fn prepare(&self) -> Result<Vec<PreparedJob>, JobFileError> {
        let one = |(n, (name, entry)): (usize, (&String, &JobEntry))| {
            let wrong = |problem| JobFileError::Job { file: self.file.clone(), job: name.clone(), problem };
            entry.prepare(name, n as u64).map_err(wrong)
        };
        self.jobs.iter().enumerate().map(one).collect()
    }
}

#[cfg(test)]
#[path = "tests/jobs.rs"]
mod tests;
