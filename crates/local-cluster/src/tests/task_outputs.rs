//! Tests of `task_outputs`.

use super::*;
use olivelatch_worker::{ProcessCommand, TaskWork};
use serde_json::json;

fn description(tasks: u32, inputs: &[(&str, &str)], map: Option<&str>) -> JobDescription {
    JobDescription {
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "i".into(),
        image_gb: 0.0,
        gang: false,
        tasks,
        can_checkpoint: false,
        checkpoint_save_ms: 0,
        work: TaskWork::Process(ProcessCommand::default()),
        inputs: inputs.iter().map(|(name, job)| ((*name).into(), (*job).into())).collect(),
        map_source: map.map(String::from),
    }
}

fn write(outputs: &TaskOutputs, job: &str, task: &str, attempt: u64, text: &str) {
    let place = outputs.attempt_folder(job, task, attempt);
    fs::create_dir_all(&place).expect("a place");
    fs::write(place.join("bill"), text).expect("a file");
}

fn end(name: &str, outcome: &str) -> Value {
    json!({"end": "done", "at": 1, "node": {"run": "r", "n": name, "o": outcome}})
}

/// Half-written output is never shown; the winner's is, whole, and after it the leftovers go. Done over, the node's
/// new output takes the place of the old one, which is shown until then.
#[test]
fn outputs_appear_whole_or_not_at_all() {
    let folder = tempfile::tempdir().expect("a folder");
    let outputs = TaskOutputs::new(folder.path());
    let (one, two) = ("job-000001", "job-000002");
    let jobs = JobDescriptions::from([
        (one.into(), description(2, &[], None)),
        (two.into(), description(2, &[], None)),
    ]);
    write(&outputs, one, "0", 7, "half");
    write(&outputs, one, "0", 8, "whole 0");
    write(&outputs, one, "1", 9, "whole 1");
    let mut results = TaskResults::from([("job-000001/0".into(), TaskResult { attempt: 8, list_len: None })]);
    let shown = folder.path().join("published/r/bills");
    let follow = |job: &str, outcome, results: &TaskResults| {
        outputs
            .publish_on_success(&format!("olivelatch/end/{job}"), &end("bills", outcome), &jobs, results)
            .expect("follow");
    };
    follow(one, "failed", &results);
    assert!(!shown.exists());
    results.insert("job-000001/1".into(), TaskResult { attempt: 9, list_len: None });
    follow(one, "success", &results);
    let read = |task: &str| fs::read_to_string(shown.join(task).join("bill")).expect("a bill");
    assert_eq!([read("0"), read("1")], ["whole 0", "whole 1"]);
    assert!(!outputs.attempt_folder(one, "0", 7).exists(), "leftovers are gone");
    write(&outputs, two, "0", 3, "new 0");
    assert_eq!(read("0"), "whole 0");
    write(&outputs, two, "1", 4, "new 1");
    results.insert("job-000002/0".into(), TaskResult { attempt: 3, list_len: None });
    results.insert("job-000002/1".into(), TaskResult { attempt: 4, list_len: None });
    follow(two, "success", &results);
    assert_eq!([read("0"), read("1")], ["new 0", "new 1"]);
}

#[test]
fn tasks_are_told_their_inputs_and_their_element() {
    let folder = tempfile::tempdir().expect("a folder");
    let outputs = TaskOutputs::new(folder.path());
    let place = outputs.attempt_folder("job-000001", "0", 5);
    fs::create_dir_all(&place).expect("a place");
    fs::write(place.join(LIST_FILE), r#"["north", {"id": 2}]"#).expect("a list");
    assert_eq!(outputs.list_length("job-000001/0", 5), Some(2));
    assert_eq!(outputs.list_length("job-000001/0", 6), None);
    let results = TaskResults::from([("job-000001/0".into(), TaskResult { attempt: 5, list_len: Some(2) })]);
    let jobs = JobDescriptions::from([
        ("job-000001".into(), description(1, &[], None)),
        ("job-000002".into(), description(1, &[("raw-data", "job-000001")], Some("job-000001"))),
    ]);
    let variables = outputs.prepare_attempt("job-000002/0", 9, &jobs, &results).expect("variables");
    let value =
        |name: &str| variables.iter().rev().find(|(known, _)| known == name).map(|(_, value)| value.clone());
    assert_eq!(value("OLIVELATCH_IN_RAW_DATA"), Some(place.display().to_string()));
    assert_eq!(value("OLIVELATCH_ITEM").as_deref(), Some("north"));
    assert_eq!(value("OLIVELATCH_TASKS").as_deref(), Some("2"));
    let second = outputs.prepare_attempt("job-000002/1", 9, &jobs, &results).expect("variables");
    assert!(second.contains(&("OLIVELATCH_ITEM".into(), r#"{"id":2}"#.into())));
}
