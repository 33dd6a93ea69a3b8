//! Measurements on loopback for docs/measurements.md, which are not part of CI. Run them with:
//!     cargo test --release -p olivelatchctl --test measure -- --ignored --nocapture --test-threads 1

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

const PROGRAM: &str = env!("CARGO_BIN_EXE_olivelatchctl");

struct MeasuredCluster {
    folder: tempfile::TempDir,
    child: Child,
    controllers: Vec<SocketAddr>,
}

fn request(addr: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(2)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let status = text.split(' ').nth(1)?.parse().ok()?;
    Some((status, text.split_once("\r\n\r\n")?.1.to_string()))
}

impl MeasuredCluster {
    fn start(machines: &str) -> MeasuredCluster {
        let folder = tempfile::tempdir().expect("a folder");
        let child = Command::new(PROGRAM)
            .args(["up", "--machines", machines, "--state"])
            .arg(folder.path())
            .args(["--log-level", "error"])
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .expect("the program starts");
        let addresses_file = folder.path().join("region.json");
        let end = Instant::now() + Duration::from_secs(30);
        let mut controllers = Vec::new();
        while controllers.is_empty() && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(100));
            let Ok(text) = std::fs::read_to_string(&addresses_file) else { continue };
            let addresses: Value = serde_json::from_str(&text).expect("JSON");
            let all = addresses["controllers"].as_array().expect("controllers");
            let addrs: Vec<SocketAddr> = all
                .iter()
                .map(|addr| addr.as_str().expect("a string").parse().expect("an address"))
                .collect();
            let leads = |addr: &SocketAddr| {
                request(*addr, "GET", "/v1/status", "")
                    .is_some_and(|(_, body)| body.contains("\"leads\":true"))
            };
            if addrs.iter().any(leads) {
                controllers = addrs;
            }
        }
        assert!(!controllers.is_empty(), "no leader");
        MeasuredCluster { folder, child, controllers }
    }

    fn run_program(&self, arguments: &[&str]) -> String {
        let contexts = self.folder.path().join("contexts.hcl");
        let output =
            Command::new(PROGRAM).arg("--contexts").arg(contexts).args(arguments).output().expect("it runs");
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        String::from_utf8_lossy(&output.stdout).into_owned()
    }
}

impl Drop for MeasuredCluster {
    fn drop(&mut self) {
        let _ = Command::new("kill").arg("-TERM").arg(self.child.id().to_string()).status();
        let _ = self.child.wait();
    }
}

/// Renders the mean and some quantiles of values in milliseconds.
fn quantiles_text(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let quantile = |fraction: f64| values[((values.len() - 1) as f64 * fraction) as usize];
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    format!(
        "mean {mean:.2} ms, p50 {:.2}, p90 {:.2}, p99 {:.2} ms of {}",
        quantile(0.5),
        quantile(0.9),
        quantile(0.99),
        values.len()
    )
}

/// Returns the body of a submission that controllers reject with 422, as no machine has 1,000 CPUs.
fn infeasible_submission(id: u64) -> String {
    json!({"uid": format!("job-{id:06}"), "jobclass": "work", "owner": "default", "shape": "array", "urgency": "low",
        "pieces": 1, "vcpus": 1000.0, "accelerators": 0.0, "memory_gb": 1.0, "bundle": "i", "size_gb": 0.0, "together": false,
        "scatter": false, "loaners": false, "guess_s": 1.0, "snapshot_s": 0.0, "flush_s": 0.0})
    .to_string()
}

/// Returns the latencies in milliseconds of submissions and heartbeats, which are sent alternately. A submission is
/// rejected only after the same read of the key-value store that a poll needs. `first_id` is the number of the first
/// job id, and of the first heartbeat.
fn latencies(cluster: &MeasuredCluster, first_id: u64) -> (Vec<f64>, Vec<f64>) {
    let (mut submissions, mut heartbeats) = (Vec::new(), Vec::new());
    for index in 0..300 {
        let addr = cluster.controllers[index as usize % cluster.controllers.len()];
        let start = Instant::now();
        let (status, _) =
            request(addr, "POST", "/work", &infeasible_submission(first_id + index)).expect("a response");
        submissions.push(start.elapsed().as_secs_f64() * 1000.0);
        assert_eq!(status, 422);
        let heartbeat = json!({"box": "probe", "endpoint": "127.0.0.1:9", "boxkind": "local", "hall": "here", "loaners": false,
            "shift": 1, "tick": index + first_id, "baton": 0, "pieces": []});
        let start = Instant::now();
        request(addr, "POST", "/v1/report", &heartbeat.to_string()).expect("a response");
        heartbeats.push(start.elapsed().as_secs_f64() * 1000.0);
    }
    (submissions, heartbeats)
}

