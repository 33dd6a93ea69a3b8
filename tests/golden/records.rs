//! Records in the key-value store: the encoding of their keys and the JSON of their values.

use olivelatch::bookkeeping::bit_set::BitSet;
use olivelatch::bookkeeping::dag_records::{
    DagRunRecord, NodeTerminalRecord, RetryStateRecord, RunPhase, RunPhaseRecord,
};
use olivelatch::bookkeeping::jobs::TerminalState;
use olivelatch::bookkeeping::records::{
    AssignmentLogRecord, FinishedRecord, JobRecord, LeaderRecord, LegacyMachineRecord, MachineDescriptor,
    ProvisioningRecord, RecordKey, RecordedMachine, TerminalRecord,
};
use olivelatch::ids::{Attempt, JobId};
use olivelatch::protocol::cloud::MachineTypeRecord;
use olivelatch::protocol::config::{ConfigKey, ConfigRecord};
use olivelatch::protocol::graphs::{DagRunName, GraphPart};
use serde_json::{Value, json};

use crate::messages::submission;
use crate::support::{decode, encode};
use crate::{golden, views, wire};

fn keys() -> Vec<(&'static str, RecordKey)> {
    let run = || DagRunName::parse("nightly-1").expect("a run");
    vec![
        ("leader", RecordKey::Leader),
        ("job", RecordKey::Job(JobId(412))),
        ("job of many digits", RecordKey::Job(JobId(900_000_000_000_000_001))),
        ("end", RecordKey::Terminal(JobId(412))),
        ("fin", RecordKey::Finished(JobId(412), 3)),
        ("machine", RecordKey::LegacyMachine("m-1".into())),
        ("log", RecordKey::AssignmentLog("n0-31-7".into())),
        ("booking", RecordKey::ProvisioningRequest("b-7".into())),
        ("kind", RecordKey::MachineType("small".into())),
        ("graphs", RecordKey::GraphAcceptance),
        ("part", RecordKey::GraphPart(run(), 3)),
        ("graph", RecordKey::DagRun(run())),
        ("turn", RecordKey::RunPhase(run())),
        ("tries", RecordKey::RetryState(JobId(412), 3)),
        ("config", RecordKey::ConfigEntry("team/grid".into())),
    ]
}

#[test]
fn keys_of_records() {
    let mut golden = golden("keys");
    let recorded = golden.recorded();
    for (name, key) in keys() {
        let text = recorded.as_ref().map_or(key.encode(), |cases| cases[name].as_str().expect(name).into());
        assert!(RecordKey::parse(&text).as_ref() == Some(&key), "{text}");
        golden.case(name, key.encode());
    }
    let unknown_keys = [
        "other/leader",
        "olivelatch/job/412",
        "olivelatch/later/x",
        "olivelatch/fin/job-000412",
        "olivelatch/",
    ];
    assert!(unknown_keys.iter().all(|text| RecordKey::parse(text).is_none()));
    let config_key = ConfigKey::parse("team/grid").expect("an entry");
    golden.case("entry", config_key.to_string());
    golden.case("entry's team", config_key.team());
    golden.check();
}

/// Wall-clock time of the samples, in milliseconds since the epoch.
const AT_MS: u64 = 1_790_000_000_000;

#[test]
fn values_of_records() {
    let mut golden = golden("records");
    golden.round_trip::<LeaderRecord>("leader", &json!({"node": "n0", "lease": 7, "config": 1}));
    golden.round_trip::<LeaderRecord>("leader, before", &json!({"node": "n0"}));
    golden.round_trip::<JobRecord>("job", &json!({"at": AT_MS, "spec": submission()}));
    let detail =
        json!({"team": "grid", "class": "ingest", "tasks": 12, "accepted": AT_MS, "first": AT_MS + 1});
    golden.round_trip::<TerminalRecord>("end", &json!({"end": "done", "at": AT_MS, "detail": detail}));
    golden.round_trip::<TerminalRecord>("end, withdrawn", &json!({"end": "withdrawn", "at": AT_MS}));
    golden.round_trip::<TerminalRecord>(
        "end of a node",
        &json!({"end": "withdrawn", "at": AT_MS, "node": {"run": "nightly-1", "n": "raw", "o": "failed", "a": 77, "g": 4,
            "e": [{"t": 2, "a": 76, "m": "m-1", "c": "exit 1"}]}}),
    );
    golden.round_trip::<NodeTerminalRecord>(
        "end of a node, short",
        &json!({"run": "nightly-1", "n": "raw", "o": "skipped"}),
    );
    golden.round_trip::<FinishedRecord>("fin", &json!({"tasks": "f10"}));
    golden.round_trip::<ProvisioningRecord>(
        "booking",
        &json!({"kind": "small", "zone": "north-a", "spot": true, "count": 3}),
    );
    golden.round_trip::<MachineTypeRecord>(
        "kind",
        &json!({"name": "small", "vcpus": 4.0, "accelerators": 1.0, "memory_gb": 16.0, "local_gb": 50.0,
            "pull_gb_per_s": 0.25, "price": 1.5, "low_price": 0.5, "ready_s": 20.0, "halls": ["north-a"]}),
    );
    golden.round_trip::<GraphPart>("part", &views::graph_part());
    golden.round_trip::<DagRunRecord>(
        "graph",
        &json!({"at": AT_MS, "graph": "nightly", "parts": 2, "nodes": 3, "most_runs": 4}),
    );
    golden.round_trip::<DagRunRecord>("graph, swept", &json!({"swept": AT_MS}));
    golden.round_trip::<RunPhaseRecord>("turn", &json!({"phase": "waiting", "at": AT_MS}));
    golden.round_trip::<RunPhaseRecord>(
        "turn, ended",
        &json!({"phase": "ended", "at": AT_MS, "cancelled": true, "well": false, "gone": true, "redos": [[2, 1]]}),
    );
    golden.round_trip::<Vec<RunPhase>>("phases", &json!(["waiting", "active", "ended"]));
    golden.round_trip::<RetryStateRecord>(
        "tries",
        &json!({"tasks": {"3": {"n": 2, "last": [{"a": 76, "m": "m-1", "c": "exit 1"}]}}}),
    );
    golden.round_trip::<ConfigRecord>(
        "config",
        &json!({"format": 1, "limit_cpus": 4.0, "guaranteed_cpus": null, "by": "ada", "why": "a quiet week",
            "at": AT_MS, "change": "c-1"}),
    );
    golden.check();
}

