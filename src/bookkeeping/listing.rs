//! Pages of jobs for operators, from the mirror: a page costs the same however many jobs there were.

use super::jobs::{End, Job};
use super::mirror::Mirror;
use crate::ids::{JobId, units};
use crate::protocol::operators::{JobRow, JobState, ListQuery, SpecView, StateFilter};

/// Jobs looked at for one page. With a filter that takes few, pages come short and say where to go on.
const LOOKED_AT: usize = 4_000;

/// Tells how many tasks of a job run, for display.
pub type Running<'a> = &'a dyn Fn(JobId) -> u32;

/// The rows of a page, and the id after which the next one begins.
pub fn page(mirror: &Mirror, query: &ListQuery, running: Running<'_>) -> (Vec<JobRow>, Option<JobId>) {
    let mut rows = Vec::new();
    let mut last = None;
    for (looked_at, id) in mirror.ids_after(query.after).enumerate() {
        if rows.len() >= query.limit || looked_at >= LOOKED_AT {
            return (rows, last);
        }
        last = Some(id);
        if might_match(mirror, query, id)
            && let Some(row) = row_of(mirror, id, running)
            && matches(query, &row)
        {
            rows.push(row);
        }
    }
    (rows, None)
}

/// Cheap enough for every job looked at: is it over or not?
fn might_match(mirror: &Mirror, query: &ListQuery, id: JobId) -> bool {
    let wants = |state| query.state.is_none_or(|filter: StateFilter| filter.takes(state));
    match mirror.end_of(id) {
        Some(end) => wants(state_of(end)),
        None => wants(JobState::Pending) || wants(JobState::Running),
    }
}

fn matches(query: &ListQuery, row: &JobRow) -> bool {
    let is = |wanted: &Option<String>, found: &Option<String>| wanted.is_none() || wanted == found;
    is(&query.team, &row.team)
        && is(&query.class, &row.class)
        && query.state.is_none_or(|filter| filter.takes(row.state))
}

fn state_of(end: End) -> JobState {
    match end {
        End::Done => JobState::Done,
        End::Withdrawn => JobState::Withdrawn,
    }
}

/// A job as a list shows it; None if there is no such job.
pub fn row_of(mirror: &Mirror, id: JobId, running: Running<'_>) -> Option<JobRow> {
    let job = mirror.find_job(id);
    if let Some((end, at, detail)) = mirror.ended(id) {
        let info = job.map(|job| &job.info);
        let team = info.map(|info| info.team).or(detail.map(|detail| detail.team));
        let class = info.map(|info| info.class).or(detail.map(|detail| detail.class));
        let tasks = info.map(|info| info.tasks).or(detail.map(|detail| detail.tasks));
        return Some(JobRow {
            id: id.to_string(),
            state: state_of(end),
            team: team.map(|team| mirror.names.teams.name_at(team.at()).into()),
            class: class.map(|class| mirror.names.classes.name_at(class.at()).into()),
            tasks,
            // How far a withdrawn job came is not kept.
            done: tasks.filter(|_| end == End::Done),
            running: Some(0).filter(|_| end == End::Done),
            accepted_ms: info.map(|i| i.accepted_wall_ms).or(detail.map(|detail| detail.accepted_ms)),
            first_start_ms: detail.and_then(|detail| detail.first_ms),
            ended_ms: Some(at),
        });
    }
    let Some(job) = job else { return waiting_node(mirror, id) };
    let runs = running(id);
    Some(JobRow {
        id: id.to_string(),
        state: if runs > 0 { JobState::Running } else { JobState::Pending },
        team: Some(mirror.names.teams.name_at(job.info.team.at()).into()),
        class: Some(mirror.names.classes.name_at(job.info.class.at()).into()),
        tasks: Some(job.info.tasks),
        done: Some(job.finished.count()),
        running: Some(runs),
        accepted_ms: Some(job.info.accepted_wall_ms),
        first_start_ms: None,
        ended_ms: None,
    })
}

/// A node of a graph that is no job yet.
fn waiting_node(mirror: &Mirror, id: JobId) -> Option<JobRow> {
    let (run, node) = mirror.graphs.node_of(id)?;
    let spec = &run.flow.as_ref()?.template(node).spec;
    Some(JobRow {
        id: id.to_string(),
        state: JobState::Pending,
        team: Some(spec.owner.clone()),
        class: Some(spec.jobclass.clone()),
        tasks: run.flow.as_ref()?.node(node).map.is_none().then_some(spec.pieces),
        done: Some(0),
        running: Some(0),
        accepted_ms: run.accepted.as_ref().map(|(at, ..)| *at),
        first_start_ms: None,
        ended_ms: None,
    })
}

/// A job's specification with its names.
pub fn spec_of(mirror: &Mirror, job: &Job) -> SpecView {
    let info = &job.info;
    let names = &mirror.names;
    let kinds = info.kinds.as_ref();
    SpecView {
        shape: info.shape,
        urgency: info.urgency,
        cpus: units(info.need.cpu),
        gpus: units(info.need.gpu),
        memory_gb: units(info.need.mem),
        kinds: kinds.map(|kinds| kinds.iter().map(|kind| names.kinds.name_at(kind.at()).into()).collect()),
        zone: info.zone.map(|zone| names.zones.name_at(zone.at()).into()),
        one_zone: info.one_zone,
        spread: info.spread,
        spot: info.spot,
        image: names.images.name_at(info.image.at()).into(),
        image_gb: units(info.image_mb),
        guess_s: units(info.guess_ms),
        checkpoint_s: units(info.checkpoint_ms),
        due_ms: info.due_wall_ms,
    }
}

#[cfg(test)]
#[path = "tests/listing.rs"]
mod tests;
