//! Graphs: parts, commit, cancel, do over, list, show. The client writes what the controller reads, so the types serve
//! both; parts are kept as they are in the durable records.

use std::collections::BTreeMap;
use std::fmt;

use olivelatch_graph::{Failure, Retry, Rule};
use serde::{Deserialize, Serialize};

use super::Answer;
use super::operators::{LARGEST_PAGE, OperatorRequest, PAGE, pairs, read_limit, wrong};
use super::users::JobSpec;
use crate::ids::seconds;

/// Nodes of one graph, and parts of one run with all that is done over.
pub const MOST_NODES: u32 = 20_000;
pub const MOST_PARTS: u32 = 4_000;
const LONGEST_NAME: usize = 100;
const MOST_TRIES: u32 = 100;
const LONGEST_WAIT_S: f64 = 86_400.0;

/// The name of a run, chosen by its client: `nightly-2026-12-01`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RunName(Box<str>);

impl RunName {
    /// Letters, digits, dots, dashes and underscores: it is part of paths and keys.
    pub fn parse(text: &str) -> Option<RunName> {
        let fine = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'-' | b'_');
        let good = (1..=LONGEST_NAME).contains(&text.len()) && text.bytes().all(fine);
        good.then(|| RunName(text.into()))
    }

    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for RunName {
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
pub struct Template {
    pub spec: JobSpec,
    #[serde(default, skip_serializing_if = "is_default")]
    pub rule: Rule,
    /// Failures that a task may have, the last one included.
    #[serde(default = "one")]
    pub tries: u32,
    #[serde(default, skip_serializing_if = "is_default")]
    pub wait_s: f64,
    #[serde(default, skip_serializing_if = "is_default")]
    pub most_wait_s: f64,
    /// A task that runs longer is stopped and has failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit_s: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pool: Option<String>,
    /// What it writes, in GB: dear to move, it draws the nodes behind it to its machine.
    #[serde(default, skip_serializing_if = "is_default")]
    pub output_gb: f64,
}

impl Template {
    pub fn retry(&self) -> Retry {
        Retry { tries: self.tries, wait_ms: seconds(self.wait_s), most_wait_ms: seconds(self.most_wait_s) }
    }

    /// What is wrong with it, its specification aside.
    pub fn check(&self) -> Result<(), String> {
        if !(1..=MOST_TRIES).contains(&self.tries) {
            return Err(format!("tries must be 1 to {MOST_TRIES}"));
        }
        let waits = [("wait_s", self.wait_s), ("most_wait_s", self.most_wait_s)];
        for (name, value) in waits.into_iter().chain(self.limit_s.map(|limit| ("limit_s", limit))) {
            if !(0.0..=LONGEST_WAIT_S).contains(&value) {
                return Err(format!("{name} must be 0 to {LONGEST_WAIT_S}"));
            }
        }
        if !(0.0..=1e9).contains(&self.output_gb) {
            return Err("output_gb is out of range".into());
        }
        Ok(())
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRow {
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
    pub map: Option<u32>,
}

/// A part of a run. Templates and nodes are counted over all parts in their order.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GraphPart {
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub templates: Vec<Template>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub nodes: Vec<NodeRow>,
    /// A node, the first of a row of nodes that it comes after, and how many they are.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub edges: Vec<(u32, u32, u32)>,
    /// Nodes done over: the first of a row, how many, and the number of the first one's new job.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub redo: Vec<(u32, u32, u64)>,
}

/// A graph cut into parts whose JSON has at most `largest` bytes, in the order in which they are counted.
pub fn pack(
    templates: Vec<Template>,
    nodes: Vec<NodeRow>,
    edges: Vec<(u32, u32, u32)>,
    redo: Vec<(u32, u32, u64)>,
    largest: usize,
) -> Vec<GraphPart> {
    let mut packer = Packer { parts: vec![GraphPart::default()], bytes: PART_BYTES, largest };
    for template in templates {
        packer.room(&template).templates.push(template);
    }
    for node in nodes {
        packer.room(&node).nodes.push(node);
    }
    for edge in edges {
        packer.room(&edge).edges.push(edge);
    }
    for row in redo {
        packer.room(&row).redo.push(row);
    }
    packer.parts
}

/// Names and brackets of a part.
const PART_BYTES: usize = 60;

struct Packer {
    parts: Vec<GraphPart>,
    bytes: usize,
    largest: usize,
}

impl Packer {
    /// The part that takes it.
    fn room(&mut self, what: &impl Serialize) -> &mut GraphPart {
        let bytes = serde_json::to_string(what).map_or(0, |text| text.len()) + 1;
        if self.bytes + bytes > self.largest && self.bytes > PART_BYTES {
            self.parts.push(GraphPart::default());
            self.bytes = PART_BYTES;
        }
        self.bytes += bytes;
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}

/// What a run is, when all its parts are there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GraphHeader {
    /// The graph's name, which its runs share.
    pub graph: String,
    pub parts: u32,
    pub nodes: u32,
    /// Runs of the graph under way at a time.
    #[serde(default = "one")]
    pub most_runs: u32,
}

#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct PartsUpload {
    pub first: u32,
    pub parts: Vec<GraphPart>,
}

#[derive(Debug, Clone, PartialEq, Eq, Deserialize, Serialize)]
pub struct RedoRequest {
    /// Parts that say what is done over, uploaded before: `next_part` of the run as it was shown, and how many.
    pub from: u32,
    pub parts: u32,
}

/// What changes a run.
#[derive(Debug, Clone, PartialEq)]
pub enum GraphRequest {
    Parts { run: RunName, upload: PartsUpload },
    Commit { run: RunName, header: GraphHeader },
    Cancel { run: RunName },
    Redo { run: RunName, redo: RedoRequest },
}

impl GraphRequest {
    pub fn run(&self) -> &RunName {
        match self {
            GraphRequest::Parts { run, .. }
            | GraphRequest::Commit { run, .. }
            | GraphRequest::Cancel { run }
            | GraphRequest::Redo { run, .. } => run,
        }
    }
}

/// Which runs a list shows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RunQuery {
    pub graph: Option<String>,
    pub after: Option<RunName>,
    pub limit: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// As many runs of the graph as allowed are under way.
    Waiting,
    Running,
    Cancelling,
    Success,
    Failed,
    Cancelled,
}

