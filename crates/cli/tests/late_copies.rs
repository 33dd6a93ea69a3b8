//! A late copy of a start command, against real controllers and a real worker on loopback.

mod common;

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::Duration;

use common::TestCluster;
use serde_json::{Value, json};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const STATUS_CONFLICT: u16 = 409;
/// Under load a controller sends starts in responses to heartbeats, and few of them directly.
const MAX_JOBS: usize = 20;

/// Sends a request and returns the status and the body of the response.
fn send_request(address: SocketAddr, method: &str, path: &str, body: &str) -> io::Result<(u16, Value)> {
    assert!(address.ip().is_loopback(), "{address}");
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(REQUEST_TIMEOUT))?;
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes())?;
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    let (head, body) = response.split_once("\r\n\r\n").expect("a head");
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status");
    Ok((status, serde_json::from_str(body).expect("JSON")))
}

fn parse_address(value: &Value) -> Option<SocketAddr> {
    value.as_str()?.parse().ok()
}

/// Returns the addresses of the workers. A machine that boots has no worker, and an address outside loopback.
fn worker_addresses(folder: &Path) -> Vec<SocketAddr> {
    let text = std::fs::read_to_string(folder.join("region.json")).expect("the address file");
    let addresses: Value = serde_json::from_str(&text).expect("JSON");
    let cloud = parse_address(&addresses["cloud"]).expect("an address");
    let (_, list) = send_request(cloud, "GET", "/hosts?page=500", "").expect("the cloud");
    let machines = list["boxes"].as_array().expect("machines");
    let addresses = machines.iter().filter_map(|machine| parse_address(&machine["endpoint"]));
    addresses.filter(|address| address.ip().is_loopback()).collect()
}

/// Returns the worker that reports the task in this state, and its report.
fn find_task(folder: &Path, task: &str, status: &str) -> Option<(SocketAddr, Value)> {
    worker_addresses(folder).into_iter().find_map(|address| {
        let (_, report) = send_request(address, "GET", "/status", "").ok()?;
        let mut tasks = report["pieces"].as_array()?.iter();
        tasks
            .any(|known| known["piece"] == task && known["status"] == status)
            .then_some((address, report.clone()))
    })
}

fn lists_task(address: SocketAddr, task: &str) -> bool {
    let (_, report) = send_request(address, "GET", "/status", "").expect("a worker");
    report["pieces"].as_array().is_some_and(|tasks| tasks.iter().any(|known| known["piece"] == task))
}

/// Cancels a job whose task runs, waits until the worker forgets the task, and sends it a copy of the start command.
/// Returns whether the start had been sent in a direct message: other starts are never delivered late.
fn send_late_copy(cluster: &TestCluster) -> bool {
    let folder = cluster.folder.as_path();
    let id = cluster.submit(&["--team", "office", "--", "sleep", "600"]);
    let task = format!("{id}/0");
    cluster.wait_until("the task runs", |_| find_task(folder, &task, "running").is_some());
    let (address, report) = find_task(folder, &task, "running").expect("a running task");
    let started = report["pieces"].as_array().expect("tasks").iter().find(|known| known["piece"] == task);
    let attempt = started.expect("the task")["try"].as_u64().expect("an attempt");
    let copy = json!({"baton": report["baton"], "shift": report["shift"],
        "orders": [{"verb": "run", "piece": task, "try": attempt}]});
    cluster.json(&["cancel", &id]);
    cluster.wait_until("the worker forgets the task", |_| !lists_task(address, &task));
    if !cluster.is_logged(&[&format!("run {task} attempt {attempt} "), "sent directly"]) {
        return false;
    }
    let starts = || cluster.run_log().iter().filter(|entry| entry.job == id && entry.is_start).count();
    let starts_before = starts();
    let (status, report) = send_request(address, "POST", "/orders", &copy.to_string()).expect("a worker");
    assert_eq!(status, STATUS_CONFLICT, "{report}");
    assert!(!lists_task(address, &task), "{report}");
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(starts(), starts_before);
    true
}

#[test]
fn a_late_copy_of_a_start_does_not_revive_a_cancelled_task() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut cluster = TestCluster::start_logging(folder.path(), &["office=8:8"], Some("debug"));
    let was_direct = (0..MAX_JOBS).any(|_| send_late_copy(&cluster));
    assert!(was_direct, "no start was sent directly");
    cluster.stop();
}
