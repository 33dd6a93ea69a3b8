//! Runs and their nodes for operators, from the mirror.

use std::collections::BTreeMap;

use olivelatch_dag::{NodeIx, NodeOutcome};

use super::dag::{Dag, downstream_path_s};
use super::dag_records::RunPhase;
use super::dag_runs::DagRun;
use super::job_listing::RunningTaskCount;
use super::store_cache::StoreCache;
use crate::protocol::graphs::{
    DagNodeState, DagNodeView, DagRunDetail, DagRunQuery, DagRunState, DagRunSummary, FailedAttempt,
};

/// Runs looked at for one page.
const MAX_SCANNED_RUNS: usize = 2_000;
/// Failures shown of a node that still runs.
const MAX_LIVE_FAILURES_SHOWN: usize = 10;

pub fn run_state(run: &DagRun) -> DagRunState {
    match run.phase_record.phase {
        RunPhase::Ended if run.phase_record.cancelled => DagRunState::Cancelled,
        RunPhase::Ended if run.phase_record.succeeded == Some(true) => DagRunState::Success,
        RunPhase::Ended => DagRunState::Failed,
        _ if run.phase_record.cancelled => DagRunState::Cancelling,
        RunPhase::Active => DagRunState::Running,
        RunPhase::Waiting => DagRunState::Waiting,
    }
}

pub fn run_row(run: &DagRun) -> DagRunSummary {
    let (accepted, graph, nodes) = run
        .accepted
        .as_ref()
        .map_or((0, String::new(), 0), |(at, header, _)| (*at, header.graph.clone(), header.nodes));
    let mut states = BTreeMap::new();
    if let Some(flow) = &run.dag {
        for (outcome, count) in flow.progress.outcome_counts() {
            states.insert(outcome.as_str().to_string(), count);
        }
        let ready = flow.progress.ready().len() as u32;
        let waiting = flow.progress.unfinished().len() as u32 - ready;
        for (word, count) in [(DagNodeState::Ready, ready), (DagNodeState::Waiting, waiting)] {
            if count > 0 {
                states.insert(word.as_str().to_string(), count);
            }
        }
    }
    DagRunSummary {
        run: run.name.to_string(),
        graph,
        state: run_state(run),
        nodes,
        node_states: states,
        accepted_ms: accepted,
        finished_ms: run.is_ended().then_some(run.phase_record.since_wall_ms),
        next_part: run.next_rerun_part(),
    }
}

/// The rows of a page, and the run after which the next one begins.
pub fn run_page(cache: &StoreCache, query: &DagRunQuery) -> (Vec<DagRunSummary>, Option<String>) {
    let mut rows = Vec::new();
    let mut last = None;
    for (looked_at, run) in cache.dag_runs.runs_after(query.after.as_ref()).enumerate() {
        if rows.len() >= query.limit || looked_at >= MAX_SCANNED_RUNS {
            return (rows, last);
        }
        last = Some(run.name.to_string());
        let wanted = |graph: &String| query.graph.as_ref().is_none_or(|wanted| wanted == graph);
        if run.dag.is_some() && run.accepted.as_ref().is_some_and(|(_, header, _)| wanted(&header.graph)) {
            rows.push(run_row(run));
        }
    }
    (rows, None)
}

/// A page of a run's nodes. `most_bytes`: about as long as it may get.
pub fn run_detail(
    cache: &StoreCache,
    run: &DagRun,
    after: Option<u32>,
    limit: usize,
    max_bytes: usize,
    running: RunningTaskCount<'_>,
) -> DagRunDetail {
    let first = after.map_or(0, |after| after.saturating_add(1));
    let mut nodes = Vec::new();
    let mut bytes = 0;
    let all = run.dag.as_ref().map_or(0, |flow| flow.nodes.len() as u32);
    if let Some(flow) = &run.dag {
        for node in first..all {
            if nodes.len() >= limit || bytes > max_bytes {
                break;
            }
            let view = node_view(cache, run, flow, NodeIx(node), running);
            bytes += 300 + view.name.len() + view.upstream.len() * 16 + view.failed_attempts.len() * 120;
            nodes.push(view);
        }
    }
    let shown = first + nodes.len() as u32;
    DagRunDetail {
        controller: String::new(),
        summary: run_row(run),
        first_node: first,
        next: (shown < all && shown > first).then(|| shown - 1),
        nodes,
    }
}

fn node_view(
    cache: &StoreCache,
    run: &DagRun,
    flow: &Dag,
    node: NodeIx,
    running: RunningTaskCount<'_>,
) -> DagNodeView {
    let known = flow.node(node);
    let job = cache.find_job(known.job);
    let outcome = flow.progress.outcome(node);
    let runs = if outcome.is_none() { running(known.job) } else { 0 };
    let end = cache.dag_runs.terminal_of(known.job);
    let tries = cache.dag_runs.retry_states_of(known.job);
    let mapped = flow.progress.map_len(node);
    let tasks = if known.map_source.is_some() { mapped } else { Some(flow.template(node).manifest.tasks) };
    let live = tries.into_iter().flatten().flat_map(|(task, tries)| {
        tries.evidence.iter().map(|failure| FailedAttempt { task: *task, failure: failure.clone() })
    });
    let evidence = match end {
        Some(end) => end.evidence.clone(),
        None => live.take(MAX_LIVE_FAILURES_SHOWN).collect(),
    };
    DagNodeView {
        name: known.name.to_string(),
        job: known.job.to_string(),
        state: match outcome {
            Some(outcome) => node_state(outcome),
            None if runs > 0 => DagNodeState::Running,
            None if !flow.progress.ready().contains(node.0) || run.phase_record.cancelled => {
                DagNodeState::Waiting
            }
            None if tries.is_some() => DagNodeState::UpForRetry,
            None => DagNodeState::Ready,
        },
        trigger_rule: flow.progress.rule(node),
        upstream: known.upstream_ranges.to_vec(),
        mapped_from: known.map_source.map(|map| map.0),
        tasks,
        done: match outcome {
            Some(NodeOutcome::Success) => tasks.unwrap_or(0),
            _ => job.map_or(0, |job| job.finished_tasks.count()),
        },
        running: runs,
        estimated_run_s: flow.template(node).manifest.estimated_run_s,
        downstream_path_s: downstream_path_s(flow, node),
        published_attempt: end.and_then(|end| end.attempt),
        output_list_len: end.and_then(|end| end.list_len),
        finished_ms: cache.terminal_summary(known.job).map(|(_, at, _)| at),
        failed_attempts: evidence,
    }
}

fn node_state(outcome: NodeOutcome) -> DagNodeState {
    match outcome {
        NodeOutcome::Success => DagNodeState::Success,
        NodeOutcome::Failed => DagNodeState::Failed,
        NodeOutcome::UpstreamFailed => DagNodeState::UpstreamFailed,
        NodeOutcome::Skipped => DagNodeState::Skipped,
        NodeOutcome::Cancelled => DagNodeState::Cancelled,
    }
}
