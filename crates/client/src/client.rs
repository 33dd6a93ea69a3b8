//! Requests over plain connections.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use olivelatch::protocol::operators::{ControllerStatus, Explanation, JobDetail, JobEventList, JobList};
use olivelatch_net::http::{Parsed, Response, parse_response, write_request};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use thiserror::Error;

use crate::contexts::Context;
use crate::retry::{AttemptOutcome, RetryDecision, RetryState};

#[derive(Debug, Error)]
pub enum ClientError {
    #[error("no answer within {seconds:.0} s from {tried}")]
    NoResponse { seconds: f64, tried: String },
    #[error("{status}: {text}")]
    Refused { status: u16, text: String, body: Vec<u8> },
    #[error("an answer that is not as expected: {0}")]
    InvalidResponse(#[from] serde_json::Error),
    #[error("the context names no desk: descriptions and logs have no place to go")]
    NoJobStore,
}

impl ClientError {
    pub fn status(&self) -> Option<u16> {
        match self {
            ClientError::Refused { status, .. } => Some(*status),
            _ => None,
        }
    }

    /// Whether the same request may succeed later: no controller answered, or the one that did cannot serve it now.
    pub fn is_unavailable(&self) -> bool {
        matches!(self, ClientError::NoResponse { .. } | ClientError::Refused { status: 503, .. })
    }
}

/// What the controllers say of a submission, a poll or a cancellation.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct SubmissionStatus {
    pub uid: String,
    pub status: String,
    #[serde(default)]
    pub done: Option<u32>,
    #[serde(default)]
    pub running: Option<u32>,
}

/// Output of a task's attempts.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct TaskLogs {
    pub task: String,
    pub attempts: Vec<AttemptLog>,
}

#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct AttemptLog {
    pub attempt: u64,
    pub text: String,
    /// Only its end is shown.
    #[serde(rename = "cut")]
    pub truncated: bool,
}

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A controller that says nothing for so long is given up; another is asked.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(4);
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

pub struct Client {
    context: Context,
    deadline: Duration,
    /// The controller that answered last is asked first.
    preferred_controller: usize,
    rng: SmallRng,
}

/// One request and its answer; None if there was none.
fn exchange(addr: SocketAddr, request: (&str, &str, &[u8]), timeout: Duration) -> Option<Response> {
    let end = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT.min(timeout)).ok()?;
    let (method, path, body) = request;
    let mut bytes = Vec::new();
    write_request(&mut bytes, method, path, &addr.to_string(), body);
    stream.set_write_timeout(Some(timeout)).ok()?;
    stream.write_all(&bytes).ok()?;
    let mut input = Vec::new();
    let mut chunk = vec![0; 64 * 1024];
    loop {
        let left = end.checked_duration_since(Instant::now()).filter(|left| !left.is_zero())?;
        stream.set_read_timeout(Some(left)).ok()?;
        let count = stream.read(&mut chunk).ok().filter(|count| *count > 0)?;
        input.extend_from_slice(&chunk[..count]);
        match parse_response(&input, MAX_RESPONSE_BYTES) {
            Parsed::Complete(response, _) => return Some(response),
            Parsed::Partial if input.len() <= MAX_RESPONSE_BYTES + 64 * 1024 => {}
            _ => return None,
        }
    }
}

fn error_text(body: &[u8]) -> String {
    let value: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
    value["error"].as_str().map_or_else(|| String::from_utf8_lossy(body).into_owned(), String::from)
}

impl Client {
    /// Asks the context's controllers; no request takes longer than the deadline.
    pub fn new(context: Context, deadline: Duration) -> Client {
        let mut rng: SmallRng = SmallRng::from_rng(&mut rand::rng());
        let preferred_controller = rng.random_range(0..context.controllers.len().max(1));
        Client { context, deadline, preferred_controller, rng }
    }

    pub(crate) fn request(&mut self, method: &str, path: &str, body: &[u8]) -> Result<Vec<u8>, ClientError> {
        let controllers = self.context.controllers.clone();
        let start = Instant::now();
        let now_ms = || start.elapsed().as_millis() as u64;
        let mut tries =
            RetryState::new(controllers.len(), self.preferred_controller, self.deadline.as_millis() as u64);
        let mut last = None;
        let mut next = tries.first_controller();
        loop {
            let RetryDecision::Send { controller, wait_ms } = next else {
                let tried = controllers.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ");
                let none = ClientError::NoResponse { seconds: self.deadline.as_secs_f64(), tried };
                return Err(last.unwrap_or(none));
            };
            std::thread::sleep(Duration::from_millis(wait_ms));
            let left = self.deadline.saturating_sub(start.elapsed()).max(Duration::from_millis(1));
            let got = exchange(controllers[controller], (method, path, body), ATTEMPT_TIMEOUT.min(left));
            let outcome = got.as_ref().map_or(AttemptOutcome::Lost, |got| AttemptOutcome::Response {
                status: got.status,
                retry_after_s: got.retry_after_s,
            });
            next = tries.after_attempt(now_ms(), outcome, &mut self.rng);
            let Some(response) = got else { continue };
            if next == RetryDecision::Final {
                self.preferred_controller = controller;
                let fine = response.status < 300;
                return if fine { Ok(response.body) } else { Err(refused_error(&response)) };
            }
            last = Some(refused_error(&response));
        }
    }

