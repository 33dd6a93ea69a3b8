//! Runs the small scale test with real processes on loopback: invariants hold, a violation of one by defective workers
//! is detected, and a plan that is too large for the machine is rejected.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use serde_json::Value;

const PROGRAM: &str = env!("CARGO_BIN_EXE_olivelatchctl");

fn small_plan() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/scale/small.hcl")
}

fn run(plan: &Path, out: &Path) -> (Output, Value) {
    let output = Command::new(PROGRAM)
        .args(["scale", "run"])
        .arg(plan)
        .arg("--out")
        .arg(out)
        .output()
        .expect("the program runs");
    let report = std::fs::read(out.join("report.json")).expect("a report");
    (output, serde_json::from_slice(&report).expect("JSON"))
}

fn output_text(output: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr))
}

/// The leader is killed halfway: invariants hold, jobs complete, and configuration changes come into force.
#[test]
fn the_small_plan_runs_without_violations() {
    let out = tempfile::tempdir().expect("a folder");
    let (output, report) = run(&small_plan(), out.path());
    assert!(output.status.success(), "{}", output_text(&output));
    assert_eq!(report["ended"], "played whole");
    assert_eq!(report["violations"], Value::Array(Vec::new()));
    assert_eq!((&report["given_up"], &report["open_at_end"]), (&Value::from(0), &Value::from(0)));
    assert_eq!(report["unanswered_at_end"], 0);
    assert!(report["done"].as_u64().is_some_and(|done| done >= 80), "{}", report["done"]);
    assert!(report["leads"].as_array().is_some_and(|leads| leads.len() >= 2), "{}", report["leads"]);
    let changes = &report["changes"]["one a second"];
    assert_eq!(changes["failed"], 0, "{changes}");
    assert_eq!(changes["asked"], changes["in_force"]["count"], "{changes}");
    assert!(std::fs::read_to_string(out.path().join("report.html")).expect("a page").contains("<svg"));
}

/// Workers that omit tasks from their heartbeats cause the tasks to be started a second time, which the
/// checker detects.
#[test]
fn defective_workers_are_detected() {
    let folder = tempfile::tempdir().expect("a folder");
    let plan = folder.path().join("broken.hcl");
    let small_plan = std::fs::read_to_string(small_plan()).expect("the small plan");
    let first_fault = small_plan.find("fault \"").expect("its fault");
    let first_change = small_plan.find("change \"").expect("its changes");
    assert!(first_fault < first_change, "the changes come last");
    let without_faults_and_changes =
        small_plan[..first_fault].replacen("seconds      = 30", "seconds      = 8", 1);
    std::fs::write(
        &plan,
        without_faults_and_changes.replacen("drain_s = 20", "drain_s = 5\ndefect = \"hide_tasks\"", 1),
    )
    .expect("a plan");
    let (output, report) = run(&plan, &folder.path().join("out"));
    assert_eq!(output.status.code(), Some(1), "{}", output_text(&output));
    let violations = report["violations"].as_array().expect("violations");
    assert!(violations.iter().any(|violation| violation["rule"] == "ran_twice"), "{}", output_text(&output));
}

/// A plan that is too large for the machine is rejected before anything is started.
#[test]
fn plans_that_are_too_large_are_rejected() {
    let folder = tempfile::tempdir().expect("a folder");
    let plan = folder.path().join("large.hcl");
    let small_plan = std::fs::read_to_string(small_plan()).expect("the small plan");
    std::fs::write(&plan, small_plan.replacen("per_zone       = 40", "per_zone       = 100000000", 1))
        .expect("a plan");
    let out = folder.path().join("out");
    let output = Command::new(PROGRAM).args(["scale", "run"]).arg(&plan).arg("--out").arg(&out).output();
    let output = output.expect("the program runs");
    assert_eq!(output.status.code(), Some(2), "{}", output_text(&output));
    assert!(output_text(&output).contains("refused: "), "{}", output_text(&output));
    assert!(!out.exists(), "nothing was started");
}
