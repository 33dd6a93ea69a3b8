//! Compatibility with a store file of an earlier version (`tests/golden/inherited.pages`), written while jobs of every
//! kind and a DAG run were in progress and a config entry was set. Controllers that start from it recover all of it,
//! leave running tasks where they are, and complete the jobs. `GOLDEN_WRITE=1` rewrites the file.

mod simulation;

use std::collections::BTreeSet;
use std::path::PathBuf;

use olivelatch::bookkeeping::records::{AssignmentLogRecord, RecordKey};
use serde_json::{Value, json};
use simulation::SimulatedCluster;

/// Scenario lines that set up the cluster, both when the file is written and when it is read.
const CLUSTER_SETUP: [&str; 6] = [
    "settings state write_rps=60",
    "graphs pool:billing=2",
    "team core max=24",
    "team works max=24",
    "team field max=8",
    "machine-type small cpus=4 boot=3 zones=a,b count=6",
];

/// Jobs in progress when the file is written: arguments of the actions `submit` and `mark-accepted`.
const JOBS: [&str; 6] = [
    "1 tasks=500 run=4",
    "2 gang tasks=3 run=40 team=works",
    "3 service tasks=2 cpus=0.5 team=works",
    "4 tasks=4 run=20 team=field urgency=high",
    "5 tasks=2 run=1 team=works",
    "9 tasks=3 run=5 team=works",
];
/// Index in `JOBS` of the job whose records `put_legacy_records` writes in an earlier version's format.
const LEGACY_JOB_INDEX: usize = 5;

/// The nodes of a DAG run whose fan-out is in progress when the file is written.
const DAG_NODES: [&str; 4] = [
    "node r first 100 run=1 team=works",
    "fan-out r f 110 3 after=first run=20 pool=billing team=works",
    "node r map 120 after=first run=1 tries=2 team=works",
    "node r last 130 after=f*,map rule=all_success run=1 team=works",
];

fn run_line(cluster: &mut SimulatedCluster, line: &str) {
    let words: Vec<&str> = line.split_whitespace().collect();
    cluster.run_action(&words).unwrap_or_else(|problem| panic!("{line}: {problem}"));
}

fn golden_path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

fn start_cluster() -> SimulatedCluster {
    let mut cluster = SimulatedCluster::new();
    CLUSTER_SETUP.iter().for_each(|line| run_line(&mut cluster, line));
    run_line(&mut cluster, "config");
    cluster
}

/// Writes records in the format that was used before the assignment log existed: an accepted job, two of whose tasks
/// are assigned in the record of their machine, and a provisioning request.
fn put_legacy_records(cluster: &mut SimulatedCluster) {
    let manifest = json!({"uid": "job-000009", "jobclass": "work", "owner": "works", "shape": "array",
        "urgency": "normal", "pieces": 3, "vcpus": 1.0, "accelerators": 0.0, "memory_gb": 1.0, "bundle": "img-1",
        "size_gb": 0.1, "boxkinds": null, "hall": null, "together": false, "scatter": false, "loaners": false,
        "guess_s": 5.0, "snapshot_s": 0.0, "flush_s": 1.0, "due_s": null});
    run_line(cluster, "machine small b");
    let name = cluster.machine_names().pop().expect("a machine");
    let number: u32 = name.trim_start_matches("host-").parse().expect("a number");
    cluster.kv_store.put("olivelatch/job/job-000009", json!({"at": 1_700_000_100_000_u64, "spec": manifest}));
    let record = json!({"kind": "small", "zone": "b", "spot": false,
        "endpoint": format!("10.9.0.{}:9000", number + 1), "tasks": {"job-000009": [[0, 7], [1, 8]]}});
    cluster.kv_store.put(&format!("olivelatch/machine/{name}"), record);
    cluster.kv_store.put(
        "olivelatch/booking/b-earlier",
        json!({"kind": "small", "zone": "a", "spot": false, "count": 1}),
    );
}

