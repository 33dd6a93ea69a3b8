//! Graphs: parts, commit, cancel, do over, list, show. The client writes what the controller reads, so the types serve
//! both; parts are kept as they are in the durable records.

use std::collections::BTreeMap;
use std::fmt;

use olivelatch_dag::{Failure, RetryPolicy, TriggerRule};
use serde::{Deserialize, Serialize};

use super::HttpResponse;
use super::operators::{
    DEFAULT_PAGE_SIZE, MAX_PAGE_SIZE, OperatorRequest, invalid_parameter, parse_limit, parse_query,
};
use super::users::JobManifest;
use crate::ids::seconds_to_ms;

/// Nodes of one graph, and parts of one run with all that is done over.
pub const MAX_NODES: u32 = 20_000;
pub const MAX_PARTS: u32 = 4_000;
const MAX_NAME_BYTES: usize = 100;
const MAX_ATTEMPTS: u32 = 100;
const MAX_WAIT_S: f64 = 86_400.0;

/// The name of a run, chosen by its client: `nightly-2026-12-01`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct DagRunName(Box<str>);

impl DagRunName {
    /// Letters, digits, dots, dashes and underscores: it is part of paths and keys.
    pub fn parse(text: &str) -> Option<DagRunName> {
        let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'-' | b'_');
        let is_valid = (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(is_allowed);
        is_valid.then(|| DagRunName(text.into()))
    }

    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for DagRunName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

fn one() -> u32 {
    1
}

/// What nodes of one kind share. `uid` of the specification is not used: each node has its own.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeTemplate {
    #[serde(rename = "spec")]
    pub manifest: JobManifest,
    #[serde(default, skip_serializing_if = "is_default")]
    #[serde(rename = "rule")]
    pub trigger_rule: TriggerRule,
    /// Failures that a task may have, the last one included.
    #[serde(default = "one")]
    #[serde(rename = "tries")]
    pub max_attempts: u32,
    #[serde(default, skip_serializing_if = "is_default")]
    #[serde(rename = "wait_s")]
    pub retry_backoff_s: f64,
    #[serde(default, skip_serializing_if = "is_default")]
    #[serde(rename = "most_wait_s")]
    pub max_retry_backoff_s: f64,
    /// A task that runs longer is stopped and has failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "limit_s")]
    pub timeout_s: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pool: Option<String>,
    /// What it writes, in GB: dear to move, it draws the nodes behind it to its machine.
    #[serde(default, skip_serializing_if = "is_default")]
    pub output_gb: f64,
}

impl NodeTemplate {
    pub fn retry_policy(&self) -> RetryPolicy {
        RetryPolicy {
            max_attempts: self.max_attempts,
            delay_ms: seconds_to_ms(self.retry_backoff_s),
            max_delay_ms: seconds_to_ms(self.max_retry_backoff_s),
        }
    }

