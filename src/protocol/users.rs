//! Users: submit, ask, abort.

use serde::{Deserialize, Serialize};

use super::HttpResponse;
use crate::ids::{JobId, seconds_to_ms, to_milli_ceil};

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    #[serde(rename = "array")]
    Array,
    #[serde(rename = "gang")]
    Gang,
    #[serde(rename = "daemon")]
    Service,
}

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

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobStatus {
    Pending,
    Running,
    Done,
    Cancelled,
}

impl JobStatus {
    fn as_str(self) -> &'static str {
        match self {
            JobStatus::Pending => "pending",
            JobStatus::Running => "running",
            JobStatus::Done => "done",
            JobStatus::Cancelled => "withdrawn",
        }
    }
}

/// A job as its user describes it; kept as it is in the job's durable record.
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
    #[serde(default)]
    #[serde(rename = "boxkinds")]
    pub machine_types: Option<Vec<String>>,
    #[serde(default)]
    #[serde(rename = "hall")]
    pub zone: Option<String>,
    #[serde(rename = "together")]
    pub same_zone: bool,
    #[serde(rename = "scatter")]
    pub spread: bool,
    #[serde(rename = "loaners")]
    pub spot_allowed: bool,
    #[serde(rename = "guess_s")]
    pub estimated_run_s: f64,
    #[serde(rename = "snapshot_s")]
    pub checkpoint_interval_s: f64,
    #[serde(rename = "flush_s")]
    pub checkpoint_save_s: f64,
    #[serde(default)]
    #[serde(rename = "due_s")]
    pub deadline_s: Option<f64>,
}

/// Most tasks a job may have.
pub const MAX_TASKS: u32 = 100_000;
const MAX_NAME_BYTES: usize = 200;
const MAX_QUANTITY: f64 = 1e9;

#[derive(Debug, Clone, PartialEq)]
pub enum UserRequest {
    /// The name could be read, the rest may be wrong; known names come first.
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
    /// The job that it is about.
    pub fn id(&self) -> JobId {
        match self {
            UserRequest::Submit { id, .. } | UserRequest::Poll { id } | UserRequest::Cancel { id } => *id,
        }
    }
}

#[derive(Serialize)]
struct StatusWire {
    uid: String,
    status: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    done: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    running: Option<u32>,
}

pub fn status_response(code: u16, id: JobId, status: JobStatus, counts: Option<(u32, u32)>) -> HttpResponse {
    HttpResponse::json(
        code,
        &StatusWire {
            uid: id.to_string(),
            status: status.as_str(),
            done: counts.map(|c| c.0),
            running: counts.map(|c| c.1),
        },
    )
}

/// Reads a submission. `Err` is the final answer.
pub fn parse_submission(body: &[u8]) -> Result<UserRequest, HttpResponse> {
    let value: serde_json::Value =
        serde_json::from_slice(body).map_err(|_| HttpResponse::error(400, "the body is not JSON"))?;
    let Some(object) = value.as_object() else {
        return Err(HttpResponse::error(400, "the body is not an object"));
    };
    let id = object
        .get("uid")
        .and_then(|uid| uid.as_str())
        .and_then(JobId::parse)
        .ok_or_else(|| HttpResponse::error(400, "uid is missing or not of the form job-000412"))?;
    let spec = serde_json::from_value::<JobManifest>(value)
        .map_err(|error| error.to_string())
        .and_then(|spec| validate_manifest(&spec).map(|()| Box::new(spec)));
    Ok(UserRequest::Submit { id, manifest: spec })
}

pub fn validate_manifest(manifest: &JobManifest) -> Result<(), String> {
    if manifest.tasks == 0 || manifest.tasks > MAX_TASKS {
        return Err(format!("pieces must be 1 to {MAX_TASKS}"));
    }
    let amounts = [
        ("vcpus", manifest.cpus),
        ("accelerators", manifest.gpus),
        ("memory_gb", manifest.memory_gb),
        ("size_gb", manifest.image_gb),
        ("guess_s", manifest.estimated_run_s),
        ("snapshot_s", manifest.checkpoint_interval_s),
        ("flush_s", manifest.checkpoint_save_s),
        ("due_s", manifest.deadline_s.unwrap_or(0.0)),
    ];
    for (name, value) in amounts {
        if !(0.0..=MAX_QUANTITY).contains(&value) {
            return Err(format!("{name} is out of range"));
        }
    }
    if to_milli_ceil(manifest.cpus) == 0
        && to_milli_ceil(manifest.memory_gb) == 0
        && to_milli_ceil(manifest.gpus) == 0
    {
        return Err("a task must take something of its machine".into());
    }
    let names = [("jobclass", &manifest.job_class), ("owner", &manifest.team), ("bundle", &manifest.image)];
    for (name, value) in names {
        if value.is_empty() || value.len() > MAX_NAME_BYTES {
            return Err(format!("{name} must be 1 to {MAX_NAME_BYTES} bytes"));
        }
    }
    if manifest.zone.as_ref().is_some_and(|hall| hall.len() > MAX_NAME_BYTES) {
        return Err("hall is too long".into());
    }
    Ok(())
}

impl JobManifest {
    pub fn estimated_run_ms(&self) -> u64 {
        seconds_to_ms(self.estimated_run_s)
    }
}
