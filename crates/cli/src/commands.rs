//! What asks the controllers.

use std::collections::BTreeMap;
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use anstream::println;
use indicatif::{ProgressBar, ProgressStyle};
use olivelatch::protocol::operators::ControllerStatus;
use olivelatch_client::{Client, ClientError, Contexts, JobEntry, JobFile, PreparedJob};
use serde::Serialize;
use serde_json::json;

use crate::args::{Command, Common, List, ShapeArgument, Submit, UrgencyArgument};
use crate::exit::{CommandError, NOT_SUCCESSFUL, WAIT_TIMEOUT};
use crate::render;

const POLL_INTERVAL: Duration = Duration::from_millis(250);
const TOP_INTERVAL: Duration = Duration::from_secs(2);
const PAGE_SIZE: usize = 200;

pub fn run(common: &Common, command: Command) -> Result<ExitCode, CommandError> {
    let mut client = connect(common)?;
    let client = &mut client;
    match command {
        Command::Submit(args) => return submit(common, client, &args),
        Command::List(args) => list(common, client, &args)?,
        Command::Show { id, tasks } => {
            let detail = client.job_detail(&id, None, tasks.clamp(1, 500))?;
            print_value(common, &detail, || render::job_detail(&detail))?;
        }
        Command::Explain { id, task } => {
            let explanation = client.explain(&id, task)?;
            print_value(common, &explanation, || render::explanation(&explanation))?;
        }
        Command::Cancel { ids } => {
            for id in &ids {
                let answer = client.cancel(id)?;
                print_value(common, &json!({"id": answer.uid, "state": answer.status}), || {
                    format!("{}  {}", answer.uid, answer.status)
                })?;
            }
        }
        Command::Wait { ids, timeout } => return wait(common, client, &ids, timeout),
        Command::Events { id } => {
            let events = client.events(&id)?;
            print_value(common, &events, || render::events_table(&events))?;
        }
        Command::Logs { id, task } => {
            let logs = client.logs(&id, task)?;
            for attempt in &logs.attempts {
                let cut = if attempt.truncated { " (its end)" } else { "" };
                println!("--- {} attempt {}{cut}\n{}", logs.task, attempt.attempt, attempt.text.trim_end());
            }
        }
        Command::Graph(graph) => return crate::graphs::run(common, client, &graph),
        Command::Top { once } => top(common, client, once)?,
        Command::Check { files } => check_files(common, client, &files)?,
        Command::Completions { .. }
        | Command::Up(_)
        | Command::Demo(_)
        | Command::Config(_)
        | Command::Scale(_)
        | Command::Controller(_) => {}
    }
    Ok(ExitCode::SUCCESS)
}

/// The contexts file that counts: named, by the variable, of a region started here, or the user's own.
fn contexts_path(common: &Common) -> Option<PathBuf> {
    let named = common.contexts.clone().or_else(|| std::env::var_os("LATCH_CONTEXTS").map(PathBuf::from));
    let here = || Some(PathBuf::from(".latch/contexts.hcl")).filter(|path| path.exists());
    let own = || Some(PathBuf::from(std::env::var_os("HOME")?).join(".config/latch/contexts.hcl"));
    named.or_else(here).or_else(|| own().filter(|path| path.exists()))
}

fn connect(common: &Common) -> Result<Client, CommandError> {
    connect_to(common, None)
}

/// The controllers of a context: the named one, else the one that the flags choose.
pub fn connect_to(common: &Common, context: Option<&str>) -> Result<Client, CommandError> {
    if !(0.1..=3600.0).contains(&common.deadline) {
        return Err(CommandError::Usage(format!(
            "--deadline: expected 0.1 to 3600 seconds, not {}",
            common.deadline
        )));
    }
    let none = "no contexts file: start a region with `olivelatchctl up`, or name one with --contexts";
    let path = contexts_path(common).ok_or_else(|| CommandError::Usage(none.into()))?;
    let contexts = Contexts::load(&path)?;
    let context = contexts.select(&path.display().to_string(), context.or(common.context.as_deref()))?;
    Ok(Client::new(context, Duration::from_secs_f64(common.deadline)))
}

pub fn print_value(
    common: &Common,
    value: &impl Serialize,
    text: impl FnOnce() -> String,
) -> Result<(), CommandError> {
    if common.json {
        println!("{}", serde_json::to_string(value)?);
    } else {
        println!("{}", text());
    }
    Ok(())
}