    /// What is wrong with it, its specification aside.
    pub fn validate(&self) -> Result<(), String> {
        if !(1..=MAX_ATTEMPTS).contains(&self.max_attempts) {
            return Err(format!("tries must be 1 to {MAX_ATTEMPTS}"));
        }
        let waits = [("wait_s", self.retry_backoff_s), ("most_wait_s", self.max_retry_backoff_s)];
        for (name, value) in waits.into_iter().chain(self.timeout_s.map(|limit| ("limit_s", limit))) {
            if !(0.0..=MAX_WAIT_S).contains(&value) {
                return Err(format!("{name} must be 0 to {MAX_WAIT_S}"));
            }
        }
        if !(0.0..=1e9).contains(&self.output_gb) {
            return Err("output_gb is out of range".into());
        }
        Ok(())
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DagNodeRecord {
    #[serde(rename = "n")]
    pub name: String,
    /// The number of its job.
    #[serde(rename = "j")]
    pub job: u64,
    /// Its template, counted over all parts.
    #[serde(rename = "t")]
    pub template: u32,
    /// The node over whose list it runs.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub mapped_from: Option<u32>,
}

/// A part of a run. Templates and nodes are counted over all parts in their order.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GraphPart {
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub templates: Vec<NodeTemplate>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub nodes: Vec<DagNodeRecord>,
    /// A node, the first of a row of nodes that it comes after, and how many they are.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub edges: Vec<(u32, u32, u32)>,
    /// Nodes done over: the first of a row, how many, and the number of the first one's new job.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "redo")]
    pub reruns: Vec<(u32, u32, u64)>,
}

/// A graph cut into parts whose JSON has at most `largest` bytes, in the order in which they are counted.
pub fn split_into_parts(
    templates: Vec<NodeTemplate>,
    nodes: Vec<DagNodeRecord>,
    edges: Vec<(u32, u32, u32)>,
    reruns: Vec<(u32, u32, u64)>,
    max_bytes: usize,
) -> Vec<GraphPart> {
    let mut packer = PartBuilder { parts: vec![GraphPart::default()], bytes: PART_OVERHEAD_BYTES, max_bytes };
    for template in templates {
        packer.part_with_space_for(&template).templates.push(template);
    }
    for node in nodes {
        packer.part_with_space_for(&node).nodes.push(node);
    }
    for edge in edges {
        packer.part_with_space_for(&edge).edges.push(edge);
    }
    for row in reruns {
        packer.part_with_space_for(&row).reruns.push(row);
    }
    packer.parts
}

/// Names and brackets of a part.
const PART_OVERHEAD_BYTES: usize = 60;

struct PartBuilder {
    parts: Vec<GraphPart>,
    bytes: usize,
    max_bytes: usize,
}

impl PartBuilder {
    /// The part that takes it.
    fn part_with_space_for(&mut self, item: &impl Serialize) -> &mut GraphPart {
        let bytes = serde_json::to_string(item).map_or(0, |text| text.len()) + 1;
        if self.bytes + bytes > self.max_bytes && self.bytes > PART_OVERHEAD_BYTES {
            self.parts.push(GraphPart::default());
            self.bytes = PART_OVERHEAD_BYTES;
        }
        self.bytes += bytes;
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}

/// What a run is, when all its parts are there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DagRunHeader {
    /// The graph's name, which its runs share.
    pub graph: String,
    pub parts: u32,
    pub nodes: u32,
    /// Runs of the graph under way at a time.
    #[serde(default = "one")]
    #[serde(rename = "most_runs")]
    pub max_active_runs: u32,
}

#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct PartsUpload {
    #[serde(rename = "first")]
    pub first_part: u32,
    pub parts: Vec<GraphPart>,
}

#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct RerunRequest {
    /// Parts that say what is done over, uploaded before: `next_part` of the run as it was shown, and how many.
    #[serde(rename = "from")]
    pub first_part: u32,
    pub parts: u32,
}

/// What changes a run.
#[derive(Debug, Clone, PartialEq)]
pub enum DagRequest {
    UploadParts { run: DagRunName, upload: PartsUpload },
    Commit { run: DagRunName, header: DagRunHeader },
    Cancel { run: DagRunName },
    Rerun { run: DagRunName, rerun: RerunRequest },
}

impl DagRequest {
    pub fn run(&self) -> &DagRunName {
        match self {
            DagRequest::UploadParts { run, .. }
            | DagRequest::Commit { run, .. }
            | DagRequest::Cancel { run }
            | DagRequest::Rerun { run, .. } => run,
        }
    }
}

/// Which runs a list shows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DagRunQuery {
    pub graph: Option<String>,
    pub after: Option<DagRunName>,
    pub limit: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DagRunState {
    /// As many runs of the graph as allowed are under way.
    Waiting,
    Running,
    Cancelling,
    Success,
    Failed,
    Cancelled,
}

