//! Tests of the module `task_outputs`.

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
    let folder = outputs.attempt_folder(job, task, attempt);
    fs::create_dir_all(&folder).expect("an attempt folder");
    fs::write(folder.join("bill"), text).expect("a file");
}

fn terminal_record(name: &str, outcome: &str) -> Value {
    json!({"end": "done", "at": 1, "node": {"run": "r", "n": name, "o": outcome}})
}

/// Partial output is never published. The complete output of the winning attempts is; then the outputs of other
/// attempts are removed. When the node runs again, its new output replaces the old one, which stays published until
/// then.
#[test]
fn outputs_are_published_completely_or_not_at_all() {
    let folder = tempfile::tempdir().expect("a folder");
    let outputs = TaskOutputs::new(folder.path());
    let (first_job, second_job) = ("job-000001", "job-000002");
    let jobs = JobDescriptions::from([
        (first_job.into(), description(2, &[], None)),
        (second_job.into(), description(2, &[], None)),
    ]);
    write(&outputs, first_job, "0", 7, "half");
    write(&outputs, first_job, "0", 8, "whole 0");
    write(&outputs, first_job, "1", 9, "whole 1");
    let mut results = TaskResults::from([("job-000001/0".into(), TaskResult { attempt: 8, list_len: None })]);
    let published = folder.path().join("published/r/bills");
    let publish = |job: &str, outcome, results: &TaskResults| {
        outputs
            .publish_on_success(
                &format!("olivelatch/end/{job}"),
                &terminal_record("bills", outcome),
                &jobs,
                results,
            )
            .expect("a publication");
    };
    publish(first_job, "failed", &results);
    assert!(!published.exists());
    results.insert("job-000001/1".into(), TaskResult { attempt: 9, list_len: None });
    publish(first_job, "success", &results);
    let read = |task: &str| fs::read_to_string(published.join(task).join("bill")).expect("a bill");
    assert_eq!([read("0"), read("1")], ["whole 0", "whole 1"]);
    assert!(
        !outputs.attempt_folder(first_job, "0", 7).exists(),
        "the output of the losing attempt is removed"
    );
    write(&outputs, second_job, "0", 3, "new 0");
    assert_eq!(read("0"), "whole 0");
    write(&outputs, second_job, "1", 4, "new 1");
    results.insert("job-000002/0".into(), TaskResult { attempt: 3, list_len: None });
    results.insert("job-000002/1".into(), TaskResult { attempt: 4, list_len: None });
    publish(second_job, "success", &results);
    assert_eq!([read("0"), read("1")], ["new 0", "new 1"]);
}

#[test]
fn attempts_get_variables_for_inputs_and_list_item() {
    let folder = tempfile::tempdir().expect("a folder");
    let outputs = TaskOutputs::new(folder.path());
    let input_folder = outputs.attempt_folder("job-000001", "0", 5);
    fs::create_dir_all(&input_folder).expect("an attempt folder");
    fs::write(input_folder.join(LIST_FILE), r#"["north", {"id": 2}]"#).expect("a list");
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
    assert_eq!(value("OLIVELATCH_IN_RAW_DATA"), Some(input_folder.display().to_string()));
    assert_eq!(value("OLIVELATCH_ITEM").as_deref(), Some("north"));
    assert_eq!(value("OLIVELATCH_TASKS").as_deref(), Some("2"));
    let second = outputs.prepare_attempt("job-000002/1", 9, &jobs, &results).expect("variables");
    assert!(second.contains(&("OLIVELATCH_ITEM".into(), r#"{"id":2}"#.into())));
}
