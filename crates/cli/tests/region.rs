//! A real region on loopback, driven through the program as a person would: ends of every kind in the middle of a batch, and
//! what the client says afterwards held against the workers' own record. Bounded in time and count; ends only what it started.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::process::Command;

use common::TestCluster;
use serde_json::Value;

const SHORT: [&str; 4] = ["--", "sh", "-c", "sleep 0.1; echo $OLIVELATCH_TASK"];

/// The leader, then all controllers, then the whole region are killed during a batch. Afterwards the client lists every
/// job in its true state: none lost, none done early, no task run again after it was done.
#[test]
fn every_job_is_listed_truly_after_every_kind_of_failure() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut region = TestCluster::start(&folder.path().join("r"), &["default=0:0", "office=0:1"]);
    let early = region.submit(&["--tasks", "5", "--", "true"]);
    assert!(region.run_program(&["wait", &early, "--timeout", "60"]).status.success());
    let wide =
        region.submit(&[&["--tasks", "240", "--cpus", "0.5", "--guess-s", "0.1"], &SHORT[..]].concat());
    let narrow = region.submit(&[&["--tasks", "6", "--team", "office"], &SHORT[..]].concat());
    let gang = region.submit(&[&["--tasks", "3", "--shape", "gang"], &SHORT[..]].concat());
    let endless = region.submit(&["--tasks", "2", "--", "sleep", "600"]);
    let broken = region.submit(&["--tasks", "1", "--", "false"]);

    region.wait_until("some are done", |region| region.done_tasks(&wide) >= 30);
    let leader = region.leaders().pop().expect("a leader");
    let at = leader.strip_prefix("node-").expect("a number");
    let pids = region.controller_pids();
    let file = format!("node-{at}.json");
    let of_leader = pids.iter().find(|pid| {
        let line = std::fs::read(format!("/proc/{pid}/cmdline")).unwrap_or_default();
        String::from_utf8_lossy(&line).contains(&file)
    });
    let killed =
        Command::new("kill").arg("-9").arg(of_leader.expect("its process")).status().expect("kill runs");
    assert!(killed.success());
    region.wait_until("more are done", |region| region.done_tasks(&wide) >= 80);
    region.kill_controllers();
    region.wait_until("more are done", |region| region.done_tasks(&wide) >= 130);
    let told = region.json(&["cancel", &endless]);
    assert_eq!(told[0]["state"], "withdrawn");

    region.wait_until("all controllers are back", |region| region.controller_pids().len() == 3);
    let left = region.controller_pids();
    region.kill();
    // Whoever asks now is told that nobody answers, not an old state.
    let silent = region.run_program(&["--deadline", "1", "list"]);
    assert_eq!(silent.status.code(), Some(3), "{}", String::from_utf8_lossy(&silent.stderr));
    region.up();
    // What the killed region left behind does not go on beside the new one.
    let gone = |region: &TestCluster| region.controller_pids().iter().all(|pid| !left.contains(pid));
    region.wait_until("the leftovers are ended", gone);
    let waited = region.run_program(&["wait", &wide, &narrow, &gang, "--timeout", "90"]);
    assert!(waited.status.success(), "{}", String::from_utf8_lossy(&waited.stderr));
    assert_eq!(region.json(&["cancel", &broken])[0]["state"], "withdrawn");

    let list = region.json(&["list"]).remove(0);
    assert_eq!(list["complete"], true);
    let rows = list["jobs"].as_array().expect("rows");
    let states: BTreeMap<&str, &str> = rows
        .iter()
        .map(|row| (row["id"].as_str().expect("an id"), row["state"].as_str().expect("a state")))
        .collect();
    assert_eq!(states.len(), rows.len(), "each job once");
    let expected = BTreeMap::from([
        (early.as_str(), "done"),
        (wide.as_str(), "done"),
        (narrow.as_str(), "done"),
        (gang.as_str(), "done"),
        (endless.as_str(), "withdrawn"),
        (broken.as_str(), "withdrawn"),
    ]);
    assert_eq!(states, expected);
    let done = region.done_by_run_log();
    for (id, tasks) in [(&early, 5), (&wide, 240), (&narrow, 6), (&gang, 3)] {
        assert_eq!(done.get(id).map_or(0, BTreeSet::len), tasks, "{id} is called done");
    }
    assert!(done.get(&broken).is_none_or(BTreeSet::is_empty));
    let logs = region.run_program(&["logs", &wide, "17"]);
    assert!(String::from_utf8_lossy(&logs.stdout).contains("\n17\n"), "its output is there");
    region.stop();
    assert!(region.controller_pids().is_empty(), "ended politely, it ends all that it started");
}