impl DagRunState {
    pub fn as_str(self) -> &'static str {
        match self {
            DagRunState::Waiting => "waiting",
            DagRunState::Running => "running",
            DagRunState::Cancelling => "cancelling",
            DagRunState::Success => "success",
            DagRunState::Failed => "failed",
            DagRunState::Cancelled => "cancelled",
        }
    }

    pub fn is_terminal(self) -> bool {
        matches!(self, DagRunState::Success | DagRunState::Failed | DagRunState::Cancelled)
    }
}

/// One run of a list. Times are the time of day in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DagRunSummary {
    pub run: String,
    pub graph: String,
    pub state: DagRunState,
    pub nodes: u32,
    /// How many nodes are in each state.
    #[serde(rename = "states")]
    pub node_states: BTreeMap<String, u32>,
    pub accepted_ms: u64,
    #[serde(rename = "ended_ms")]
    pub finished_ms: Option<u64>,
    /// Where parts that do nodes over begin.
    pub next_part: u32,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DagRunList {
    #[serde(rename = "node")]
    pub controller: String,
    pub revision: u64,
    pub runs: Vec<DagRunSummary>,
    pub next: Option<String>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DagNodeState {
    Waiting,
    /// It may run; none of its tasks does.
    Ready,
    Running,
    /// It may run, and a task of its has failed.
    UpForRetry,
    Success,
    Failed,
    UpstreamFailed,
    Skipped,
    Cancelled,
}

impl DagNodeState {
    pub fn as_str(self) -> &'static str {
        match self {
            DagNodeState::Waiting => "waiting",
            DagNodeState::Ready => "ready",
            DagNodeState::Running => "running",
            DagNodeState::UpForRetry => "up_for_retry",
            DagNodeState::Success => "success",
            DagNodeState::Failed => "failed",
            DagNodeState::UpstreamFailed => "upstream_failed",
            DagNodeState::Skipped => "skipped",
            DagNodeState::Cancelled => "cancelled",
        }
    }
}

