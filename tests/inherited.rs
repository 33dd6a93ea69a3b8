//! A state file written by the program as it was when the file was checked in (`tests/golden/inherited.pages`), in the middle
//! of work: jobs of every shape, a graph's run, an entry of the configuration. Controllers that start from it know all of
//! it, leave running tasks where they are, and bring the jobs to their ends. `GOLDEN_WRITE=1` writes the file.

mod simulation;

use std::collections::BTreeSet;
use std::path::PathBuf;

use olivelatch::bookkeeping::records::{AssignmentLogRecord, RecordKey};
use serde_json::{Value, json};
use simulation::SimulatedCluster;

/// The region: the same when the file is written and when it is read.
const REGION: [&str; 6] = [
    "settings state write_rps=60",
    "graphs pool:billing=2",
    "team core max=24",
    "team works max=24",
    "team field max=8",
    "kind small cpus=4 boot=3 zones=a,b count=6",
];

/// Jobs that are under way when the file is written; without `submit` or `known`.
const JOBS: [&str; 6] = [
    "1 tasks=500 run=4",
    "2 gang tasks=3 run=40 team=works",
    "3 service tasks=2 cpus=0.5 team=works",
    "4 tasks=4 run=20 team=field urgency=high",
    "5 tasks=2 run=1 team=works",
    "9 tasks=3 run=5 team=works",
];
/// The job that machines of an earlier version have; its record is written from outside.
const EARLIER: usize = 5;

/// The run of a graph: the fan-out is under way.
const RUN: [&str; 4] = [
    "node r first 100 run=1 team=works",
    "fan r f 110 3 after=first run=20 pool=billing team=works",
    "node r map 120 after=first run=1 tries=2 team=works",
    "node r last 130 after=f*,map rule=all_success run=1 team=works",
];

fn play(cluster: &mut SimulatedCluster, line: &str) {
    let words: Vec<&str> = line.split_whitespace().collect();
    cluster.run_action(&words).unwrap_or_else(|problem| panic!("{line}: {problem}"));
}

fn golden(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

fn region() -> SimulatedCluster {
    let mut cluster = SimulatedCluster::new();
    REGION.iter().for_each(|line| play(&mut cluster, line));
    play(&mut cluster, "config");
    cluster
}

/// A job as a version before the log left it: accepted, with two tasks on a machine by that machine's own record.
fn earlier_records(cluster: &mut SimulatedCluster) {
    let spec = json!({"uid": "job-000009", "jobclass": "work", "owner": "works", "shape": "array",
        "urgency": "normal", "pieces": 3, "vcpus": 1.0, "accelerators": 0.0, "memory_gb": 1.0, "bundle": "img-1",
        "size_gb": 0.1, "boxkinds": null, "hall": null, "together": false, "scatter": false, "loaners": false,
        "guess_s": 5.0, "snapshot_s": 0.0, "flush_s": 1.0, "due_s": null});
    play(cluster, "machine small b");
    let name = cluster.machine_names().pop().expect("a machine");
    let number: u32 = name.trim_start_matches("host-").parse().expect("a number");
    cluster.kv_store.put("olivelatch/job/job-000009", json!({"at": 1_700_000_100_000_u64, "spec": spec}));
    let record = json!({"kind": "small", "zone": "b", "spot": false,
        "endpoint": format!("10.9.0.{}:9000", number + 1), "tasks": {"job-000009": [[0, 7], [1, 8]]}});
    cluster.kv_store.put(&format!("olivelatch/machine/{name}"), record);
    cluster.kv_store.put(
        "olivelatch/booking/b-earlier",
        json!({"kind": "small", "zone": "a", "spot": false, "count": 1}),
    );
}

/// Plays a region into the middle of its work and writes its file.
fn write() {
    let mut cluster = region();
    cluster.durable();
    play(&mut cluster, "nodes a b c");
    play(&mut cluster, "until 10 leader = any");
    play(&mut cluster, &format!("submit {}", JOBS[0]));
    // Blocks of finished tasks are written once there are many.
    play(&mut cluster, "until 90 keys olivelatch/fin/ >= 1");
    JOBS[1..EARLIER].iter().for_each(|job| play(&mut cluster, &format!("submit {job}")));
    RUN.iter().for_each(|line| play(&mut cluster, line));
    for line in [
        "commit r nightly bytes=900",
        "set lower field limit=3",
        "until 20 config in-force lower",
        "until 60 done 5",
        "until 60 node r first success",
        "until 60 running 2 = 3",
        "until 60 running 1 >= 4",
        "until 60 running 3 = 2",
        "until 60 running 110 = 1",
    ] {
        play(&mut cluster, line);
    }
    let mut tasks = cluster.attempts();
    earlier_records(&mut cluster);
    let name = cluster.machine_names().pop().expect("a machine");
    tasks.extend([(name.clone(), "job-000009/0".into(), 7), (name, "job-000009/1".into(), 8)]);
    let path = scratch("written");
    cluster.write_file(&path);
    let whole = std::fs::read(&path).expect("the state file");
    std::fs::remove_file(path).expect("the file goes");
    std::fs::write(golden("inherited.pages"), pack(&whole)).expect("its pages");
    let text =
        serde_json::to_string_pretty(&json!({"running": tasks, "keys": sorts(&cluster)})).expect("JSON");
    std::fs::write(golden("inherited.json"), text + "\n").expect("the file's contents");
}

/// Keys of records by their texts.
fn sorts(cluster: &SimulatedCluster) -> Vec<String> {
    cluster.all_records().into_iter().map(|(key, _)| key).collect()
}

/// A file of this test alone.
fn scratch(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("olivelatch-inherited-{name}-{}", std::process::id()))
}

