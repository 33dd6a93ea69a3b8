//! Workers: reports in, orders out.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};

use super::{Answer, Call};
use crate::ids::{Attempt, Session, TaskRef, Token};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCause {
    Done,
    Halted { saved: bool },
    Peers,
    Incomplete,
    Error,
    NoRoom,
    Busy,
    Unknown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskState {
    Fetching,
    Gathering,
    Running,
    Saving,
    Exited(ExitCause),
}

#[derive(Debug, Clone, PartialEq)]
pub struct Piece {
    pub task: TaskRef,
    pub attempt: Attempt,
    pub state: TaskState,
    /// Of a task that is done: the attempt whose result counts, if a worker tells it.
    pub made: Option<Attempt>,
    /// And the length of the list it gave.
    pub gave: Option<u32>,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    pub machine: String,
    pub endpoint: String,
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub session: Session,
    pub tick: u64,
    pub token: Token,
    pub notice_ms: Option<u64>,
    pub pieces: Vec<Piece>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    Run { task: TaskRef, attempt: Attempt },
    Halt { task: TaskRef, attempt: Attempt, grace_ms: u64 },
    Reap { task: TaskRef, attempt: Attempt },
}

/// Text is borrowed from the body, unless it is escaped: reports are the most of what is read.
#[derive(Deserialize)]
struct PieceWire<'a> {
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
struct ReportWire<'a> {
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
    pieces: Vec<PieceWire<'a>>,
}

#[derive(Serialize)]
struct OrderWire {
    verb: &'static str,
    piece: String,
    #[serde(rename = "try")]
    attempt: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    wind_down_s: Option<f64>,
}

#[derive(Serialize)]
struct OrdersWire {
    baton: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    shift: Option<u64>,
    orders: Vec<OrderWire>,
}

#[derive(Serialize)]
struct HomeWire<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    home: Option<&'a str>,
}

pub fn read_report(body: &[u8]) -> Option<Report> {
    let wire: ReportWire<'_> = serde_json::from_slice(body).ok()?;
    let pieces: Option<Vec<Piece>> = wire.pieces.iter().map(read_piece).collect();
    Some(Report {
        machine: wire.machine,
        endpoint: wire.endpoint,
        kind: wire.boxkind,
        zone: wire.hall,
        spot: wire.loaners,
        session: Session(wire.shift),
        tick: wire.tick,
        token: Token(wire.baton),
        notice_ms: wire.warning_s.map(|s| (s.max(0.0) * 1000.0) as u64),
        pieces: pieces?,
    })
}

fn read_piece(wire: &PieceWire<'_>) -> Option<Piece> {
    Some(Piece {
        task: TaskRef::parse(&wire.piece)?,
        attempt: Attempt(wire.attempt),
        state: match &*wire.status {
            "fetching" => TaskState::Fetching,
            "gathering" => TaskState::Gathering,
            "running" => TaskState::Running,
            "flushing" => TaskState::Saving,
            "ended" => TaskState::Exited(read_cause(wire)),
            _ => return None,
        },
        made: wire.made.map(Attempt),
        gave: wire.gave,
    })
}

fn read_cause(wire: &PieceWire<'_>) -> ExitCause {
    match wire.cause.as_deref() {
        Some("done") => ExitCause::Done,
        Some("halted") => ExitCause::Halted { saved: wire.kept == Some(true) },
        Some("peers") => ExitCause::Peers,
        Some("incomplete") => ExitCause::Incomplete,
        Some("full") => ExitCause::NoRoom,
        Some("busy") => ExitCause::Busy,
        Some("unknown") => ExitCause::Unknown,
        _ => ExitCause::Error,
    }
}

fn order_wire(order: &Order) -> OrderWire {
    let (verb, task, attempt, grace_ms) = match order {
        Order::Run { task, attempt } => ("run", task, attempt, None),
        Order::Halt { task, attempt, grace_ms } => ("halt", task, attempt, Some(*grace_ms)),
        Order::Reap { task, attempt } => ("reap", task, attempt, None),
    };
    OrderWire {
        verb,
        piece: task.to_string(),
        attempt: attempt.0,
        wind_down_s: grace_ms.map(|ms| ms as f64 / 1000.0),
    }
}

pub fn orders_answer(token: Token, orders: &[Order]) -> Answer {
    Answer::json(
        200,
        &OrdersWire { baton: token.0, shift: None, orders: orders.iter().map(order_wire).collect() },
    )
}

pub fn orders_call(token: Token, session: Session, orders: &[Order]) -> Call {
    Call::post(
        "/orders",
        &OrdersWire {
            baton: token.0,
            shift: Some(session.0),
            orders: orders.iter().map(order_wire).collect(),
        },
    )
}

/// Sends a worker to the node that is entitled to command it.
pub fn elsewhere(home: Option<&str>) -> Answer {
    Answer::json(421, &HomeWire { home })
}

#[cfg(test)]
#[path = "tests/workers.rs"]
mod tests;
