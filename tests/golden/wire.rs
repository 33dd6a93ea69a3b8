//! Parsed messages rendered as JSON with the wire's field names, so that golden files can hold them.

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

fn utf8(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).expect("UTF-8")
}

pub fn response(response: &HttpResponse) -> Value {
    json!({"status": response.status, "retry-after": response.retry_after_s, "body": utf8(&response.body),
        "plain": response.is_text})
}

pub fn request(request: &HttpRequest) -> Value {
    json!({"call": format!("{} {}", request.method, request.path), "body": utf8(&request.body)})
}

pub fn task(text: &str) -> TaskId {
    TaskId::parse(text).expect("a task")
}

pub fn heartbeat(heartbeat: &Heartbeat) -> Value {
    json!({"box": heartbeat.machine, "endpoint": heartbeat.endpoint, "boxkind": heartbeat.machine_type, "hall": heartbeat.zone,
        "loaners": heartbeat.spot, "shift": heartbeat.epoch.0, "tick": heartbeat.sequence, "baton": heartbeat.token.0,
        "warning_ms": heartbeat.reclaim_notice_ms, "pieces": heartbeat.tasks.iter().map(task_status).collect::<Vec<_>>()})
}

fn task_status(task: &TaskStatus) -> Value {
    let (status, cause, checkpointed) = match task.state {
        TaskPhase::Fetching => ("fetching", None, None),
        TaskPhase::WaitingForPeers => ("gathering", None, None),
        TaskPhase::Running => ("running", None, None),
        TaskPhase::Checkpointing => ("flushing", None, None),
        TaskPhase::Exited(cause) => ("ended", Some(cause_name(cause)), checkpointed(cause)),
    };
    json!({"piece": task.task.to_string(), "try": task.attempt.0, "status": status, "cause": cause, "kept": checkpointed,
        "made": task.published_attempt.map(|attempt| attempt.0), "gave": task.output_list_len})
}

fn cause_name(cause: ExitCause) -> &'static str {
    match cause {
        ExitCause::Done => "done",
        ExitCause::Stopped { .. } => "halted",
        ExitCause::PeersLost => "peers",
        ExitCause::GangIncomplete => "incomplete",
        ExitCause::Error => "error",
        ExitCause::InsufficientCapacity => "full",
        ExitCause::Busy => "busy",
        ExitCause::UnknownJob => "unknown",
    }
}

fn checkpointed(cause: ExitCause) -> Option<bool> {
    if let ExitCause::Stopped { checkpointed } = cause { Some(checkpointed) } else { None }
}

pub fn submission(parsed: Result<UserRequest, HttpResponse>) -> Value {
    match parsed {
        Ok(UserRequest::Submit { id, manifest: Ok(manifest) }) => {
            json!({"uid": id.to_string(), "job": *manifest})
        }
        Ok(UserRequest::Submit { id, manifest: Err(error) }) => {
            json!({"uid": id.to_string(), "error": error})
        }
        Ok(other) => panic!("the request about {} is not a submission", other.id()),
        Err(rejection) => response(&rejection),
    }
}

pub fn cloud_reply(reply: &CloudReply) -> Value {
    match reply {
        CloudReply::Catalog(machine_types) => json!({"boxkinds": machine_types}),
        CloudReply::ScaledOut(machines) => json!({"boxes": machines}),
        CloudReply::NoCapacity => json!("no capacity"),
        CloudReply::ScaledIn => json!("released"),
        CloudReply::MachineList { machines, has_more } => {
            json!({"boxes": machines.iter().map(cloud_machine).collect::<Vec<_>>(), "has_next": has_more})
        }
        CloudReply::Rejected { status } => json!({"status": status}),
        CloudReply::Unknown => json!("not known"),
    }
}

fn cloud_machine(machine: &CloudMachine) -> Value {
    let status = match machine.state {
        CloudMachineState::Booting => "booting",
        CloudMachineState::Running => "running",
        CloudMachineState::Failed => "failed",
    };
    json!({"uid": machine.name, "endpoint": machine.endpoint, "boxkind": machine.machine_type, "hall": machine.zone,
        "loaners": machine.spot, "status": status, "held_ms": machine.age_ms})
}

pub fn kv_reply(reply: &KvReply) -> Value {
    let all = |entries: &[KvEntry]| entries.iter().map(kv_entry).collect::<Vec<_>>();
    match reply {
        KvReply::ListPage { entries, has_more, revision } => {
            json!({"pairs": all(entries), "has_next": has_more, "ledger_rev": revision.0})
        }
        KvReply::ChangedEntries { entries, revision } => {
            json!({"events": all(entries), "ledger_rev": revision.0})
        }
        KvReply::Committed { revision } => json!({"ledger_rev": revision.0}),
        KvReply::PreconditionFailed { failed_keys } => json!({"failed": failed_keys}),
        KvReply::LeaseGranted { lease } => json!({"permit": lease.0}),
        KvReply::LeaseUpdated => json!("fine"),
        KvReply::LeaseNotFound => json!("no such lease"),
        KvReply::Compacted => json!("too old"),
        KvReply::Rejected { status } => json!({"status": status}),
        KvReply::Unknown => json!("not known"),
    }
}

fn kv_entry(entry: &KvEntry) -> Value {
    json!({"key": entry.key, "value": entry.value, "stamp": entry.revision.0})
}

fn state_filter(filter: StateFilter) -> &'static str {
    match filter {
        StateFilter::Active => "live",
        StateFilter::Terminal => "ended",
        StateFilter::Exactly(state) => state.as_str(),
    }
}

fn list_query(query: &ListQuery) -> Value {
    json!({"after": query.after.map(|id| id.to_string()), "limit": query.limit, "team": query.team,
        "class": query.class, "state": query.state.map(state_filter)})
}

pub fn operator_request(request: &OperatorRequest) -> Value {
    match request {
        OperatorRequest::ListJobs(query) => json!({"jobs": list_query(query)}),
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

pub fn graph_request(request: &GraphRouteRequest) -> Value {
    match request {
        GraphRouteRequest::Query(request) => operator_request(request),
        GraphRouteRequest::Modify(DagRequest::UploadParts { run, upload }) => {
            json!({"run": run.to_string(), "parts": upload})
        }
        GraphRouteRequest::Modify(DagRequest::Commit { run, header }) => {
            json!({"run": run.to_string(), "commit": header})
        }
        GraphRouteRequest::Modify(DagRequest::Cancel { run }) => {
            json!({"run": run.to_string(), "cancel": true})
        }
        GraphRouteRequest::Modify(DagRequest::Rerun { run, rerun }) => {
            json!({"run": run.to_string(), "redo": rerun})
        }
    }
}

pub fn config_request(request: &ConfigRequest) -> Value {
    match request {
        ConfigRequest::List => json!("all"),
        ConfigRequest::Get { key, min_version } => {
            json!({"entry": key.to_string(), "version": min_version})
        }
        ConfigRequest::Set { key, change } => json!({"entry": key.to_string(), "change": change}),
    }
}

/// Renders a parsed request, or the response that rejects it; null if no route matches the path.
pub fn parsed_or_rejected<T>(parsed: Option<Result<T, HttpResponse>>, render: impl Fn(&T) -> Value) -> Value {
    match parsed {
        None => Value::Null,
        Some(Ok(request)) => render(&request),
        Some(Err(rejection)) => response(&rejection),
    }
}
