//! `olivelatchctl config` against a real cluster on loopback.

mod common;

use common::TestCluster;
use serde_json::Value;

const SUCCESS: Option<i32> = Some(0);
const REJECTED: Option<i32> = Some(4);

fn output_text(output: &std::process::Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr))
}

/// Limits are set, rejected as too high, rejected because of a version conflict, applied from a file twice, and unset. An
/// unknown context is reported as not changed and does not affect the other one.
#[test]
fn limits_change_while_the_cluster_runs() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut cluster = TestCluster::start(folder.path(), &["office=2:8", "lab=1:4"]);
    let run = |arguments: &[&str]| {
        let output = cluster.run_program(&[&["config"], arguments].concat());
        (output.status.code(), output_text(&output))
    };
    let (code, text) = run(&["set", "team/office", "--limit-cpus", "3", "--why", "quarter end", "--wait"]);
    assert_eq!(code, SUCCESS, "{text}");
    assert!(text.contains(": in force after "), "{text}");
    let shown = cluster.json(&["config", "get", "team/office"]);
    assert_eq!(
        (&shown[0]["holds"]["limit_cpus"], &shown[0]["in_force"]),
        (&Value::from(3.0), &Value::from(true))
    );
    assert_eq!(shown[0]["why"], "quarter end");
    let (code, text) = run(&["set", "team/office", "--limit-cpus", "9"]);
    assert_eq!(code, REJECTED, "{text}");
    assert!(text.contains("expected 0 to 8") && text.contains("not 9"), "{text}");
    let (code, text) = run(&["set", "team/office", "--limit-cpus", "4", "--expected", "0"]);
    assert_eq!(code, REJECTED, "{text}");
    assert!(text.contains("changed meanwhile"), "{text}");
    let file = folder.path().join("limits.hcl");
    std::fs::write(&file, "team \"office\" {\n  limit_cpus = 5\n}\nteam \"lab\" {\n  limit_cpus = 2\n}\n")
        .expect("a file");
    let file = file.display().to_string();
    let (code, text) = run(&["apply", &file, "--dry-run"]);
    assert!(code == SUCCESS && text.contains("team/lab") && text.contains("team/office"), "{text}");
    assert_eq!(cluster.json(&["config", "get", "team/lab"])[0]["version"], 0, "nothing was written");
    let (code, text) = run(&["apply", &file, "--to", "far", "--to", "local", "--wait"]);
    assert_ne!(code, SUCCESS, "one of the contexts does not exist: {text}");
    assert!(text.contains("far: NOT CHANGED") && text.contains("in force after"), "{text}");
    let (code, text) = run(&["apply", &file, "--wait"]);
    assert!(code == SUCCESS && text.contains("nothing to change"), "{text}");
    let (code, text) = run(&["unset", "team/office", "--wait"]);
    assert_eq!(code, SUCCESS, "{text}");
    assert_eq!(cluster.json(&["config", "get", "team/office"])[0]["holds"]["limit_cpus"], 8.0);
    cluster.stop();
}
