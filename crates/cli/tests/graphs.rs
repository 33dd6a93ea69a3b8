//! Tests DAG runs and plain jobs on one loopback cluster: several clients submit both, and all controllers are killed
//! while they run. The workers' run log, the published files and the client's view are checked against each other.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use common::TestCluster;
use serde_json::Value;

/// A graph with fan-out over a list and fan-in. A bill has three lines, `begin`, the sum and `end`, and is written
/// with a pause after the first, so that a reader would see an incomplete file if it were published too early. While
/// the file that the variable `trouble` names exists, one task of `balance` fails.
const CHAIN: &str = r#"
graph = "chain"
vars {
  trouble = "/nonexistent"
}
defaults {
  cpus = 0.5
  guess_s = 0.2
}
node "raw" {
  command = ["sh", "-c", "echo '[1,2,3,4,5]' > $OLIVELATCH_OUT/list.json; sleep 0.2"]
}
node "balance" {
  map = "raw"
  tries = 2
  wait_s = 0.2
  command = ["sh", "-c", "test $OLIVELATCH_ITEM = 3 -a -e {{ trouble }} && exit 1; sleep 0.1; echo $OLIVELATCH_ITEM > $OLIVELATCH_OUT/sum"]
}
node "bill" {
  map = "raw"
  after = ["balance"]
  command = ["sh", "-c", "echo begin > $OLIVELATCH_OUT/bill; sleep 0.2; cat $OLIVELATCH_IN_BALANCE/$OLIVELATCH_TASK/sum >> $OLIVELATCH_OUT/bill; echo end >> $OLIVELATCH_OUT/bill"]
}
node "office" {
  after = ["bill"]
  command = ["sh", "-c", "cat $OLIVELATCH_IN_BILL/*/bill > $OLIVELATCH_OUT/bill"]
}
"#;

/// The edges of [`CHAIN`]: the upstream and the downstream node of each.
const EDGES: [(&str, &str); 4] =
    [("raw", "balance"), ("raw", "bill"), ("balance", "bill"), ("bill", "office")];

/// Number of lines in the bills of one output: five bills of three lines.
const BILL_LINES: usize = 15;

/// Exit code of `wait` and `graph wait` for a job that was cancelled or a run that did not succeed.
const NOT_SUCCESSFUL: Option<i32> = Some(5);

/// Returns the bills in a node's output: one for the node, or one per task.
fn bill_files(output: &Path) -> Vec<PathBuf> {
    let single = output.join("bill");
    if single.exists() {
        return vec![single];
    }
    let tasks = fs::read_dir(output).into_iter().flatten().flatten();
    tasks.map(|task| task.path().join("bill")).filter(|bill| bill.exists()).collect()
}

