//! The users' interface: submit a job, poll its status, cancel it.
//!
//! [`JobManifest`] is also stored in a job's durable record, so its names on the wire and the order of its fields must
//! not change. This module parses, checks ranges and serializes; it does no I/O and reads no clock.

use serde::{Deserialize, Serialize};

use super::HttpResponse;
pub use super::operators::JobPhase as JobStatus;
use crate::ids::{JobId, seconds_to_ms, to_milli_ceil};

/// How the tasks of a job relate to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks.
    #[serde(rename = "array")]
    Array,
    /// Tasks that must all run at the same time.
    #[serde(rename = "gang")]
    Gang,
    /// Tasks that run until the job is cancelled.
    #[serde(rename = "daemon")]
    Service,
}

/// How urgent a job is, most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum PriorityClass {
    #[serde(rename = "critical")]
    Critical,
    #[serde(rename = "high")]
    High,
    #[serde(rename = "normal")]
    Normal,
    #[serde(rename = "low")]
    Low,
}

/// A job as its user submits it. Resources are per task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobManifest {
    #[serde(rename = "uid")]
    pub id: String,
    #[serde(rename = "jobclass")]
    pub job_class: String,
    #[serde(rename = "owner")]
    pub team: String,
    #[serde(rename = "shape")]
    pub kind: JobKind,
    #[serde(rename = "urgency")]
    pub priority_class: PriorityClass,
    /// Number of tasks.
    #[serde(rename = "pieces")]
    pub tasks: u32,
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    #[serde(rename = "accelerators")]
    pub gpus: f64,
    pub memory_gb: f64,
    #[serde(rename = "bundle")]
    pub image: String,
    #[serde(rename = "size_gb")]
    pub image_gb: f64,
    /// Machine types that it may run on; null means any.
    #[serde(default)]
    #[serde(rename = "boxkinds")]
    pub machine_types: Option<Vec<String>>,
    /// Zone that it must run in; null means any.
    #[serde(default)]
    #[serde(rename = "hall")]
    pub zone: Option<String>,
    /// Whether all tasks must run in one zone, whichever it is.
    #[serde(rename = "together")]
    pub same_zone: bool,
    /// Whether at most half of the tasks may run in one zone.
    #[serde(rename = "scatter")]
    pub spread: bool,
    /// Whether tasks may run on spot instances.
    #[serde(rename = "loaners")]
    pub spot_allowed: bool,
    /// Run time of a task as the user estimates it, in seconds.
    #[serde(rename = "guess_s")]
    pub estimated_run_s: f64,
    /// Seconds between two checkpoints of a task; 0 if it saves none.
    #[serde(rename = "snapshot_s")]
    pub checkpoint_interval_s: f64,
    /// Seconds that saving a checkpoint takes.
    #[serde(rename = "flush_s")]
    pub checkpoint_save_s: f64,
    /// Deadline, in seconds after the submission.
    #[serde(default)]
    #[serde(rename = "due_s")]
    pub deadline_s: Option<f64>,
}

/// Maximum number of tasks per job.
pub const MAX_TASKS: u32 = 100_000;
/// Longest name of a class, a team, an image or a zone, in bytes.
const MAX_NAME_BYTES: usize = 200;
/// Largest valid value of a resource amount, a size in GB or a time in seconds.
pub(super) const MAX_QUANTITY: f64 = 1e9;

/// A request of a user.
#[derive(Debug, Clone, PartialEq)]
pub enum UserRequest {
    /// Submits a job. The id is valid, the manifest may not be: if the job already exists, the response reports that
    /// rather than the error in the manifest.
    Submit {
        id: JobId,
        manifest: Result<Box<JobManifest>, String>,
    },
    Poll {
        id: JobId,
    },
    Cancel {
        id: JobId,
    },
}

impl UserRequest {
    /// Returns the id of the job that the request concerns.
    pub fn id(&self) -> JobId {
        match self {
            UserRequest::Submit { id, .. } | UserRequest::Poll { id } | UserRequest::Cancel { id } => *id,
        }
    }
}

#[derive(Serialize)]
struct StatusWire {
    #[serde(rename = "uid")]
    id: String,
    status: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    done: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    running: Option<u32>,
}

/// Returns the response with a job's status; `counts` are the numbers of tasks done and running.
pub fn status_response(code: u16, id: JobId, status: JobStatus, counts: Option<(u32, u32)>) -> HttpResponse {
    HttpResponse::json(
        code,
        &StatusWire {
            id: id.to_string(),
            status: status.as_str(),
            done: counts.map(|(done, _)| done),
            running: counts.map(|(_, running)| running),
        },
    )
}

/// Parses the body of a submission.
///
/// # Errors
/// Returns the response to send if the body contains no valid id.
pub fn parse_submission(body: &[u8]) -> Result<UserRequest, HttpResponse> {
    let value: serde_json::Value =
        serde_json::from_slice(body).map_err(|_| HttpResponse::error(400, "the body is not valid JSON"))?;
    let Some(object) = value.as_object() else {
        return Err(HttpResponse::error(400, "the body is not a JSON object"));
    };
    let id = object
        .get("uid")
        .and_then(|uid| uid.as_str())
        .and_then(JobId::parse)
        .ok_or_else(|| HttpResponse::error(400, "uid is missing or not of the form job-000412"))?;
    let manifest = serde_json::from_value::<JobManifest>(value)
        .map_err(|error| error.to_string())
        .and_then(|manifest| validate_manifest(&manifest).map(|()| Box::new(manifest)));
    Ok(UserRequest::Submit { id, manifest })
}

/// Checks the ranges of a manifest.
///
/// # Errors
/// Returns a message for the user that names the invalid field as it is written on the wire.
pub fn validate_manifest(manifest: &JobManifest) -> Result<(), String> {
    if manifest.tasks == 0 || manifest.tasks > MAX_TASKS {
        return Err(format!("pieces must be 1 to {MAX_TASKS}"));
    }
    let quantities = [
        ("vcpus", manifest.cpus),
        ("accelerators", manifest.gpus),
        ("memory_gb", manifest.memory_gb),
        ("size_gb", manifest.image_gb),
        ("guess_s", manifest.estimated_run_s),
        ("snapshot_s", manifest.checkpoint_interval_s),
        ("flush_s", manifest.checkpoint_save_s),
        ("due_s", manifest.deadline_s.unwrap_or(0.0)),
    ];
    for (name, value) in quantities {
        if !(0.0..=MAX_QUANTITY).contains(&value) {
            return Err(format!("{name} must be 0 to {MAX_QUANTITY}, not {value}"));
        }
    }
    if to_milli_ceil(manifest.cpus) == 0
        && to_milli_ceil(manifest.memory_gb) == 0
        && to_milli_ceil(manifest.gpus) == 0
    {
        return Err("at least one of vcpus, memory_gb and accelerators must be greater than 0".into());
    }
    let names = [("jobclass", &manifest.job_class), ("owner", &manifest.team), ("bundle", &manifest.image)];
    for (name, value) in names {
        if value.is_empty() || value.len() > MAX_NAME_BYTES {
            return Err(format!("{name} must be 1 to {MAX_NAME_BYTES} bytes"));
        }
    }
    if manifest.zone.as_ref().is_some_and(|zone| zone.len() > MAX_NAME_BYTES) {
        return Err(format!("hall must be at most {MAX_NAME_BYTES} bytes"));
    }
    Ok(())
}

impl JobManifest {
    /// Returns the run time of a task as the user estimates it, in milliseconds.
    pub fn estimated_run_ms(&self) -> u64 {
        seconds_to_ms(self.estimated_run_s)
    }
}
