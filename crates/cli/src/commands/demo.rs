//! `olivelatchctl demo`: starts a local cluster, submits a mixed batch, kills the leader halfway and prints a summary.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use anstream::println;
use olivelatch::protocol::operators::ControllerStatus;
use olivelatch_client::{Client, JobEntry, PreparedJob};
use olivelatch_local_cluster::LocalCluster;
use serde_json::Value;

use super::submit::submit_job;
use super::up;
use crate::args::{DemoArgs, UpArgs};
use crate::connection::controller_statuses;
use crate::exit::CommandError;
use crate::render;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);
const STEP_TIMEOUT: Duration = Duration::from_secs(120);
const STEP_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Allowed number of tasks of the largest job.
const TASKS_RANGE: std::ops::RangeInclusive<u32> = 20..=5_000;
/// Name of the job that its team's limit holds back.
const LIMITED_JOB: &str = "billing";

fn other_error(text: impl Into<String>) -> CommandError {
    CommandError::Other(text.into())
}

fn shell_command(text: &str) -> Vec<String> {
    ["sh", "-c", text].map(String::from).to_vec()
}

/// Prepares a wide array, a gang, a job held back by its team's limit, and a job whose tasks fail at the first attempt.
fn prepare_batch(folder: &Path, tasks: u32) -> Result<Vec<PreparedJob>, CommandError> {
    let entries = [
        ("ingest", wide_array(tasks)),
        ("balances", gang()),
        (LIMITED_JOB, limited()),
        ("flaky", flaky(folder)),
    ];
    let prepare = |(index, (name, entry)): (usize, &(&str, JobEntry))| {
        entry.prepare(name, index as u64).map_err(|error| other_error(error.to_string()))
    };
    entries.iter().enumerate().map(prepare).collect()
}

fn wide_array(tasks: u32) -> JobEntry {
    JobEntry {
        tasks,
        cpus: 0.5,
        estimated_run_s: 0.3,
        command: shell_command("sleep 0.3; echo reading $OLIVELATCH_TASK"),
        ..JobEntry::default()
    }
}

fn gang() -> JobEntry {
    JobEntry {
        tasks: 3,
        shape: "gang".into(),
        urgency: "high".into(),
        estimated_run_s: 1.0,
        command: shell_command("sleep 1; echo balanced"),
        ..JobEntry::default()
    }
}

/// A job with more tasks than its team may run at the same time.
fn limited() -> JobEntry {
    JobEntry {
        tasks: 12,
        team: "office".into(),
        urgency: "high".into(),
        estimated_run_s: 0.5,
        command: shell_command("sleep 0.5; echo billed"),
        ..JobEntry::default()
    }
}

/// A job whose tasks fail at the first attempt: an attempt succeeds only if it finds the marker folder that an earlier
/// attempt of the same task created.
fn flaky(folder: &Path) -> JobEntry {
    let marks_folder = folder.join("marks").display().to_string();
    JobEntry {
        tasks: 6,
        estimated_run_s: 0.1,
        env: BTreeMap::from([("MARKS".to_string(), marks_folder)]),
        command: shell_command(
            "mkdir -p $MARKS; if mkdir $MARKS/$OLIVELATCH_TASK 2>/dev/null; then echo first attempt fails; exit 1; fi; echo second attempt",
        ),
        ..JobEntry::default()
    }
}

/// Polls a condition until it holds; fails after [`STEP_TIMEOUT`].
fn wait_until(what: &str, mut holds: impl FnMut() -> Result<bool, CommandError>) -> Result<(), CommandError> {
    let end = Instant::now() + STEP_TIMEOUT;
    while !holds()? {
        if Instant::now() >= end {
            return Err(other_error(format!(
                "timed out after {} s waiting for {what}",
                STEP_TIMEOUT.as_secs()
            )));
        }
        std::thread::sleep(STEP_POLL_INTERVAL);
    }
    Ok(())
}

/// The controller that is the leader.
struct Leader {
    /// Index of the controller in the context.
    index: usize,
    status: ControllerStatus,
}

fn find_leader(client: &Client) -> Option<Leader> {
    let statuses = controller_statuses(client).into_iter().enumerate();
    statuses
        .filter_map(|(index, (_, status))| Some(Leader { index, status: status? }))
        .find(|leader| leader.status.is_leader)
}

/// Runs the demonstration in a new local cluster, whose folder is removed afterwards unless `--keep` is given.
pub(super) fn demo(args: &DemoArgs) -> Result<(), CommandError> {
    let folder = std::env::temp_dir().join(format!("latch-demo-{}", std::process::id()));
    let cluster = LocalCluster::open(up::cluster_config(&cluster_args(&folder))?)?;
    let context = up::context(cluster.addresses());
    let stop_flag = cluster.stop_flag();
    let cluster_thread = std::thread::spawn(move || cluster.run());
    let tasks = args.tasks.clamp(*TASKS_RANGE.start(), *TASKS_RANGE.end());
    let client = Client::new(context, REQUEST_TIMEOUT);
    let outcome = Steps { start: Instant::now(), folder: &folder, client, stop_flag: &stop_flag }.run(tasks);
    stop_flag.store(true, Ordering::Relaxed);
    let cluster_result =
        cluster_thread.join().map_err(|_| other_error("the thread of the local cluster panicked"))?;
    if args.keep {
        println!("\nthe folder of the cluster is kept: {}", folder.display());
    } else {
        // Errors are ignored: the folder is in the system's directory for temporary files.
        let _ = std::fs::remove_dir_all(&folder);
    }
    outcome?;
    Ok(cluster_result?)
}