const PAGE: usize = 4096;
const ALIKE: usize = 1 << 63;

/// A file without the pages that are one byte again and again, which are most of it: how long it is, then number and
/// bytes of each other page, and for a page of one byte that is not 0 its number, of which the highest bit is set, and
/// the byte.
fn pack(whole: &[u8]) -> Vec<u8> {
    let mut packed = (whole.len() as u64).to_le_bytes().to_vec();
    for (page, at) in whole.chunks(PAGE).zip(0_u64..) {
        if page.iter().all(|byte| *byte == page[0]) {
            if page[0] != 0 {
                packed.extend((at | ALIKE as u64).to_le_bytes());
                packed.push(page[0]);
            }
            continue;
        }
        packed.extend(at.to_le_bytes());
        packed.extend(page);
        packed.resize(packed.len() + PAGE - page.len(), 0);
    }
    packed
}

fn number(bytes: &[u8]) -> usize {
    u64::from_le_bytes(bytes.try_into().expect("8 bytes")) as usize
}

/// The file as it was.
fn unpack(packed: &[u8]) -> Vec<u8> {
    let (length, mut rest) = packed.split_at(8);
    let mut whole = vec![0; number(length).next_multiple_of(PAGE)];
    while !rest.is_empty() {
        let (at, bytes) = rest.split_at(8);
        let (at, alike) = (number(at) & !ALIKE, number(at) & ALIKE != 0);
        let page = &mut whole[at * PAGE..(at + 1) * PAGE];
        rest = if alike {
            page.fill(bytes[0]);
            &bytes[1..]
        } else {
            page.copy_from_slice(&bytes[..PAGE]);
            &bytes[PAGE..]
        };
    }
    whole.truncate(number(length));
    whole
}

/// A copy to open: opening a file writes to it.
fn copy() -> PathBuf {
    let packed = std::fs::read(golden("inherited.pages")).expect("the pages of the state file");
    let whole = unpack(&packed);
    assert_eq!(pack(&whole), packed);
    let path = scratch("read");
    std::fs::write(&path, whole).expect("a copy of the state file");
    path
}