/// Runs a cluster until every kind of work is in progress, and writes the golden files.
fn rewrite_golden_files() {
    let mut cluster = start_cluster();
    cluster.track_store_changes();
    run_line(&mut cluster, "controllers a b c");
    run_line(&mut cluster, "until 10 leader = any");
    run_line(&mut cluster, &format!("submit {}", JOBS[0]));
    // Blocks of finished tasks are written only once many tasks have finished.
    run_line(&mut cluster, "until 90 keys olivelatch/fin/ >= 1");
    JOBS[1..LEGACY_JOB_INDEX].iter().for_each(|job| run_line(&mut cluster, &format!("submit {job}")));
    DAG_NODES.iter().for_each(|line| run_line(&mut cluster, line));
    for line in [
        "commit r nightly bytes=900",
        "set-config lower field limit=3",
        "until 20 config in-force lower",
        "until 60 done 5",
        "until 60 node r first success",
        "until 60 running 2 = 3",
        "until 60 running 1 >= 4",
        "until 60 running 3 = 2",
        "until 60 running 110 = 1",
    ] {
        run_line(&mut cluster, line);
    }
    let mut running = cluster.live_attempts();
    put_legacy_records(&mut cluster);
    let name = cluster.machine_names().pop().expect("a machine");
    running.extend([(name.clone(), "job-000009/0".into(), 7), (name, "job-000009/1".into(), 8)]);
    let path = temporary_path("written");
    cluster.write_store_file(&path);
    let store_file = std::fs::read(&path).expect("the store file");
    std::fs::remove_file(path).expect("the temporary store file is removed");
    std::fs::write(golden_path("inherited.pages"), pack(&store_file))
        .expect("the packed store file is written");
    let text = serde_json::to_string_pretty(&json!({"running": running, "keys": record_keys(&cluster)}))
        .expect("JSON");
    std::fs::write(golden_path("inherited.json"), text + "\n").expect("the list of its contents is written");
}

fn record_keys(cluster: &SimulatedCluster) -> Vec<String> {
    cluster.all_records().into_iter().map(|(key, _)| key).collect()
}

/// Returns a temporary path that is unique to this process.
fn temporary_path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("olivelatch-inherited-{name}-{}", std::process::id()))
}

/// Size of a page of the store file, in bytes.
const PAGE_BYTES: usize = 4096;
/// Flag in the number of a page that repeats one byte.
const REPEATED_BYTE: usize = 1 << 63;

/// Compresses a store file, most pages of which repeat one byte. The result has the file's length and then, for each
/// page that is not all zeros, its number and its bytes; a page that repeats one byte has `REPEATED_BYTE` set in its
/// number and only that byte.
fn pack(store_file: &[u8]) -> Vec<u8> {
    let mut packed = (store_file.len() as u64).to_le_bytes().to_vec();
    for (page, index) in store_file.chunks(PAGE_BYTES).zip(0_u64..) {
        if page.iter().all(|byte| *byte == page[0]) {
            if page[0] != 0 {
                packed.extend((index | REPEATED_BYTE as u64).to_le_bytes());
                packed.push(page[0]);
            }
            continue;
        }
        packed.extend(index.to_le_bytes());
        packed.extend(page);
        packed.resize(packed.len() + PAGE_BYTES - page.len(), 0);
    }
    packed
}

fn read_number(bytes: &[u8]) -> usize {
    u64::from_le_bytes(bytes.try_into().expect("8 bytes")) as usize
}

/// Reverses `pack`.
fn unpack(packed: &[u8]) -> Vec<u8> {
    let (length, mut rest) = packed.split_at(8);
    let mut store_file = vec![0; read_number(length).next_multiple_of(PAGE_BYTES)];
    while !rest.is_empty() {
        let (header, bytes) = rest.split_at(8);
        let header = read_number(header);
        let (index, repeats_byte) = (header & !REPEATED_BYTE, header & REPEATED_BYTE != 0);
        let page = &mut store_file[index * PAGE_BYTES..(index + 1) * PAGE_BYTES];
        rest = if repeats_byte {
            page.fill(bytes[0]);
            &bytes[1..]
        } else {
            page.copy_from_slice(&bytes[..PAGE_BYTES]);
            &bytes[PAGE_BYTES..]
        };
    }
    store_file.truncate(read_number(length));
    store_file
}

