//! Requests over plain connections.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use olivelatch::protocol::operators::{EventList, Explanation, JobDetail, JobList, NodeStatus};
use olivelatch_net::http::{Parsed, Response, parse_response, write_request};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use thiserror::Error;

use crate::contexts::Context;
use crate::tries::{Next, Outcome, Tries};

#[derive(Debug, Error)]
pub enum ClientError {
    #[error("no answer within {seconds:.0} s from {tried}")]
    NoAnswer { seconds: f64, tried: String },
    #[error("{status}: {text}")]
    Refused { status: u16, text: String, body: Vec<u8> },
    #[error("an answer that is not as expected: {0}")]
    Answer(#[from] serde_json::Error),
    #[error("the context names no desk: descriptions and logs have no place to go")]
    NoDesk,
}

impl ClientError {
    pub fn status(&self) -> Option<u16> {
        match self {
            ClientError::Refused { status, .. } => Some(*status),
            _ => None,
        }
    }
}

/// What the controllers say of a submission, a poll or a cancellation.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Submitted {
    pub uid: String,
    pub status: String,
    #[serde(default)]
    pub done: Option<u32>,
    #[serde(default)]
    pub running: Option<u32>,
}

/// Output of a task's attempts.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Described {
    pub task: String,
    pub attempts: Vec<AttemptLog>,
}

#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct AttemptLog {
    pub attempt: u64,
    pub text: String,
    /// Only its end is shown.
    pub cut: bool,
}

const CONNECT: Duration = Duration::from_secs(1);
/// A controller that says nothing for so long is given up; another is asked.
const ONE_TRY: Duration = Duration::from_secs(4);
const LARGEST_ANSWER: usize = 8 * 1024 * 1024;

pub struct Client {
    context: Context,
    deadline: Duration,
    /// The controller that answered last is asked first.
    first: usize,
    rng: SmallRng,
}

