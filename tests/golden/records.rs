//! Durable records: the text of their keys and the JSON of their values.

use olivelatch::bookkeeping::bits::Bits;
use olivelatch::bookkeeping::graph_records::{GraphRecord, NodeEnd, Phase, TriesRecord, TurnRecord};
use olivelatch::bookkeeping::jobs::End;
use olivelatch::bookkeeping::records::{
    BookingRecord, EndRecord, FinishedRecord, JobRecord, Key, LeaderRecord, LogRecord, MachineRecord, Place,
    Recorded,
};
use olivelatch::ids::{Attempt, JobId};
use olivelatch::protocol::cloud::CatalogEntry;
use olivelatch::protocol::config::{EntryName, EntryRecord};
use olivelatch::protocol::graphs::{GraphPart, RunName};
use serde_json::{Value, json};

use crate::messages::submission;
use crate::support::{decode, encode};
use crate::{golden, views, wire};

fn keys() -> Vec<(&'static str, Key)> {
    let run = || RunName::parse("nightly-1").expect("a run");
    vec![
        ("leader", Key::Leader),
        ("job", Key::Job(JobId(412))),
        ("job of many digits", Key::Job(JobId(900_000_000_000_000_001))),
        ("end", Key::End(JobId(412))),
        ("fin", Key::Finished(JobId(412), 3)),
        ("machine", Key::Machine("m-1".into())),
        ("log", Key::Log("n0-31-7".into())),
        ("booking", Key::Booking("b-7".into())),
        ("kind", Key::Kind("small".into())),
        ("graphs", Key::Graphs),
        ("part", Key::Part(run(), 3)),
        ("graph", Key::Graph(run())),
        ("turn", Key::Turn(run())),
        ("tries", Key::Tries(JobId(412), 3)),
        ("config", Key::Config("team/grid".into())),
    ]
}

#[test]
fn keys_of_records() {
    let mut golden = golden("keys");
    let kept = golden.kept();
    for (name, key) in keys() {
        let text = kept.as_ref().map_or(key.text(), |kept| kept[name].as_str().expect(name).into());
        assert!(Key::parse(&text).as_ref() == Some(&key), "{text}");
        golden.case(name, key.text());
    }
    let others = [
        "other/leader",
        "olivelatch/job/412",
        "olivelatch/later/x",
        "olivelatch/fin/job-000412",
        "olivelatch/",
    ];
    assert!(others.iter().all(|text| Key::parse(text).is_none()));
    let entry = EntryName::parse("team/grid").expect("an entry");
    golden.case("entry", entry.to_string());
    golden.case("entry's team", entry.team());
    golden.check();
}

const AT: u64 = 1_790_000_000_000;

#[test]
fn values_of_records() {
    let mut golden = golden("records");
    golden.round_trip::<LeaderRecord>("leader", json!({"node": "n0", "lease": 7, "config": 1}));
    golden.round_trip::<LeaderRecord>("leader, before", json!({"node": "n0"}));
    golden.round_trip::<JobRecord>("job", json!({"at": AT, "spec": submission()}));
    let detail = json!({"team": "grid", "class": "ingest", "tasks": 12, "accepted": AT, "first": AT + 1});
    golden.round_trip::<EndRecord>("end", json!({"end": "done", "at": AT, "detail": detail}));
    golden.round_trip::<EndRecord>("end, withdrawn", json!({"end": "withdrawn", "at": AT}));
    golden.round_trip::<EndRecord>(
        "end of a node",
        json!({"end": "withdrawn", "at": AT, "node": {"run": "nightly-1", "n": "raw", "o": "failed", "a": 77, "g": 4,
            "e": [{"t": 2, "a": 76, "m": "m-1", "c": "exit 1"}]}}),
    );
    golden.round_trip::<NodeEnd>(
        "end of a node, short",
        json!({"run": "nightly-1", "n": "raw", "o": "skipped"}),
    );
    golden.round_trip::<FinishedRecord>("fin", json!({"tasks": "f10"}));
    golden.round_trip::<BookingRecord>(
        "booking",
        json!({"kind": "small", "zone": "north-a", "spot": true, "count": 3}),
    );
    golden.round_trip::<CatalogEntry>(
        "kind",
        json!({"name": "small", "vcpus": 4.0, "accelerators": 1.0, "memory_gb": 16.0, "local_gb": 50.0,
            "pull_gb_per_s": 0.25, "price": 1.5, "low_price": 0.5, "ready_s": 20.0, "halls": ["north-a"]}),
    );
    golden.round_trip::<GraphPart>("part", views::part());
    golden.round_trip::<GraphRecord>(
        "graph",
        json!({"at": AT, "graph": "nightly", "parts": 2, "nodes": 3, "most_runs": 4}),
    );
    golden.round_trip::<GraphRecord>("graph, swept", json!({"swept": AT}));
    golden.round_trip::<TurnRecord>("turn", json!({"phase": "waiting", "at": AT}));
    golden.round_trip::<TurnRecord>(
        "turn, ended",
        json!({"phase": "ended", "at": AT, "cancelled": true, "well": false, "gone": true, "redos": [[2, 1]]}),
    );
    golden.round_trip::<Vec<Phase>>("phases", json!(["waiting", "active", "ended"]));
    golden.round_trip::<TriesRecord>(
        "tries",
        json!({"tasks": {"3": {"n": 2, "last": [{"a": 76, "m": "m-1", "c": "exit 1"}]}}}),
    );
    golden.round_trip::<EntryRecord>(
        "config",
        json!({"format": 1, "limit_cpus": 4.0, "guaranteed_cpus": null, "by": "ada", "why": "a quiet week",
            "at": AT, "change": "c-1"}),
    );
    golden.check();
}

