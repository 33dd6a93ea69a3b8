//! Commits: a run is accepted once all parts of its graph are stored and the graph is valid.

use super::decision::{Decision, DecisionContext, DecisionResult};
use super::rejection::GraphRejection;
use crate::bookkeeping::dag::{Dag, pool_names};
use crate::bookkeeping::dag_records::DagRunRecord;
use crate::bookkeeping::dag_runs::DagRun;
use crate::bookkeeping::records::RecordKey;
use crate::bookkeeping::run_listing::run_row;
use crate::coordination::kv_mutations::put_record;
use crate::coordination::unavailable::Unavailable;
use crate::coordination::user_requests::check_feasibility;
use crate::protocol::HttpResponse;
use crate::protocol::graphs::{DagRunHeader, DagRunName};
use crate::protocol::users::{JobKind, validate_manifest};

/// Maximum number of part numbers listed in the response to a commit whose parts are missing.
const MAX_MISSING_LISTED: usize = 50;

/// Decides whether a run is accepted.
pub(super) fn decide_commit(
    name: &DagRunName,
    header: &DagRunHeader,
    context: &DecisionContext<'_>,
) -> DecisionResult {
    let cache = &context.state.cache;
    let run = cache.dag_runs.by_name(name).ok_or(GraphRejection::PartsMissing)?;
    if run.upload_expired {
        return Err(GraphRejection::UploadExpired.into());
    }
    if let Some((_, accepted, _)) = &run.accepted {
        if accepted != header {
            return Err(GraphRejection::NameTaken.into());
        }
        return Ok(Decision::Respond(HttpResponse::json(200, &run_row(run))));
    }
    check_no_part_missing(run, header)?;
    let max_nodes = context.state.tunables.graphs.max_nodes as usize;
    if cache.dag_runs.node_count + header.nodes as usize > max_nodes {
        return Err(Unavailable::NodeLimit.into());
    }
    let dag = Dag::from_parts((0..header.parts).filter_map(|part| run.part_contents.get(&part)))
        .map_err(|problem| GraphRejection::InvalidGraph(problem.to_string()))?;
    check_graph(&dag, header, context)?;
    let record = DagRunRecord::Accepted { at: context.clock.wall_ms, header: header.clone() };
    let key = RecordKey::DagRun(name.clone());
    let body = serde_json::json!({"run": name.as_str(), "state": "waiting"});
    Ok(Decision::Write {
        preconditions: vec![context.unchanged(&key), context.unchanged(&RecordKey::GraphAcceptance)],
        mutations: vec![put_record(&key, &record), context.touch_graph_acceptance()],
        response: Some(HttpResponse::json(201, &body)),
    })
}

fn check_no_part_missing(run: &DagRun, header: &DagRunHeader) -> Result<(), HttpResponse> {
    let missing: Vec<u32> = (0..header.parts)
        .filter(|part| !run.part_contents.contains_key(part))
        .take(MAX_MISSING_LISTED)
        .collect();
    if missing.is_empty() {
        return Ok(());
    }
    let body = serde_json::json!({"error": GraphRejection::PartsMissing.to_string(), "missing": missing});
    Err(HttpResponse::json(409, &body))
}

fn check_graph(dag: &Dag, header: &DagRunHeader, context: &DecisionContext<'_>) -> Result<(), HttpResponse> {
    if dag.nodes.len() != header.nodes as usize {
        return Err(GraphRejection::NodeCount { found: dag.nodes.len(), expected: header.nodes }.into());
    }
    for template in &dag.templates {
        template
            .validate()
            .and_then(|()| validate_manifest(&template.manifest))
            .map_err(|problem| GraphRejection::InvalidGraph(problem.to_string()))?;
        if template.manifest.kind == JobKind::Service {
            return Err(GraphRejection::ServiceNode.into());
        }
        check_feasibility(&template.manifest, &context.state.cache, &context.state.settings)?;
    }
    let pools = &context.state.tunables.graphs.pools;
    if let Some(pool) = pool_names(dag).into_iter().find(|pool| !pools.contains_key(*pool)) {
        return Err(GraphRejection::UnknownPool(pool.to_string()).into());
    }
    context.check_names_unused(dag.nodes.iter().map(|node| node.job))?;
    Ok(())
}
