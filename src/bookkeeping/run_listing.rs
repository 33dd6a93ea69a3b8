//! Pages of graph runs and of their nodes for operators, built from the store cache.

use std::collections::BTreeMap;

use olivelatch_dag::{NodeIx, NodeOutcome};

use super::dag::Dag;
use super::dag_records::RunPhase;
use super::dag_runs::DagRun;
use super::job_listing::RunningTaskCount;
use super::store_cache::StoreCache;
use crate::ids::JobId;
use crate::protocol::graphs::{
    DagNodeState, DagNodeView, DagRunDetail, DagRunQuery, DagRunState, DagRunSummary, FailedAttempt,
};

/// Maximum number of runs scanned for one page.
const MAX_SCANNED_RUNS: usize = 2_000;
/// Maximum number of failures shown for a node without an outcome.
const MAX_LIVE_FAILURES_SHOWN: usize = 10;

// Estimated sizes in bytes of the JSON of a node in a page: the node without its name, one upstream range, one failure.
const NODE_BYTES: usize = 300;
const UPSTREAM_RANGE_BYTES: usize = 16;
const FAILED_ATTEMPT_BYTES: usize = 120;

fn run_state(run: &DagRun) -> DagRunState {
    match run.phase_record.phase {
        RunPhase::Ended if run.phase_record.cancelled => DagRunState::Cancelled,
        RunPhase::Ended if run.phase_record.succeeded == Some(true) => DagRunState::Success,
        RunPhase::Ended => DagRunState::Failed,
        _ if run.phase_record.cancelled => DagRunState::Cancelling,
        RunPhase::Active => DagRunState::Running,
        RunPhase::Waiting => DagRunState::Waiting,
    }
}

/// Counts the nodes in each state, by the name of the state; states without nodes are left out.
fn node_state_counts(dag: &Dag) -> BTreeMap<String, u32> {
    let outcomes = dag.progress.outcome_counts().into_iter();
    let mut counts: BTreeMap<String, u32> =
        outcomes.map(|(outcome, count)| (outcome.as_str().to_string(), count)).collect();
    let ready = dag.progress.ready().len() as u32;
    let waiting = dag.progress.unfinished().len() as u32 - ready;
    for (state, count) in [(DagNodeState::Ready, ready), (DagNodeState::Waiting, waiting)] {
        if count > 0 {
            counts.insert(state.as_str().to_string(), count);
        }
    }
    counts
}

/// Returns the list row of a run.
pub fn run_row(run: &DagRun) -> DagRunSummary {
    let (accepted_ms, graph, nodes) = match &run.accepted {
        Some((accepted_wall_ms, header, _)) => (*accepted_wall_ms, header.graph.clone(), header.nodes),
        None => (0, String::new(), 0),
    };
    DagRunSummary {
        run: run.name.to_string(),
        graph,
        state: run_state(run),
        nodes,
        node_states: run.dag.as_ref().map(|dag| node_state_counts(dag)).unwrap_or_default(),
        accepted_ms,
        finished_ms: run.is_ended().then_some(run.phase_record.since_wall_ms),
        next_part: run.next_rerun_part(),
    }
}

/// Returns the rows of a page, and the run after which the next page begins; None on the last page.
pub fn run_page(cache: &StoreCache, query: &DagRunQuery) -> (Vec<DagRunSummary>, Option<String>) {
    let is_wanted = |graph: &String| query.graph.as_ref().is_none_or(|filter| filter == graph);
    let mut rows = Vec::new();
    let mut last = None;
    for (scanned, run) in cache.dag_runs.runs_after(query.after.as_ref()).enumerate() {
        if rows.len() >= query.limit || scanned >= MAX_SCANNED_RUNS {
            return (rows, last);
        }
        last = Some(run.name.to_string());
        if run.dag.is_some() && run.accepted.as_ref().is_some_and(|(_, header, _)| is_wanted(&header.graph)) {
            rows.push(run_row(run));
        }
    }
    (rows, None)
}

