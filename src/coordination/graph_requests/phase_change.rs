//! Cancellations and reruns: changes of an accepted run's phase record.

use super::decision::{Decision, DecisionContext, DecisionResult};
use super::rejection::GraphRejection;
use crate::bookkeeping::dag_records::{RunPhase, RunPhaseRecord};
use crate::bookkeeping::dag_runs::DagRun;
use crate::bookkeeping::records::RecordKey;
use crate::bookkeeping::run_listing::run_row;
use crate::coordination::kv_mutations::put_record;
use crate::coordination::unavailable::Unavailable;
use crate::protocol::HttpResponse;
use crate::protocol::graphs::{DagRunName, MAX_PARTS, RerunRequest};

/// Decides the cancellation of a run.
pub(super) fn decide_cancel(name: &DagRunName, context: &DecisionContext<'_>) -> DecisionResult {
    let run = context.state.cache.dag_runs.by_name(name).filter(|run| run.dag.is_some());
    let run = run.ok_or(GraphRejection::UnknownRun)?;
    if run.is_ended() || run.phase_record.cancelled {
        return Ok(Decision::Respond(HttpResponse::json(200, &run_row(run))));
    }
    let record = RunPhaseRecord { cancelled: true, ..run.phase_record.clone() };
    let key = RecordKey::RunPhase(name.clone());
    let body = serde_json::json!({"run": name.as_str(), "state": "cancelling"});
    Ok(Decision::Write {
        preconditions: vec![context.unchanged(&key)],
        mutations: vec![put_record(&key, &record)],
        response: Some(HttpResponse::json(200, &body)),
    })
}

/// Decides a request to execute nodes of a run again.
pub(super) fn decide_rerun(
    name: &DagRunName,
    rerun: &RerunRequest,
    context: &DecisionContext<'_>,
) -> DecisionResult {
    let run = context.state.cache.dag_runs.by_name(name).ok_or(GraphRejection::UnknownRun)?;
    let dag = run.dag.as_ref().ok_or(GraphRejection::UnknownRun)?;
    if run.phase_record.reruns.contains(&(rerun.first_part, rerun.parts)) {
        // The request was carried out before, but its response was lost.
        return Ok(Decision::Respond(HttpResponse::json(200, &run_row(run))));
    }
    check_rerun_allowed(run, rerun)?;
    let mut nodes = Vec::new();
    for part in rerun.first_part..rerun.first_part.saturating_add(rerun.parts) {
        let content = run.part_contents.get(&part).ok_or(GraphRejection::PartMissing(part))?;
        nodes.extend(content.reruns.iter().copied());
    }
    let jobs = dag.rerun_jobs(&nodes).map_err(|problem| GraphRejection::InvalidGraph(problem.to_string()))?;
    context.check_names_unused(jobs.into_values())?;
    let key = RecordKey::RunPhase(name.clone());
    let record = phase_after_rerun(run, rerun, context);
    let body = serde_json::json!({"run": name.as_str(), "state": "waiting"});
    Ok(Decision::Write {
        preconditions: vec![
            context.unchanged(&key),
            context.unchanged(&RecordKey::DagRun(name.clone())),
            context.unchanged(&RecordKey::GraphAcceptance),
        ],
        mutations: vec![put_record(&key, &record), context.touch_graph_acceptance()],
        response: Some(HttpResponse::json(200, &body)),
    })
}

fn check_rerun_allowed(run: &DagRun, rerun: &RerunRequest) -> Result<(), HttpResponse> {
    if run.deleting {
        return Err(GraphRejection::RunDeleting.into());
    }
    if run.phase_record.cancelled && !run.is_ended() {
        return Err(Unavailable::RunCancelling.into());
    }
    let next_part = run.next_rerun_part();
    if rerun.first_part != next_part || !(1..=MAX_PARTS).contains(&rerun.parts) {
        return Err(GraphRejection::RunChanged { next_part }.into());
    }
    Ok(())
}

fn phase_after_rerun(run: &DagRun, rerun: &RerunRequest, context: &DecisionContext<'_>) -> RunPhaseRecord {
    let mut record = RunPhaseRecord { cancelled: false, succeeded: None, ..run.phase_record.clone() };
    record.reruns.push((rerun.first_part, rerun.parts));
    if run.is_ended() {
        // A finished run waits again until the limit of active runs allows it to start.
        record.phase = RunPhase::Waiting;
        record.since_wall_ms = context.clock.wall_ms;
    }
    record
}