fn cluster_args(folder: &Path) -> UpArgs {
    UpArgs {
        state: folder.to_path_buf(),
        controllers: 3,
        machines: 4,
        cpus: 4.0,
        memory_gb: 8.0,
        teams: vec!["default=0:0".into(), "office=0:2".into()],
        tunables: None,
        controller: None,
        log_level: "info".into(),
    }
}

/// The steps of the demonstration, each printed with the time since the start.
struct Steps<'a> {
    start: Instant,
    folder: &'a Path,
    client: Client,
    /// Set when the user interrupts the cluster.
    stop_flag: &'a AtomicBool,
}

impl Steps<'_> {
    fn run(mut self, tasks: u32) -> Result<(), CommandError> {
        self.print(&format!(
            "local cluster with 3 controllers and up to 4 machines of 4 CPUs, in {}",
            self.folder.display()
        ));
        let leader = self.wait_for_leader()?;
        self.print(&format!("{} is the leader; submitting four jobs", leader.status.controller));
        let jobs = prepare_batch(self.folder, tasks)?;
        for job in &jobs {
            submit_job(&mut self.client, job)?;
        }
        let limited_job = jobs.iter().find(|job| job.name == LIMITED_JOB);
        self.explain_limit(
            &limited_job.ok_or_else(|| other_error(format!("the batch has no job named {LIMITED_JOB}")))?.id,
        )?;
        self.wait_for_a_third(&jobs[0].id, tasks)?;
        self.kill_leader(&leader)?;
        self.wait_for_all(&jobs)?;
        self.print("all done\n");
        let page = self.client.list_jobs_page("limit=100", None)?;
        println!("{}", render::jobs_table(&page.jobs));
        println!("\n{}", summarize_run_log(self.folder)?);
        Ok(())
    }

    fn print(&self, step: &str) {
        println!("{:5.1} s  {step}", self.start.elapsed().as_secs_f64());
    }

    fn wait_for_leader(&self) -> Result<Leader, CommandError> {
        wait_until("a leader", || {
            Ok(find_leader(&self.client).is_some() || self.stop_flag.load(Ordering::Relaxed))
        })?;
        find_leader(&self.client).ok_or_else(|| other_error("interrupted while waiting for a leader"))
    }

    /// Waits until the explanation of the job names the team's limit, and prints it.
    fn explain_limit(&mut self, job: &str) -> Result<(), CommandError> {
        let mut explanation = None;
        wait_until("an explanation that names the team's limit", || {
            let latest = self.client.explain(job, None)?;
            let limited = latest.reasons.iter().any(|reason| render::reason_name(reason) == "team_limit");
            explanation = limited.then_some(latest);
            Ok(limited)
        })?;
        if let Some(explanation) = explanation {
            self.print(&format!("why is {LIMITED_JOB} waiting?\n{}", render::explanation_text(&explanation)));
        }
        Ok(())
    }

    /// Waits until a third of the job's tasks are done.
    fn wait_for_a_third(&mut self, job: &str, tasks: u32) -> Result<(), CommandError> {
        wait_until("the completion of a third of the tasks", || {
            // The response has no count once the job is finished.
            let done = self.client.job_status(job)?.done.unwrap_or(tasks);
            Ok(done * 3 >= tasks)
        })
    }

    /// Kills the leader, and waits until another controller, or the same one after its restart, is the leader.
    fn kill_leader(&mut self, leader: &Leader) -> Result<(), CommandError> {
        let name = &leader.status.controller;
        self.client.kill_controller(leader.index)?;
        let killed_at = Instant::now();
        self.print(&format!("killed {name} while the jobs run"));
        let mut successor = None;
        wait_until("a new leader", || {
            let since_kill_s = killed_at.elapsed().as_secs_f64();
            let is_new =
                |status: &ControllerStatus| status.controller != *name || status.uptime_s < since_kill_s;
            successor = find_leader(&self.client).filter(|leader| is_new(&leader.status));
            Ok(successor.is_some())
        })?;
        if let Some(successor) = successor {
            let took_s = killed_at.elapsed().as_secs_f64();
            self.print(&format!(
                "{} is the leader, {took_s:.1} s after the kill",
                successor.status.controller
            ));
        }
        Ok(())
    }

    fn wait_for_all(&mut self, jobs: &[PreparedJob]) -> Result<(), CommandError> {
        wait_until("the completion of all jobs", || {
            let mut all_done = true;
            for job in jobs {
                all_done &= self.client.job_status(&job.id)?.status == "done";
            }
            Ok(all_done)
        })
    }
}

/// Summarizes the workers' run log, which is independent of what the controllers report.
fn summarize_run_log(folder: &Path) -> Result<String, CommandError> {
    let path = folder.join("runs.jsonl");
    let text = std::fs::read_to_string(&path)
        .map_err(|error| other_error(format!("{}: {error}", path.display())))?;
    let (mut starts, mut failed) = (0, 0);
    let (mut done, mut starts_after_done) = (BTreeSet::new(), 0);
    for line in text.lines() {
        let Ok(value) = serde_json::from_str::<Value>(line) else { continue };
        let task = value["task"].as_str().unwrap_or("").to_string();
        match value["event"].as_str() {
            Some("start") => {
                starts += 1;
                starts_after_done += u32::from(done.contains(&task));
            }
            Some("exit") if value["done"] == true => {
                done.insert(task);
            }
            Some("exit") if value["code"] != 0 => failed += 1,
            _ => {}
        }
    }
    Ok(format!(
        "from the workers' run log: {starts} starts, {} tasks done, {failed} failed attempts, {starts_after_done} starts of tasks that were already done",
        done.len()
    ))
}