/// Returns a page of a run's nodes: the nodes after `after` (all if it is None), at most `limit` of them, and about
/// `max_bytes` of JSON.
pub fn run_detail(
    cache: &StoreCache,
    run: &DagRun,
    after: Option<u32>,
    limit: usize,
    max_bytes: usize,
    running: RunningTaskCount<'_>,
) -> DagRunDetail {
    let first_node = after.map_or(0, |after| after.saturating_add(1));
    let node_count = run.dag.as_ref().map_or(0, |dag| dag.nodes.len() as u32);
    let mut nodes = Vec::new();
    let mut bytes = 0;
    if let Some(dag) = &run.dag {
        for node in first_node..node_count {
            if nodes.len() >= limit || bytes > max_bytes {
                break;
            }
            let view = node_view(cache, run, dag, NodeIx(node), running);
            bytes += estimated_bytes(&view);
            nodes.push(view);
        }
    }
    let end = first_node + nodes.len() as u32;
    DagRunDetail {
        controller: String::new(),
        summary: run_row(run),
        first_node,
        next: (end < node_count && end > first_node).then(|| end - 1),
        nodes,
    }
}

fn estimated_bytes(view: &DagNodeView) -> usize {
    NODE_BYTES
        + view.name.len()
        + view.upstream.len() * UPSTREAM_RANGE_BYTES
        + view.failed_attempts.len() * FAILED_ATTEMPT_BYTES
}

fn node_view(
    cache: &StoreCache,
    run: &DagRun,
    dag: &Dag,
    ix: NodeIx,
    running: RunningTaskCount<'_>,
) -> DagNodeView {
    let node = dag.node(ix);
    let manifest = &dag.template(ix).manifest;
    let outcome = dag.progress.outcome(ix);
    let running_tasks = if outcome.is_none() { running(node.job) } else { 0 };
    let terminal = cache.dag_runs.terminal_of(node.job);
    let tasks = match node.map_source {
        Some(_) => dag.progress.map_len(ix),
        None => Some(manifest.tasks),
    };
    DagNodeView {
        name: node.name.to_string(),
        job: node.job.to_string(),
        state: outcome
            .map_or_else(|| live_node_state(cache, run, dag, ix, running_tasks), terminal_node_state),
        trigger_rule: dag.progress.rule(ix),
        upstream: node.upstream_ranges.to_vec(),
        mapped_from: node.map_source.map(|source| source.0),
        tasks,
        done: match outcome {
            Some(NodeOutcome::Success) => tasks.unwrap_or(0),
            _ => cache.find_job(node.job).map_or(0, |job| job.finished_tasks.count()),
        },
        running: running_tasks,
        estimated_run_s: manifest.estimated_run_s,
        downstream_path_s: dag.downstream_path_s(ix),
        published_attempt: terminal.and_then(|terminal| terminal.attempt),
        output_list_len: terminal.and_then(|terminal| terminal.list_len),
        finished_ms: cache.terminal_summary(node.job).map(|terminal| terminal.ended_wall_ms),
        failed_attempts: terminal
            .map_or_else(|| live_failures(cache, node.job), |terminal| terminal.evidence.clone()),
    }
}

/// Returns the recorded failures of a node without an outcome, up to `MAX_LIVE_FAILURES_SHOWN`.
fn live_failures(cache: &StoreCache, job: JobId) -> Vec<FailedAttempt> {
    let by_task = cache.dag_runs.retry_states_of(job).into_iter().flatten();
    let failures = by_task.flat_map(|(task, state)| {
        state.recent_failures.iter().map(|failure| FailedAttempt { task: *task, failure: failure.clone() })
    });
    failures.take(MAX_LIVE_FAILURES_SHOWN).collect()
}

fn live_node_state(
    cache: &StoreCache,
    run: &DagRun,
    dag: &Dag,
    ix: NodeIx,
    running_tasks: u32,
) -> DagNodeState {
    if running_tasks > 0 {
        DagNodeState::Running
    } else if !dag.progress.ready().contains(ix.0) || run.phase_record.cancelled {
        DagNodeState::Waiting
    } else if cache.dag_runs.retry_states_of(dag.node(ix).job).is_some() {
        DagNodeState::UpForRetry
    } else {
        DagNodeState::Ready
    }
}

fn terminal_node_state(outcome: NodeOutcome) -> DagNodeState {
    match outcome {
        NodeOutcome::Success => DagNodeState::Success,
        NodeOutcome::Failed => DagNodeState::Failed,
        NodeOutcome::UpstreamFailed => DagNodeState::UpstreamFailed,
        NodeOutcome::Skipped => DagNodeState::Skipped,
        NodeOutcome::Cancelled => DagNodeState::Cancelled,
    }
}