fn job_entry(args: &Submit) -> Result<JobEntry, CommandError> {
    let mut env = BTreeMap::new();
    for pair in &args.env {
        let wrong = || CommandError::Usage(format!("--env: expected NAME=VALUE, not {pair:?}"));
        let (name, value) = pair.split_once('=').ok_or_else(wrong)?;
        env.insert(name.to_string(), value.to_string());
    }
    let shape = match args.shape {
        ShapeArgument::Array => "array",
        ShapeArgument::Gang => "gang",
        ShapeArgument::Service => "service",
    };
    let urgency = match args.urgency {
        UrgencyArgument::Critical => "critical",
        UrgencyArgument::High => "high",
        UrgencyArgument::Normal => "normal",
        UrgencyArgument::Low => "low",
    };
    Ok(JobEntry {
        id: args.id.clone(),
        team: args.team.clone(),
        class: args.class.clone(),
        shape: shape.into(),
        urgency: urgency.into(),
        tasks: args.tasks,
        cpus: args.cpus,
        memory_gb: args.memory_gb,
        estimated_run_s: args.guess_s,
        due_s: args.due_s,
        command: args.command.clone(),
        env,
        dir: args.dir.clone(),
        ..JobEntry::default()
    })
}

fn prepare_jobs(args: &Submit) -> Result<Vec<PreparedJob>, CommandError> {
    if args.files.is_empty() {
        if args.command.is_empty() {
            return Err(CommandError::Usage("expected a job file, or a command after --".into()));
        }
        let job = job_entry(args)?.prepare("job", 0).map_err(CommandError::Usage)?;
        return Ok(vec![job]);
    }
    let mut jobs = Vec::new();
    for file in &args.files {
        jobs.extend(JobFile::load(file)?.prepare()?);
    }
    Ok(jobs)
}

/// Uploads the description, then submits. Both may be repeated.
pub fn submit_job(client: &mut Client, job: &PreparedJob) -> Result<String, ClientError> {
    if let Some(description) = &job.description {
        client.upload_description(&job.id, description)?;
    }
    Ok(client.submit(&job.spec)?.status)
}

pub fn progress_bar(common: &Common, length: usize, what: &str) -> ProgressBar {
    if common.json || length < 2 || !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new(length as u64);
    if let Ok(style) = ProgressStyle::with_template("{prefix} {wide_bar} {pos}/{len}") {
        bar.set_style(style);
    }
    bar.with_prefix(what.to_string())
}

fn submit(common: &Common, client: &mut Client, args: &Submit) -> Result<ExitCode, CommandError> {
    let jobs = prepare_jobs(args)?;
    let progress = progress_bar(common, jobs.len(), "submitting");
    let mut ids = Vec::new();
    for job in &jobs {
        let status = submit_job(client, job).inspect_err(|error| {
            // What came before it stands; the user must know which.
            eprintln!("olivelatchctl: {} ({}) was not accepted: {error}", job.name, job.id);
        })?;
        progress.inc(1);
        progress.suspend(|| {
            print_value(common, &json!({"name": job.name, "id": job.id, "state": status}), || {
                format!("{}  {}  {status}", job.id, job.name)
            })
        })?;
        ids.push(job.id.clone());
    }
    progress.finish_and_clear();
    if args.wait { wait(common, client, &ids, None) } else { Ok(ExitCode::SUCCESS) }
}

/// Rows page by page; a list that stops in between is said to be partial.
fn list(common: &Common, client: &mut Client, args: &List) -> Result<(), CommandError> {
    let mut query = format!("limit={}", PAGE_SIZE.min(args.most.max(1)));
    for (name, value) in [("state", &args.state), ("team", &args.team), ("class", &args.class)] {
        if let Some(value) = value {
            query.push_str(&format!("&{name}={value}"));
        }
    }
    let (mut rows, mut after) = (Vec::new(), args.after.clone());
    let partial = loop {
        match client.list_jobs_page(&query, after.as_deref()) {
            Ok(page) => {
                rows.extend(page.jobs);
                after = page.next;
            }
            Err(error) if rows.is_empty() => return Err(error.into()),
            Err(error) => break Some(error),
        }
        if after.is_none() || rows.len() >= args.most {
            break None;
        }
    };
    let cut = after.is_some() || rows.len() > args.most;
    rows.truncate(args.most);
    let after = rows.last().filter(|_| cut).map(|row| row.id.clone());
    let complete = after.is_none() && partial.is_none();
    print_value(common, &json!({"jobs": rows, "complete": complete, "after": after}), || {
        render::jobs_table(&rows)
    })?;
    match (partial, after) {
        (Some(error), _) => Err(CommandError::Other(format!("the list is partial: {error}"))),
        (None, Some(after)) if !common.json => {
            eprintln!("olivelatchctl: more jobs follow: --after {after}");
            Ok(())
        }
        _ => Ok(()),
    }
}

