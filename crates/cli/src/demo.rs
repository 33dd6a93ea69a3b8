//! `olivelatchctl demo`: a region, a mixed batch, the leading controller killed in the middle, a table at the end.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use anstream::println;
use olivelatch::protocol::operators::ControllerStatus;
use olivelatch_client::{Client, JobEntry, PreparedJob};
use olivelatch_local_cluster::LocalCluster;
use serde_json::Value;

use crate::args::{Demo, Up};
use crate::commands::{statuses, submit_job};
use crate::exit::CommandError;
use crate::{render, up};

const REQUEST_DEADLINE: Duration = Duration::from_secs(20);
const STEP_TIMEOUT: Duration = Duration::from_secs(120);

fn other_error(text: impl Into<String>) -> CommandError {
    CommandError::Other(text.into())
}

fn shell_command(text: &str) -> Vec<String> {
    ["sh", "-c", text].map(String::from).to_vec()
}

/// A wide array, a gang, a job held back by its team's limit, and one whose tasks fail the first time.
fn prepare_batch(folder: &Path, tasks: u32) -> Result<Vec<PreparedJob>, CommandError> {
    let marks = folder.join("marks").display().to_string();
    let env = |name: &str, value: String| BTreeMap::from([(name.to_string(), value)]);
    let entries = [
        (
            "ingest",
            JobEntry {
                tasks,
                cpus: 0.5,
                estimated_run_s: 0.3,
                command: shell_command("sleep 0.3; echo reading $OLIVELATCH_TASK"),
                ..JobEntry::default()
            },
        ),
        (
            "balances",
            JobEntry {
                tasks: 3,
                shape: "gang".into(),
                urgency: "high".into(),
                estimated_run_s: 1.0,
                command: shell_command("sleep 1; echo balanced"),
                ..JobEntry::default()
            },
        ),
        (
            "billing",
            JobEntry {
                tasks: 12,
                team: "office".into(),
                urgency: "high".into(),
                estimated_run_s: 0.5,
                command: shell_command("sleep 0.5; echo billed"),
                ..JobEntry::default()
            },
        ),
        (
            "flaky",
            JobEntry {
                tasks: 6,
                estimated_run_s: 0.1,
                env: env("MARKS", marks),
                command: shell_command(
                    "mkdir -p $MARKS; if mkdir $MARKS/$OLIVELATCH_TASK 2>/dev/null; then echo first try fails; exit 1; fi; echo second try",
                ),
                ..JobEntry::default()
            },
        ),
    ];
    let prepare =
        |(n, (name, entry)): (usize, &(&str, JobEntry))| entry.prepare(name, n as u64).map_err(other_error);
    entries.iter().enumerate().map(prepare).collect()
}

