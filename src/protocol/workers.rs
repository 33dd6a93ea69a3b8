//! Workers: reports in, orders out.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};

use super::{HttpRequest, HttpResponse};
use crate::ids::{AgentEpoch, Attempt, FencingToken, TaskId};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCause {
    Done,
    Stopped { checkpointed: bool },
    PeersLost,
    GangIncomplete,
    Error,
    InsufficientCapacity,
    Busy,
    Unknown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskPhase {
    Fetching,
    WaitingForPeers,
    Running,
    Checkpointing,
    Exited(ExitCause),
}

#[derive(Debug, Clone, PartialEq)]
pub struct TaskStatus {
    pub task: TaskId,
    pub attempt: Attempt,
    pub state: TaskPhase,
    /// Of a task that is done: the attempt whose result counts, if a worker tells it.
    pub published_attempt: Option<Attempt>,
    /// And the length of the list it gave.
    pub output_list_len: Option<u32>,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Heartbeat {
    pub machine: String,
    pub endpoint: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub epoch: AgentEpoch,
    pub sequence: u64,
    pub token: FencingToken,
    pub reclaim_notice_ms: Option<u64>,
    pub tasks: Vec<TaskStatus>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerCommand {
    Run { task: TaskId, attempt: Attempt },
    Stop { task: TaskId, attempt: Attempt, grace_ms: u64 },
    Forget { task: TaskId, attempt: Attempt },
}

/// Text is borrowed from the body, unless it is escaped: reports are the most of what is read.
#[derive(Deserialize)]
struct TaskStatusWire<'a> {
    #[serde(borrow)]
    piece: Cow<'a, str>,
    #[serde(rename = "try")]
    attempt: u64,
    #[serde(borrow)]
    status: Cow<'a, str>,
    #[serde(borrow, default)]
    cause: Option<Cow<'a, str>>,
    #[serde(default)]
    kept: Option<bool>,
    #[serde(default)]
    made: Option<u64>,
    #[serde(default)]
    gave: Option<u32>,
}

#[derive(Deserialize)]
struct HeartbeatWire<'a> {
    #[serde(rename = "box")]
    machine: String,
    #[serde(default)]
    endpoint: String,
    boxkind: String,
    hall: String,
    loaners: bool,
    shift: u64,
    tick: u64,
    #[serde(default)]
    baton: u64,
    #[serde(default)]
    warning_s: Option<f64>,
    #[serde(borrow, default)]
    pieces: Vec<TaskStatusWire<'a>>,
}

#[derive(Serialize)]
struct CommandWire {
    verb: &'static str,
    piece: String,
    #[serde(rename = "try")]
    attempt: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    wind_down_s: Option<f64>,
}

#[derive(Serialize)]
struct CommandsWire {
    baton: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    shift: Option<u64>,
    orders: Vec<CommandWire>,
}

#[derive(Serialize)]
struct RedirectWire<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    home: Option<&'a str>,
}

pub fn parse_heartbeat(body: &[u8]) -> Option<Heartbeat> {
    let wire: HeartbeatWire<'_> = serde_json::from_slice(body).ok()?;
    let pieces: Option<Vec<TaskStatus>> = wire.pieces.iter().map(parse_task_status).collect();
    Some(Heartbeat {
        machine: wire.machine,
        endpoint: wire.endpoint,
        machine_type: wire.boxkind,
        zone: wire.hall,
        spot: wire.loaners,
        epoch: AgentEpoch(wire.shift),
        sequence: wire.tick,
        token: FencingToken(wire.baton),
        reclaim_notice_ms: wire.warning_s.map(|s| (s.max(0.0) * 1000.0) as u64),
        tasks: pieces?,
    })
}

fn parse_task_status(wire: &TaskStatusWire<'_>) -> Option<TaskStatus> {
    Some(TaskStatus {
        task: TaskId::parse(&wire.piece)?,
        attempt: Attempt(wire.attempt),
        state: match &*wire.status {
            "fetching" => TaskPhase::Fetching,
            "gathering" => TaskPhase::WaitingForPeers,
            "running" => TaskPhase::Running,
            "flushing" => TaskPhase::Checkpointing,
            "ended" => TaskPhase::Exited(parse_exit_cause(wire)),
            _ => return None,
        },
        published_attempt: wire.made.map(Attempt),
        output_list_len: wire.gave,
    })
}

fn parse_exit_cause(wire: &TaskStatusWire<'_>) -> ExitCause {
    match wire.cause.as_deref() {
        Some("done") => ExitCause::Done,
        Some("halted") => ExitCause::Stopped { checkpointed: wire.kept == Some(true) },
        Some("peers") => ExitCause::PeersLost,
        Some("incomplete") => ExitCause::GangIncomplete,
        Some("full") => ExitCause::InsufficientCapacity,
        Some("busy") => ExitCause::Busy,
        Some("unknown") => ExitCause::Unknown,
        _ => ExitCause::Error,
    }
}

fn command_wire(order: &WorkerCommand) -> CommandWire {
    let (verb, task, attempt, grace_ms) = match order {
        WorkerCommand::Run { task, attempt } => ("run", task, attempt, None),
        WorkerCommand::Stop { task, attempt, grace_ms } => ("halt", task, attempt, Some(*grace_ms)),
        WorkerCommand::Forget { task, attempt } => ("reap", task, attempt, None),
    };
    CommandWire {
        verb,
        piece: task.to_string(),
        attempt: attempt.0,
        wind_down_s: grace_ms.map(|ms| ms as f64 / 1000.0),
    }
}

pub fn commands_response(token: FencingToken, commands: &[WorkerCommand]) -> HttpResponse {
    HttpResponse::json(
        200,
        &CommandsWire { baton: token.0, shift: None, orders: commands.iter().map(command_wire).collect() },
    )
}

pub fn commands_request(token: FencingToken, epoch: AgentEpoch, commands: &[WorkerCommand]) -> HttpRequest {
    HttpRequest::post(
        "/orders",
        &CommandsWire {
            baton: token.0,
            shift: Some(epoch.0),
            orders: commands.iter().map(command_wire).collect(),
        },
    )
}

/// Sends a worker to the node that is entitled to command it.
pub fn redirect_response(controller: Option<&str>) -> HttpResponse {
    HttpResponse::json(421, &RedirectWire { home: controller })
}

#[cfg(test)]
#[path = "tests/workers.rs"]
mod tests;
