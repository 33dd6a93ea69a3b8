//! Compares the submissions made from job files, and the client's requests, with golden files.

#[path = "../../../tests/golden/support.rs"]
mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::thread::JoinHandle;
use std::time::Duration;

use olivelatch_client::{Client, ClientError, ConfigFile, Context, JobFile, JobFileFormat, PreparedJob};
use serde_json::{Value, json};
use support::Golden;

/// A job file in which the first job sets every field.
const EVERYTHING: &str = r#"
job "all" {
  id           = "job-000412"
  team         = "grid"
  class        = "ingest"
  shape        = "gang"
  urgency      = "critical"
  tasks        = 3
  cpus         = 0.5
  gpus         = 1
  memory_gb    = 2.5
  image        = "readings:7"
  image_gb     = 1.5
  kinds        = ["small", "large"]
  zone         = "north-a"
  together     = true
  scatter      = true
  spot         = true
  guess_s      = 30
  checkpoint_s = 5
  save_s       = 2
  due_s        = 600
  command      = ["sh", "-c", "true"]
  env          = { SOURCE = "meters" }
  dir          = "/tmp"
}
job "least" {
}
job "stays" {
  shape   = "service"
  urgency = "low"
  guess_s = 7
}
"#;

fn golden(name: &'static str) -> Golden {
    Golden::new(env!("CARGO_MANIFEST_DIR"), name)
}

/// Returns a prepared job as JSON. If the client generated its id, a constant replaces the id.
fn prepared_json(job: &PreparedJob, is_id_generated: bool) -> Value {
    let with_stable_id = |value: &Value| {
        let mut value = value.clone();
        if is_id_generated {
            assert_eq!(value["uid"], job.id);
            value["uid"] = json!("chosen");
        }
        value
    };
    json!({"submission": with_stable_id(&job.submission).to_string(), "description": job.description.as_ref().map(with_stable_id)})
}

fn add_jobs(golden: &mut Golden, file: &str, jobs: &JobFile) {
    for job in jobs.prepare().expect("jobs that can be sent") {
        golden.case(&format!("{file}: {}", job.name), prepared_json(&job, job.id != "job-000412"));
    }
}

#[test]
fn job_files() {
    let mut golden = golden("jobs");
    let batch = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/batch.hcl");
    add_jobs(&mut golden, "batch", &JobFile::load(&batch).expect("the example"));
    add_jobs(
        &mut golden,
        "everything",
        &JobFile::parse("jobs.hcl", EVERYTHING, JobFileFormat::Hcl).expect("jobs"),
    );
    let json = json!({"job": {"one": {"tasks": 2, "cpus": 0.25}}}).to_string();
    add_jobs(&mut golden, "as JSON", &JobFile::parse("jobs.json", &json, JobFileFormat::Json).expect("jobs"));
    let invalid_files = [
        ("a word", "job \"a\" {\n  colour = 1\n}\n"),
        ("a shape", "job \"a\" {\n  shape = \"daemon\"\n}\n"),
        ("an urgency", "job \"a\" {\n  urgency = \"soon\"\n}\n"),
        ("an id", "job \"a\" {\n  id = \"412\"\n}\n"),
        ("no tasks", "job \"a\" {\n  tasks = 0\n}\n"),
        ("nothing", ""),
    ];
    for (name, text) in invalid_files {
        let prepared = JobFile::parse("jobs.hcl", text, JobFileFormat::Hcl).and_then(|file| file.prepare());
        golden.case(&format!("wrong: {name}"), prepared.err().map(|error| error.to_string()));
    }
    golden.check();
}

/// Checks the values that the client sends for the entries of a configuration file.
#[test]
fn config_entries() {
    let mut golden = golden("entries");
    let text = "team \"grid\" {\n  limit_cpus = 4.5\n}\nteam \"field\" {\n  limit_cpus = 8\n  guaranteed_cpus = 2\n}\n";
    let file = ConfigFile::parse("entries.hcl", text).expect("entries");
    for (team, value) in &file.team {
        golden.case(team, support::encode(value));
    }
    let error = ConfigFile::parse("entries.hcl", "team \"grid\" {\n}\n").err();
    golden.case("wrong: nothing", error.map(|error| error.to_string()));
    golden.check();
}

/// Starts a server for one request, to which it sends `response` as the body. Its thread returns the text of the
/// request.
fn serve_one_request(response: &'static str) -> (SocketAddr, JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port on loopback");
    let addr = listener.local_addr().expect("an address");
    let serve = move || {
        let (mut stream, _) = listener.accept().expect("a client");
        let mut request = Vec::new();
        let mut chunk = [0; 4096];
        while !is_complete(&request) {
            let count = stream.read(&mut chunk).expect("a request");
            assert!(count > 0, "the connection was closed before the request was complete");
            request.extend_from_slice(&chunk[..count]);
        }
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{response}", response.len());
        stream.write_all(head.as_bytes()).expect("the response is sent");
        String::from_utf8(request).expect("text")
    };
    (addr, std::thread::spawn(serve))
}

fn is_complete(request: &[u8]) -> bool {
    let text = String::from_utf8_lossy(request).to_ascii_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let length = head.lines().find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok());
    body.len() >= length.unwrap_or(0)
}

type Operation = fn(&mut Client) -> Result<(), ClientError>;

/// Operations of the client, each with a response that it accepts.
const REQUESTS: [(&str, Operation, &str); 11] = [
    ("submit", |client| client.submit(&json!({"uid": "job-000412"})).map(drop), STATUS),
    ("poll", |client| client.job_status("job-000412").map(drop), STATUS),
    ("cancel", |client| client.cancel("job-000412").map(drop), STATUS),
    ("list", |client| client.list_jobs_page("limit=7&state=live", Some("job-000412")).map(drop), LIST),
    ("inspect", |client| client.job_detail("job-000412", Some(3), 7).map(drop), "{}"),
    ("explain", |client| client.explain("job-000412", Some(3)).map(drop), "{}"),
    ("events", |client| client.events("job-000412").map(drop), "{}"),
    ("describe", |client| client.upload_description("job-000412", &json!({"a": 1})), "{}"),
    ("description", |client| client.description("job-000412").map(drop), "{}"),
    ("logs", |client| client.logs("job-000412", 3).map(drop), "{}"),
    ("cancel a run", |client| client.cancel_run("nightly-1").map(drop), "{}"),
];
const STATUS: &str = r#"{"uid":"job-000412","status":"pending"}"#;
const LIST: &str = r#"{"node":"n0","revision":1,"jobs":[],"next":null}"#;

/// Compares only the requests; how responses are handled is tested elsewhere. `{}` is a response that the operation
/// may fail to parse, so its outcome is ignored.
#[test]
fn requests() {
    let mut golden = golden("requests");
    for (name, operation, response) in REQUESTS {
        let (addr, server) = serve_one_request(response);
        let context = Context { controllers: vec![addr], job_store: Some(addr) };
        let outcome = operation(&mut Client::new(context, Duration::from_secs(10)));
        let request = server.join().expect("a request").replace(&addr.to_string(), "ADDRESS");
        if response != "{}" {
            outcome.unwrap_or_else(|error| panic!("{name}: {error}"));
        }
        golden.case(name, request);
    }
    golden.check();
}
