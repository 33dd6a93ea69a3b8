//! Tests a real cluster on loopback through the command line: after failures of every kind during a batch, the client's
//! view is compared with the workers' run log; explanations and exit codes are checked too. The tests are bounded in
//! time and stop only the processes that they started.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::process::Command;

use common::TestCluster;
use olivelatch_kv_store::StoreFile;
use serde_json::Value;

/// A command of 0.1 s that prints the number of its task.
const SHORT_COMMAND: [&str; 4] = ["--", "sh", "-c", "sleep 0.1; echo $OLIVELATCH_TASK"];

fn kill_leader(cluster: &TestCluster) {
    let leader = cluster.leaders().pop().expect("a leader");
    let number = leader.strip_prefix("node-").expect("a number");
    let pids = cluster.controller_pids();
    let settings_file = format!("node-{number}.json");
    let leader_pid = pids.iter().find(|pid| {
        let line = std::fs::read(format!("/proc/{pid}/cmdline")).unwrap_or_default();
        String::from_utf8_lossy(&line).contains(&settings_file)
    });
    let killed =
        Command::new("kill").arg("-9").arg(leader_pid.expect("its process")).status().expect("kill runs");
    assert!(killed.success());
}

/// Returns the state of each job as the client lists it, and checks that the list is complete and has each job once.
fn listed_states(cluster: &TestCluster) -> BTreeMap<String, String> {
    let list = cluster.json(&["list"]).remove(0);
    assert_eq!(list["complete"], true);
    let rows = list["jobs"].as_array().expect("rows");
    let states: BTreeMap<String, String> = rows
        .iter()
        .map(|row| {
            (row["id"].as_str().expect("an id").into(), row["state"].as_str().expect("a state").into())
        })
        .collect();
    assert_eq!(states.len(), rows.len(), "each job once");
    states
}

/// Returns the tasks whose result is in the state file, by job. The cluster must be stopped.
fn tasks_with_stored_result(cluster: &TestCluster) -> BTreeMap<String, BTreeSet<String>> {
    let (_, _, records) = StoreFile::open(&cluster.folder.join("state.redb")).expect("the state file");
    let mut tasks: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for name in records.iter().filter_map(|record| record.name.strip_prefix("result/")) {
        let (job, task) = name.split_once('/').expect("job/task");
        tasks.entry(job.into()).or_default().insert(task.into());
    }
    tasks
}

/// Checks that a job that is listed as done has a stored result for each of its tasks, and that the run log has the
/// successful exit of each. Only tasks that were running in the run log when the cluster was killed may lack it there:
/// the cluster writes the run log after the commit of the result, so a kill between the two loses the entry.
fn check_done(
    tasks: usize,
    stored: Option<&BTreeSet<String>>,
    logged: Option<&BTreeSet<String>>,
    running_at_kill: Option<&BTreeSet<String>>,
) {
    let none = BTreeSet::new();
    let [stored, logged, running_at_kill] = [stored, logged, running_at_kill].map(|set| set.unwrap_or(&none));
    assert_eq!(stored.len(), tasks, "tasks with a stored result");
    assert!(logged.is_subset(stored), "done in the run log without a stored result: {logged:?}");
    let missing: Vec<&String> = stored.difference(logged).collect();
    assert!(
        missing.iter().all(|task| running_at_kill.contains(*task)),
        "no successful exit in the run log: {missing:?}; running at the kill: {running_at_kill:?}"
    );
}

/// The leader, then all controllers, then the whole cluster are killed during a batch. Afterwards the client
/// lists every job in its actual state: none is lost or reported done early, and no task runs again after it
/// completed.
#[test]
fn jobs_are_listed_in_their_actual_state_after_every_kind_of_failure() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut cluster = TestCluster::start(&folder.path().join("r"), &["default=0:0", "office=0:1"]);
    let early = cluster.submit(&["--tasks", "5", "--", "true"]);
    assert!(cluster.run_program(&["wait", &early, "--timeout", "60"]).status.success());
    let wide = cluster
        .submit(&[&["--tasks", "240", "--cpus", "0.5", "--guess-s", "0.1"], &SHORT_COMMAND[..]].concat());
    let narrow = cluster.submit(&[&["--tasks", "6", "--team", "office"], &SHORT_COMMAND[..]].concat());
    let gang = cluster.submit(&[&["--tasks", "3", "--shape", "gang"], &SHORT_COMMAND[..]].concat());
    let endless = cluster.submit(&["--tasks", "2", "--", "sleep", "600"]);
    let broken = cluster.submit(&["--tasks", "1", "--", "false"]);

    cluster.wait_until("30 tasks of the wide job are done", |cluster| cluster.done_tasks(&wide) >= 30);
    kill_leader(&cluster);
    cluster.wait_until("80 tasks of the wide job are done", |cluster| cluster.done_tasks(&wide) >= 80);
    cluster.kill_controllers();
    cluster.wait_until("130 tasks of the wide job are done", |cluster| cluster.done_tasks(&wide) >= 130);
    let cancelled = cluster.json(&["cancel", &endless]);
    assert_eq!(cancelled[0]["state"], "withdrawn");

    cluster.wait_until("all controllers are back", |cluster| cluster.controller_pids().len() == 3);
    let leftover_pids = cluster.controller_pids();
    cluster.kill();
    let running_at_kill = cluster.running_by_run_log();
    // With no controller reachable, the client reports that instead of a stale state.
    let unreachable = cluster.run_program(&["--deadline", "1", "list"]);
    assert_eq!(unreachable.status.code(), Some(3), "{}", String::from_utf8_lossy(&unreachable.stderr));
    cluster.up();
    // The new cluster stops the processes that the killed one left behind.
    let leftovers_stopped =
        |cluster: &TestCluster| cluster.controller_pids().iter().all(|pid| !leftover_pids.contains(pid));
    cluster.wait_until("the leftover processes are stopped", leftovers_stopped);
    let waited = cluster.run_program(&["wait", &wide, &narrow, &gang, "--timeout", "90"]);
    assert!(waited.status.success(), "{}", String::from_utf8_lossy(&waited.stderr));
    assert_eq!(cluster.json(&["cancel", &broken])[0]["state"], "withdrawn");

    let states = listed_states(&cluster);
    let expected = [
        (&early, "done"),
        (&wide, "done"),
        (&narrow, "done"),
        (&gang, "done"),
        (&endless, "withdrawn"),
        (&broken, "withdrawn"),
    ];
    assert_eq!(states, expected.map(|(id, state)| (id.clone(), state.to_string())).into());
    let done = cluster.done_by_run_log();
    assert!(done.get(&broken).is_none_or(BTreeSet::is_empty));
    let logs = cluster.run_program(&["logs", &wide, "17"]);
    assert!(String::from_utf8_lossy(&logs.stdout).contains("\n17\n"), "the output of the task is stored");
    cluster.stop();
    assert!(cluster.controller_pids().is_empty(), "a graceful stop also stops all controllers");
    let stored = tasks_with_stored_result(&cluster);
    for (id, tasks) in [(&early, 5), (&wide, 240), (&narrow, 6), (&gang, 3)] {
        check_done(tasks, stored.get(id), done.get(id), running_at_kill.get(id));
    }
    assert!(!stored.contains_key(&broken));
}

