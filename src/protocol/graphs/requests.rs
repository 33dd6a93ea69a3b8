//! Requests to the interface for DAG runs, parsed from paths, queries and bodies.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::name::MAX_NAME_BYTES;
use super::{DagRunName, GraphPart, MAX_NODES, MAX_PARTS, one};
use crate::protocol::HttpResponse;
use crate::protocol::operators::OperatorRequest;
use crate::protocol::query_params::{
    DEFAULT_PAGE_SIZE, MAX_PAGE_SIZE, invalid_parameter, parse_json_body, parse_limit, parse_page_query,
    parse_query,
};

/// Largest valid value of `max_active_runs`.
const MAX_ACTIVE_RUNS: u32 = 1_000;

/// The body of the request that commits a run after its parts have been uploaded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DagRunHeader {
    /// Name of the graph, which all runs of the graph share.
    pub graph: String,
    /// Number of parts that were uploaded.
    pub parts: u32,
    /// Number of nodes in all parts.
    pub nodes: u32,
    /// Maximum number of runs of the graph that are active at the same time; 1 by default.
    #[serde(default = "one")]
    #[serde(rename = "most_runs")]
    pub max_active_runs: u32,
}

/// Consecutive parts of a run, uploaded in one request.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct PartsUpload {
    /// Index of the first of these parts.
    #[serde(rename = "first")]
    pub first_part: u32,
    pub parts: Vec<GraphPart>,
}

/// The body of the request that reruns nodes, which are listed in parts uploaded before.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct RerunRequest {
    /// Index of the first of these parts, which must be `next_part` of the run's summary.
    #[serde(rename = "from")]
    pub first_part: u32,
    /// Number of these parts.
    pub parts: u32,
}

/// A request that changes a run.
#[derive(Debug, Clone, PartialEq)]
pub enum DagRequest {
    UploadParts { run: DagRunName, upload: PartsUpload },
    Commit { run: DagRunName, header: DagRunHeader },
    Cancel { run: DagRunName },
    Rerun { run: DagRunName, rerun: RerunRequest },
}

impl DagRequest {
    /// Returns the name of the run that the request changes.
    pub fn run(&self) -> &DagRunName {
        match self {
            DagRequest::UploadParts { run, .. }
            | DagRequest::Commit { run, .. }
            | DagRequest::Cancel { run }
            | DagRequest::Rerun { run, .. } => run,
        }
    }
}

/// A request for one page of a list of runs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DagRunQuery {
    /// Only runs of this graph are listed; None lists the runs of all graphs.
    pub graph: Option<String>,
    /// The page starts after this run; None for the first page.
    pub after: Option<DagRunName>,
    /// Maximum number of runs.
    pub limit: usize,
}

/// A parsed request to the interface for DAG runs.
#[derive(Debug, Clone, PartialEq)]
pub enum GraphRouteRequest {
    /// A request that changes a run.
    Modify(DagRequest),
    /// A read-only request.
    Query(OperatorRequest),
}

/// Reasons why the header of a run is not valid. The texts name fields as they are written on the wire.
#[derive(Debug, Error)]
enum HeaderError {
    #[error("graph: expected 1 to {MAX_NAME_BYTES} letters, digits, dots, dashes and underscores, not {0:?}")]
    InvalidGraphName(String),
    #[error("{field} must be 1 to {max}")]
    OutOfRange { field: &'static str, max: u32 },
}

impl DagRunHeader {
    fn validate(&self) -> Result<(), HeaderError> {
        if DagRunName::parse(&self.graph).is_none() {
            return Err(HeaderError::InvalidGraphName(self.graph.clone()));
        }
        let ranges = [
            ("nodes", self.nodes, MAX_NODES),
            ("parts", self.parts, MAX_PARTS),
            ("most_runs", self.max_active_runs, MAX_ACTIVE_RUNS),
        ];
        for (field, value, max) in ranges {
            if !(1..=max).contains(&value) {
                return Err(HeaderError::OutOfRange { field, max });
            }
        }
        Ok(())
    }
}

/// Parses a request whose path starts with `/v1/graphs`; `path` is the part after `/v1/`. None if the path is unknown.
///
/// # Errors
/// Returns the response to send if the path exists but the request is not valid.
pub fn parse_graph_request(
    method: &str,
    path: &str,
    query: &str,
    body: &[u8],
) -> Option<Result<GraphRouteRequest, HttpResponse>> {
    let segments: Vec<&str> = path.split('/').collect();
    Some(match (method, segments.as_slice()) {
        ("GET", ["graphs"]) => parse_list_query(query).map(GraphRouteRequest::Query),
        ("GET", ["graphs", run]) => parse_inspect(run, query).map(GraphRouteRequest::Query),
        ("POST", ["graphs", run, "parts"]) => parse_upload(run, body).map(GraphRouteRequest::Modify),
        ("POST", ["graphs", run]) => parse_commit(run, body).map(GraphRouteRequest::Modify),
        ("POST", ["graphs", run, "cancel"]) => {
            parse_run_name(run).map(|run| GraphRouteRequest::Modify(DagRequest::Cancel { run }))
        }
        ("POST", ["graphs", run, "redo"]) => parse_rerun(run, body).map(GraphRouteRequest::Modify),
        (_, ["graphs"] | ["graphs", _] | ["graphs", _, "parts" | "cancel" | "redo"]) => {
            Err(HttpResponse::error(405, "method not allowed"))
        }
        _ => return None,
    })
}

fn parse_run_name(text: &str) -> Result<DagRunName, HttpResponse> {
    let expected = format!("1 to {MAX_NAME_BYTES} letters, digits, dots, dashes and underscores");
    DagRunName::parse(text).ok_or_else(|| invalid_parameter("run", &expected, text))
}

fn parse_upload(run: &str, body: &[u8]) -> Result<DagRequest, HttpResponse> {
    let run = parse_run_name(run)?;
    let upload: PartsUpload = parse_json_body(body)?;
    Ok(DagRequest::UploadParts { run, upload })
}

fn parse_commit(run: &str, body: &[u8]) -> Result<DagRequest, HttpResponse> {
    let run = parse_run_name(run)?;
    let header: DagRunHeader = parse_json_body(body)?;
    header.validate().map_err(|error| HttpResponse::error(400, &error.to_string()))?;
    Ok(DagRequest::Commit { run, header })
}

fn parse_rerun(run: &str, body: &[u8]) -> Result<DagRequest, HttpResponse> {
    let run = parse_run_name(run)?;
    let rerun: RerunRequest = parse_json_body(body)?;
    Ok(DagRequest::Rerun { run, rerun })
}

fn parse_list_query(query: &str) -> Result<OperatorRequest, HttpResponse> {
    let mut list = DagRunQuery { limit: DEFAULT_PAGE_SIZE, ..DagRunQuery::default() };
    for (name, value) in parse_query(query)? {
        match name {
            "after" => list.after = Some(parse_run_name(value)?),
            "limit" => list.limit = parse_limit(value)?,
            "graph" => list.graph = Some(value.into()),
            _ => return Err(invalid_parameter("query", "after, limit or graph", name)),
        }
    }
    Ok(OperatorRequest::ListDagRuns(list))
}

fn parse_inspect(run: &str, query: &str) -> Result<OperatorRequest, HttpResponse> {
    let page = parse_page_query(query, MAX_PAGE_SIZE, "a node's index")?;
    let run = parse_run_name(run)?;
    Ok(OperatorRequest::InspectDagRun { run, after: page.after, limit: page.limit })
}

#[cfg(test)]
#[path = "tests/requests.rs"]
mod tests;
