//! Messages exchanged with users, workers, the cloud, the key-value store and operators, and between controllers.

use olivelatch::ids::{Attempt, FencingToken, JobId, LeaseId, Revision, WorkerEpoch};
use olivelatch::protocol::cloud::CloudRequest;
use olivelatch::protocol::config::parse_config_request;
use olivelatch::protocol::graphs::parse_graph_request;
use olivelatch::protocol::kv::{KvMutation, KvRequest, Precondition};
use olivelatch::protocol::operators::{JobPhase, parse_operator_request};
use olivelatch::protocol::peer::{self, LeaderQuery, PeerMessage};
use olivelatch::protocol::users::{
    JobKind, JobManifest, JobStatus, PriorityClass, parse_submission, status_response,
};
use olivelatch::protocol::workers::{
    WorkerCommand, commands_request, commands_response, parse_heartbeat, redirect_response,
};
use olivelatch::protocol::{HttpOutcome, HttpResponse};
use serde_json::{Value, json};

use crate::{golden, wire};

/// A submission with every field set.
pub fn submission() -> Value {
    json!({"uid": "job-000412", "jobclass": "ingest", "owner": "grid", "shape": "array", "urgency": "high",
        "pieces": 12, "vcpus": 0.5, "accelerators": 1.0, "memory_gb": 1.25, "bundle": "readings:7", "size_gb": 2.5,
        "boxkinds": ["small", "large"], "hall": "north-a", "together": true, "scatter": false, "loaners": true,
        "guess_s": 30.0, "snapshot_s": 5.0, "flush_s": 1.5, "due_s": 600.0})
}

fn with_field(mut value: Value, name: &str, other: Value) -> Value {
    value[name] = other;
    value
}

fn without_fields(mut value: Value, names: &[&str]) -> Value {
    for name in names {
        value.as_object_mut().expect("an object").remove(*name);
    }
    value
}

#[test]
fn users() {
    let mut golden = golden("users");
    golden.round_trip::<JobManifest>("job", &submission());
    golden.round_trip::<Vec<JobKind>>("shapes", &json!(["array", "gang", "daemon"]));
    golden.round_trip::<Vec<PriorityClass>>("urgencies", &json!(["critical", "high", "normal", "low"]));
    let bodies = [
        ("whole", submission()),
        ("short", without_fields(submission(), &["boxkinds", "hall", "due_s"])),
        ("more than known", with_field(submission(), "later", json!(1))),
        ("no pieces", with_field(submission(), "pieces", json!(0))),
        ("no owner", without_fields(submission(), &["owner"])),
        ("another shape", with_field(submission(), "shape", json!("heap"))),
        ("too much", with_field(submission(), "vcpus", json!(1e12))),
        ("no name", without_fields(submission(), &["uid"])),
        ("a list", json!([])),
    ];
    for (name, body) in bodies {
        golden.case(
            &format!("submission: {name}"),
            wire::submission(parse_submission(body.to_string().as_bytes())),
        );
    }
    golden.case("submission: no JSON", wire::submission(parse_submission(b"{")));
    let states = [
        ("pending", JobStatus::Pending),
        ("running", JobStatus::Running),
        ("done", JobStatus::Done),
        ("withdrawn", JobStatus::Cancelled),
    ];
    for (word, state) in states {
        golden.case(word, wire::response(&status_response(200, JobId(412), state, None)));
        golden.case(
            &format!("{word}, counted"),
            wire::response(&status_response(201, JobId(1_234_567), state, Some((3, 4)))),
        );
    }
    golden.case("refused", wire::response(&HttpResponse::error(404, "no such job")));
    golden.case("later", wire::response(&HttpResponse::retry_later("no leader", 2)));
    golden.check();
}

