//! What was read, back in the words of the wire.

use olivelatch::ids::TaskId;
use olivelatch::protocol::cloud::{CloudMachine, CloudMachineState, CloudReply};
use olivelatch::protocol::config::ConfigRequest;
use olivelatch::protocol::graphs::{DagRequest, GraphRouteRequest};
use olivelatch::protocol::kv::{KvEntry, KvReply};
use olivelatch::protocol::operators::{ListQuery, OperatorRequest, StateFilter};
use olivelatch::protocol::users::UserRequest;
use olivelatch::protocol::workers::{ExitCause, Heartbeat, TaskPhase, TaskStatus};
use olivelatch::protocol::{HttpRequest, HttpResponse};
use serde_json::{Value, json};

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).expect("text")
}

pub fn answer(answer: &HttpResponse) -> Value {
    json!({"status": answer.status, "retry-after": answer.retry_after_s, "body": text(&answer.body),
        "plain": answer.is_text})
}

pub fn call(call: &HttpRequest) -> Value {
    json!({"call": format!("{} {}", call.method, call.path), "body": text(&call.body)})
}

pub fn task(text: &str) -> TaskId {
    TaskId::parse(text).expect("a task")
}

pub fn report(report: &Heartbeat) -> Value {
    json!({"box": report.machine, "endpoint": report.endpoint, "boxkind": report.machine_type, "hall": report.zone,
        "loaners": report.spot, "shift": report.epoch.0, "tick": report.sequence, "baton": report.token.0,
        "warning_ms": report.reclaim_notice_ms, "pieces": report.tasks.iter().map(piece).collect::<Vec<_>>()})
}

fn piece(piece: &TaskStatus) -> Value {
    let (status, cause, kept) = match piece.state {
        TaskPhase::Fetching => ("fetching", None, None),
        TaskPhase::WaitingForPeers => ("gathering", None, None),
        TaskPhase::Running => ("running", None, None),
        TaskPhase::Checkpointing => ("flushing", None, None),
        TaskPhase::Exited(cause) => ("ended", Some(word(cause)), kept(cause)),
    };
    json!({"piece": piece.task.to_string(), "try": piece.attempt.0, "status": status, "cause": cause, "kept": kept,
        "made": piece.published_attempt.map(|made| made.0), "gave": piece.output_list_len})
}

fn word(cause: ExitCause) -> &'static str {
    match cause {
        ExitCause::Done => "done",
        ExitCause::Stopped { .. } => "halted",
        ExitCause::PeersLost => "peers",
        ExitCause::GangIncomplete => "incomplete",
        ExitCause::Error => "error",
        ExitCause::InsufficientCapacity => "full",
        ExitCause::Busy => "busy",
        ExitCause::Unknown => "unknown",
    }
}

fn kept(cause: ExitCause) -> Option<bool> {
    if let ExitCause::Stopped { checkpointed: saved } = cause { Some(saved) } else { None }
}

pub fn submission(read: Result<UserRequest, HttpResponse>) -> Value {
    match read {
        Ok(UserRequest::Submit { id, manifest: Ok(spec) }) => json!({"uid": id.to_string(), "job": *spec}),
        Ok(UserRequest::Submit { id, manifest: Err(error) }) => {
            json!({"uid": id.to_string(), "error": error})
        }
        Ok(other) => panic!("{} is no submission", other.id()),
        Err(refused) => answer(&refused),
    }
}

pub fn cloud(reply: &CloudReply) -> Value {
    match reply {
        CloudReply::Catalog(kinds) => json!({"boxkinds": kinds}),
        CloudReply::ScaledOut(boxes) => json!({"boxes": boxes}),
        CloudReply::NoCapacity => json!("no capacity"),
        CloudReply::ScaledIn => json!("released"),
        CloudReply::MachineList { machines, has_more: more } => {
            json!({"boxes": machines.iter().map(listed).collect::<Vec<_>>(), "has_next": more})
        }
        CloudReply::Rejected { status } => json!({"status": status}),
        CloudReply::Unknown => json!("not known"),
    }
}

