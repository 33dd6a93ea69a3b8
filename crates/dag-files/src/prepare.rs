//! Turns a checked file into the data to send: assigns job ids to nodes, creates the job descriptions for workers, and
//! splits the graph into parts.

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

/// Maximum size of an encoded part in bytes; below the smallest value size limit that a key-value store may have.
const MAX_PART_BYTES: usize = 3_800;
/// Maximum number of upstream outputs that a task gets by node name.
const MAX_INPUTS: usize = 100;
/// First job id of DAG nodes. Their ids have 18 digits and do not overlap with the ids of separately submitted jobs.
const FIRST_JOB_ID: u64 = 900_000_000_000_000_000;
/// Size of the range that the job ids of DAG nodes are drawn from.
const JOB_ID_COUNT: u64 = 99_999_999_999_999_999;

/// The reason why a node cannot be submitted.
#[derive(Debug, Error)]
enum NodeError {
    #[error("command is missing or empty")]
    NoCommand,
    #[error(
        "id and shape \"service\" are not allowed: the job id of a node is generated, and its job has to finish"
    )]
    IdOrService,
    #[error(transparent)]
    Job(#[from] JobEntryError),
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The controllers would reject the node with this message.
    #[error("{0}")]
    Template(String),
}

/// A run that is ready to be sent.
#[derive(Debug, Clone)]
pub struct PreparedRun {
    /// Name of the run.
    pub run: String,
    /// The header, sent in the request that commits the run.
    pub header: DagRunHeader,
    /// The graph, in parts that are uploaded before the commit.
    pub parts: Vec<GraphPart>,
    /// Job ids with the job descriptions that workers need.
    pub descriptions: Vec<(String, Value)>,
}

/// Returns the first of `count` consecutive job ids. It is drawn at random, so that runs practically never share an id.
fn draw_job_ids(count: usize) -> u64 {
    FIRST_JOB_ID + rand::rng().random_range(0..JOB_ID_COUNT - count as u64)
}

/// Converts sorted positions to ranges: the first position and the number of positions.
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
    /// Prepares a run. `file` is the file name shown in errors; `run` overrides the name that the file gives the run.
    /// If neither gives a name, it is generated from the graph name and a random number.
    ///
    /// # Errors
    /// The name of the run is invalid, or a node cannot be submitted.
    pub fn prepare(&self, file: &str, run: Option<&str>) -> Result<PreparedRun, DagFileError> {
        let new_name = || format!("{}-{:08x}", self.graph, rand::rng().random::<u32>());
        let run = run.map(String::from).or_else(|| self.run.clone()).unwrap_or_else(new_name);
        if DagRunName::parse(&run).is_none() {
            let problem = format!(
                "run: expected a name of letters, digits, dots, dashes and underscores, found {run:?}"
            );
            return Err(DagFileError::File { file: file.into(), problem });
        }
        let first_job = draw_job_ids(self.nodes.len());
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
                mapped_from: node.map_source,
            });
            let upstream = position_ranges(&node.upstream);
            edges.extend(upstream.into_iter().map(|(first, count)| (index as u32, first, count)));
            descriptions.push((job_name(job), description));
        }
        let parts = split_into_parts(templates, nodes, edges, Vec::new(), MAX_PART_BYTES);
        let header = DagRunHeader {
            graph: self.graph.clone(),
            parts: parts.len() as u32,
            nodes: self.nodes.len() as u32,
            max_active_runs: self.max_active_runs,
        };
        Ok(PreparedRun { run, header, parts, descriptions })
    }

    /// Returns the template sent to the controllers and the job description. `first_job` is the job id of the
    /// first node.
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
        let mut manifest: JobManifest = serde_json::from_value(prepared.submission)?;
        // Nodes that differ only in their job ids share a template, so the template has no id.
        manifest.id = String::new();
        let attributes = &node.attributes;
        let template = NodeTemplate {
            manifest,
            trigger_rule: node.rule,
            max_attempts: attributes.max_attempts,
            retry_backoff_s: attributes.retry_backoff_s,
            max_retry_backoff_s: attributes.max_retry_backoff_s,
            timeout_s: attributes.timeout_s,
            pool: attributes.pool.clone(),
            output_gb: attributes.output_gb,
        };
        template.validate().map_err(|problem| NodeError::Template(problem.to_string()))?;
        let mut description = prepared.description.unwrap_or_default();
        description["inputs"] = json!(self.inputs(node, first_job));
        if let Some(source) = node.map_source {
            description["map"] = json!(job_name(first_job + u64::from(source)));
        }
        Ok((template, description))
    }

    /// Returns the jobs whose output the node reads, by node name.
    fn inputs(&self, node: &DagFileNode, first_job: u64) -> BTreeMap<&str, String> {
        let upstream = node.upstream.iter().take(MAX_INPUTS);
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

/// Returns the index of the template, and adds it if it is new.
fn template_index(templates: &mut Vec<NodeTemplate>, template: NodeTemplate) -> u32 {
    let existing = templates.iter().rposition(|other| *other == template);
    let index = existing.unwrap_or_else(|| {
        templates.push(template);
        templates.len() - 1
    });
    index as u32
}

/// Builds the topology of a run from the views of all its nodes.
pub(crate) fn topology_from_views(nodes: &[DagNodeView]) -> Result<DagTopology, TopologyError> {
    let mut edges = Vec::new();
    for (index, node) in nodes.iter().enumerate() {
        let upstream = node.upstream.iter().flat_map(|(first, count)| *first..first.saturating_add(*count));
        edges.extend(upstream.map(|upstream| (upstream, index as u32)));
    }
    DagTopology::new(nodes.len() as u32, &edges)
}

/// A rerun of some nodes of a run, each with a new job.
#[derive(Debug, Clone, PartialEq)]
pub struct Rerun {
    /// The parts that list the nodes.
    pub parts: Vec<GraphPart>,
    /// Maps the name of each old job to that of the new job.
    pub jobs: BTreeMap<String, String>,
}

impl Rerun {
    /// Creates a rerun of the nodes at the selected positions and of all nodes downstream of them. `nodes` has to hold
    /// the views of all nodes of the run.
    ///
    /// # Errors
    /// The edges in the views do not form a valid graph.
    pub fn new(nodes: &[DagNodeView], selected: &[u32]) -> Result<Rerun, TopologyError> {
        let topology = topology_from_views(nodes)?;
        let positions: Vec<u32> = topology
            .downstream_closure(selected.iter().map(|position| NodeIx(*position)))
            .into_iter()
            .map(|node| node.0)
            .collect();
        let first_job = draw_job_ids(positions.len());
        let jobs = positions
            .iter()
            .zip(first_job..)
            .map(|(position, job)| (nodes[*position as usize].job.clone(), job_name(job)))
            .collect();
        let mut next_job = first_job;
        let with_first_job = |(first, count): (u32, u32)| {
            let range = (first, count, next_job);
            next_job += u64::from(count);
            range
        };
        let reruns = position_ranges(&positions).into_iter().map(with_first_job).collect();
        let parts = split_into_parts(Vec::new(), Vec::new(), Vec::new(), reruns, MAX_PART_BYTES);
        Ok(Rerun { parts, jobs })
    }

    /// Returns the description of a new job, based on that of the old one. Inputs from jobs that are also rerun are
    /// replaced by inputs from the new jobs.
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