/// Waits until something holds.
fn wait_until(what: &str, mut holds: impl FnMut() -> Result<bool, CommandError>) -> Result<(), CommandError> {
    let end = Instant::now() + STEP_TIMEOUT;
    while !holds()? {
        if Instant::now() >= end {
            return Err(other_error(format!("{what}: not within {} s", STEP_TIMEOUT.as_secs())));
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    Ok(())
}

/// Who leads, and the number of its controller.
fn find_leader(client: &Client) -> Option<(usize, ControllerStatus)> {
    let all = statuses(client).into_iter().enumerate();
    let leads = |(at, (_, status)): (usize, (String, Option<ControllerStatus>))| {
        status.filter(|status| status.is_leader).map(|status| (at, status))
    };
    all.filter_map(leads).next()
}

pub fn demo(args: &Demo) -> Result<(), CommandError> {
    let folder = std::env::temp_dir().join(format!("latch-demo-{}", std::process::id()));
    let up = Up {
        state: folder.clone(),
        controllers: 3,
        machines: 4,
        cpus: 4.0,
        memory_gb: 8.0,
        teams: vec!["default=0:0".into(), "office=0:2".into()],
        tunables: None,
        controller: None,
        log_level: "info".into(),
    };
    let region = LocalCluster::open(up::cluster_config(&up)?)?;
    let context = up::context(region.addresses());
    let stopper = region.stop_flag();
    let runs = std::thread::spawn(move || region.run());
    let shown =
        run_steps(&folder, Client::new(context, REQUEST_DEADLINE), args.tasks.clamp(20, 5_000), &stopper);
    stopper.store(true, Ordering::Relaxed);
    let ended = runs.join().map_err(|_| other_error("the region stopped by a fault of its own"))?;
    if args.keep {
        println!("\nkept in {}", folder.display());
    } else {
        // What cannot be removed is in the system's folder for such things.
        let _ = std::fs::remove_dir_all(&folder);
    }
    shown?;
    Ok(ended?)
}

fn run_steps(
    folder: &Path,
    mut client: Client,
    tasks: u32,
    stopper: &AtomicBool,
) -> Result<(), CommandError> {
    let start = Instant::now();
    let at = || format!("{:5.1} s ", start.elapsed().as_secs_f64());
    println!("{} a region with 3 controllers and up to 4 machines of 4 CPUs, in {}", at(), folder.display());
    wait_until("a leader", || Ok(find_leader(&client).is_some() || stopper.load(Ordering::Relaxed)))?;
    let (first, status) = find_leader(&client).ok_or_else(|| other_error("interrupted"))?;
    let name = status.controller;
    println!("{} {name} leads; submitting four jobs", at());
    let jobs = prepare_batch(folder, tasks)?;
    for job in &jobs {
        submit_job(&mut client, job)?;
    }
    let billing = jobs.iter().find(|job| job.name == "billing").ok_or_else(|| other_error("no such job"))?;
    let limited = |client: &mut Client| {
        let explanation = client.explain(&billing.id, None)?;
        let limit = explanation.reasons.iter().any(|reason| render::reason_texts(reason).0 == "team_limit");
        Ok::<_, CommandError>(limit.then_some(explanation))
    };
    let mut explained = None;
    wait_until("an explanation", || {
        explained = limited(&mut client)?;
        Ok(explained.is_some())
    })?;
    if let Some(explained) = explained {
        println!("{} why does billing wait?\n{}", at(), render::explanation(&explained));
    }
    let ingest = &jobs[0].id;
    let done =
        |client: &mut Client| Ok::<u32, CommandError>(client.job_status(ingest)?.done.unwrap_or(tasks));
    wait_until("a third of the tasks", || Ok(done(&mut client)? * 3 >= tasks))?;
    client.kill_controller(first)?;
    let killed = Instant::now();
    println!("{} {name} killed in the middle of it", at());
    let mut next = None;
    wait_until("another leader", || {
        // The killed one may be back and lead: then it has started anew.
        let lived = killed.elapsed().as_secs_f64();
        next = find_leader(&client).filter(|(_, other)| other.controller != name || other.uptime_s < lived);
        Ok(next.is_some())
    })?;
    if let Some((_, next)) = next {
        let next = next.controller;
        println!("{} {next} leads, {:.1} s later", at(), killed.elapsed().as_secs_f64());
    }
    wait_until("the end of all jobs", || {
        let all = jobs.iter().map(|job| Ok(client.job_status(&job.id)?.status == "done"));
        Ok(all.collect::<Result<Vec<bool>, CommandError>>()?.into_iter().all(|done| done))
    })?;
    println!("{} all done\n", at());
    let page = client.list_jobs_page("limit=100", None)?;
    println!("{}", render::jobs_table(&page.jobs));
    println!("\n{}", summarize_run_log(folder)?);
    Ok(())
}

/// What the workers' own record says of the runs.
fn summarize_run_log(folder: &Path) -> Result<String, CommandError> {
    let text =
        std::fs::read_to_string(folder.join("runs.jsonl")).map_err(|error| other_error(error.to_string()))?;
    let (mut starts, mut failed) = (0, 0);
    let (mut done, mut again) = (BTreeSet::new(), 0);
    for line in text.lines() {
        let Ok(value) = serde_json::from_str::<Value>(line) else { continue };
        let task = value["task"].as_str().unwrap_or("").to_string();
        match value["event"].as_str() {
            Some("start") => {
                starts += 1;
                again += u32::from(done.contains(&task));
            }
            Some("exit") if value["done"] == true => drop(done.insert(task)),
            Some("exit") if value["code"] != 0 => failed += 1,
            _ => {}
        }
    }
    Ok(format!(
        "by the workers' own record: {starts} starts, {} tasks done, {failed} failed tries, {again} started again after done",
        done.len()
    ))
}
