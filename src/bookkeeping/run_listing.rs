//! Runs and their nodes for operators, from the mirror.

use std::collections::BTreeMap;

use olivelatch_graph::{NodeIx, Outcome};

use super::flow::{Flow, ahead_s};
use super::graph_records::Phase;
use super::graphs::Run;
use super::listing::Running;
use super::mirror::Mirror;
use crate::protocol::graphs::{Evidence, NodeView, NodeWord, RunDetail, RunQuery, RunRow, RunState};

/// Runs looked at for one page.
const LOOKED_AT: usize = 2_000;
/// Failures shown of a node that still runs.
const SHOWN: usize = 10;

pub fn run_state(run: &Run) -> RunState {
    match run.turn.phase {
        Phase::Ended if run.turn.cancelled => RunState::Cancelled,
        Phase::Ended if run.turn.well == Some(true) => RunState::Success,
        Phase::Ended => RunState::Failed,
        _ if run.turn.cancelled => RunState::Cancelling,
        Phase::Active => RunState::Running,
        Phase::Waiting => RunState::Waiting,
    }
}

pub fn run_row(run: &Run) -> RunRow {
    let (accepted, graph, nodes) = run
        .accepted
        .as_ref()
        .map_or((0, String::new(), 0), |(at, header, _)| (*at, header.graph.clone(), header.nodes));
    let mut states = BTreeMap::new();
    if let Some(flow) = &run.flow {
        for (outcome, count) in flow.progress.tally() {
            states.insert(outcome.word().to_string(), count);
        }
        let ready = flow.progress.ready().len() as u32;
        let waiting = flow.progress.open().len() as u32 - ready;
        for (word, count) in [(NodeWord::Ready, ready), (NodeWord::Waiting, waiting)] {
            if count > 0 {
                states.insert(word.word().to_string(), count);
            }
        }
    }
    RunRow {
        run: run.name.to_string(),
        graph,
        state: run_state(run),
        nodes,
        states,
        accepted_ms: accepted,
        ended_ms: run.ended().then_some(run.turn.at),
        next_part: run.next_part(),
    }
}

/// The rows of a page, and the run after which the next one begins.
pub fn run_page(mirror: &Mirror, query: &RunQuery) -> (Vec<RunRow>, Option<String>) {
    let mut rows = Vec::new();
    let mut last = None;
    for (looked_at, run) in mirror.graphs.runs_after(query.after.as_ref()).enumerate() {
        if rows.len() >= query.limit || looked_at >= LOOKED_AT {
            return (rows, last);
        }
        last = Some(run.name.to_string());
        let wanted = |graph: &String| query.graph.as_ref().is_none_or(|wanted| wanted == graph);
        if run.flow.is_some() && run.accepted.as_ref().is_some_and(|(_, header, _)| wanted(&header.graph)) {
            rows.push(run_row(run));
        }
    }
    (rows, None)
}

/// A page of a run's nodes. `most_bytes`: about as long as it may get.
pub fn run_detail(
    mirror: &Mirror,
    run: &Run,
    after: Option<u32>,
    limit: usize,
    most_bytes: usize,
    running: Running<'_>,
) -> RunDetail {
    let first = after.map_or(0, |after| after.saturating_add(1));
    let mut nodes = Vec::new();
    let mut bytes = 0;
    let all = run.flow.as_ref().map_or(0, |flow| flow.nodes.len() as u32);
    if let Some(flow) = &run.flow {
        for node in first..all {
            if nodes.len() >= limit || bytes > most_bytes {
                break;
            }
            let view = node_view(mirror, run, flow, NodeIx(node), running);
            bytes += 300 + view.name.len() + view.after.len() * 16 + view.evidence.len() * 120;
            nodes.push(view);
        }
    }
    let shown = first + nodes.len() as u32;
    RunDetail {
        node: String::new(),
        row: run_row(run),
        first,
        next: (shown < all && shown > first).then(|| shown - 1),
        nodes,
    }
}

fn node_view(mirror: &Mirror, run: &Run, flow: &Flow, node: NodeIx, running: Running<'_>) -> NodeView {
    let known = flow.node(node);
    let job = mirror.find_job(known.job);
    let outcome = flow.progress.outcome(node);
    let runs = if outcome.is_none() { running(known.job) } else { 0 };
    let end = mirror.graphs.end_of(known.job);
    let tries = mirror.graphs.tries_of(known.job);
    let mapped = flow.progress.mapped_over(node);
    let tasks = if known.map.is_some() { mapped } else { Some(flow.template(node).spec.pieces) };
    let live = tries.into_iter().flatten().flat_map(|(task, tries)| {
        tries.evidence.iter().map(|failure| Evidence { task: *task, failure: failure.clone() })
    });
    let evidence = match end {
        Some(end) => end.evidence.clone(),
        None => live.take(SHOWN).collect(),
    };
    NodeView {
        name: known.name.to_string(),
        job: known.job.to_string(),
        state: match outcome {
            Some(outcome) => word_of(outcome),
            None if runs > 0 => NodeWord::Running,
            None if !flow.progress.ready().contains(node.0) || run.turn.cancelled => NodeWord::Waiting,
            None if tries.is_some() => NodeWord::UpForRetry,
            None => NodeWord::Ready,
        },
        rule: flow.progress.rule(node),
        after: known.after.to_vec(),
        map: known.map.map(|map| map.0),
        tasks,
        done: match outcome {
            Some(Outcome::Success) => tasks.unwrap_or(0),
            _ => job.map_or(0, |job| job.finished.count()),
        },
        running: runs,
        guess_s: flow.template(node).spec.guess_s,
        ahead_s: ahead_s(flow, node),
        attempt: end.and_then(|end| end.attempt),
        gave: end.and_then(|end| end.gave),
        ended_ms: mirror.ended(known.job).map(|(_, at, _)| at),
        evidence,
    }
}

fn word_of(outcome: Outcome) -> NodeWord {
    match outcome {
        Outcome::Success => NodeWord::Success,
        Outcome::Failed => NodeWord::Failed,
        Outcome::UpstreamFailed => NodeWord::UpstreamFailed,
        Outcome::Skipped => NodeWord::Skipped,
        Outcome::Cancelled => NodeWord::Cancelled,
    }
}