/// A heartbeat with every field set and with tasks in every state.
fn heartbeat() -> Value {
    let task_status = |task: u32, status: &str| json!({"piece": format!("job-000412/{task}"), "try": 70 + task, "status": status});
    let exited = |task: u32, cause: &str| with_field(task_status(task, "ended"), "cause", json!(cause));
    json!({"box": "m-17", "endpoint": "10.0.0.7:700", "boxkind": "small", "hall": "north-a", "loaners": true,
        "shift": 4, "tick": 99, "baton": 31, "warning_s": 12.5, "pieces": [
            task_status(0, "fetching"), task_status(1, "gathering"), task_status(2, "running"), task_status(3, "flushing"),
            with_field(with_field(exited(4, "done"), "made", json!(60)), "gave", json!(7)),
            with_field(exited(5, "halted"), "kept", json!(true)), with_field(exited(6, "halted"), "kept", json!(false)),
            exited(7, "halted"), exited(8, "peers"), exited(9, "incomplete"), exited(10, "error"), exited(11, "full"),
            exited(12, "busy"), exited(13, "unknown"), exited(14, "something new"), task_status(15, "ended")]})
}

#[test]
fn workers() {
    let mut golden = golden("workers");
    let minimal = without_fields(heartbeat(), &["endpoint", "baton", "warning_s", "pieces"]);
    let unknown_state =
        with_field(heartbeat(), "pieces", json!([{"piece": "job-000412/0", "try": 1, "status": "asleep"}]));
    for (name, body) in
        [("whole", heartbeat()), ("short", minimal), ("a state that is not known", unknown_state)]
    {
        let parsed = parse_heartbeat(body.to_string().as_bytes());
        golden.case(&format!("report: {name}"), parsed.as_ref().map_or(Value::Null, wire::heartbeat));
    }
    let (task, attempt) = (wire::task("job-000412/3"), Attempt(77));
    let commands = [
        WorkerCommand::Run { task, attempt },
        WorkerCommand::Stop { task, attempt, grace_ms: 1_500 },
        WorkerCommand::Stop { task, attempt, grace_ms: 0 },
        WorkerCommand::Forget { task, attempt },
    ];
    golden.case("orders", wire::response(&commands_response(FencingToken(31), &commands)));
    golden.case("no orders", wire::response(&commands_response(FencingToken(31), &[])));
    golden.case(
        "orders, called",
        wire::request(&commands_request(FencingToken(31), WorkerEpoch(4), &commands)),
    );
    golden.case("elsewhere", wire::response(&redirect_response(Some("n2"))));
    golden.case("elsewhere, not known where", wire::response(&redirect_response(None)));
    golden.check();
}

fn ok(body: Value) -> HttpOutcome {
    response(200, &body.to_string())
}

fn response(status: u16, body: &str) -> HttpOutcome {
    HttpOutcome::Response { status, body: body.as_bytes().to_vec() }
}

