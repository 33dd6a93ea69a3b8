//! Messages between controllers and workers: heartbeats with the status of tasks, and commands.
//!
//! This module only parses and serializes. Commands carry the leader's fencing token, by which workers reject commands
//! of a former leader.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};

use super::{HttpRequest, HttpResponse};
use crate::ids::{Attempt, FencingToken, TaskId, WorkerEpoch};

/// Reasons why an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCause {
    Done,
    /// Stopped by a command.
    Stopped {
        /// Whether it saved its progress first.
        checkpointed: bool,
    },
    /// Another task of its gang was lost.
    PeersLost,
    /// Not all tasks of its gang were ready in time.
    GangIncomplete,
    Error,
    /// The machine has too little free capacity.
    InsufficientCapacity,
    /// Another attempt of the task is on the machine.
    Busy,
    /// The worker does not have the description of the job.
    UnknownJob,
}

/// What an attempt is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskPhase {
    /// Fetching its image.
    Fetching,
    /// Waiting for the other tasks of its gang.
    WaitingForPeers,
    Running,
    /// Saving its progress before it stops.
    Checkpointing,
    Exited(ExitCause),
}

/// The status of one attempt in a heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskStatus {
    pub task: TaskId,
    pub attempt: Attempt,
    pub state: TaskPhase,
    /// For a task that is done: the attempt whose output was published, if the worker reports it.
    pub published_attempt: Option<Attempt>,
    /// Length of the output list that the attempt published.
    pub output_list_len: Option<u32>,
}

/// A worker's periodic report, which renews its lease.
#[derive(Debug, Clone, PartialEq)]
pub struct Heartbeat {
    pub machine: String,
    /// Address at which the worker accepts commands; may be empty.
    pub endpoint: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub epoch: WorkerEpoch,
    /// Increases with each heartbeat of an epoch.
    pub sequence: u64,
    /// The highest fencing token that the worker has seen.
    pub token: FencingToken,
    /// Milliseconds until the cloud reclaims the spot instance; None unless the cloud has given notice.
    pub reclaim_notice_ms: Option<u64>,
    pub tasks: Vec<TaskStatus>,
}

/// A command to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerCommand {
    Run {
        task: TaskId,
        attempt: Attempt,
    },
    /// Stop the attempt, which has `grace_ms` to save its progress.
    Stop {
        task: TaskId,
        attempt: Attempt,
        grace_ms: u64,
    },
    /// Stop reporting the attempt: its exit has been recorded.
    Forget {
        task: TaskId,
        attempt: Attempt,
    },
}

/// Strings are borrowed from the body unless they contain escapes, because most of the parsed input is heartbeats.
#[derive(Deserialize)]
struct TaskStatusWire<'a> {
    #[serde(borrow, rename = "piece")]
    task: Cow<'a, str>,
    #[serde(rename = "try")]
    attempt: u64,
    #[serde(borrow, rename = "status")]
    phase: Cow<'a, str>,
    #[serde(borrow, default)]
    cause: Option<Cow<'a, str>>,
    #[serde(default, rename = "kept")]
    checkpointed: Option<bool>,
    #[serde(default, rename = "made")]
    published_attempt: Option<u64>,
    #[serde(default, rename = "gave")]
    output_list_len: Option<u32>,
}

#[derive(Deserialize)]
struct HeartbeatWire<'a> {
    #[serde(rename = "box")]
    machine: String,
    #[serde(default)]
    endpoint: String,
    #[serde(rename = "boxkind")]
    machine_type: String,
    #[serde(rename = "hall")]
    zone: String,
    #[serde(rename = "loaners")]
    spot: bool,
    #[serde(rename = "shift")]
    epoch: u64,
    #[serde(rename = "tick")]
    sequence: u64,
    #[serde(default, rename = "baton")]
    token: u64,
    #[serde(default, rename = "warning_s")]
    reclaim_notice_s: Option<f64>,
    #[serde(borrow, default, rename = "pieces")]
    tasks: Vec<TaskStatusWire<'a>>,
}

#[derive(Serialize)]
struct CommandWire {
    verb: &'static str,
    #[serde(rename = "piece")]
    task: String,
    #[serde(rename = "try")]
    attempt: u64,
    #[serde(rename = "wind_down_s", skip_serializing_if = "Option::is_none")]
    grace_s: Option<f64>,
}