/// One request and its answer; None if there was none.
fn exchange(addr: SocketAddr, request: (&str, &str, &[u8]), within: Duration) -> Option<Response> {
    let end = Instant::now() + within;
    let mut stream = TcpStream::connect_timeout(&addr, CONNECT.min(within)).ok()?;
    let (method, path, body) = request;
    let mut bytes = Vec::new();
    write_request(&mut bytes, method, path, &addr.to_string(), body);
    stream.set_write_timeout(Some(within)).ok()?;
    stream.write_all(&bytes).ok()?;
    let mut input = Vec::new();
    let mut chunk = vec![0; 64 * 1024];
    loop {
        let left = end.checked_duration_since(Instant::now()).filter(|left| !left.is_zero())?;
        stream.set_read_timeout(Some(left)).ok()?;
        let count = stream.read(&mut chunk).ok().filter(|count| *count > 0)?;
        input.extend_from_slice(&chunk[..count]);
        match parse_response(&input, LARGEST_ANSWER) {
            Parsed::Whole(response, _) => return Some(response),
            Parsed::Partial if input.len() <= LARGEST_ANSWER + 64 * 1024 => {}
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
        let first = rng.random_range(0..context.controllers.len().max(1));
        Client { context, deadline, first, rng }
    }

    pub(crate) fn ask(&mut self, method: &str, path: &str, body: &[u8]) -> Result<Vec<u8>, ClientError> {
        let controllers = self.context.controllers.clone();
        let start = Instant::now();
        let now_ms = || start.elapsed().as_millis() as u64;
        let mut tries = Tries::new(controllers.len(), self.first, self.deadline.as_millis() as u64);
        let mut last = None;
        let mut next = tries.first();
        loop {
            let Next::Ask { controller, wait_ms } = next else {
                let tried = controllers.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ");
                let none = ClientError::NoAnswer { seconds: self.deadline.as_secs_f64(), tried };
                return Err(last.unwrap_or(none));
            };
            std::thread::sleep(Duration::from_millis(wait_ms));
            let left = self.deadline.saturating_sub(start.elapsed()).max(Duration::from_millis(1));
            let got = exchange(controllers[controller], (method, path, body), ONE_TRY.min(left));
            let outcome = got.as_ref().map_or(Outcome::Lost, |got| Outcome::Answer {
                status: got.status,
                retry_after_s: got.retry_after_s,
            });
            next = tries.next(now_ms(), outcome, &mut self.rng);
            let Some(response) = got else { continue };
            if next == Next::Done {
                self.first = controller;
                let fine = response.status < 300;
                return if fine { Ok(response.body) } else { Err(refused(&response)) };
            }
            last = Some(refused(&response));
        }
    }

    /// The next request goes to another controller first.
    pub(crate) fn ask_another_first(&mut self) {
        self.first = (self.first + 1) % self.context.controllers.len().max(1);
    }

    pub(crate) fn get<T: DeserializeOwned>(&mut self, path: &str) -> Result<T, ClientError> {
        Ok(serde_json::from_slice(&self.ask("GET", path, b"")?)?)
    }

    /// The same submission however often it is repeated, as its id is in it.
    pub fn submit(&mut self, spec: &Value) -> Result<Submitted, ClientError> {
        Ok(serde_json::from_slice(&self.ask("POST", "/work", spec.to_string().as_bytes())?)?)
    }

    pub fn poll(&mut self, id: &str) -> Result<Submitted, ClientError> {
        self.get(&format!("/work/{id}"))
    }

    pub fn cancel(&mut self, id: &str) -> Result<Submitted, ClientError> {
        Ok(serde_json::from_slice(&self.ask("POST", &format!("/work/{id}/abort"), b"")?)?)
    }

    /// One page; `query` as in docs/client.md, without `after`.
    pub fn page(&mut self, query: &str, after: Option<&str>) -> Result<JobList, ClientError> {
        let after = after.map_or(String::new(), |after| format!("&after={after}"));
        self.get(&format!("/v1/jobs?{query}{after}"))
    }

    pub fn inspect(&mut self, id: &str, after: Option<u32>, limit: usize) -> Result<JobDetail, ClientError> {
        let after = after.map_or(String::new(), |after| format!("&after={after}"));
        self.get(&format!("/v1/jobs/{id}?limit={limit}{after}"))
    }

    pub fn explain(&mut self, id: &str, task: Option<u32>) -> Result<Explanation, ClientError> {
        let task = task.map_or(String::new(), |task| format!("?task={task}"));
        self.get(&format!("/v1/jobs/{id}/explain{task}"))
    }

    pub fn events(&mut self, id: &str) -> Result<EventList, ClientError> {
        self.get(&format!("/v1/jobs/{id}/events"))
    }

    /// Each controller by itself; None where one does not answer within the try.
    pub fn statuses(&self) -> Vec<(SocketAddr, Option<NodeStatus>)> {
        let within = ONE_TRY.min(self.deadline);
        let ask = |addr: &SocketAddr| {
            let got = exchange(*addr, ("GET", "/v1/status", b""), within)?;
            serde_json::from_slice(&got.body).ok()
        };
        self.context.controllers.iter().map(|addr| (*addr, ask(addr))).collect()
    }

    fn desk(&self, method: &str, path: &str, body: &[u8]) -> Result<Vec<u8>, ClientError> {
        let desk = self.context.desk.ok_or(ClientError::NoDesk)?;
        let end = Instant::now() + self.deadline;
        while Instant::now() < end {
            match exchange(desk, (method, path, body), ONE_TRY) {
                Some(got) if got.status < 300 => return Ok(got.body),
                Some(got) if got.status != 503 => return Err(refused(&got)),
                _ => std::thread::sleep(Duration::from_millis(200)),
            }
        }
        Err(ClientError::NoAnswer { seconds: self.deadline.as_secs_f64(), tried: desk.to_string() })
    }

    /// Uploads what workers must know of the job: before it is submitted.
    pub fn describe(&self, id: &str, description: &Value) -> Result<(), ClientError> {
        self.desk("PUT", &format!("/descriptions/{id}"), description.to_string().as_bytes()).map(drop)
    }

    /// What workers know of a job.
    pub fn description(&self, id: &str) -> Result<Value, ClientError> {
        Ok(serde_json::from_slice(&self.desk("GET", &format!("/descriptions/{id}"), b"")?)?)
    }

    pub fn logs(&self, id: &str, task: u32) -> Result<Described, ClientError> {
        Ok(serde_json::from_slice(&self.desk("GET", &format!("/logs/{id}/{task}"), b"")?)?)
    }

    /// For demonstrations: the region ends one of its controllers hard, and starts it again.
    pub fn kill_controller(&self, at: usize) -> Result<(), ClientError> {
        self.desk("POST", &format!("/controllers/{at}/kill"), b"").map(drop)
    }
}

fn refused(response: &Response) -> ClientError {
    ClientError::Refused {
        status: response.status,
        text: error_text(&response.body),
        body: response.body.clone(),
    }
}