fn wait(
    common: &Common,
    client: &mut Client,
    ids: &[String],
    timeout: Option<f64>,
) -> Result<ExitCode, CommandError> {
    let end = timeout.map(|seconds| Instant::now() + Duration::from_secs_f64(seconds.clamp(0.0, 1e9)));
    let progress = progress_bar(common, ids.len(), "waiting");
    let mut open: Vec<&String> = ids.iter().collect();
    let mut withdrawn = false;
    while !open.is_empty() {
        let mut still = Vec::new();
        for id in open {
            match client.job_status(id) {
                Ok(answer) if matches!(answer.status.as_str(), "done" | "withdrawn") => {
                    withdrawn |= answer.status == "withdrawn";
                    progress.inc(1);
                    progress.suspend(|| {
                        print_value(common, &json!({"id": id, "state": answer.status}), || {
                            format!("{id}  {}", answer.status)
                        })
                    })?;
                }
                // Nobody can tell now; whoever waits wants to know later.
                Ok(_) | Err(ClientError::NoResponse { .. }) => still.push(id),
                Err(error) if error.status() == Some(503) => still.push(id),
                Err(error) => return Err(error.into()),
            }
        }
        open = still;
        if !open.is_empty() && end.is_some_and(|end| Instant::now() >= end) {
            progress.finish_and_clear();
            eprintln!(
                "olivelatchctl: not over in time: {}",
                open.iter().map(|id| id.as_str()).collect::<Vec<_>>().join(", ")
            );
            return Ok(ExitCode::from(WAIT_TIMEOUT));
        }
        if !open.is_empty() {
            std::thread::sleep(POLL_INTERVAL);
        }
    }
    progress.finish_and_clear();
    Ok(if withdrawn { ExitCode::from(NOT_SUCCESSFUL) } else { ExitCode::SUCCESS })
}

pub fn statuses(client: &Client) -> Vec<(String, Option<ControllerStatus>)> {
    client.controller_statuses().into_iter().map(|(addr, status)| (addr.to_string(), status)).collect()
}

fn top(common: &Common, client: &Client, once: bool) -> Result<(), CommandError> {
    loop {
        let statuses = statuses(client);
        let value: BTreeMap<_, _> = statuses.iter().map(|(addr, status)| (addr, status)).collect();
        if !once && std::io::stdout().is_terminal() {
            print!("\x1b[2J\x1b[H");
        }
        print_value(common, &value, || render::controllers_table(&statuses))?;
        if once {
            return Ok(());
        }
        std::thread::sleep(TOP_INTERVAL);
    }
}

fn check_file(file: &Path) -> Result<String, CommandError> {
    let jobs = JobFile::load(file)?.prepare()?;
    let tasks: u64 = jobs.iter().filter_map(|job| job.spec["pieces"].as_u64()).sum();
    Ok(format!("{}: fine, {} jobs with {tasks} tasks", file.display(), jobs.len()))
}

fn check_files(common: &Common, client: &Client, files: &[PathBuf]) -> Result<(), CommandError> {
    for file in files {
        println!("{}", check_file(file)?);
    }
    let statuses = statuses(client);
    let silent = statuses.iter().filter(|(_, status)| status.is_none()).count();
    let leads =
        statuses.iter().filter(|(_, status)| status.as_ref().is_some_and(|status| status.is_leader)).count();
    let value = json!({"controllers": statuses.len(), "silent": silent, "leaders": leads});
    print_value(common, &value, || {
        format!("{} controllers, {silent} silent, {leads} leading", statuses.len())
    })?;
    if silent == statuses.len() {
        return Err(CommandError::Client(ClientError::NoResponse {
            seconds: common.deadline,
            tried: statuses.into_iter().map(|(addr, _)| addr).collect::<Vec<_>>().join(", "),
        }));
    }
    Ok(())
}
