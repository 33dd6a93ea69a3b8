//! Users: submit, ask, abort.

use serde::{Deserialize, Serialize};

use super::Answer;
use crate::ids::{JobId, milli_up, seconds};

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    #[serde(rename = "array")]
    Array,
    #[serde(rename = "gang")]
    Gang,
    #[serde(rename = "daemon")]
    Service,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Urgency {
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
    Withdrawn,
}

impl JobStatus {
    fn word(self) -> &'static str {
        match self {
            JobStatus::Pending => "pending",
            JobStatus::Running => "running",
            JobStatus::Done => "done",
            JobStatus::Withdrawn => "withdrawn",
        }
    }
}

/// A job as its user describes it; kept as it is in the job's durable record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    pub uid: String,
    pub jobclass: String,
    pub owner: String,
    pub shape: Shape,
    pub urgency: Urgency,
    pub pieces: u32,
    pub vcpus: f64,
    pub accelerators: f64,
    pub memory_gb: f64,
    pub bundle: String,
    pub size_gb: f64,
    #[serde(default)]
    pub boxkinds: Option<Vec<String>>,
    #[serde(default)]
    pub hall: Option<String>,
    pub together: bool,
    pub scatter: bool,
    pub loaners: bool,
    pub guess_s: f64,
    pub snapshot_s: f64,
    pub flush_s: f64,
    #[serde(default)]
    pub due_s: Option<f64>,
}

/// Most tasks a job may have.
pub const MOST_TASKS: u32 = 100_000;
const LONGEST_NAME: usize = 200;
const LARGEST_AMOUNT: f64 = 1e9;

#[derive(Debug, Clone, PartialEq)]
pub enum UserRequest {
    /// The name could be read, the rest may be wrong; known names come first.
    Submit {
        id: JobId,
        spec: Result<Box<JobSpec>, String>,
    },
    Poll {
        id: JobId,
    },
    Abort {
        id: JobId,
    },
}

impl UserRequest {
    /// The job that it is about.
    pub fn id(&self) -> JobId {
        match self {
            UserRequest::Submit { id, .. } | UserRequest::Poll { id } | UserRequest::Abort { id } => *id,
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

pub fn status_answer(code: u16, id: JobId, status: JobStatus, counts: Option<(u32, u32)>) -> Answer {
    Answer::json(
        code,
        &StatusWire {
            uid: id.to_string(),
            status: status.word(),
            done: counts.map(|c| c.0),
            running: counts.map(|c| c.1),
        },
    )
}

/// Reads a submission. `Err` is the final answer.
pub fn read_submission(body: &[u8]) -> Result<UserRequest, Answer> {
    let value: serde_json::Value =
        serde_json::from_slice(body).map_err(|_| Answer::error(400, "the body is not JSON"))?;
    let Some(object) = value.as_object() else {
        return Err(Answer::error(400, "the body is not an object"));
    };
    let id = object
        .get("uid")
        .and_then(|uid| uid.as_str())
        .and_then(JobId::parse)
        .ok_or_else(|| Answer::error(400, "uid is missing or not of the form job-000412"))?;
    let spec = serde_json::from_value::<JobSpec>(value)
        .map_err(|error| error.to_string())
        .and_then(|spec| check_spec(&spec).map(|()| Box::new(spec)));
    Ok(UserRequest::Submit { id, spec })
}

pub fn check_spec(spec: &JobSpec) -> Result<(), String> {
    if spec.pieces == 0 || spec.pieces > MOST_TASKS {
        return Err(format!("pieces must be 1 to {MOST_TASKS}"));
    }
    let amounts = [
        ("vcpus", spec.vcpus),
        ("accelerators", spec.accelerators),
        ("memory_gb", spec.memory_gb),
        ("size_gb", spec.size_gb),
        ("guess_s", spec.guess_s),
        ("snapshot_s", spec.snapshot_s),
        ("flush_s", spec.flush_s),
        ("due_s", spec.due_s.unwrap_or(0.0)),
    ];
    for (name, value) in amounts {
        if !(0.0..=LARGEST_AMOUNT).contains(&value) {
            return Err(format!("{name} is out of range"));
        }
    }
    if milli_up(spec.vcpus) == 0 && milli_up(spec.memory_gb) == 0 && milli_up(spec.accelerators) == 0 {
        return Err("a task must take something of its machine".into());
    }
    let names = [("jobclass", &spec.jobclass), ("owner", &spec.owner), ("bundle", &spec.bundle)];
    for (name, value) in names {
        if value.is_empty() || value.len() > LONGEST_NAME {
            return Err(format!("{name} must be 1 to {LONGEST_NAME} bytes"));
        }
    }
    if spec.hall.as_ref().is_some_and(|hall| hall.len() > LONGEST_NAME) {
        return Err("hall is too long".into());
    }
    Ok(())
}

impl JobSpec {
    pub fn guess_ms(&self) -> u64 {
        seconds(self.guess_s)
    }
}
