//! From a checked file to what is sent: nodes get the ids of their jobs, the workers' descriptions are made, and the graph
//! is split into parts.

use std::collections::BTreeMap;

use olivelatch::ids::JobId;
use olivelatch::protocol::graphs::{
    DagNodeRecord, DagNodeView, DagRunHeader, DagRunName, GraphPart, NodeTemplate, split_into_parts,
};
use olivelatch::protocol::users::JobManifest;
use olivelatch_client::JobEntryError;
use olivelatch_dag::{DagTopology, NodeIx, TopologyError};
use rand::RngExt;
use serde_json::{Value, json};
use thiserror::Error;

use crate::file::{DagFile, DagFileError, DagFileNode};

/// Below the smallest value size that a kv store may be limited to.
const MAX_PART_BYTES: usize = 3_800;
/// Inputs that a task gets by name.
const MAX_INPUTS: usize = 100;
/// Ids of nodes' jobs have 18 digits, and are apart from those of jobs that are submitted alone.
const FIRST_JOB_ID: u64 = 900_000_000_000_000_000;
const JOB_IDS: u64 = 99_999_999_999_999_999;

/// Why a node cannot be submitted.
#[derive(Debug, Error)]
enum NodeError {
    #[error("it has no command")]
    NoCommand,
    #[error("a node has no id of its own, and ends")]
    IdOrService,
    #[error(transparent)]
    Job(#[from] JobEntryError),
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The controllers would refuse it, with this text.
    #[error("{0}")]
    Template(String),
}

/// A run ready to be sent.
#[derive(Debug, Clone)]
pub struct PreparedRun {
    /// The run's name.
    pub run: String,
    /// What the commit says.
    pub header: DagRunHeader,
    /// The graph, in parts that are uploaded before.
    pub parts: Vec<GraphPart>,
    /// What workers must know of each job.
    pub descriptions: Vec<(String, Value)>,
}

/// The first of so many consecutive ids, chosen at random so that no two runs share any.
fn new_job_ids(count: usize) -> u64 {
    FIRST_JOB_ID + rand::rng().random_range(0..JOB_IDS - count as u64)
}

/// Sorted positions as ranges: the first, and how many.
fn position_ranges(positions: &[u32]) -> Vec<(u32, u32)> {
    let mut ranges: Vec<(u32, u32)> = Vec::new();
    for position in positions {
        match ranges.last_mut() {
            Some((first, count)) if *first + *count == *position => *count += 1,
            _ => ranges.push((*position, 1)),
        }
    }
    ranges
}

fn job_name(job: u64) -> String {
    JobId(job).to_string()
}

impl DagFile {
    /// The run ready to be sent. `file` is the file's name in errors; `run` the run's name if the file's is not to count.
    ///
    /// # Errors
    /// The run's name is wrong, or the controllers would refuse a node.
    pub fn prepare(&self, file: &str, run: Option<&str>) -> Result<PreparedRun, DagFileError> {
        let new_name = || format!("{}-{:08x}", self.graph, rand::rng().random::<u32>());
        let run = run.map(String::from).or_else(|| self.run.clone()).unwrap_or_else(new_name);
        if DagRunName::parse(&run).is_none() {
            let problem = format!("run: expected letters, digits, dots, dashes and underscores, not {run:?}");
            return Err(DagFileError::Form { file: file.into(), problem });
        }
        let first_job = new_job_ids(self.nodes.len());
        let mut templates: Vec<NodeTemplate> = Vec::new();
        let (mut nodes, mut edges, mut descriptions) = (Vec::new(), Vec::new(), Vec::new());
        for (index, node) in self.nodes.iter().enumerate() {
            let job = first_job + index as u64;
            let (template, description) =
                self.node_template(node, job, first_job).map_err(|error| node_error(file, node, &error))?;
            nodes.push(DagNodeRecord {
                name: node.name.clone(),
                job,
                template: template_index(&mut templates, template),
                mapped_from: node.map,
            });
            let upstream = position_ranges(&node.after);
            edges.extend(upstream.into_iter().map(|(first, count)| (index as u32, first, count)));
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

    /// A node as the controllers get it, and the description of its job. `first_job`: the id of the first node's job.
    fn node_template(
        &self,
        node: &DagFileNode,
        job: u64,
        first_job: u64,
    ) -> Result<(NodeTemplate, Value), NodeError> {
        if node.job.command.is_empty() {
            return Err(NodeError::NoCommand);
        }
        if node.job.id.is_some() || node.job.shape == "service" {
            return Err(NodeError::IdOrService);
        }
        let mut entry = node.job.clone();
        entry.id = Some(job_name(job));
        let prepared = entry.prepare(&node.name, 0)?;
        let mut manifest: JobManifest = serde_json::from_value(prepared.spec)?;
        // Templates are shared by nodes that differ in nothing but their jobs.
        manifest.id = String::new();
        let attributes = &node.attributes;
        let template = NodeTemplate {
            manifest,
            trigger_rule: node.rule,
            max_attempts: attributes.max_attempts,
            retry_backoff_s: attributes.retry_delay_s,
            max_retry_backoff_s: attributes.max_retry_delay_s,
            timeout_s: attributes.timeout_s,
            pool: attributes.pool.clone(),
            output_gb: attributes.output_gb,
        };
        template.validate().map_err(|problem| NodeError::Template(problem.to_string()))?;
        let mut description = prepared.description.unwrap_or_default();
        description["inputs"] = json!(self.inputs(node, first_job));
        if let Some(map) = node.map {
            description["map"] = json!(job_name(first_job + u64::from(map)));
        }
        Ok((template, description))
    }

    /// The jobs whose output the node reads, by the names of their nodes.
    fn inputs(&self, node: &DagFileNode, first_job: u64) -> BTreeMap<&str, String> {
        let upstream = node.after.iter().take(MAX_INPUTS);
        upstream
            .map(|index| {
                let name = self.nodes[*index as usize].name.as_str();
                (name, job_name(first_job + u64::from(*index)))
            })
            .collect()
    }
}

fn node_error(file: &str, node: &DagFileNode, error: &NodeError) -> DagFileError {
    DagFileError::Node {
        file: file.into(),
        line: node.line,
        node: node.name.clone(),
        problem: error.to_string(),
    }
}

/// The position of the template, which is added if it is a new one.
fn template_index(templates: &mut Vec<NodeTemplate>, template: NodeTemplate) -> u32 {
    let known = templates.iter().rposition(|other| *other == template);
    let index = known.unwrap_or_else(|| {
        templates.push(template);
        templates.len() - 1
    });
    index as u32
}

/// The topology of a run from the view of all its nodes.
pub(crate) fn graph_shape(nodes: &[DagNodeView]) -> Result<DagTopology, TopologyError> {
    let mut edges = Vec::new();
    for (index, node) in nodes.iter().enumerate() {
        let upstream = node.upstream.iter().flat_map(|(first, count)| *first..first.saturating_add(*count));
        edges.extend(upstream.map(|upstream| (upstream, index as u32)));
    }
    DagTopology::new(nodes.len() as u32, &edges)
}

/// Nodes that run again, with the ids of their new jobs.
#[derive(Debug, Clone, PartialEq)]
pub struct Rerun {
    /// The parts that list the nodes.
    pub parts: Vec<GraphPart>,
    /// The new job of each old one.
    pub jobs: BTreeMap<String, String>,
}

impl Rerun {
    /// The nodes at these positions and all downstream of them. `nodes`: the view of all nodes of the run.
    ///
    /// # Errors
    /// The view is not that of a graph.
    pub fn new(nodes: &[DagNodeView], selected: &[u32]) -> Result<Rerun, TopologyError> {
        let topology = graph_shape(nodes)?;
        let positions: Vec<u32> = topology
            .downstream_closure(selected.iter().map(|position| NodeIx(*position)))
            .into_iter()
            .map(|node| node.0)
            .collect();
        let first_job = new_job_ids(positions.len());
        let jobs = positions
            .iter()
            .zip(first_job..)
            .map(|(position, job)| (nodes[*position as usize].job.clone(), job_name(job)))
            .collect();
        let mut next_job = first_job;
        let with_job = |(first, count): (u32, u32)| {
            let range = (first, count, next_job);
            next_job += u64::from(count);
            range
        };
        let reruns = position_ranges(&positions).into_iter().map(with_job).collect();
        let parts = split_into_parts(Vec::new(), Vec::new(), Vec::new(), reruns, MAX_PART_BYTES);
        Ok(Rerun { parts, jobs })
    }

    /// The description of a new job from that of the old one. Jobs that it reads are replaced if they run again too.
    pub fn description(&self, old: &Value, job: &str) -> Value {
        let mut new = old.clone();
        new["uid"] = json!(job);
        let new_job = |value: &Value| value.as_str().and_then(|job| self.jobs.get(job)).map(|job| json!(job));
        if let Some(inputs) = new["inputs"].as_object_mut() {
            for value in inputs.values_mut() {
                if let Some(job) = new_job(value) {
                    *value = job;
                }
            }
        }
        if let Some(job) = new_job(&new["map"]) {
            new["map"] = job;
        }
        new
    }
}

#[cfg(test)]
#[path = "tests/prepare.rs"]
mod tests;