fn place(name: &str, zone: &str, spot: bool) -> Place {
    Place {
        name: name.into(),
        endpoint: "10.0.0.7:700".into(),
        kind: "small".into(),
        zone: zone.into(),
        spot,
    }
}

/// Part of the log, as the leader builds it.
fn log() -> LogRecord {
    let mut log = LogRecord::new(Attempt(1_000));
    log.machine(&place("m-1", "north-a", true));
    log.start(wire::task("job-000412/0"), Attempt(1_007));
    log.start(wire::task("job-000412/1"), Attempt(993));
    log.machine(&place("m-2", "north-b", false));
    log.returning();
    for done in ["job-000412/2", "job-000412/3", "job-000412/7", "job-000413/0"] {
        log.done(wire::task(done));
    }
    log
}

fn recorded(recorded: &Recorded) -> Value {
    let tasks: Vec<Value> =
        recorded.tasks.iter().map(|(task, attempt)| json!([task.to_string(), attempt.0])).collect();
    let place = &recorded.place;
    json!({"n": place.name, "e": place.endpoint, "kind": place.kind, "zone": place.zone, "s": place.spot,
        "r": recorded.returning, "t": tasks})
}

fn log_value(log: &LogRecord) -> Value {
    let rows: Vec<Value> =
        log.done_rows().map(|(job, first, count)| json!([job.to_string(), first, count])).collect();
    json!({"machines": log.machines().map(|one| recorded(&one)).collect::<Vec<_>>(), "done": rows,
        "starts": log.starts().count()})
}

#[test]
fn log_and_machines() {
    let mut golden = golden("log");
    let text = golden.kept().map_or(encode(&log()), |kept| kept["log"].as_str().expect("the log").into());
    let read = decode::<LogRecord>(&text);
    assert_eq!(encode(&read), text);
    golden.case("log", encode(&log()));
    golden.case("log, empty", encode(&LogRecord::new(Attempt(7))));
    golden.case("log, most bytes", log().bytes());
    golden.case("log, read", log_value(&read));
    let before = json!({"kind": "small", "zone": "north-a", "spot": true, "endpoint": "10.0.0.7:700",
        "returning": true, "tasks": {"job-000412": [[0, 77], [1, 78]]}});
    let short = json!({"kind": "small", "zone": "north-a", "spot": false, "endpoint": ""});
    for (name, value) in [("machine", before), ("machine, short", short)] {
        let machine: MachineRecord = decode(&value.to_string());
        golden.case(name, recorded(&machine.recorded("m-1")));
    }
    golden.check();
}

/// Blocks of finished tasks: four tasks a digit.
#[test]
fn blocks_of_finished_tasks() {
    let mut golden = golden("blocks");
    let kept = golden.kept();
    let mut done = Bits::new(3_000);
    for (first, count) in [(0, 4), (7, 1), (2_046, 4), (2_999, 1)] {
        done.add_row(first, count);
    }
    let mut read = Bits::new(3_000);
    for block in 0..2 {
        let name = format!("block {block}");
        let hex =
            kept.as_ref().map_or(done.block_hex(block), |kept| kept[&name].as_str().expect("hex").into());
        read.add_hex(block, &hex);
        golden.case(&name, done.block_hex(block));
    }
    assert!(read == done);
    golden.check();
}

/// What the leader writes of ends, and what it reads of them.
#[test]
fn ends_as_written() {
    let mut golden = golden("ends");
    for (word, end) in [("done", End::Done), ("withdrawn", End::Withdrawn)] {
        let record = EndRecord::new(end, AT, None);
        assert!(decode::<EndRecord>(&encode(&record)).end() == end, "{word}");
        golden.case(word, encode(&record));
    }
    let run = RunName::parse("nightly-1").expect("a run");
    for word in ["success", "failed", "upstream_failed", "skipped", "cancelled"] {
        let node = NodeEnd::new(&run, "raw", decode(&json!(word).to_string()));
        golden.case(&format!("node: {word}"), encode(&EndRecord::of_node(node, AT, None)));
    }
    golden.check();
}
