//! What was read, back in the words of the wire.

use olivelatch::ids::TaskRef;
use olivelatch::protocol::cloud::{CloudReply, Listed, ListedState};
use olivelatch::protocol::config::ConfigRequest;
use olivelatch::protocol::graphs::{GraphAsked, GraphRequest};
use olivelatch::protocol::operators::{ListQuery, OperatorRequest, StateFilter};
use olivelatch::protocol::state::{Pair, StateReply};
use olivelatch::protocol::users::UserRequest;
use olivelatch::protocol::workers::{ExitCause, Piece, Report, TaskState};
use olivelatch::protocol::{Answer, Call};
use serde_json::{Value, json};

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).expect("text")
}

pub fn answer(answer: &Answer) -> Value {
    json!({"status": answer.status, "retry-after": answer.retry_after_s, "body": text(&answer.body),
        "plain": answer.text})
}

pub fn call(call: &Call) -> Value {
    json!({"call": format!("{} {}", call.method, call.path), "body": text(&call.body)})
}

pub fn task(text: &str) -> TaskRef {
    TaskRef::parse(text).expect("a task")
}

pub fn report(report: &Report) -> Value {
    json!({"box": report.machine, "endpoint": report.endpoint, "boxkind": report.kind, "hall": report.zone,
        "loaners": report.spot, "shift": report.session.0, "tick": report.tick, "baton": report.token.0,
        "warning_ms": report.notice_ms, "pieces": report.pieces.iter().map(piece).collect::<Vec<_>>()})
}

fn piece(piece: &Piece) -> Value {
    let (status, cause, kept) = match piece.state {
        TaskState::Fetching => ("fetching", None, None),
        TaskState::Gathering => ("gathering", None, None),
        TaskState::Running => ("running", None, None),
        TaskState::Saving => ("flushing", None, None),
        TaskState::Exited(cause) => ("ended", Some(word(cause)), kept(cause)),
    };
    json!({"piece": piece.task.to_string(), "try": piece.attempt.0, "status": status, "cause": cause, "kept": kept,
        "made": piece.made.map(|made| made.0), "gave": piece.gave})
}

fn word(cause: ExitCause) -> &'static str {
    match cause {
        ExitCause::Done => "done",
        ExitCause::Halted { .. } => "halted",
        ExitCause::Peers => "peers",
        ExitCause::Incomplete => "incomplete",
        ExitCause::Error => "error",
        ExitCause::NoRoom => "full",
        ExitCause::Busy => "busy",
        ExitCause::Unknown => "unknown",
    }
}

fn kept(cause: ExitCause) -> Option<bool> {
    if let ExitCause::Halted { saved } = cause { Some(saved) } else { None }
}

pub fn submission(read: Result<UserRequest, Answer>) -> Value {
    match read {
        Ok(UserRequest::Submit { id, spec: Ok(spec) }) => json!({"uid": id.to_string(), "job": *spec}),
        Ok(UserRequest::Submit { id, spec: Err(error) }) => json!({"uid": id.to_string(), "error": error}),
        Ok(other) => panic!("{} is no submission", other.id()),
        Err(refused) => answer(&refused),
    }
}

pub fn cloud(reply: &CloudReply) -> Value {
    match reply {
        CloudReply::Catalog(kinds) => json!({"boxkinds": kinds}),
        CloudReply::Rented(boxes) => json!({"boxes": boxes}),
        CloudReply::NoCapacity => json!("no capacity"),
        CloudReply::Released => json!("released"),
        CloudReply::List { machines, more } => {
            json!({"boxes": machines.iter().map(listed).collect::<Vec<_>>(), "has_next": more})
        }
        CloudReply::Refused { status } => json!({"status": status}),
        CloudReply::Unknown => json!("not known"),
    }
}

