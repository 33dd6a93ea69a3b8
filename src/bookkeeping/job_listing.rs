//! Pages of jobs for operators, built from the store cache. The cost of a page does not depend on the number of jobs.

use super::jobs::{Job, TerminalState};
use super::store_cache::{StoreCache, TerminalJobSummary, TerminalSummary};
use crate::ids::{ClassIx, JobId, TeamIx, from_milli};
use crate::protocol::operators::{JobPhase, JobSpecView, JobSummary, ListQuery, StateFilter};

/// Maximum number of jobs scanned for one page. With a selective filter, a page may hold fewer rows than requested; it
/// still says where the next page begins.
const MAX_SCANNED_JOBS: usize = 4_000;

/// A function that returns how many tasks of a job are running, for display.
pub type RunningTaskCount<'a> = &'a dyn Fn(JobId) -> u32;

/// Returns the rows of a page, and the id after which the next page begins; None on the last page.
pub fn job_page(
    cache: &StoreCache,
    query: &ListQuery,
    running: RunningTaskCount<'_>,
) -> (Vec<JobSummary>, Option<JobId>) {
    let mut rows = Vec::new();
    let mut last = None;
    for (scanned, id) in cache.job_ids_after(query.after).enumerate() {
        if rows.len() >= query.limit || scanned >= MAX_SCANNED_JOBS {
            return (rows, last);
        }
        last = Some(id);
        if may_match(cache, query, id)
            && let Some(row) = job_row(cache, id, running)
            && matches(query, &row)
        {
            rows.push(row);
        }
    }
    (rows, None)
}

/// Returns whether the phase of a job can match the query. This is a cheap check before the row is built.
fn may_match(cache: &StoreCache, query: &ListQuery, id: JobId) -> bool {
    let is_wanted = |phase| query.state.is_none_or(|filter: StateFilter| filter.matches(phase));
    match cache.terminal_state(id) {
        Some(state) => is_wanted(terminal_phase(state)),
        None => is_wanted(JobPhase::Pending) || is_wanted(JobPhase::Running),
    }
}

fn matches(query: &ListQuery, row: &JobSummary) -> bool {
    let is_wanted = |filter: &Option<String>, value: &Option<String>| filter.is_none() || filter == value;
    is_wanted(&query.team, &row.team)
        && is_wanted(&query.class, &row.class)
        && query.state.is_none_or(|filter| filter.matches(row.state))
}

fn terminal_phase(state: TerminalState) -> JobPhase {
    match state {
        TerminalState::Done => JobPhase::Done,
        TerminalState::Cancelled => JobPhase::Cancelled,
    }
}

/// Returns the list row of a job; None if the job does not exist.
pub fn job_row(cache: &StoreCache, id: JobId, running: RunningTaskCount<'_>) -> Option<JobSummary> {
    let job = cache.find_job(id);
    if let Some(terminal) = cache.terminal_summary(id) {
        return Some(terminal_row(cache, id, job, terminal));
    }
    match job {
        Some(job) => Some(live_row(cache, job, running(id))),
        None => waiting_node_row(cache, id),
    }
}

fn team_name(cache: &StoreCache, team: TeamIx) -> String {
    cache.names.teams.name_or_unknown(team.index()).into()
}

fn class_name(cache: &StoreCache, class: ClassIx) -> String {
    cache.names.classes.name_or_unknown(class.index()).into()
}

fn terminal_row(cache: &StoreCache, id: JobId, job: Option<&Job>, terminal: TerminalSummary) -> JobSummary {
    let first_start_ms = terminal.job.and_then(|summary| summary.first_start_wall_ms);
    // Until the job's records are deleted, the job itself holds the data; afterwards its terminal record does.
    let summary = job.map(|job| live_summary(job, first_start_ms)).or(terminal.job);
    let tasks = summary.map(|summary| summary.tasks);
    // The number of finished tasks of a cancelled job is not recorded.
    let is_done = terminal.state == TerminalState::Done;
    JobSummary {
        id: id.to_string(),
        state: terminal_phase(terminal.state),
        team: summary.map(|summary| team_name(cache, summary.team)),
        class: summary.map(|summary| class_name(cache, summary.class)),
        tasks,
        done: tasks.filter(|_| is_done),
        running: is_done.then_some(0),
        accepted_ms: summary.map(|summary| summary.accepted_wall_ms),
        first_start_ms,
        finished_ms: Some(terminal.ended_wall_ms),
    }
}

fn live_summary(job: &Job, first_start_wall_ms: Option<u64>) -> TerminalJobSummary {
    TerminalJobSummary {
        team: job.spec.team,
        class: job.spec.class,
        tasks: job.spec.tasks,
        accepted_wall_ms: job.spec.accepted_wall_ms,
        first_start_wall_ms,
    }
}

fn live_row(cache: &StoreCache, job: &Job, running: u32) -> JobSummary {
    JobSummary {
        id: job.spec.id.to_string(),
        state: if running > 0 { JobPhase::Running } else { JobPhase::Pending },
        team: Some(team_name(cache, job.spec.team)),
        class: Some(class_name(cache, job.spec.class)),
        tasks: Some(job.spec.tasks),
        done: Some(job.finished_tasks.count()),
        running: Some(running),
        accepted_ms: Some(job.spec.accepted_wall_ms),
        first_start_ms: None,
        finished_ms: None,
    }
}

/// Returns the row of a graph node that has not become a job yet.
fn waiting_node_row(cache: &StoreCache, id: JobId) -> Option<JobSummary> {
    let (run, node) = cache.dag_runs.current_node(id)?;
    let dag = run.dag.as_ref()?;
    let manifest = &dag.template(node).manifest;
    Some(JobSummary {
        id: id.to_string(),
        state: JobPhase::Pending,
        team: Some(manifest.team.clone()),
        class: Some(manifest.job_class.clone()),
        // A mapped node has one task for each element of a list that has not been produced yet.
        tasks: dag.node(node).map_source.is_none().then_some(manifest.tasks),
        done: Some(0),
        running: Some(0),
        accepted_ms: run.accepted.as_ref().map(|(accepted_wall_ms, ..)| *accepted_wall_ms),
        first_start_ms: None,
        finished_ms: None,
    })
}

/// Returns the specification of a job, with names instead of indices and in the units of the protocol.
pub fn spec_view(cache: &StoreCache, job: &Job) -> JobSpecView {
    let spec = &job.spec;
    let names = &cache.names;
    let machine_types = spec.machine_types.as_ref().map(|allowed| {
        allowed.iter().map(|ix| names.machine_types.name_or_unknown(ix.index()).into()).collect()
    });
    JobSpecView {
        kind: spec.kind,
        priority_class: spec.priority_class,
        cpus: from_milli(spec.task_resources.cpu),
        gpus: from_milli(spec.task_resources.gpu),
        memory_gb: from_milli(spec.task_resources.mem),
        machine_types,
        zone: spec.zone.map(|zone| names.zones.name_or_unknown(zone.index()).into()),
        same_zone: spec.single_zone,
        spread: spec.spread,
        spot_allowed: spec.allows_spot,
        image: names.images.name_or_unknown(spec.image.index()).into(),
        image_gb: from_milli(spec.image_mb),
        estimated_run_s: from_milli(spec.estimated_run_ms),
        checkpoint_interval_s: from_milli(spec.checkpoint_interval_ms),
        deadline_ms: spec.slo_wall_ms,
    }
}

#[cfg(test)]
#[path = "tests/job_listing.rs"]
mod tests;
