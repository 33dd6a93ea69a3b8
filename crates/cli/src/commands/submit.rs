//! `olivelatchctl submit`: submits jobs from files, or one job from the flags.

use std::collections::BTreeMap;
use std::process::ExitCode;

use olivelatch_client::{Client, ClientError, JobEntry, JobFile, PreparedJob};
use serde_json::json;

use super::wait::wait;
use crate::args::{GlobalArgs, ShapeArgument, SubmitArgs, UrgencyArgument};
use crate::exit::CommandError;
use crate::output::{print_value, progress_bar};

pub(super) fn submit(
    global_args: &GlobalArgs,
    client: &mut Client,
    args: &SubmitArgs,
) -> Result<ExitCode, CommandError> {
    let jobs = prepare_jobs(args)?;
    let progress = progress_bar(global_args, jobs.len(), "submitting");
    let mut ids = Vec::new();
    for job in &jobs {
        let status = submit_job(client, job).inspect_err(|error| {
            // The jobs before this one stay accepted, so the user must learn at which job the submission stopped.
            eprintln!("olivelatchctl: {} ({}) was not accepted: {error}", job.name, job.id);
        })?;
        progress.inc(1);
        progress.suspend(|| {
            print_value(global_args, &json!({"name": job.name, "id": job.id, "state": status}), || {
                format!("{}  {}  {status}", job.id, job.name)
            })
        })?;
        ids.push(job.id.clone());
    }
    progress.finish_and_clear();
    if args.wait { wait(global_args, client, &ids, None) } else { Ok(ExitCode::SUCCESS) }
}

/// Uploads the description, then submits the job, so that workers never get a job without a description. Both requests
/// are idempotent. Returns the job's status.
pub(super) fn submit_job(client: &mut Client, job: &PreparedJob) -> Result<String, ClientError> {
    if let Some(description) = &job.description {
        client.upload_description(&job.id, description)?;
    }
    Ok(client.submit(&job.submission)?.status)
}

/// Reads and checks all files, before the first job is sent.
fn prepare_jobs(args: &SubmitArgs) -> Result<Vec<PreparedJob>, CommandError> {
    if args.files.is_empty() {
        if args.command.is_empty() {
            return Err(CommandError::Usage("expected a job file, or a command after --".into()));
        }
        let job =
            job_entry(args)?.prepare("job", 0).map_err(|error| CommandError::Usage(error.to_string()))?;
        return Ok(vec![job]);
    }
    let mut jobs = Vec::new();
    for file in &args.files {
        jobs.extend(JobFile::load(file)?.prepare()?);
    }
    Ok(jobs)
}

fn job_entry(args: &SubmitArgs) -> Result<JobEntry, CommandError> {
    Ok(JobEntry {
        id: args.id.clone(),
        team: args.team.clone(),
        class: args.class.clone(),
        shape: shape_word(args.shape).into(),
        urgency: urgency_word(args.urgency).into(),
        tasks: args.tasks,
        cpus: args.cpus,
        memory_gb: args.memory_gb,
        estimated_run_s: args.guess_s,
        due_s: args.due_s,
        command: args.command.clone(),
        env: parse_env(&args.env)?,
        dir: args.dir.clone(),
        ..JobEntry::default()
    })
}

fn parse_env(pairs: &[String]) -> Result<BTreeMap<String, String>, CommandError> {
    let parse = |pair: &String| {
        let invalid = || CommandError::Usage(format!("--env: expected NAME=VALUE, not {pair:?}"));
        let (name, value) = pair.split_once('=').ok_or_else(invalid)?;
        Ok((name.to_string(), value.to_string()))
    };
    pairs.iter().map(parse).collect()
}

fn shape_word(shape: ShapeArgument) -> &'static str {
    match shape {
        ShapeArgument::Array => "array",
        ShapeArgument::Gang => "gang",
        ShapeArgument::Service => "service",
    }
}

fn urgency_word(urgency: UrgencyArgument) -> &'static str {
    match urgency {
        UrgencyArgument::Critical => "critical",
        UrgencyArgument::High => "high",
        UrgencyArgument::Normal => "normal",
        UrgencyArgument::Low => "low",
    }
}