/// Failures that any outbound request may result in, by the names of their cases.
fn failures() -> Vec<(&'static str, HttpOutcome)> {
    vec![
        ("not sent", HttpOutcome::NotSent),
        ("no response", HttpOutcome::Unknown),
        ("too long", HttpOutcome::TooLarge),
        ("malformed", response(200, "{")),
        ("400", response(400, "{}")),
        ("no such lease", response(400, r#"{"error":"no such lease"}"#)),
        ("404", response(404, "{}")),
        ("409", response(409, r#"{"failed":["olivelatch/leader"],"ledger_rev":9}"#)),
        ("409, malformed", response(409, "")),
        ("410", response(410, "{}")),
        ("429", response(429, "{}")),
        ("503", response(503, "{}")),
        ("no capacity", response(503, r#"{"error":"no capacity"}"#)),
    ]
}

fn cloud_requests() -> Vec<(&'static str, CloudRequest, Value)> {
    let scale_out = |spot, count| CloudRequest::ScaleOut {
        request_id: "b-7".into(),
        machine_type: "small".into(),
        zone: "north-a".into(),
        spot,
        count,
    };
    let machine_type = json!({"name": "small", "vcpus": 4.0, "accelerators": 1.0, "memory_gb": 16.0, "local_gb": 50.0,
        "pull_gb_per_s": 0.25, "price": 1.5, "low_price": 0.5, "ready_s": 20.0, "halls": ["north-a"]});
    let minimal = json!({"name": "plain", "vcpus": 4.0, "memory_gb": 16.0});
    let listed = |uid: &str, status: &str| {
        json!({"uid": uid, "endpoint": "10.0.0.7:700", "boxkind": "small", "hall": "north-a", "loaners": false,
            "status": status, "held_s": 1.25})
    };
    let machines = json!([
        listed("m-1", "booting"),
        listed("m-2", "running"),
        listed("m-3", "failed"),
        listed("m-4", "something new"),
        without_fields(listed("m-5", "booting"), &["endpoint", "held_s"])
    ]);
    let scale_in = CloudRequest::ScaleIn { machines: vec!["m-1".into(), "m-2".into()] };
    vec![
        ("catalog", CloudRequest::Catalog, json!({"boxkinds": [machine_type, minimal]})),
        ("rent", scale_out(true, 3), json!({"boxes": ["m-1", "m-2"]})),
        ("rent many", scale_out(false, 1_000), json!({"boxes": []})),
        ("release", scale_in, json!({})),
        ("list", CloudRequest::ListMachines { after: None }, json!({"boxes": machines, "has_next": true})),
        ("list on", CloudRequest::ListMachines { after: Some("m-2".into()) }, json!({"boxes": []})),
    ]
}

#[test]
fn cloud() {
    let mut golden = golden("cloud");
    for (name, request, reply) in cloud_requests() {
        golden.case(name, wire::request(&request.to_http_request()));
        golden.case(&format!("{name}: reply"), wire::cloud_reply(&request.parse_reply(&ok(reply))));
        for (failure, outcome) in failures() {
            golden.case(&format!("{name}: {failure}"), wire::cloud_reply(&request.parse_reply(&outcome)));
        }
    }
    golden.check();
}

/// A stored value whose whitespace must be preserved.
const SPACED: &str = r#"{"node": "n0",  "lease":7}"#;

fn transaction() -> KvRequest {
    let precondition = |key: &str, revision| Precondition { key: key.into(), revision: Revision(revision) };
    let put = |key: &str, lease| KvMutation::Put { key: key.into(), value: SPACED.into(), lease };
    KvRequest::Transaction {
        preconditions: vec![precondition("olivelatch/leader", 0), precondition("olivelatch/graphs", 12)],
        mutations: vec![
            put("olivelatch/leader", Some(LeaseId(7))),
            put("olivelatch/kind/small", None),
            KvMutation::Delete { key: "olivelatch/log/n0-1".into() },
        ],
    }
}

/// Requests and the bodies of their replies. The bodies are text, because stored values are passed through unparsed.
fn kv_requests() -> Vec<(&'static str, KvRequest, String)> {
    let prefix = || String::from("olivelatch/");
    let page = format!(
        r#"{{"pairs":[{{"key":"olivelatch/leader","value":{SPACED},"stamp":8}}],"has_next":true,"ledger_rev":9}}"#
    );
    let changes = format!(
        r#"{{"ledger_rev":9,"events":[{{"write":"olivelatch/leader","value":{SPACED},"stamp":8}},{{"drop":"olivelatch/log/n0-1","stamp":9}}]}}"#
    );
    let after = Some("olivelatch/job/job-000412".into());
    vec![
        ("page", KvRequest::ListPage { prefix: prefix(), after: None, limit: 500 }, page),
        (
            "page on",
            KvRequest::ListPage { prefix: prefix(), after, limit: 2 },
            r#"{"pairs":[],"ledger_rev":9}"#.into(),
        ),
        ("watch", KvRequest::PollChanges { prefix: prefix(), after: Revision(7) }, changes),
        ("transaction", transaction(), r#"{"ledger_rev":10}"#.into()),
        (
            "transaction of nothing",
            KvRequest::Transaction { preconditions: Vec::new(), mutations: Vec::new() },
            r#"{"ledger_rev":10}"#.into(),
        ),
        ("grant", KvRequest::GrantLease { ttl_ms: 4_000 }, r#"{"permit":7}"#.into()),
        ("renew", KvRequest::RenewLease { lease: LeaseId(7) }, "{}".into()),
        ("revoke", KvRequest::RevokeLease { lease: LeaseId(7) }, "{}".into()),
    ]
}

#[test]
fn kv_store() {
    let mut golden = golden("state");
    for (name, request, reply) in kv_requests() {
        golden.case(name, wire::request(&request.to_http_request()));
        golden.case(&format!("{name}: reply"), wire::kv_reply(&request.parse_reply(&response(200, &reply))));
        for (failure, outcome) in failures() {
            golden.case(&format!("{name}: {failure}"), wire::kv_reply(&request.parse_reply(&outcome)));
        }
    }
    golden.check();
}

#[test]
fn operators() {
    let mut golden = golden("operators");
    let paths = [
        "status",
        "jobs",
        "jobs?after=job-000412&limit=7&team=grid&class=ingest&state=live",
        "jobs?state=ended",
        "jobs?state=pending",
        "jobs?state=running",
        "jobs?state=done",
        "jobs?state=withdrawn",
        "jobs?state=lost",
        "jobs?limit=501",
        "jobs?after=412",
        "jobs?colour=red",
        "jobs?limit",
        "jobs/job-000412",
        "jobs/job-000412?after=7&limit=3",
        "jobs/job-000412?task=7",
        "jobs/412",
        "jobs/job-000412/explain",
        "jobs/job-000412/explain?task=3",
        "jobs/job-000412/explain?task=x",
        "jobs/job-000412/events",
        "other",
    ];
    for path in paths {
        let (bare, query) = path.split_once('?').unwrap_or((path, ""));
        golden.case(
            path,
            wire::parsed_or_rejected(parse_operator_request(bare, query), wire::operator_request),
        );
    }
    crate::views::add_operator_cases(&mut golden);
    golden.check();
}

#[test]
fn config() {
    let mut golden = golden("config");
    let change = json!({"value": {"limit_cpus": 4.0, "guaranteed_cpus": null}, "expected": 7, "by": "ada",
        "why": "a quiet week", "change": "c-1"});
    let requests = [
        ("GET", "config", json!({})),
        ("PUT", "config", json!({})),
        ("GET", "config/team/grid", json!({})),
        ("GET", "config/team/grid?version=12", json!({})),
        ("GET", "config/team/grid?version=x", json!({})),
        ("GET", "config/team/grid?since=1", json!({})),
        ("PUT", "config/team/grid", change.clone()),
        ("PUT", "config/team/whole", without_fields(change.clone(), &["expected", "why"])),
        ("PUT", "config/team/nobody", with_field(change.clone(), "by", json!(""))),
        ("PUT", "config/team/unknown", with_field(change, "later", json!(1))),
        ("DELETE", "config/team/grid", json!({})),
        ("GET", "config/pool/billing", json!({})),
        ("GET", "config/team/", json!({})),
        ("GET", "other", json!({})),
    ];
    for (method, path, body) in requests {
        let (bare, query) = path.split_once('?').unwrap_or((path, ""));
        let parsed = parse_config_request(method, bare, query, body.to_string().as_bytes());
        golden.case(&format!("{method} {path}"), wire::parsed_or_rejected(parsed, wire::config_request));
    }
    crate::views::add_config_cases(&mut golden);
    golden.check();
}

#[test]
fn graphs() {
    let mut golden = golden("graphs");
    let header = json!({"graph": "nightly", "parts": 2, "nodes": 3, "most_runs": 4});
    let requests = [
        ("GET", "graphs", json!({})),
        ("GET", "graphs?graph=nightly&after=nightly-1&limit=5", json!({})),
        ("GET", "graphs?state=live", json!({})),
        ("GET", "graphs/nightly-1", json!({})),
        ("GET", "graphs/nightly-1?after=9&limit=5", json!({})),
        ("GET", "graphs/nightly-1?after=x", json!({})),
        ("GET", "graphs/ni ghtly", json!({})),
        ("POST", "graphs/nightly-1/parts", json!({"first": 1, "parts": [crate::views::graph_part(), {}]})),
        ("POST", "graphs/nightly-2/parts", json!({"first": 1, "parts": [{"later": 1}]})),
        ("POST", "graphs/nightly-1", header.clone()),
        ("POST", "graphs/nightly-2", without_fields(header.clone(), &["most_runs"])),
        ("POST", "graphs/nightly-3", with_field(header, "nodes", json!(0))),
        ("POST", "graphs/nightly-1/cancel", json!({})),
        ("POST", "graphs/nightly-1/redo", json!({"from": 2, "parts": 1})),
        ("PUT", "graphs/nightly-1", json!({})),
        ("GET", "graphs/nightly-1/other", json!({})),
    ];
    for (method, path, body) in requests {
        let (bare, query) = path.split_once('?').unwrap_or((path, ""));
        let parsed = parse_graph_request(method, bare, query, body.to_string().as_bytes());
        golden.case(&format!("{method} {path}"), wire::parsed_or_rejected(parsed, wire::graph_request));
    }
    crate::views::add_graph_cases(&mut golden);
    golden.check();
}

fn peer_messages() -> Vec<(&'static str, PeerMessage)> {
    let query = |query_id, query| PeerMessage::Query { query_id, query };
    let query_response = |retry_after_s| PeerMessage::QueryResponse {
        query_id: 7,
        status: 503,
        retry_after_s,
        body: b"{\"a\":1}".to_vec(),
    };
    let health_status = |kv_reachable| PeerMessage::HealthStatus {
        kv_reachable,
        misdirected_workers: 3,
        misdirected_workers_elsewhere: 4,
    };
    vec![
        ("hello", PeerMessage::Hello { controller: "n0".into() }),
        ("hello, long", PeerMessage::Hello { controller: "a-node-of-a-long-name".into() }),
        ("notify", PeerMessage::RevisionNotice { revision: 0x0102_0304_0506 }),
        ("beat", health_status(true)),
        ("beat, blind", health_status(false)),
        ("yield", PeerMessage::TransferLeadership),
        ("inspect", query(1, LeaderQuery::InspectJob { job: 412, after: None, limit: 100 })),
        ("inspect on", query(2, LeaderQuery::InspectJob { job: 412, after: Some(9), limit: 100 })),
        ("explain", query(3, LeaderQuery::ExplainJob { job: 412, task: None })),
        ("explain a task", query(4, LeaderQuery::ExplainJob { job: 412, task: Some(3) })),
        ("events", query(5, LeaderQuery::JobEvents { job: 412 })),
        ("told", query_response(None)),
        ("told, later", query_response(Some(2))),
        ("read", PeerMessage::ReadWatermark { revision: 77 }),
    ]
}

#[test]
fn job_phases_serialize_as_the_word_of_as_str() {
    for state in [JobPhase::Pending, JobPhase::Running, JobPhase::Done, JobPhase::Cancelled] {
        assert_eq!(json!(state), json!(state.as_str()));
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let pairs = hex.as_bytes().chunks(2);
    let pair = |pair| u8::from_str_radix(std::str::from_utf8(pair).expect("text"), 16).expect("hex");
    pairs.map(pair).collect()
}

/// The bytes of frames must not change, because controllers of different versions exchange them.
#[test]
fn peers() {
    let mut golden = golden("mesh");
    let recorded = golden.recorded();
    for (name, message) in peer_messages() {
        let frame = recorded
            .as_ref()
            .map_or(peer::encode(&message), |cases| bytes(cases[name].as_str().expect(name)));
        let decoded = peer::decode(&frame[4..]);
        assert!(decoded.as_ref() == Some(&message), "{name}");
        assert_eq!(hex(&peer::encode(&decoded.expect("a message"))), hex(&frame), "{name}");
        golden.case(name, hex(&peer::encode(&message)));
    }
    golden.check();
}