/// The office waits for its team's limit: explain names the limit, who uses it and how much, and then no more.
#[test]
fn explain_names_the_limit_who_uses_it_and_how_much() {
    let folder = tempfile::tempdir().expect("a folder");
    let region = TestCluster::start(&folder.path().join("r"), &["default=0:0", "office=0:2"]);
    let first = region.submit(&["--tasks", "2", "--team", "office", "--", "sleep", "600"]);
    region.wait_until("both run", |region| region.json(&["list"])[0]["jobs"][0]["running"] == 2);
    let second = region.submit(&["--tasks", "1", "--team", "office", "--", "true"]);
    let limit = |region: &TestCluster| {
        let explained = region.json(&["explain", &second]);
        let reasons = explained.first().and_then(|e| e["reasons"].as_array().cloned()).unwrap_or_default();
        reasons.into_iter().find(|reason| reason["reason"] == "team_limit")
    };
    region.wait_until("the reason", |region| limit(region).is_some());
    let reason = limit(&region).expect("the reason");
    assert_eq!((reason["used_cpus"].as_f64(), reason["limit_cpus"].as_f64()), (Some(2.0), Some(2.0)));
    assert_eq!(
        (&reason["by"][0]["job"], reason["by"][0]["cpus"].as_f64()),
        (&Value::from(first.as_str()), Some(2.0))
    );
    let text = region.run_program(&["explain", &second]);
    let text = String::from_utf8_lossy(&text.stdout).into_owned();
    assert!(text.contains("team office uses 2 of 2 CPUs") && text.contains(&first), "{text}");
    assert!(!text.contains('\u{1b}'), "no colours where there is no terminal");
    assert!(region.run_program(&["cancel", &first]).status.success());
    assert!(region.run_program(&["wait", &second, "--timeout", "60"]).status.success());
    assert!(limit(&region).is_none());
}

/// Exit codes tell programs what people read; a wrong file is refused before anything is sent.
#[test]
fn failures_have_their_codes_and_say_what_was_expected() {
    let folder = tempfile::tempdir().expect("a folder");
    let region = TestCluster::start(&folder.path().join("r"), &["default=0:4"]);
    let code = |arguments: &[&str]| {
        let output = region.run_program(arguments);
        (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
    };
    assert_eq!(code(&["explain", "job-000001"]).0, Some(1));
    assert_eq!(code(&["show", "nonsense"]).0, Some(1));
    let (status, text) = code(&["submit", "--cpus", "400", "--", "true"]);
    assert!(status == Some(4) && text.contains("422"), "{text}");
    let (status, text) = code(&["list", "--state", "lost"]);
    assert!(status == Some(4) && text.contains("expected live, ended"), "{text}");
    let file = folder.path().join("jobs.hcl");
    std::fs::write(&file, "job \"a\" {\n  command = [\"true\"]\n  colour = 1\n}\n").expect("a file");
    let (status, text) = code(&["submit", &file.display().to_string()]);
    assert!(status == Some(2) && text.contains("line 3") && text.contains("colour"), "{text}");
    assert_eq!(region.json(&["list"])[0]["jobs"].as_array().map(Vec::len), Some(0));
    // The same id is the same submission, however often it is sent.
    let id = region.submit(&["--id", "job-000777", "--", "true"]);
    assert_eq!(region.submit(&["--id", "job-000777", "--", "true"]), id);
    assert!(region.run_program(&["wait", &id, "--timeout", "60"]).status.success());
    assert_eq!(
        code(&["submit", "--id", "job-000777", "--", "false"]).0,
        Some(4),
        "another job under the name"
    );
    let stopped = region.submit(&["--", "sleep", "600"]);
    assert_eq!(code(&["wait", &stopped, "--timeout", "0.5"]).0, Some(6));
    assert!(region.run_program(&["cancel", &stopped]).status.success());
    assert_eq!(code(&["wait", &stopped]).0, Some(5));
}