/// A try that failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedAttempt {
    #[serde(rename = "t")]
    pub task: u32,
    #[serde(flatten)]
    pub failure: Failure,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DagNodeView {
    pub name: String,
    pub job: String,
    pub state: DagNodeState,
    #[serde(rename = "rule")]
    pub trigger_rule: TriggerRule,
    /// Rows of nodes that it comes after: the first, and how many.
    #[serde(rename = "after")]
    pub upstream: Vec<(u32, u32)>,
    #[serde(rename = "map")]
    pub mapped_from: Option<u32>,
    /// Null until the list of a mapped node is known.
    pub tasks: Option<u32>,
    pub done: u32,
    pub running: u32,
    #[serde(rename = "guess_s")]
    pub estimated_run_s: f64,
    /// Work on the longest path behind it.
    #[serde(rename = "ahead_s")]
    pub downstream_path_s: f64,
    /// The attempt whose output was published.
    #[serde(rename = "attempt")]
    pub published_attempt: Option<u64>,
    /// The length of the list it gave.
    #[serde(rename = "gave")]
    pub output_list_len: Option<u32>,
    #[serde(rename = "ended_ms")]
    pub finished_ms: Option<u64>,
    /// Failed tries, the last ones of each task.
    #[serde(rename = "evidence")]
    pub failed_attempts: Vec<FailedAttempt>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DagRunDetail {
    #[serde(rename = "node")]
    pub controller: String,
    #[serde(rename = "row")]
    pub summary: DagRunSummary,
    /// Position of the first node shown here.
    #[serde(rename = "first")]
    pub first_node: u32,
    pub nodes: Vec<DagNodeView>,
    /// The `after` of the next page.
    pub next: Option<u32>,
}

/// A question or a change.
#[derive(Debug, Clone, PartialEq)]
pub enum GraphRouteRequest {
    Modify(DagRequest),
    Query(OperatorRequest),
}

/// Reads what follows `/v1/graphs`. None: no such path. `Err` is the final answer.
pub fn parse_graph_request(
    method: &str,
    path: &str,
    query: &str,
    body: &[u8],
) -> Option<Result<GraphRouteRequest, HttpResponse>> {
    let parts: Vec<&str> = path.split('/').collect();
    let change = |run: &str, make: &dyn Fn(DagRunName) -> Result<DagRequest, HttpResponse>| {
        parse_run_name(run).and_then(make).map(GraphRouteRequest::Modify)
    };
    Some(match (method, parts.as_slice()) {
        ("GET", ["graphs"]) => parse_list_query(query),
        ("GET", ["graphs", run]) => parse_inspect(run, query),
        ("POST", ["graphs", run, "parts"]) => change(run, &|run| {
            let upload: PartsUpload = parse_body(body)?;
            Ok(DagRequest::UploadParts { run, upload })
        }),
        ("POST", ["graphs", run]) => change(run, &|run| {
            let header: DagRunHeader = parse_body(body)?;
            validate_header(&header).map_err(|problem| HttpResponse::error(400, &problem))?;
            Ok(DagRequest::Commit { run, header })
        }),
        ("POST", ["graphs", run, "cancel"]) => change(run, &|run| Ok(DagRequest::Cancel { run })),
        ("POST", ["graphs", run, "redo"]) => change(run, &|run| {
            let redo: RerunRequest = parse_body(body)?;
            Ok(DagRequest::Rerun { run, rerun: redo })
        }),
        (_, ["graphs"] | ["graphs", _] | ["graphs", _, "parts" | "cancel" | "redo"]) => {
            Err(HttpResponse::error(405, "wrong method"))
        }
        _ => return None,
    })
}

fn parse_run_name(text: &str) -> Result<DagRunName, HttpResponse> {
    let expected = format!("1 to {MAX_NAME_BYTES} letters, digits, dots, dashes and underscores");
    DagRunName::parse(text).ok_or_else(|| invalid_parameter("run", &expected, text))
}

fn parse_body<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, HttpResponse> {
    serde_json::from_slice(body).map_err(|error| HttpResponse::error(400, &error.to_string()))
}

fn validate_header(header: &DagRunHeader) -> Result<(), String> {
    if DagRunName::parse(&header.graph).is_none() {
        return Err(format!("graph: expected a name like nightly, not {:?}", header.graph));
    }
    for (name, value, most) in [
        ("nodes", header.nodes, MAX_NODES),
        ("parts", header.parts, MAX_PARTS),
        ("most_runs", header.max_active_runs, 1_000),
    ] {
        if !(1..=most).contains(&value) {
            return Err(format!("{name} must be 1 to {most}"));
        }
    }
    Ok(())
}

fn parse_list_query(query: &str) -> Result<GraphRouteRequest, HttpResponse> {
    let mut list = DagRunQuery { limit: DEFAULT_PAGE_SIZE, ..DagRunQuery::default() };
    for (name, value) in parse_query(query)? {
        match name {
            "after" => list.after = Some(parse_run_name(value)?),
            "limit" => list.limit = parse_limit(value)?,
            "graph" => list.graph = Some(value.into()),
            _ => return Err(invalid_parameter("query", "after, limit or graph", name)),
        }
    }
    Ok(GraphRouteRequest::Query(OperatorRequest::ListDagRuns(list)))
}

fn parse_inspect(run: &str, query: &str) -> Result<GraphRouteRequest, HttpResponse> {
    let (mut after, mut limit) = (None, MAX_PAGE_SIZE);
    for (name, value) in parse_query(query)? {
        match name {
            "after" => {
                after = Some(value.parse().map_err(|_| invalid_parameter(name, "a node's position", value))?)
            }
            "limit" => limit = parse_limit(value)?,
            _ => return Err(invalid_parameter("query", "after or limit", name)),
        }
    }
    Ok(GraphRouteRequest::Query(OperatorRequest::InspectDagRun { run: parse_run_name(run)?, after, limit }))
}

#[cfg(test)]
#[path = "tests/graphs.rs"]
mod tests;