fn listed(listed: &CloudMachine) -> Value {
    let status = match listed.state {
        CloudMachineState::Booting => "booting",
        CloudMachineState::Running => "running",
        CloudMachineState::Failed => "failed",
    };
    json!({"uid": listed.name, "endpoint": listed.endpoint, "boxkind": listed.machine_type, "hall": listed.zone,
        "loaners": listed.spot, "status": status, "held_ms": listed.age_ms})
}

pub fn state(reply: &KvReply) -> Value {
    let all = |pairs: &[KvEntry]| pairs.iter().map(pair).collect::<Vec<_>>();
    match reply {
        KvReply::ListPage { entries: pairs, has_more: more, revision } => {
            json!({"pairs": all(pairs), "has_next": more, "ledger_rev": revision.0})
        }
        KvReply::ChangedEntries { entries: pairs, revision } => {
            json!({"events": all(pairs), "ledger_rev": revision.0})
        }
        KvReply::Committed { revision } => json!({"ledger_rev": revision.0}),
        KvReply::PreconditionFailed { failed_keys: failed } => json!({"failed": failed}),
        KvReply::LeaseGranted { lease } => json!({"permit": lease.0}),
        KvReply::LeaseUpdated => json!("fine"),
        KvReply::LeaseNotFound => json!("no such lease"),
        KvReply::Compacted => json!("too old"),
        KvReply::Rejected { status } => json!({"status": status}),
        KvReply::Unknown => json!("not known"),
    }
}

fn pair(pair: &KvEntry) -> Value {
    json!({"key": pair.key, "value": pair.value, "stamp": pair.revision.0})
}

fn filter(filter: StateFilter) -> &'static str {
    match filter {
        StateFilter::Active => "live",
        StateFilter::Terminal => "ended",
        StateFilter::Exactly(state) => state.as_str(),
    }
}

fn list(list: &ListQuery) -> Value {
    json!({"after": list.after.map(|id| id.to_string()), "limit": list.limit, "team": list.team,
        "class": list.class, "state": list.state.map(filter)})
}

pub fn operator(request: &OperatorRequest) -> Value {
    match request {
        OperatorRequest::ListJobs(query) => json!({"jobs": list(query)}),
        OperatorRequest::InspectJob { id, after, limit } => {
            json!({"job": id.to_string(), "after": after, "limit": limit})
        }
        OperatorRequest::ExplainJob { id, task } => json!({"explain": id.to_string(), "task": task}),
        OperatorRequest::JobEvents { id } => json!({"events": id.to_string()}),
        OperatorRequest::Status => json!("status"),
        OperatorRequest::Metrics => json!("metrics"),
        OperatorRequest::ListDagRuns(query) => json!({"graph": query.graph, "limit": query.limit,
            "after": query.after.as_ref().map(|run| run.to_string())}),
        OperatorRequest::InspectDagRun { run, after, limit } => {
            json!({"run": run.to_string(), "after": after, "limit": limit})
        }
    }
}

pub fn graph(asked: &GraphRouteRequest) -> Value {
    match asked {
        GraphRouteRequest::Query(request) => operator(request),
        GraphRouteRequest::Modify(DagRequest::UploadParts { run, upload }) => {
            json!({"run": run.to_string(), "parts": upload})
        }
        GraphRouteRequest::Modify(DagRequest::Commit { run, header }) => {
            json!({"run": run.to_string(), "commit": header})
        }
        GraphRouteRequest::Modify(DagRequest::Cancel { run }) => {
            json!({"run": run.to_string(), "cancel": true})
        }
        GraphRouteRequest::Modify(DagRequest::Rerun { run, rerun: redo }) => {
            json!({"run": run.to_string(), "redo": redo})
        }
    }
}

pub fn config(request: &ConfigRequest) -> Value {
    match request {
        ConfigRequest::List => json!("all"),
        ConfigRequest::Get { key: entry, min_version: version } => {
            json!({"entry": entry.to_string(), "version": version})
        }
        ConfigRequest::Set { key: entry, change } => json!({"entry": entry.to_string(), "change": change}),
    }
}

/// A request that was read, the answer that refuses it, or null where there is no such path.
pub fn read<T>(read: Option<Result<T, HttpResponse>>, write: impl Fn(&T) -> Value) -> Value {
    match read {
        None => Value::Null,
        Some(Ok(request)) => write(&request),
        Some(Err(refused)) => answer(&refused),
    }
}
