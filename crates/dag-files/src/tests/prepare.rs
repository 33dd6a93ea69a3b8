//! Tests of `prepare`.

use super::*;
use std::collections::BTreeMap;

#[test]
fn a_file_is_prepared_as_parts_and_descriptions() {
    let mut text = String::from("graph = \"g\"\nnode \"a\" {\n  command = [\"true\"]\n}\n");
    text += "node \"b\" {\n  each = [1, 2, 3]\n  after = [\"a\"]\n  command = [\"true\"]\n}\n";
    text += "node \"c\" {\n  map = \"a\"\n  after = [\"b\"]\n  command = [\"true\"]\n}\n";
    let dag_file = DagFile::parse("f", &text, &BTreeMap::new()).expect("a graph");
    let run = dag_file.prepare("f", Some("r-1")).expect("a run");
    assert_eq!((run.header.nodes, run.header.parts, run.parts.len()), (5, 1, 1));
    let part = &run.parts[0];
    assert_eq!(part.templates.len(), 1, "nodes with equal attributes share a template");
    assert_eq!(part.edges, [(1, 0, 1), (2, 0, 1), (3, 0, 1), (4, 0, 4)]);
    assert_eq!(part.nodes[4].mapped_from, Some(0));
    let last = &run.descriptions[4].1;
    assert_eq!(last["map"], json!(run.descriptions[0].0));
    assert_eq!(last["inputs"]["b-2"], json!(run.descriptions[2].0));
    assert!(dag_file.prepare("f", Some("r 1")).is_err());
}

#[test]
fn the_example_file_is_valid() {
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/billing.hcl");
    let dag_file = DagFile::load(&path, &BTreeMap::new()).expect("a valid file");
    let run = dag_file.prepare("billing.hcl", None).expect("a run");
    assert_eq!((run.run.as_str(), run.header.nodes), ("billing-2026-12-01", 5));
    let raw = run.descriptions[0].1.to_string();
    assert!(raw.contains("for town in north east south west;"), "{raw}");
}

#[test]
fn a_rerun_replaces_inputs_from_rerun_jobs() {
    let view = |name: &str, job: u64, upstream: &[(u32, u32)]| {
        let value = json!({"name": name, "job": job_name(job), "state": "failed", "rule": "all_success",
                "after": upstream, "done": 0, "running": 0, "guess_s": 1.0, "ahead_s": 0.0, "evidence": []});
        serde_json::from_value(value).expect("a node")
    };
    let nodes = [view("a", 1, &[]), view("b", 2, &[(0, 1)]), view("c", 3, &[]), view("d", 4, &[(1, 2)])];
    let rerun = Rerun::new(&nodes, &[1]).expect("b and d");
    assert_eq!(rerun.jobs.keys().collect::<Vec<_>>(), [&job_name(2), &job_name(4)]);
    let ranges = &rerun.parts[0].reruns;
    assert_eq!(ranges.iter().map(|(first, count, _)| (*first, *count)).collect::<Vec<_>>(), [(1, 1), (3, 1)]);
    let old = json!({"uid": job_name(4), "inputs": {"b": job_name(2), "c": job_name(3)}, "map": job_name(2)});
    let new = rerun.description(&old, &rerun.jobs[&job_name(4)]);
    assert_eq!(new["inputs"]["b"], json!(rerun.jobs[&job_name(2)]));
    assert_eq!(new["inputs"]["c"], json!(job_name(3)));
    assert_eq!(new["map"], new["inputs"]["b"]);
}