fn print_latencies(cluster: &MeasuredCluster, what: &str, first_id: u64) {
    let (submissions, heartbeats) = latencies(cluster, first_id);
    println!(
        "{what}: submissions {}\n       heartbeats  {}",
        quantiles_text(submissions),
        quantiles_text(heartbeats)
    );
}

#[test]
#[ignore = "a measurement"]
fn latencies_beside_idle_slow_and_killed_clients() {
    let cluster = MeasuredCluster::start("4");
    latencies(&cluster, 1_000_000);
    print_latencies(&cluster, "alone", 2_000_000);
    print_latencies(&cluster, "alone, repeated", 3_000_000);
    let idle: Vec<TcpStream> = (0..2_000)
        .filter_map(|index| TcpStream::connect(cluster.controllers[index % cluster.controllers.len()]).ok())
        .collect();
    print_latencies(&cluster, "beside 2,000 idle connections", 4_000_000);
    drop(idle);
    std::thread::sleep(Duration::from_secs(1));
    print_latencies(&cluster, "after they are closed", 5_000_000);
    let mut open = Vec::new();
    for index in 0..2_000 {
        let addr = cluster.controllers[index % cluster.controllers.len()];
        let Ok(mut stream) = TcpStream::connect(addr) else { continue };
        match index % 10 {
            // Requests lists repeatedly and never reads the responses.
            0 => drop(stream.write_all("GET /v1/jobs?limit=500 HTTP/1.1\r\n\r\n".repeat(20).as_bytes())),
            // Sends half a request.
            1 => drop(stream.write_all(b"POST /work HTTP/1.1\r\nContent-Length: 1000\r\n\r\n{\"uid\"")),
            _ => {}
        }
        open.push(stream);
    }
    print_latencies(
        &cluster,
        "beside 2,000 connections, 200 that never read responses, 200 with half a request",
        6_000_000,
    );
    drop(open);
    std::thread::sleep(Duration::from_secs(1));
    print_latencies(&cluster, "after all are closed", 7_000_000);
}

#[test]
#[ignore = "a measurement"]
fn time_from_submission_to_start() {
    let cluster = MeasuredCluster::start("2");
    cluster.run_program(&["submit", "--wait", "--", "true"]);
    let mut waits = Vec::new();
    for _ in 0..40 {
        let before =
            std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a time").as_millis();
        let text = cluster.run_program(&["--json", "submit", "--", "date", "+%s%3N"]);
        let submitted: Value = serde_json::from_str(&text).expect("JSON");
        let id = submitted["id"].as_str().expect("an id").to_string();
        cluster.run_program(&["wait", &id]);
        let log = cluster.run_program(&["logs", &id]);
        let started: u128 = log.lines().last().expect("a line").trim().parse().expect("a time");
        waits.push(started.saturating_sub(before) as f64);
    }
    println!(
        "from the start of `olivelatchctl submit` to the time that the command prints: {}",
        quantiles_text(waits)
    );
}

/// Returns the number of starts in the run log, and the seconds from its first to its last event.
fn read_run_log(folder: &Path) -> (usize, f64) {
    let text = std::fs::read_to_string(folder.join("runs.jsonl")).expect("the run log");
    let values: Vec<Value> = text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
    let at_ms = |value: &Value| value["at_ms"].as_u64().unwrap_or(0);
    let starts = values.iter().filter(|value| value["event"] == "start").count();
    let first = values.iter().map(at_ms).min().unwrap_or(0);
    let last = values.iter().map(at_ms).max().unwrap_or(0);
    (starts, (last - first) as f64 / 1000.0)
}

#[test]
#[ignore = "a measurement"]
fn task_starts_per_second() {
    const TASKS: usize = 4_000;
    let cluster = MeasuredCluster::start("4");
    let count = TASKS.to_string();
    cluster.run_program(&[
        "submit",
        "--wait",
        "--tasks",
        &count,
        "--cpus",
        "0.1",
        "--memory-gb",
        "0.01",
        "--guess-s",
        "0.01",
        "--",
        "true",
    ]);
    let (starts, seconds) = read_run_log(cluster.folder.path());
    println!(
        "olivelatchctl up, 4 machines of 4 CPUs, tasks of 0.1 CPU: {starts} starts in {seconds:.2} s, {:.0} per second",
        starts as f64 / seconds
    );
    let start = Instant::now();
    for _ in 0..TASKS {
        Command::new("true").status().expect("it runs");
    }
    println!(
        "for comparison, the command alone, one at a time: {:.0} per second",
        TASKS as f64 / start.elapsed().as_secs_f64()
    );
    let start = Instant::now();
    let threads: Vec<_> = (0..8)
        .map(|_| std::thread::spawn(|| (0..TASKS / 8).for_each(|_| drop(Command::new("true").status()))))
        .collect();
    threads.into_iter().for_each(|thread| thread.join().expect("a thread"));
    println!(
        "for comparison, the command alone, eight at a time: {:.0} per second",
        TASKS as f64 / start.elapsed().as_secs_f64()
    );
}
