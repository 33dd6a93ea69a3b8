//! Measures what terminal records, which are kept forever, cost: memory of the controllers and the store, and
//! the time until all controllers serve. Run the measurement with:
//!     cargo test --release -p olivelatchctl --test terminal_records -- --ignored --nocapture

mod common;

use std::time::Instant;

use common::TestCluster;
use olivelatch::bookkeeping::jobs::TerminalState;
use olivelatch::bookkeeping::records::{RecordKey, TerminalDetail, TerminalRecord};
use olivelatch::ids::JobId;
use olivelatch_kv_store::{Delta, StoreFile};
use serde_json::Value;

const RECORD_COUNTS: [u64; 4] = [0, 50_000, 200_000, 400_000];
const RECORDS_PER_COMMIT: u64 = 10_000;

/// Returns the resident memory of a process in kB.
fn resident_kb(pid: u64) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("a process");
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).expect("its memory");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).expect("a number")
}

/// Returns the CPU time of a process in clock ticks, which are hundredths of a second.
fn cpu_ticks(pid: u64) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("a process");
    // The program's name, in parentheses, may contain spaces, so fields are counted after it.
    let rest = text.rsplit(')').next().expect("fields");
    let fields: Vec<&str> = rest.split_whitespace().collect();
    fields[11].parse::<u64>().expect("user time") + fields[12].parse::<u64>().expect("system time")
}

/// Writes a store file with `count` terminal records, in the form that controllers with the operators' interface write.
fn write_records(path: &std::path::Path, count: u64) {
    let (file, _, _) = StoreFile::open(path).expect("a store file");
    let detail = TerminalDetail {
        team: "team-017".into(),
        class: "reading-ingest".into(),
        tasks: 250,
        accepted_wall_ms: 1_790_000_000_000,
        first_start_wall_ms: Some(1_790_000_010_000),
    };
    for batch in 0..count.div_ceil(RECORDS_PER_COMMIT) {
        let put = |index: u64| {
            let record =
                TerminalRecord::new(TerminalState::Done, 1_790_000_060_000 + index, Some(detail.clone()));
            let value: Value = serde_json::to_value(&record).expect("JSON");
            Delta::Put {
                key: RecordKey::Terminal(JobId(index)).encode(),
                value,
                revision: index + 1,
                lease: None,
            }
        };
        let mut deltas: Vec<Delta> =
            (batch * RECORDS_PER_COMMIT..((batch + 1) * RECORDS_PER_COMMIT).min(count)).map(put).collect();
        deltas.push(Delta::Revision(count));
        file.commit(&deltas, &[]).expect("a commit");
    }
}

#[test]
#[ignore = "a measurement"]
fn cost_of_terminal_records() {
    for count in RECORD_COUNTS {
        let folder = tempfile::tempdir().expect("a folder");
        write_records(&folder.path().join("state.redb"), count);
        let size = std::fs::metadata(folder.path().join("state.redb")).expect("a file").len();
        let start = Instant::now();
        let mut cluster = TestCluster::start(folder.path(), &["team-017=0:0"]);
        let loaded = |cluster: &TestCluster| {
            let top = cluster.json(&["top", "--once"]);
            let controllers = top.first().and_then(Value::as_object).cloned().unwrap_or_default();
            controllers.len() == 3 && controllers.values().all(|controller| controller["jobs_ended"] == count)
        };
        cluster.wait_until("all controllers have read the terminal records", loaded);
        let seconds = start.elapsed().as_secs_f64();
        let pids = cluster.controller_pids();
        let pids = pids.iter().filter_map(|pid| pid.parse::<u64>().ok());
        let controllers: Vec<(f64, f64)> =
            pids.map(|pid| (resident_kb(pid) as f64 / 1e3, cpu_ticks(pid) as f64 / 100.0)).collect();
        println!(
            "{count} terminal records: file {:.1} MB, all controllers serve after {seconds:.1} s, cluster process {:.1} MB, controllers (MB, CPU s): {:?}",
            size as f64 / 1e6,
            cluster.pid().map_or(0.0, |pid| resident_kb(u64::from(pid)) as f64 / 1e3),
            controllers
        );
        cluster.stop();
    }
}