/// While a job waits because of its team's limit, `explain` names the limit and how much of it each job uses;
/// afterwards it does not.
#[test]
fn explain_names_the_team_limit_and_its_usage_by_job() {
    let folder = tempfile::tempdir().expect("a folder");
    let cluster = TestCluster::start(&folder.path().join("r"), &["default=0:0", "office=0:2"]);
    let first = cluster.submit(&["--tasks", "2", "--team", "office", "--", "sleep", "600"]);
    cluster.wait_until("both tasks of the first job run", |cluster| {
        cluster.json(&["list"])[0]["jobs"][0]["running"] == 2
    });
    let second = cluster.submit(&["--tasks", "1", "--team", "office", "--", "true"]);
    let limit_reason = |cluster: &TestCluster| {
        let explained = cluster.json(&["explain", &second]);
        let reasons = explained.first().and_then(|e| e["reasons"].as_array().cloned()).unwrap_or_default();
        reasons.into_iter().find(|reason| reason["reason"] == "team_limit")
    };
    cluster
        .wait_until("an explanation that names the team's limit", |cluster| limit_reason(cluster).is_some());
    let reason = limit_reason(&cluster).expect("the reason");
    assert_eq!((reason["used_cpus"].as_f64(), reason["limit_cpus"].as_f64()), (Some(2.0), Some(2.0)));
    assert_eq!(
        (&reason["by"][0]["job"], reason["by"][0]["cpus"].as_f64()),
        (&Value::from(first.as_str()), Some(2.0))
    );
    let text = cluster.run_program(&["explain", &second]);
    let text = String::from_utf8_lossy(&text.stdout).into_owned();
    assert!(text.contains("team office uses 2 of 2 CPUs") && text.contains(&first), "{text}");
    assert!(!text.contains('\u{1b}'), "no colours if the output is not a terminal");
    assert!(cluster.run_program(&["cancel", &first]).status.success());
    assert!(cluster.run_program(&["wait", &second, "--timeout", "60"]).status.success());
    assert!(limit_reason(&cluster).is_none());
}

/// Failures have distinct exit codes and messages; an invalid file is rejected before anything is sent.
#[test]
fn failures_have_exit_codes_and_name_what_was_expected() {
    let folder = tempfile::tempdir().expect("a folder");
    let cluster = TestCluster::start(&folder.path().join("r"), &["default=0:4"]);
    let run = |arguments: &[&str]| {
        let output = cluster.run_program(arguments);
        (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
    };
    assert_eq!(run(&["explain", "job-000001"]).0, Some(1));
    assert_eq!(run(&["show", "nonsense"]).0, Some(1));
    let (status, text) = run(&["submit", "--cpus", "400", "--", "true"]);
    assert!(status == Some(4) && text.contains("422"), "{text}");
    let (status, text) = run(&["list", "--state", "lost"]);
    assert!(status == Some(4) && text.contains("expected live, ended"), "{text}");
    let file = folder.path().join("jobs.hcl");
    std::fs::write(&file, "job \"a\" {\n  command = [\"true\"]\n  colour = 1\n}\n").expect("a file");
    let (status, text) = run(&["submit", &file.display().to_string()]);
    assert!(status == Some(2) && text.contains("line 3") && text.contains("colour"), "{text}");
    assert_eq!(cluster.json(&["list"])[0]["jobs"].as_array().map(Vec::len), Some(0));
    // Submission is idempotent: the same id names the same job.
    let id = cluster.submit(&["--id", "job-000777", "--", "true"]);
    assert_eq!(cluster.submit(&["--id", "job-000777", "--", "true"]), id);
    assert!(cluster.run_program(&["wait", &id, "--timeout", "60"]).status.success());
    assert_eq!(
        run(&["submit", "--id", "job-000777", "--", "false"]).0,
        Some(4),
        "a different job with the same id"
    );
    let stopped = cluster.submit(&["--", "sleep", "600"]);
    assert_eq!(run(&["wait", &stopped, "--timeout", "0.5"]).0, Some(6));
    assert!(cluster.run_program(&["cancel", &stopped]).status.success());
    assert_eq!(run(&["wait", &stopped]).0, Some(5));
}