#[derive(Serialize)]
struct CommandsWire {
    #[serde(rename = "baton")]
    token: u64,
    #[serde(rename = "shift", skip_serializing_if = "Option::is_none")]
    epoch: Option<u64>,
    #[serde(rename = "orders")]
    commands: Vec<CommandWire>,
}

#[derive(Serialize)]
struct RedirectWire<'a> {
    #[serde(rename = "home", skip_serializing_if = "Option::is_none")]
    controller: Option<&'a str>,
}

/// Parses a heartbeat; None if any part of it is invalid.
pub fn parse_heartbeat(body: &[u8]) -> Option<Heartbeat> {
    let wire: HeartbeatWire<'_> = serde_json::from_slice(body).ok()?;
    let tasks = wire.tasks.iter().map(parse_task_status).collect::<Option<Vec<TaskStatus>>>()?;
    Some(Heartbeat {
        machine: wire.machine,
        endpoint: wire.endpoint,
        machine_type: wire.machine_type,
        zone: wire.zone,
        spot: wire.spot,
        epoch: WorkerEpoch(wire.epoch),
        sequence: wire.sequence,
        token: FencingToken(wire.token),
        reclaim_notice_ms: wire.reclaim_notice_s.map(|s| (s.max(0.0) * 1000.0) as u64),
        tasks,
    })
}

fn parse_task_status(wire: &TaskStatusWire<'_>) -> Option<TaskStatus> {
    Some(TaskStatus {
        task: TaskId::parse(&wire.task)?,
        attempt: Attempt(wire.attempt),
        state: match &*wire.phase {
            "fetching" => TaskPhase::Fetching,
            "gathering" => TaskPhase::WaitingForPeers,
            "running" => TaskPhase::Running,
            "flushing" => TaskPhase::Checkpointing,
            "ended" => TaskPhase::Exited(parse_exit_cause(wire)),
            _ => return None,
        },
        published_attempt: wire.published_attempt.map(Attempt),
        output_list_len: wire.output_list_len,
    })
}

fn parse_exit_cause(wire: &TaskStatusWire<'_>) -> ExitCause {
    match wire.cause.as_deref() {
        Some("done") => ExitCause::Done,
        Some("halted") => ExitCause::Stopped { checkpointed: wire.checkpointed == Some(true) },
        Some("peers") => ExitCause::PeersLost,
        Some("incomplete") => ExitCause::GangIncomplete,
        Some("full") => ExitCause::InsufficientCapacity,
        Some("busy") => ExitCause::Busy,
        Some("unknown") => ExitCause::UnknownJob,
        _ => ExitCause::Error,
    }
}

fn command_wire(command: &WorkerCommand) -> CommandWire {
    let (verb, task, attempt, grace_ms) = match command {
        WorkerCommand::Run { task, attempt } => ("run", task, attempt, None),
        WorkerCommand::Stop { task, attempt, grace_ms } => ("halt", task, attempt, Some(*grace_ms)),
        WorkerCommand::Forget { task, attempt } => ("reap", task, attempt, None),
    };
    CommandWire {
        verb,
        task: task.to_string(),
        attempt: attempt.0,
        grace_s: grace_ms.map(|ms| ms as f64 / 1000.0),
    }
}

/// Returns the response to a heartbeat.
pub fn commands_response(token: FencingToken, commands: &[WorkerCommand]) -> HttpResponse {
    HttpResponse::json(
        200,
        &CommandsWire { token: token.0, epoch: None, commands: commands.iter().map(command_wire).collect() },
    )
}

/// Returns a request that sends commands between heartbeats; the worker rejects it if `epoch` is not the worker's
/// current epoch.
pub fn commands_request(token: FencingToken, epoch: WorkerEpoch, commands: &[WorkerCommand]) -> HttpRequest {
    HttpRequest::post(
        "/orders",
        &CommandsWire {
            token: token.0,
            epoch: Some(epoch.0),
            commands: commands.iter().map(command_wire).collect(),
        },
    )
}

/// Returns the response (421) that redirects a worker to the leader, if the leader is known.
pub fn redirect_response(controller: Option<&str>) -> HttpResponse {
    HttpResponse::json(421, &RedirectWire { controller })
}

#[cfg(test)]
#[path = "tests/workers.rs"]
mod tests;
