//! From a checked file to what is sent: jobs with names of their own, descriptions for the workers, parts.

use std::collections::BTreeMap;

use olivelatch::ids::JobId;
use olivelatch::protocol::graphs::{
    DagNodeRecord, DagNodeView, DagRunHeader, DagRunName, GraphPart, NodeTemplate, split_into_parts,
};
use olivelatch::protocol::users::JobManifest;
use olivelatch_dag::{DagTopology, NodeIx};
use rand::RngExt;
use serde_json::{Value, json};

use crate::file::{DagFile, DagFileError, DagFileNode};

/// A part fits the smallest value that the state service's protocol speaks of, with room to spare.
const MAX_PART_BYTES: usize = 3_800;
/// Inputs that a task is told by name.
const MAX_INPUTS: usize = 100;
/// Numbers of nodes' jobs: 18 digits, apart from those of jobs that are submitted alone.
const FIRST_JOB_ID: u64 = 900_000_000_000_000_000;

/// A run ready to be sent.
#[derive(Debug, Clone)]
pub struct PreparedRun {
    pub run: String,
    pub header: DagRunHeader,
    pub parts: Vec<GraphPart>,
    /// What workers are told, by job.
    pub descriptions: Vec<(String, Value)>,
}

/// New jobs in a row that nobody else has.
fn new_job_ids(count: usize) -> u64 {
    let room = 99_999_999_999_999_999 - count as u64;
    FIRST_JOB_ID + rand::rng().random_range(0..room)
}

/// Positions in order as rows: the first, and how many.
fn position_ranges(positions: &[u32]) -> Vec<(u32, u32)> {
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

impl DagFile {
    /// `run`: the run's name if the file's is not to count.
    pub fn prepare(&self, file: &str, run: Option<&str>) -> Result<PreparedRun, DagFileError> {
        let form = |problem: String| DagFileError::Form { file: file.into(), problem };
        let fresh = || format!("{}-{:08x}", self.graph, rand::rng().random::<u32>());
        let run = run.map(String::from).or_else(|| self.run.clone()).unwrap_or_else(fresh);
        if DagRunName::parse(&run).is_none() {
            return Err(form(format!(
                "run: expected letters, digits, dots, dashes and underscores, not {run:?}"
            )));
        }
        let first = new_job_ids(self.nodes.len());
        let mut templates: Vec<NodeTemplate> = Vec::new();
        let (mut nodes, mut edges, mut descriptions) = (Vec::new(), Vec::new(), Vec::new());
        for (at, node) in self.nodes.iter().enumerate() {
            let wrong = |problem: String| DagFileError::Node {
                file: file.into(),
                line: node.line,
                node: node.name.clone(),
                problem,
            };
            let job = first + at as u64;
            let (template, description) = self.node_template(node, job, first).map_err(wrong)?;
            template.validate().map_err(wrong)?;
            let known = templates.iter().rposition(|other| *other == template);
            let template = known.unwrap_or_else(|| {
                templates.push(template);
                templates.len() - 1
            });
            nodes.push(DagNodeRecord {
                name: node.name.clone(),
                job,
                template: template as u32,
                mapped_from: node.map,
            });
            edges.extend(
                position_ranges(&node.after).into_iter().map(|(first, count)| (at as u32, first, count)),
            );
            descriptions.push((job_name(job), description));
        }
        let parts = split_into_parts(templates, nodes, edges, Vec::new(), MAX_PART_BYTES);
        let header = DagRunHeader {
            graph: self.graph.clone(),
            parts: parts.len() as u32,
            nodes: self.nodes.len() as u32,
            max_active_runs: self.max_concurrent_runs,
        };
        Ok(PreparedRun { run, header, parts, descriptions })
    }

    fn node_template(
        &self,
        node: &DagFileNode,
        job: u64,
        first: u64,
    ) -> Result<(NodeTemplate, Value), String> {
        if node.job.command.is_empty() {
            return Err("it has no command".into());
        }
        if node.job.id.is_some() || node.job.shape == "service" {
            return Err("a node has no id of its own, and ends".into());
        }
        let mut entry = node.job.clone();
        entry.id = Some(job_name(job));
        let prepared = entry.prepare(&node.name, 0)?;
        let mut spec: JobManifest =
            serde_json::from_value(prepared.spec).map_err(|error| error.to_string())?;
        spec.id = String::new();
        let words = &node.attributes;
        let template = NodeTemplate {
            manifest: spec,
            trigger_rule: node.rule,
            max_attempts: words.max_attempts,
            retry_backoff_s: words.retry_delay_s,
            max_retry_backoff_s: words.max_retry_delay_s,
            timeout_s: words.timeout_s,
            pool: words.pool.clone(),
            output_gb: words.output_gb,
        };
        let mut description = prepared.description.unwrap_or_default();
        let inputs = node.after.iter().take(MAX_INPUTS);
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
pub(crate) fn graph_shape(nodes: &[DagNodeView]) -> Result<DagTopology, String> {
    let mut edges = Vec::new();
    for (at, node) in nodes.iter().enumerate() {
        let before = node.upstream.iter().flat_map(|(first, count)| *first..first.saturating_add(*count));
        edges.extend(before.map(|up| (up, at as u32)));
    }
    DagTopology::new(nodes.len() as u32, &edges).map_err(|error| error.to_string())
}

/// Nodes to be done over, with the new names of their jobs.
#[derive(Debug, Clone, PartialEq)]
pub struct Rerun {
    pub parts: Vec<GraphPart>,
    /// Old and new jobs.
    pub jobs: BTreeMap<String, String>,
}

impl Rerun {
    /// The nodes at these positions and all behind them, of a run as it was shown.
    pub fn new(nodes: &[DagNodeView], from: &[u32]) -> Result<Rerun, String> {
        let shape = graph_shape(nodes)?;
        let all: Vec<u32> = shape
            .downstream_closure(from.iter().map(|at| NodeIx(*at)))
            .into_iter()
            .map(|node| node.0)
            .collect();
        let first = new_job_ids(all.len());
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
        let redo = position_ranges(&all).into_iter().map(row).collect();
        Ok(Rerun { parts: split_into_parts(Vec::new(), Vec::new(), Vec::new(), redo, MAX_PART_BYTES), jobs })
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
