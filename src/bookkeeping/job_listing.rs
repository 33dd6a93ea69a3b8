//! Pages of jobs for operators, from the mirror: a page costs the same however many jobs there were.

use super::jobs::{Job, TerminalState};
use super::store_cache::StoreCache;
use crate::ids::{JobId, from_milli};
use crate::protocol::operators::{JobPhase, JobSpecView, JobSummary, ListQuery, StateFilter};

/// Jobs looked at for one page. With a filter that takes few, pages come short and say where to go on.
const MAX_SCANNED_JOBS: usize = 4_000;

/// Tells how many tasks of a job run, for display.
pub type RunningTaskCount<'a> = &'a dyn Fn(JobId) -> u32;

/// The rows of a page, and the id after which the next one begins.
pub fn job_page(
    cache: &StoreCache,
    query: &ListQuery,
    running: RunningTaskCount<'_>,
) -> (Vec<JobSummary>, Option<JobId>) {
    let mut rows = Vec::new();
    let mut last = None;
    for (looked_at, id) in cache.job_ids_after(query.after).enumerate() {
        if rows.len() >= query.limit || looked_at >= MAX_SCANNED_JOBS {
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

/// Cheap enough for every job looked at: is it over or not?
fn may_match(cache: &StoreCache, query: &ListQuery, id: JobId) -> bool {
    let wants = |state| query.state.is_none_or(|filter: StateFilter| filter.matches(state));
    match cache.terminal_state(id) {
        Some(end) => wants(job_state(end)),
        None => wants(JobPhase::Pending) || wants(JobPhase::Running),
    }
}

fn matches(query: &ListQuery, row: &JobSummary) -> bool {
    let is = |wanted: &Option<String>, found: &Option<String>| wanted.is_none() || wanted == found;
    is(&query.team, &row.team)
        && is(&query.class, &row.class)
        && query.state.is_none_or(|filter| filter.matches(row.state))
}

fn job_state(end: TerminalState) -> JobPhase {
    match end {
        TerminalState::Done => JobPhase::Done,
        TerminalState::Cancelled => JobPhase::Cancelled,
    }
}

/// A job as a list shows it; None if there is no such job.
pub fn job_row(cache: &StoreCache, id: JobId, running: RunningTaskCount<'_>) -> Option<JobSummary> {
    let job = cache.find_job(id);
    if let Some((end, at, detail)) = cache.terminal_summary(id) {
        let info = job.map(|job| &job.spec);
        let team = info.map(|info| info.team).or(detail.map(|detail| detail.team));
        let class = info.map(|info| info.class).or(detail.map(|detail| detail.class));
        let tasks = info.map(|info| info.tasks).or(detail.map(|detail| detail.tasks));
        return Some(JobSummary {
            id: id.to_string(),
            state: job_state(end),
            team: team.map(|team| cache.names.teams.name_or_unknown(team.index()).into()),
            class: class.map(|class| cache.names.classes.name_or_unknown(class.index()).into()),
            tasks,
            // How far a withdrawn job came is not kept.
            done: tasks.filter(|_| end == TerminalState::Done),
            running: Some(0).filter(|_| end == TerminalState::Done),
            accepted_ms: info.map(|i| i.accepted_wall_ms).or(detail.map(|detail| detail.accepted_wall_ms)),
            first_start_ms: detail.and_then(|detail| detail.first_start_wall_ms),
            finished_ms: Some(at),
        });
    }
    let Some(job) = job else { return waiting_node_row(cache, id) };
    let runs = running(id);
    Some(JobSummary {
        id: id.to_string(),
        state: if runs > 0 { JobPhase::Running } else { JobPhase::Pending },
        team: Some(cache.names.teams.name_or_unknown(job.spec.team.index()).into()),
        class: Some(cache.names.classes.name_or_unknown(job.spec.class.index()).into()),
        tasks: Some(job.spec.tasks),
        done: Some(job.finished_tasks.count()),
        running: Some(runs),
        accepted_ms: Some(job.spec.accepted_wall_ms),
        first_start_ms: None,
        finished_ms: None,
    })
}

/// A node of a graph that is no job yet.
fn waiting_node_row(cache: &StoreCache, id: JobId) -> Option<JobSummary> {
    let (run, node) = cache.dag_runs.current_node(id)?;
    let spec = &run.dag.as_ref()?.template(node).manifest;
    Some(JobSummary {
        id: id.to_string(),
        state: JobPhase::Pending,
        team: Some(spec.team.clone()),
        class: Some(spec.job_class.clone()),
        tasks: run.dag.as_ref()?.node(node).map_source.is_none().then_some(spec.tasks),
        done: Some(0),
        running: Some(0),
        accepted_ms: run.accepted.as_ref().map(|(at, ..)| *at),
        first_start_ms: None,
        finished_ms: None,
    })
}

/// A job's specification with its names.
pub fn spec_view(cache: &StoreCache, job: &Job) -> JobSpecView {
    let info = &job.spec;
    let names = &cache.names;
    let kinds = info.machine_types.as_ref();
    JobSpecView {
        kind: info.kind,
        priority_class: info.urgency,
        cpus: from_milli(info.task_resources.cpu),
        gpus: from_milli(info.task_resources.gpu),
        memory_gb: from_milli(info.task_resources.mem),
        machine_types: kinds.map(|kinds| {
            kinds.iter().map(|kind| names.machine_types.name_or_unknown(kind.index()).into()).collect()
        }),
        zone: info.zone.map(|zone| names.zones.name_or_unknown(zone.index()).into()),
        same_zone: info.single_zone,
        spread: info.spread,
        spot_allowed: info.allows_spot,
        image: names.images.name_or_unknown(info.image.index()).into(),
        image_gb: from_milli(info.image_mb),
        estimated_run_s: from_milli(info.estimated_run_ms),
        checkpoint_interval_s: from_milli(info.checkpoint_interval_ms),
        deadline_ms: info.slo_wall_ms,
    }
}

#[cfg(test)]
#[path = "tests/job_listing.rs"]
mod tests;