/// Reads the published files repeatedly until stopped, and checks that each output holds five complete bills and is
/// never replaced. Returns the number of checks, or what was wrong with an output.
fn watch_published_files(published: &Path, stop: &AtomicBool) -> Result<usize, String> {
    let mut targets: BTreeMap<PathBuf, PathBuf> = BTreeMap::new();
    let mut checked = 0;
    while !stop.load(Ordering::Relaxed) {
        for run in fs::read_dir(published).into_iter().flatten().flatten() {
            for node in ["bill", "office"] {
                let name = run.path().join(node);
                let Ok(target) = fs::read_link(&name) else { continue };
                let known = targets.entry(name.clone()).or_insert_with(|| target.clone());
                if *known != target {
                    return Err(format!("{} was published twice: {known:?}, {target:?}", name.display()));
                }
                let bills = bill_files(&name);
                let lines: usize = bills
                    .iter()
                    .map(|bill| fs::read_to_string(bill).unwrap_or_default())
                    .map(|text| if text.ends_with("end\n") { text.lines().count() } else { 0 })
                    .sum();
                if lines != BILL_LINES {
                    return Err(format!(
                        "{}: published incompletely: expected {BILL_LINES} lines, found {lines} in {bills:?}",
                        name.display()
                    ));
                }
                checked += 1;
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    Ok(checked)
}

fn run_detail(cluster: &TestCluster, run: &str) -> Value {
    cluster.json(&["graph", "show", run]).into_iter().next().unwrap_or(Value::Null)
}

fn node_view<'a>(detail: &'a Value, name: &str) -> &'a Value {
    let nodes = detail["nodes"].as_array().map_or(&[][..], Vec::as_slice);
    nodes.iter().find(|node| node["name"] == name).unwrap_or(&Value::Null)
}

/// The lines of the run log, counted from 0, between which a job ran.
#[derive(Clone, Copy)]
struct JobSpan {
    /// Line of the job's first start.
    first_start: usize,
    /// Line of the last successful exit of one of its tasks; 0 if there is none.
    last_success: usize,
}

/// Returns the span of each job in the run log, by job id.
fn job_spans(cluster: &TestCluster) -> BTreeMap<String, JobSpan> {
    let mut spans: BTreeMap<String, JobSpan> = BTreeMap::new();
    for (line_number, entry) in cluster.run_log().into_iter().enumerate() {
        let span = spans.entry(entry.job).or_insert(JobSpan { first_start: line_number, last_success: 0 });
        if entry.is_success {
            span.last_success = line_number;
        }
    }
    spans
}

/// Checks in the run log that every node of a run started after all its upstream nodes were done.
fn check_order(cluster: &TestCluster, run: &Value) {
    let spans = job_spans(cluster);
    let span = |name: &str| spans.get(node_view(run, name)["job"].as_str().unwrap_or("")).copied();
    for (upstream, downstream) in EDGES {
        if let (Some(upstream_span), Some(downstream_span)) = (span(upstream), span(downstream)) {
            assert!(
                upstream_span.last_success < downstream_span.first_start,
                "{downstream} started before {upstream} was done: {run}"
            );
        }
    }
}

#[test]
fn dag_runs_and_plain_jobs_complete_once_and_publish_atomically() {
    let folder = tempfile::tempdir().expect("a folder");
    let cluster = Arc::new(TestCluster::start(&folder.path().join("r"), &["default=0:0"]));
    let file = folder.path().join("chain.hcl");
    fs::write(&file, CHAIN).expect("a file");
    let file = file.display().to_string();
    let trouble = folder.path().join("trouble");
    fs::write(&trouble, "").expect("a file");
    let stop = Arc::new(AtomicBool::new(false));
    let watcher = thread::spawn({
        let (published, stop) = (cluster.folder.join("published"), stop.clone());
        move || watch_published_files(&published, &stop)
    });
    let clients: Vec<_> = (0..4)
        .map(|client| {
            let (cluster, file) = (cluster.clone(), file.clone());
            let var = format!(
                "trouble={}",
                if client == 0 { trouble.display().to_string() } else { "/nonexistent".into() }
            );
            thread::spawn(move || {
                let run = format!("run-{client}");
                let sent = cluster.run_program(&["graph", "submit", &file, "--run", &run, "--var", &var]);
                assert!(sent.status.success(), "{}", String::from_utf8_lossy(&sent.stderr));
                let tasks = ["--tasks", "12", "--cpus", "0.5", "--guess-s", "0.2", "--", "sleep", "0.2"];
                (run, cluster.submit(&tasks))
            })
        })
        .collect();
    let submitted: Vec<(String, String)> =
        clients.into_iter().map(|client| client.join().expect("a client")).collect();
    cluster.wait_until("a task is done", |cluster| {
        job_spans(cluster).values().any(|span| span.last_success > 0)
    });
    cluster.kill_controllers();
    for (run, job) in &submitted {
        let waited = cluster.run_program(&["graph", "wait", run, "--timeout", "90"]);
        let expected = if run == "run-0" { NOT_SUCCESSFUL } else { Some(0) };
        assert_eq!(waited.status.code(), expected, "{run}: {}", String::from_utf8_lossy(&waited.stderr));
        assert!(cluster.run_program(&["wait", job, "--timeout", "90"]).status.success(), "{job}");
    }
    let failed = run_detail(&cluster, "run-0");
    assert_eq!(
        [&node_view(&failed, "balance")["state"], &node_view(&failed, "bill")["state"]],
        ["failed", "upstream_failed"]
    );
    let evidence = node_view(&failed, "balance")["evidence"].as_array().cloned().unwrap_or_default();
    assert_eq!(evidence.len(), 2, "{evidence:?}");
    assert!(evidence.iter().all(|attempt| attempt["t"] == 2 && attempt["c"] == "error"), "{evidence:?}");
    assert!(!cluster.folder.join("published/run-0/bill").exists(), "nothing of the failed run is published");

    fs::remove_file(&trouble).expect("our own file");
    let retried = cluster.run_program(&["graph", "retry", "run-0", "--wait"]);
    assert!(retried.status.success(), "{}", String::from_utf8_lossy(&retried.stderr));
    let succeeded = run_detail(&cluster, "run-0");
    let states: BTreeSet<&str> = succeeded["nodes"]
        .as_array()
        .expect("nodes")
        .iter()
        .filter_map(|node| node["state"].as_str())
        .collect();
    assert_eq!(states, BTreeSet::from(["success"]));
    assert_eq!(
        node_view(&failed, "raw")["job"],
        node_view(&succeeded, "raw")["job"],
        "a node that succeeded is not run again"
    );

    stop.store(true, Ordering::Relaxed);
    let checked = watcher.join().expect("the watcher").expect("complete files");
    assert!(checked > 20, "only {checked} outputs were checked");
    for (run, _) in &submitted {
        check_order(&cluster, &run_detail(&cluster, run));
        let office = fs::read_to_string(cluster.folder.join("published").join(run).join("office/bill"));
        assert_eq!(office.expect("the office's file").lines().count(), BILL_LINES);
    }
    // Panics if a task of either kind was started again after it completed.
    let done = cluster.done_by_run_log();
    for (run, job) in &submitted {
        assert_eq!(done.get(job).map_or(0, BTreeSet::len), 12, "{job}");
        let detail = run_detail(&cluster, run);
        let bill_job = node_view(&detail, "bill")["job"].as_str().expect("a job");
        assert_eq!(done.get(bill_job).map_or(0, BTreeSet::len), 5, "{run}");
    }
    // `retry` runs the node as a new job, and the job of the failed attempt keeps its state.
    let failed_job = node_view(&failed, "balance")["job"].as_str().expect("a job").to_string();
    assert_eq!(
        cluster.run_program(&["wait", &failed_job]).status.code(),
        NOT_SUCCESSFUL,
        "the job of the failed attempt stays withdrawn"
    );
}

/// Urgency orders DAG nodes and plain jobs alike: an urgent node overtakes waiting plain jobs, and an urgent plain job
/// overtakes waiting nodes.
#[test]
fn urgency_orders_nodes_and_plain_jobs_alike() {
    let folder = tempfile::tempdir().expect("a folder");
    let cluster = TestCluster::start(&folder.path().join("r"), &["default=0:0"]);
    let graph = |urgency: &str| {
        format!(
            "graph = \"g\"\nnode \"n\" {{\n  urgency = \"{urgency}\"\n  tasks = 24\n  guess_s = 0.2\n  command = [\"sleep\", \"0.2\"]\n}}\n"
        )
    };
    for (urgent, other) in [("node", "plain"), ("plain", "node")] {
        let mut jobs = BTreeMap::new();
        for (kind, urgency) in [(other, "low"), (urgent, "critical")] {
            let job = if kind == "plain" {
                cluster.submit(&[
                    "--tasks",
                    "24",
                    "--urgency",
                    urgency,
                    "--guess-s",
                    "0.2",
                    "--",
                    "sleep",
                    "0.2",
                ])
            } else {
                let file = folder.path().join(format!("{urgency}.hcl"));
                fs::write(&file, graph(urgency)).expect("a file");
                let run = format!("{urgency}-{urgent}");
                let sent =
                    cluster.run_program(&["graph", "submit", &file.display().to_string(), "--run", &run]);
                assert!(sent.status.success(), "{}", String::from_utf8_lossy(&sent.stderr));
                node_view(&run_detail(&cluster, &run), "n")["job"].as_str().expect("a job").to_string()
            };
            jobs.insert(urgency, job);
        }
        for job in jobs.values() {
            assert!(cluster.run_program(&["wait", job, "--timeout", "90"]).status.success());
        }
        let spans = job_spans(&cluster);
        assert!(
            spans[&jobs["critical"]].last_success < spans[&jobs["low"]].last_success,
            "{urgent}: the urgent job must be done first"
        );
    }
}

/// An invalid graph is rejected before anything of it is stored.
#[test]
fn invalid_graphs_are_rejected() {
    let folder = tempfile::tempdir().expect("a folder");
    let cluster = TestCluster::start(&folder.path().join("r"), &["default=0:2"]);
    let submit = |text: &str| {
        let file = folder.path().join("g.hcl");
        fs::write(&file, text).expect("a file");
        let output = cluster.run_program(&["graph", "submit", &file.display().to_string(), "--run", "r"]);
        (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
    };
    let cycle = "graph = \"g\"\nnode \"a\" {\n  after = [\"b\"]\n  command = [\"true\"]\n}\nnode \"b\" {\n  after = [\"a\"]\n  command = [\"true\"]\n}\n";
    let (code, text) = submit(cycle);
    assert!(
        code == Some(2)
            && text.contains("line 6: node \"b\"")
            && text.contains("the graph has a cycle: b -> a -> b"),
        "{text}"
    );
    let (code, text) = submit("graph = \"g\"\nnode \"a\" {\n  cpus = 400\n  command = [\"true\"]\n}\n");
    assert!(code == Some(4) && text.contains("422"), "{text}");
    let (code, text) = submit("graph = \"g\"\nnode \"a\" {\n  pool = \"none\"\n  command = [\"true\"]\n}\n");
    assert!(code == Some(4) && text.contains("unknown pool"), "{text}");
    assert_eq!(cluster.run_program(&["graph", "show", "r"]).status.code(), Some(1));
    assert_eq!(cluster.json(&["graph", "list"])[0]["runs"].as_array().map(Vec::len), Some(0));
    // The corrected graph is accepted under the same name: the rejected ones left nothing behind.
    let (code, text) = submit("graph = \"g\"\nnode \"a\" {\n  command = [\"true\"]\n}\n");
    assert_eq!(code, Some(0), "{text}");
    assert!(cluster.run_program(&["graph", "wait", "r", "--timeout", "60"]).status.success());
}