fn listed(listed: &Listed) -> Value {
    let status = match listed.state {
        ListedState::Booting => "booting",
        ListedState::Running => "running",
        ListedState::Failed => "failed",
    };
    json!({"uid": listed.name, "endpoint": listed.endpoint, "boxkind": listed.kind, "hall": listed.zone,
        "loaners": listed.spot, "status": status, "held_ms": listed.age_ms})
}

pub fn state(reply: &StateReply) -> Value {
    let all = |pairs: &[Pair]| pairs.iter().map(pair).collect::<Vec<_>>();
    match reply {
        StateReply::Page { pairs, more, revision } => {
            json!({"pairs": all(pairs), "has_next": more, "ledger_rev": revision.0})
        }
        StateReply::Changes { pairs, revision } => json!({"events": all(pairs), "ledger_rev": revision.0}),
        StateReply::Applied { revision } => json!({"ledger_rev": revision.0}),
        StateReply::Conflict { failed } => json!({"failed": failed}),
        StateReply::Granted { lease } => json!({"permit": lease.0}),
        StateReply::Renewed => json!("fine"),
        StateReply::NoSuchLease => json!("no such lease"),
        StateReply::Compacted => json!("too old"),
        StateReply::Refused { status } => json!({"status": status}),
        StateReply::Unknown => json!("not known"),
    }
}

fn pair(pair: &Pair) -> Value {
    json!({"key": pair.key, "value": pair.value, "stamp": pair.stamp.0})
}

fn filter(filter: StateFilter) -> &'static str {
    match filter {
        StateFilter::Live => "live",
        StateFilter::Ended => "ended",
        StateFilter::Only(state) => state.word(),
    }
}

fn list(list: &ListQuery) -> Value {
    json!({"after": list.after.map(|id| id.to_string()), "limit": list.limit, "team": list.team,
        "class": list.class, "state": list.state.map(filter)})
}

pub fn operator(request: &OperatorRequest) -> Value {
    match request {
        OperatorRequest::List(query) => json!({"jobs": list(query)}),
        OperatorRequest::Inspect { id, after, limit } => {
            json!({"job": id.to_string(), "after": after, "limit": limit})
        }
        OperatorRequest::Explain { id, task } => json!({"explain": id.to_string(), "task": task}),
        OperatorRequest::Events { id } => json!({"events": id.to_string()}),
        OperatorRequest::Status => json!("status"),
        OperatorRequest::Metrics => json!("metrics"),
        OperatorRequest::Runs(query) => json!({"graph": query.graph, "limit": query.limit,
            "after": query.after.as_ref().map(|run| run.to_string())}),
        OperatorRequest::Run { run, after, limit } => {
            json!({"run": run.to_string(), "after": after, "limit": limit})
        }
    }
}

pub fn graph(asked: &GraphAsked) -> Value {
    match asked {
        GraphAsked::Look(request) => operator(request),
        GraphAsked::Change(GraphRequest::Parts { run, upload }) => {
            json!({"run": run.to_string(), "parts": upload})
        }
        GraphAsked::Change(GraphRequest::Commit { run, header }) => {
            json!({"run": run.to_string(), "commit": header})
        }
        GraphAsked::Change(GraphRequest::Cancel { run }) => json!({"run": run.to_string(), "cancel": true}),
        GraphAsked::Change(GraphRequest::Redo { run, redo }) => json!({"run": run.to_string(), "redo": redo}),
    }
}

pub fn config(request: &ConfigRequest) -> Value {
    match request {
        ConfigRequest::List => json!("all"),
        ConfigRequest::Get { entry, version } => json!({"entry": entry.to_string(), "version": version}),
        ConfigRequest::Set { entry, change } => json!({"entry": entry.to_string(), "change": change}),
    }
}

/// A request that was read, the answer that refuses it, or null where there is no such path.
pub fn read<T>(read: Option<Result<T, Answer>>, write: impl Fn(&T) -> Value) -> Value {
    match read {
        None => Value::Null,
        Some(Ok(request)) => write(&request),
        Some(Err(refused)) => answer(&refused),
    }
}