impl RunState {
    pub fn word(self) -> &'static str {
        match self {
            RunState::Waiting => "waiting",
            RunState::Running => "running",
            RunState::Cancelling => "cancelling",
            RunState::Success => "success",
            RunState::Failed => "failed",
            RunState::Cancelled => "cancelled",
        }
    }

    pub fn ended(self) -> bool {
        matches!(self, RunState::Success | RunState::Failed | RunState::Cancelled)
    }
}

/// One run of a list. Times are the time of day in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunRow {
    pub run: String,
    pub graph: String,
    pub state: RunState,
    pub nodes: u32,
    /// How many nodes are in each state.
    pub states: BTreeMap<String, u32>,
    pub accepted_ms: u64,
    pub ended_ms: Option<u64>,
    /// Where parts that do nodes over begin.
    pub next_part: u32,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunList {
    pub node: String,
    pub revision: u64,
    pub runs: Vec<RunRow>,
    pub next: Option<String>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeWord {
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

impl NodeWord {
    pub fn word(self) -> &'static str {
        match self {
            NodeWord::Waiting => "waiting",
            NodeWord::Ready => "ready",
            NodeWord::Running => "running",
            NodeWord::UpForRetry => "up_for_retry",
            NodeWord::Success => "success",
            NodeWord::Failed => "failed",
            NodeWord::UpstreamFailed => "upstream_failed",
            NodeWord::Skipped => "skipped",
            NodeWord::Cancelled => "cancelled",
        }
    }
}

/// A try that failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    #[serde(rename = "t")]
    pub task: u32,
    #[serde(flatten)]
    pub failure: Failure,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeView {
    pub name: String,
    pub job: String,
    pub state: NodeWord,
    pub rule: Rule,
    /// Rows of nodes that it comes after: the first, and how many.
    pub after: Vec<(u32, u32)>,
    pub map: Option<u32>,
    /// Null until the list of a mapped node is known.
    pub tasks: Option<u32>,
    pub done: u32,
    pub running: u32,
    pub guess_s: f64,
    /// Work on the longest path behind it.
    pub ahead_s: f64,
    /// The attempt whose output was published.
    pub attempt: Option<u64>,
    /// The length of the list it gave.
    pub gave: Option<u32>,
    pub ended_ms: Option<u64>,
    /// Failed tries, the last ones of each task.
    pub evidence: Vec<Evidence>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunDetail {
    pub node: String,
    pub row: RunRow,
    /// Position of the first node shown here.
    pub first: u32,
    pub nodes: Vec<NodeView>,
    /// The `after` of the next page.
    pub next: Option<u32>,
}

/// A question or a change.
#[derive(Debug, Clone, PartialEq)]
pub enum GraphAsked {
    Change(GraphRequest),
    Look(OperatorRequest),
}

/// Reads what follows `/v1/graphs`. None: no such path. `Err` is the final answer.
pub fn read_graph(method: &str, path: &str, query: &str, body: &[u8]) -> Option<Result<GraphAsked, Answer>> {
    let parts: Vec<&str> = path.split('/').collect();
    let change = |run: &str, make: &dyn Fn(RunName) -> Result<GraphRequest, Answer>| {
        run_name(run).and_then(make).map(GraphAsked::Change)
    };
    Some(match (method, parts.as_slice()) {
        ("GET", ["graphs"]) => read_list(query),
        ("GET", ["graphs", run]) => read_show(run, query),
        ("POST", ["graphs", run, "parts"]) => change(run, &|run| {
            let upload: PartsUpload = read_body(body)?;
            Ok(GraphRequest::Parts { run, upload })
        }),
        ("POST", ["graphs", run]) => change(run, &|run| {
            let header: GraphHeader = read_body(body)?;
            check_header(&header).map_err(|problem| Answer::error(400, &problem))?;
            Ok(GraphRequest::Commit { run, header })
        }),
        ("POST", ["graphs", run, "cancel"]) => change(run, &|run| Ok(GraphRequest::Cancel { run })),
        ("POST", ["graphs", run, "redo"]) => change(run, &|run| {
            let redo: RedoRequest = read_body(body)?;
            Ok(GraphRequest::Redo { run, redo })
        }),
        (_, ["graphs"] | ["graphs", _] | ["graphs", _, "parts" | "cancel" | "redo"]) => {
            Err(Answer::error(405, "wrong method"))
        }
        _ => return None,
    })
}

fn run_name(text: &str) -> Result<RunName, Answer> {
    let expected = format!("1 to {LONGEST_NAME} letters, digits, dots, dashes and underscores");
    RunName::parse(text).ok_or_else(|| wrong("run", &expected, text))
}

fn read_body<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Answer> {
    serde_json::from_slice(body).map_err(|error| Answer::error(400, &error.to_string()))
}

fn check_header(header: &GraphHeader) -> Result<(), String> {
    if RunName::parse(&header.graph).is_none() {
        return Err(format!("graph: expected a name like nightly, not {:?}", header.graph));
    }
    for (name, value, most) in [
        ("nodes", header.nodes, MOST_NODES),
        ("parts", header.parts, MOST_PARTS),
        ("most_runs", header.most_runs, 1_000),
    ] {
        if !(1..=most).contains(&value) {
            return Err(format!("{name} must be 1 to {most}"));
        }
    }
    Ok(())
}

fn read_list(query: &str) -> Result<GraphAsked, Answer> {
    let mut list = RunQuery { limit: PAGE, ..RunQuery::default() };
    for (name, value) in pairs(query)? {
        match name {
            "after" => list.after = Some(run_name(value)?),
            "limit" => list.limit = read_limit(value)?,
            "graph" => list.graph = Some(value.into()),
            _ => return Err(wrong("query", "after, limit or graph", name)),
        }
    }
    Ok(GraphAsked::Look(OperatorRequest::Runs(list)))
}

fn read_show(run: &str, query: &str) -> Result<GraphAsked, Answer> {
    let (mut after, mut limit) = (None, LARGEST_PAGE);
    for (name, value) in pairs(query)? {
        match name {
            "after" => after = Some(value.parse().map_err(|_| wrong(name, "a node's position", value))?),
            "limit" => limit = read_limit(value)?,
            _ => return Err(wrong("query", "after or limit", name)),
        }
    }
    Ok(GraphAsked::Look(OperatorRequest::Run { run: run_name(run)?, after, limit }))
}

#[cfg(test)]
#[path = "tests/graphs.rs"]
mod tests;
