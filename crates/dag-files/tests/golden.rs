//! Compares the parts, headers and descriptions prepared from graph files, and the errors of invalid files, with the
//! golden file.

#[path = "../../../tests/golden/support.rs"]
mod support;

use std::collections::BTreeMap;
use std::path::Path;

use olivelatch_dag_files::{DagFile, PreparedRun};
use serde_json::{Value, json};
use support::{Golden, encode};

/// Uses every node attribute that is not an attribute of a job.
const ALL_ATTRIBUTES: &str = r#"
graph     = "nightly"
run       = "nightly-{{ day }}"
most_runs = 3
vars {
  day   = "2026-12-01"
  towns = ["north", "east"]
}
defaults {
  class   = "billing"
  command = ["sh", "-c", "echo {{ day }}"]
}
node "raw" {
  each      = "towns"
  output_gb = 1.5
  env       = { TOWN = "{{ item }}", AT = "{{ index }}" }
}
node "balance" {
  map         = "raw-east"
  after       = ["raw"]
  rule        = "none_failed"
  tries       = 4
  wait_s      = 0.5
  most_wait_s = 2
  limit_s     = 90
  pool        = "billing"
  shape       = "gang"
  tasks       = 2
}
node "alarm" {
  after = ["balance"]
  rule  = "one_failed"
}
"#;

/// Returns a prepared run as JSON, with the randomly drawn job ids replaced by consecutive ones.
fn with_stable_job_ids(run: &PreparedRun) -> Value {
    let mut text = json!({"run": run.run, "header": encode(&run.header), "parts": run.parts,
        "descriptions": run.descriptions})
    .to_string();
    for (index, (job, _)) in run.descriptions.iter().enumerate() {
        let digits = job.strip_prefix("job-").expect("a job id");
        text = text.replace(digits, &format!("{:018}", index + 1).replacen('0', "9", 1));
    }
    serde_json::from_str(&text).expect("JSON")
}

#[test]
fn graph_files() {
    let mut golden = Golden::new(env!("CARGO_MANIFEST_DIR"), "graphs");
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/billing.hcl");
    let text = std::fs::read_to_string(example).expect("the example");
    let variables = BTreeMap::from([("day".to_string(), "2026-12-02".to_string())]);
    let files = [
        ("billing", text.as_str(), BTreeMap::new()),
        ("billing, another day", text.as_str(), variables),
        ("everything", ALL_ATTRIBUTES, BTreeMap::new()),
    ];
    for (name, text, vars) in files {
        let file = DagFile::parse("graph.hcl", text, &vars).expect("a graph");
        let run = file.prepare("graph.hcl", None).expect("a run");
        golden.case(name, with_stable_job_ids(&run));
        // Encoded as a string, as the stored bytes depend on the order of fields.
        let first = run.parts.first().map(|part| encode(&part.templates.first()));
        golden.case(&format!("{name}: first template"), first);
    }
    let invalid_files = [
        ("unknown trigger rule", ALL_ATTRIBUTES.replacen("none_failed", "some_failed", 1)),
        (
            "unknown upstream node",
            ALL_ATTRIBUTES.replacen("after = [\"balance\"]", "after = [\"balances\"]", 1),
        ),
        ("unknown attribute", ALL_ATTRIBUTES.replacen("limit_s ", "limits_s ", 1)),
        ("undefined variable", ALL_ATTRIBUTES.replacen("{{ item }}", "{{ items }}", 1)),
        ("cycle", ALL_ATTRIBUTES.replacen("after       = [\"raw\"]", "after = [\"alarm\"]", 1)),
    ];
    for (name, text) in invalid_files {
        let error = DagFile::parse("graph.hcl", &text, &BTreeMap::new()).err();
        golden.case(&format!("invalid: {name}"), error.expect(name).to_string());
    }
    golden.check();
}