    /// The next request goes to another controller first.
    pub(crate) fn prefer_next_controller(&mut self) {
        self.preferred_controller = (self.preferred_controller + 1) % self.context.controllers.len().max(1);
    }

    pub(crate) fn get<T: DeserializeOwned>(&mut self, path: &str) -> Result<T, ClientError> {
        Ok(serde_json::from_slice(&self.request("GET", path, b"")?)?)
    }

    /// The same submission however often it is repeated, as its id is in it.
    pub fn submit(&mut self, spec: &Value) -> Result<SubmissionStatus, ClientError> {
        Ok(serde_json::from_slice(&self.request("POST", "/work", spec.to_string().as_bytes())?)?)
    }

    pub fn job_status(&mut self, id: &str) -> Result<SubmissionStatus, ClientError> {
        self.get(&format!("/work/{id}"))
    }

    pub fn cancel(&mut self, id: &str) -> Result<SubmissionStatus, ClientError> {
        Ok(serde_json::from_slice(&self.request("POST", &format!("/work/{id}/abort"), b"")?)?)
    }

    /// One page; `query` as in docs/client.md, without `after`.
    pub fn list_jobs_page(&mut self, query: &str, after: Option<&str>) -> Result<JobList, ClientError> {
        let after = after.map_or(String::new(), |after| format!("&after={after}"));
        self.get(&format!("/v1/jobs?{query}{after}"))
    }

    pub fn job_detail(
        &mut self,
        id: &str,
        after: Option<u32>,
        limit: usize,
    ) -> Result<JobDetail, ClientError> {
        let after = after.map_or(String::new(), |after| format!("&after={after}"));
        self.get(&format!("/v1/jobs/{id}?limit={limit}{after}"))
    }

    pub fn explain(&mut self, id: &str, task: Option<u32>) -> Result<Explanation, ClientError> {
        let task = task.map_or(String::new(), |task| format!("?task={task}"));
        self.get(&format!("/v1/jobs/{id}/explain{task}"))
    }

    pub fn events(&mut self, id: &str) -> Result<JobEventList, ClientError> {
        self.get(&format!("/v1/jobs/{id}/events"))
    }

    /// Each controller by itself; None where one does not answer within the try.
    pub fn controller_statuses(&self) -> Vec<(SocketAddr, Option<ControllerStatus>)> {
        let within = ATTEMPT_TIMEOUT.min(self.deadline);
        let ask = |addr: &SocketAddr| {
            let got = exchange(*addr, ("GET", "/v1/status", b""), within)?;
            serde_json::from_slice(&got.body).ok()
        };
        self.context.controllers.iter().map(|addr| (*addr, ask(addr))).collect()
    }

    fn job_store_request(&self, method: &str, path: &str, body: &[u8]) -> Result<Vec<u8>, ClientError> {
        let desk = self.context.job_store.ok_or(ClientError::NoJobStore)?;
        let end = Instant::now() + self.deadline;
        while Instant::now() < end {
            match exchange(desk, (method, path, body), ATTEMPT_TIMEOUT) {
                Some(got) if got.status < 300 => return Ok(got.body),
                Some(got) if got.status != 503 => return Err(refused_error(&got)),
                _ => std::thread::sleep(Duration::from_millis(200)),
            }
        }
        Err(ClientError::NoResponse { seconds: self.deadline.as_secs_f64(), tried: desk.to_string() })
    }

    /// Uploads what workers must know of the job: before it is submitted.
    pub fn upload_description(&self, id: &str, description: &Value) -> Result<(), ClientError> {
        self.job_store_request("PUT", &format!("/descriptions/{id}"), description.to_string().as_bytes())
            .map(drop)
    }

    /// What workers know of a job.
    pub fn description(&self, id: &str) -> Result<Value, ClientError> {
        Ok(serde_json::from_slice(&self.job_store_request("GET", &format!("/descriptions/{id}"), b"")?)?)
    }

    pub fn logs(&self, id: &str, task: u32) -> Result<TaskLogs, ClientError> {
        Ok(serde_json::from_slice(&self.job_store_request("GET", &format!("/logs/{id}/{task}"), b"")?)?)
    }

    /// For demonstrations: the region ends one of its controllers hard, and starts it again.
    pub fn kill_controller(&self, at: usize) -> Result<(), ClientError> {
        self.job_store_request("POST", &format!("/controllers/{at}/kill"), b"").map(drop)
    }
}

fn refused_error(response: &Response) -> ClientError {
    ClientError::Refused {
        status: response.status,
        text: error_text(&response.body),
        body: response.body.clone(),
    }
}
