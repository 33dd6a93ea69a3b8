//! The small scale run, whole: real processes on loopback, no rule broken; and one with workers that break a rule, seen.

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

fn text(output: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr))
}

/// The leader is killed in the middle: the rules hold, jobs are done, changes of configuration are in force.
#[test]
fn the_small_plan_holds() {
    let out = tempfile::tempdir().expect("a folder");
    let (output, report) = run(&small_plan(), out.path());
    assert!(output.status.success(), "{}", text(&output));
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

/// Workers that leave their tasks out of their reports have them started elsewhere: the check sees it.
#[test]
fn broken_workers_are_seen() {
    let folder = tempfile::tempdir().expect("a folder");
    let plan = folder.path().join("broken.hcl");
    let whole = std::fs::read_to_string(small_plan()).expect("the small plan");
    let fault = whole.find("fault \"").expect("its fault");
    let change = whole.find("change \"").expect("its changes");
    assert!(fault < change, "the changes come last");
    let text_of_plan = whole[..fault].replacen("seconds      = 30", "seconds      = 8", 1);
    std::fs::write(&plan, text_of_plan.replacen("drain_s = 20", "drain_s = 5\ndefect = \"hide_tasks\"", 1))
        .expect("a plan");
    let (output, report) = run(&plan, &folder.path().join("out"));
    assert_eq!(output.status.code(), Some(1), "{}", text(&output));
    let rules = report["violations"].as_array().expect("violations");
    assert!(rules.iter().any(|violation| violation["rule"] == "ran_twice"), "{}", text(&output));
}

/// A plan that is too large for the machine is refused before anything is started.
#[test]
fn too_large_a_plan_is_refused() {
    let folder = tempfile::tempdir().expect("a folder");
    let plan = folder.path().join("large.hcl");
    let whole = std::fs::read_to_string(small_plan()).expect("the small plan");
    std::fs::write(&plan, whole.replacen("per_zone       = 40", "per_zone       = 100000000", 1))
        .expect("a plan");
    let out = folder.path().join("out");
    let output = Command::new(PROGRAM).args(["scale", "run"]).arg(&plan).arg("--out").arg(&out).output();
    let output = output.expect("the program runs");
    assert_eq!(output.status.code(), Some(2), "{}", text(&output));
    assert!(text(&output).contains("refused: "), "{}", text(&output));
    assert!(!out.exists(), "nothing was started");
}
