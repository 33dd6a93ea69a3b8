//! Tests of `jobs`.

use super::*;

#[test]
fn hcl_and_json_files_give_the_same_jobs() {
    let hcl = "job \"a\" {\n  tasks = 3\n  command = [\"echo\", \"hi\"]\n  env = { X = \"1\" }\n}\n";
    let json = r#"{"job": {"a": {"tasks": 3, "command": ["echo", "hi"], "env": {"X": "1"}}}}"#;
    let read = |text, format| JobFile::parse("f", text, format).expect("a file").jobs;
    assert_eq!(read(hcl, JobFileFormat::Hcl), read(json, JobFileFormat::Json));
    let prepared = JobFile::parse("f", hcl, JobFileFormat::Hcl).expect("a file").prepare().expect("jobs");
    assert_eq!(prepared[0].submission["pieces"], 3);
    assert_eq!(prepared[0].description.as_ref().map(|d| d["run"]["env"]["X"].clone()), Some(json!("1")));
}

#[test]
fn the_example_job_files_are_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    // Graph files have another format, which olivelatch-dag-files checks. Scale test plans are in a subfolder
    // and are checked by olivelatch-scale-test.
    let is_graph_file =
        |path: &Path| std::fs::read_to_string(path).is_ok_and(|text| text.contains("\ngraph "));
    let files = std::fs::read_dir(folder).expect("the examples").flatten();
    let files = files.filter(|file| file.path().is_file() && !is_graph_file(&file.path()));
    let checked =
        files.map(|file| JobFile::load(&file.path()).and_then(|f| f.prepare()).expect("a valid file").len());
    assert!(checked.sum::<usize>() > 0);
}

/// Errors are found before anything is sent, and name the location and what was expected.
#[test]
fn errors_name_the_location_and_what_was_expected() {
    let problem = |text: &str| {
        let file = JobFile::parse("f.hcl", text, JobFileFormat::Hcl);
        file.and_then(|file| file.prepare().map(drop)).expect_err("a problem").to_string()
    };
    assert!(problem("job \"a\" {\n  task = 3\n}\n").contains("line 2"));
    assert!(problem("job \"a\" {\n  shape = \"ring\"\n}\n").contains("expected array, gang or service"));
    assert!(problem("job \"a\" {\n  tasks = 0\n}\n").contains("job \"a\": pieces must be 1"));
    assert!(problem("job \"a\" {\n  id = \"a\"\n}\n").contains("job-000412"));
    assert!(problem("").contains("no jobs"));
}

#[test]
fn generated_ids_are_unique_and_valid() {
    let ids: std::collections::BTreeSet<String> = (0..1000).map(new_id).collect();
    assert_eq!(ids.len(), 1000);
    assert!(ids.iter().all(|id| olivelatch::ids::JobId::parse(id).is_some()));
}