/// What was running, by the list beside the file.
fn running(kept: &Value) -> Vec<(String, String, u64)> {
    serde_json::from_value(kept["running"].clone()).expect("machines, tasks and attempts")
}

/// The region goes on from the file, with the machines as they were.
fn resumed(kept: &Value) -> SimulatedCluster {
    let mut cluster = region();
    JOBS.iter().for_each(|job| play(&mut cluster, &format!("known {job}")));
    RUN.iter().for_each(|line| play(&mut cluster, line));
    let path = copy();
    cluster.read_file(&path);
    std::fs::remove_file(path).expect("the copy goes");
    assert_eq!(json!(sorts(&cluster)), kept["keys"], "the file has the records that were written");
    cluster
}

/// Every sort of record is there, and the log speaks of the tasks that run.
fn check_records(cluster: &SimulatedCluster, kept: &Value) {
    let records = cluster.all_records();
    for sort in ["job", "end", "fin", "machine", "log", "booking", "kind", "part", "graph", "turn", "config"]
    {
        let prefix = format!("olivelatch/{sort}/");
        assert!(records.iter().any(|(key, _)| key.starts_with(&prefix)), "no {sort} in the file");
    }
    let mut logged = BTreeSet::new();
    for (key, value) in &records {
        let parsed = RecordKey::parse(key).unwrap_or_else(|| panic!("{key}"));
        assert_eq!(parsed.encode(), *key);
        if matches!(parsed, RecordKey::AssignmentLog(_)) {
            let log: AssignmentLogRecord = serde_json::from_value(value.clone()).expect("part of the log");
            assert_eq!(serde_json::to_value(&log).expect("JSON"), *value, "{key}");
            logged.extend(log.assigned_tasks().map(|(task, attempt)| (task.to_string(), attempt.0)));
        }
    }
    let unknown = |(_, task, attempt): &&(String, String, u64)| {
        !task.starts_with("job-000009/") && !logged.contains(&(task.clone(), *attempt))
    };
    assert_eq!(running(kept).iter().find(unknown), None, "the log has every task that runs");
}

#[test]
fn controllers_go_on_from_a_file() {
    if std::env::var("GOLDEN_WRITE").is_ok_and(|value| value == "1") {
        write();
    }
    let text = std::fs::read_to_string(golden("inherited.json")).expect("what the file holds");
    let kept: Value = serde_json::from_str(&text).expect("JSON");
    let mut cluster = resumed(&kept);
    check_records(&cluster, &kept);
    let before: BTreeSet<(String, String, u64)> = running(&kept).into_iter().collect();
    play(&mut cluster, "nodes a b c");
    cluster.resume(&running(&kept));
    play(&mut cluster, "until 20 leader = any");
    for (job, state) in [(1, "running"), (2, "running"), (3, "running"), (4, "running"), (5, "done")] {
        play(&mut cluster, &format!("until 10 inspected {job} /row/state = {state}"));
    }
    let gang = before.iter().find(|(_, task, _)| task == "job-000002/0").expect("a gang that runs");
    play(&mut cluster, &format!("until 10 inspected 2 /tasks/0/attempt = {}", gang.2));
    // Nothing is started anew that runs: the same attempts, on the same machines.
    let tasks: BTreeSet<&String> = before.iter().map(|(_, task, _)| task).collect();
    let now = cluster.attempts();
    let moved = now.iter().find(|now| tasks.contains(&now.1) && !before.contains(now));
    assert_eq!(moved, None, "started again");
    assert!(now.iter().filter(|now| before.contains(now)).count() >= before.len() / 2, "{now:?}");
    for line in [
        "until 10 run r running",
        "until 10 node r first success",
        "until 120 done 1",
        "until 120 done 2",
        "until 120 done 4",
        "until 120 done 9",
        "until 120 run r success",
        "expect running 3 = 2",
        "expect record olivelatch/config/team/field has 3.0",
        "until 30 keys olivelatch/machine/ = 0",
    ] {
        play(&mut cluster, line);
    }
}