fn machine_descriptor(name: &str, zone: &str, spot: bool) -> MachineDescriptor {
    MachineDescriptor {
        name: name.into(),
        endpoint: "10.0.0.7:700".into(),
        machine_type: "small".into(),
        zone: zone.into(),
        spot,
    }
}

/// A part of the assignment log, as the leader builds it.
fn assignment_log() -> AssignmentLogRecord {
    let mut log = AssignmentLogRecord::new(Attempt(1_000));
    log.add_machine(&machine_descriptor("m-1", "north-a", true));
    log.add_task(wire::task("job-000412/0"), Attempt(1_007));
    log.add_task(wire::task("job-000412/1"), Attempt(993));
    log.add_machine(&machine_descriptor("m-2", "north-b", false));
    log.mark_returning();
    for done in ["job-000412/2", "job-000412/3", "job-000412/7", "job-000413/0"] {
        log.add_finished(wire::task(done));
    }
    log
}

fn recorded_machine_json(recorded: &RecordedMachine) -> Value {
    let tasks: Vec<Value> =
        recorded.tasks.iter().map(|(task, attempt)| json!([task.to_string(), attempt.0])).collect();
    let machine = &recorded.machine;
    json!({"n": machine.name, "e": machine.endpoint, "kind": machine.machine_type, "zone": machine.zone, "s": machine.spot,
        "r": recorded.returning, "t": tasks})
}

fn assignment_log_json(log: &AssignmentLogRecord) -> Value {
    let finished: Vec<Value> =
        log.finished_ranges().map(|(job, first, count)| json!([job.to_string(), first, count])).collect();
    json!({"machines": log.recorded_machines().map(|machine| recorded_machine_json(&machine)).collect::<Vec<_>>(), "done": finished,
        "starts": log.assigned_tasks().count()})
}

#[test]
fn log_and_machines() {
    let mut golden = golden("log");
    let text = golden
        .recorded()
        .map_or(encode(&assignment_log()), |cases| cases["log"].as_str().expect("the log").into());
    let decoded = decode::<AssignmentLogRecord>(&text);
    assert_eq!(encode(&decoded), text);
    golden.case("log", encode(&assignment_log()));
    golden.case("log, empty", encode(&AssignmentLogRecord::new(Attempt(7))));
    golden.case("log, most bytes", assignment_log().max_json_bytes());
    golden.case("log, read", assignment_log_json(&decoded));
    let whole = json!({"kind": "small", "zone": "north-a", "spot": true, "endpoint": "10.0.0.7:700",
        "returning": true, "tasks": {"job-000412": [[0, 77], [1, 78]]}});
    let minimal = json!({"kind": "small", "zone": "north-a", "spot": false, "endpoint": ""});
    for (name, value) in [("machine", whole), ("machine, short", minimal)] {
        let machine: LegacyMachineRecord = decode(&value.to_string());
        golden.case(name, recorded_machine_json(&machine.to_recorded("m-1")));
    }
    golden.check();
}

/// Blocks of finished tasks are stored in hexadecimal, four tasks per digit.
#[test]
fn blocks_of_finished_tasks() {
    let mut golden = golden("blocks");
    let recorded = golden.recorded();
    let mut finished = BitSet::new(3_000);
    for (first, count) in [(0, 4), (7, 1), (2_046, 4), (2_999, 1)] {
        finished.insert_range(first, count);
    }
    let mut decoded = BitSet::new(3_000);
    for block in 0..2 {
        let name = format!("block {block}");
        let hex = recorded
            .as_ref()
            .map_or(finished.encode_block(block), |cases| cases[&name].as_str().expect("hex").into());
        decoded.insert_encoded_block(block, &hex);
        golden.case(&name, finished.encode_block(block));
    }
    assert!(decoded == finished);
    golden.check();
}

/// Terminal records as the leader writes them, and as it reads them back.
#[test]
fn terminal_records() {
    let mut golden = golden("ends");
    for (name, terminal_state) in [("done", TerminalState::Done), ("withdrawn", TerminalState::Cancelled)] {
        let record = TerminalRecord::new(terminal_state, AT_MS, None);
        assert!(decode::<TerminalRecord>(&encode(&record)).terminal_state() == terminal_state, "{name}");
        golden.case(name, encode(&record));
    }
    let run = DagRunName::parse("nightly-1").expect("a run");
    for outcome in ["success", "failed", "upstream_failed", "skipped", "cancelled"] {
        let node = NodeTerminalRecord::new(&run, "raw", decode(&json!(outcome).to_string()));
        golden.case(&format!("node: {outcome}"), encode(&TerminalRecord::for_node(node, AT_MS, None)));
    }
    golden.check();
}