/// Unpacks the golden file into a temporary one, because opening a store file writes to it, and returns its path.
fn unpack_golden_file() -> PathBuf {
    let packed = std::fs::read(golden_path("inherited.pages")).expect("the packed store file");
    let store_file = unpack(&packed);
    assert_eq!(pack(&store_file), packed);
    let path = temporary_path("read");
    std::fs::write(&path, store_file).expect("the unpacked store file is written");
    path
}

/// Returns machine, task and attempt of each task that was running when the file was written. `contents` is the list in
/// `inherited.json` of what the file contains.
fn running_attempts(contents: &Value) -> Vec<(String, String, u64)> {
    serde_json::from_value(contents["running"].clone()).expect("machines, tasks and attempts")
}

/// Returns a cluster whose store is the golden file and whose controllers have not been started.
fn cluster_from_golden_file(contents: &Value) -> SimulatedCluster {
    let mut cluster = start_cluster();
    JOBS.iter().for_each(|job| run_line(&mut cluster, &format!("mark-accepted {job}")));
    DAG_NODES.iter().for_each(|line| run_line(&mut cluster, line));
    let path = unpack_golden_file();
    cluster.read_store_file(&path);
    std::fs::remove_file(path).expect("the temporary copy is removed");
    assert_eq!(
        json!(record_keys(&cluster)),
        contents["keys"],
        "the file does not have the records that were written"
    );
    cluster
}

/// Checks that the file has every kind of record, and that the assignment log has every running task except those in
/// the earlier format.
fn check_records(cluster: &SimulatedCluster, contents: &Value) {
    let records = cluster.all_records();
    for kind in ["job", "end", "fin", "machine", "log", "booking", "kind", "part", "graph", "turn", "config"]
    {
        let prefix = format!("olivelatch/{kind}/");
        assert!(
            records.iter().any(|(key, _)| key.starts_with(&prefix)),
            "the file has no record of kind {kind}"
        );
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
    let unlogged = |(_, task, attempt): &&(String, String, u64)| {
        !task.starts_with("job-000009/") && !logged.contains(&(task.clone(), *attempt))
    };
    assert_eq!(
        running_attempts(contents).iter().find(unlogged),
        None,
        "a running task is not in the assignment log"
    );
}

#[test]
fn controllers_recover_from_an_earlier_store_file() {
    if std::env::var("GOLDEN_WRITE").is_ok_and(|value| value == "1") {
        rewrite_golden_files();
    }
    let text =
        std::fs::read_to_string(golden_path("inherited.json")).expect("the list of the file's contents");
    let contents: Value = serde_json::from_str(&text).expect("JSON");
    let mut cluster = cluster_from_golden_file(&contents);
    check_records(&cluster, &contents);
    let before: BTreeSet<(String, String, u64)> = running_attempts(&contents).into_iter().collect();
    run_line(&mut cluster, "controllers a b c");
    cluster.resume_tasks(&running_attempts(&contents));
    run_line(&mut cluster, "until 20 leader = any");
    for (job, state) in [(1, "running"), (2, "running"), (3, "running"), (4, "running"), (5, "done")] {
        run_line(&mut cluster, &format!("until 10 inspected {job} /row/state = {state}"));
    }
    let gang_task = before.iter().find(|(_, task, _)| task == "job-000002/0").expect("a gang that runs");
    run_line(&mut cluster, &format!("until 10 inspected 2 /tasks/0/attempt = {}", gang_task.2));
    // No running task is started again: the attempts are the same, on the same machines.
    let tasks: BTreeSet<&String> = before.iter().map(|(_, task, _)| task).collect();
    let after = cluster.live_attempts();
    let restarted = after.iter().find(|attempt| tasks.contains(&attempt.1) && !before.contains(attempt));
    assert_eq!(restarted, None, "a running task was started again");
    assert!(after.iter().filter(|attempt| before.contains(attempt)).count() >= before.len() / 2, "{after:?}");
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
        run_line(&mut cluster, line);
    }
}
