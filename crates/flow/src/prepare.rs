//! From a checked file to what is sent: jobs with names of their own, descriptions for the workers, parts.

use std::collections::BTreeMap;

use olivelatch::ids::JobId;
use olivelatch::protocol::graphs::{GraphHeader, GraphPart, NodeRow, NodeView, RunName, Template, pack};
use olivelatch::protocol::users::JobSpec;
use olivelatch_graph::{NodeIx, Shape};
use rand::RngExt;
use serde_json::{Value, json};

use crate::file::{FlowFile, FlowFileError, FlowNode};

/// A part fits the smallest value that the state service's protocol speaks of, with room to spare.
const LARGEST_PART: usize = 3_800;
/// Inputs that a task is told by name.
const MOST_INPUTS: usize = 100;
/// Numbers of nodes' jobs: 18 digits, apart from those of jobs that are submitted alone.
const FIRST_JOB: u64 = 900_000_000_000_000_000;

/// A run ready to be sent.
#[derive(Debug, Clone)]
pub struct PreparedRun {
    pub run: String,
    pub header: GraphHeader,
    pub parts: Vec<GraphPart>,
    /// What workers are told, by job.
    pub descriptions: Vec<(String, Value)>,
}

/// New jobs in a row that nobody else has.
fn new_jobs(count: usize) -> u64 {
    let room = 99_999_999_999_999_999 - count as u64;
    FIRST_JOB + rand::rng().random_range(0..room)
}

/// Positions in order as rows: the first, and how many.
fn rows(positions: &[u32]) -> Vec<(u32, u32)> {
    let mut rows: Vec<(u32, u32)> = Vec::new();
    for at in positions {
        match rows.last_mut() {
            Some((first, count)) if *first + *count == *at => *count += 1,
            _ => rows.push((*at, 1)),
        }
    }
    rows
}

fn job_name(job: u64) -> String {
    JobId(job).to_string()
}

impl FlowFile {
    /// `run`: the run's name if the file's is not to count.
    pub fn prepare(&self, file: &str, run: Option<&str>) -> Result<PreparedRun, FlowFileError> {
        let form = |problem: String| FlowFileError::Form { file: file.into(), problem };
        let fresh = || format!("{}-{:08x}", self.graph, rand::rng().random::<u32>());
        let run = run.map(String::from).or_else(|| self.run.clone()).unwrap_or_else(fresh);
        if RunName::parse(&run).is_none() {
            return Err(form(format!(
                "run: expected letters, digits, dots, dashes and underscores, not {run:?}"
            )));
        }
        let first = new_jobs(self.nodes.len());
        let mut templates: Vec<Template> = Vec::new();
        let (mut nodes, mut edges, mut descriptions) = (Vec::new(), Vec::new(), Vec::new());
        for (at, node) in self.nodes.iter().enumerate() {
            let wrong = |problem: String| FlowFileError::Node {
                file: file.into(),
                line: node.line,
                node: node.name.clone(),
                problem,
            };
            let job = first + at as u64;
            let (template, description) = self.node(node, job, first).map_err(wrong)?;
            template.check().map_err(wrong)?;
            let known = templates.iter().rposition(|other| *other == template);
            let template = known.unwrap_or_else(|| {
                templates.push(template);
                templates.len() - 1
            });
            nodes.push(NodeRow { name: node.name.clone(), job, template: template as u32, map: node.map });
            edges.extend(rows(&node.after).into_iter().map(|(first, count)| (at as u32, first, count)));
            descriptions.push((job_name(job), description));
        }
        let parts = pack(templates, nodes, edges, Vec::new(), LARGEST_PART);
        let header = GraphHeader {
            graph: self.graph.clone(),
            parts: parts.len() as u32,
            nodes: self.nodes.len() as u32,
            most_runs: self.most_runs,
        };
        Ok(PreparedRun { run, header, parts, descriptions })
    }

    fn node(&self, node: &FlowNode, job: u64, first: u64) -> Result<(Template, Value), String> {
        if node.job.command.is_empty() {
            return Err("it has no command".into());
        }
        if node.job.id.is_some() || node.job.shape == "service" {
            return Err("a node has no id of its own, and ends".into());
        }
        let mut entry = node.job.clone();
        entry.id = Some(job_name(job));
        let prepared = entry.prepare(&node.name, 0)?;
        let mut spec: JobSpec = serde_json::from_value(prepared.spec).map_err(|error| error.to_string())?;
        spec.uid = String::new();
        let words = &node.words;
        let template = Template {
            spec,
            rule: node.rule,
            tries: words.tries,
            wait_s: words.wait_s,
            most_wait_s: words.most_wait_s,
            limit_s: words.limit_s,
            pool: words.pool.clone(),
            output_gb: words.output_gb,
        };
        let mut description = prepared.description.unwrap_or_default();
        let inputs = node.after.iter().take(MOST_INPUTS);
        let inputs: BTreeMap<&str, String> = inputs
            .map(|up| (self.nodes[*up as usize].name.as_str(), job_name(first + u64::from(*up))))
            .collect();
        description["inputs"] = json!(inputs);
        if let Some(map) = node.map {
            description["map"] = json!(job_name(first + u64::from(map)));
        }
        Ok((template, description))
    }
}

/// The edges of a run as it was shown.
pub(crate) fn shape_of(nodes: &[NodeView]) -> Result<Shape, String> {
    let mut edges = Vec::new();
    for (at, node) in nodes.iter().enumerate() {
        let before = node.after.iter().flat_map(|(first, count)| *first..first.saturating_add(*count));
        edges.extend(before.map(|up| (up, at as u32)));
    }
    Shape::new(nodes.len() as u32, &edges).map_err(|error| error.to_string())
}

/// Nodes to be done over, with the new names of their jobs.
#[derive(Debug, Clone, PartialEq)]
pub struct Redo {
    pub parts: Vec<GraphPart>,
    /// Old and new jobs.
    pub jobs: BTreeMap<String, String>,
}

impl Redo {
    /// The nodes at these positions and all behind them, of a run as it was shown.
    pub fn new(nodes: &[NodeView], from: &[u32]) -> Result<Redo, String> {
        let shape = shape_of(nodes)?;
        let all: Vec<u32> =
            shape.closure(from.iter().map(|at| NodeIx(*at))).into_iter().map(|node| node.0).collect();
        let first = new_jobs(all.len());
        let jobs = all
            .iter()
            .zip(first..)
            .map(|(at, job)| (nodes[*at as usize].job.clone(), job_name(job)))
            .collect();
        let mut job = first;
        let row = |(at, count): (u32, u32)| {
            let row = (at, count, job);
            job += u64::from(count);
            row
        };
        let redo = rows(&all).into_iter().map(row).collect();
        Ok(Redo { parts: pack(Vec::new(), Vec::new(), Vec::new(), redo, LARGEST_PART), jobs })
    }

    /// A description under a new name, with new names for what it reads as far as that is done over too.
    pub fn description(&self, old: &Value, job: &str) -> Value {
        let mut new = old.clone();
        new["uid"] = json!(job);
        let renamed = |value: &Value| value.as_str().and_then(|job| self.jobs.get(job)).map(|job| json!(job));
        if let Some(inputs) = new["inputs"].as_object_mut() {
            for value in inputs.values_mut() {
                if let Some(job) = renamed(value) {
                    *value = job;
                }
            }
        }
        if let Some(job) = renamed(&new["map"]) {
            new["map"] = job;
        }
        new
    }
}

#[cfg(test)]
#[path = "tests/prepare.rs"]
mod tests;
