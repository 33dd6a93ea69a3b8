//! The graph of one run: built from the uploaded parts, checked, and with the progress of its nodes.
//!
//! [`Dag`] owns the nodes and their templates; which nodes are ready is decided by [`DagProgress`]. Pure: it knows
//! neither the store nor the time.

mod error;
mod validation;

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::sync::Arc;

use olivelatch_dag::{DagProgress, DagTopology, NodeIx, TriggerRule};

use crate::ids::{JobId, from_milli};
use crate::protocol::graphs::{GraphPart, NodeTemplate};

pub use error::DagError;
use validation::{check_map_sources, check_nodes, checked_job, expand_edges, upstream_ranges};

/// A node. Only its job changes, with a rerun.
#[derive(Debug, Clone)]
pub struct DagNode {
    /// Unique within the graph.
    pub name: Box<str>,
    /// The job that it becomes when it is ready.
    pub job: JobId,
    /// Index of its template.
    pub template: u32,
    /// The node whose list it runs over, with a task for each element.
    pub map_source: Option<NodeIx>,
    /// Its upstream nodes as ranges: the first, and how many.
    pub upstream_ranges: Box<[(u32, u32)]>,
}

/// A run's graph.
#[derive(Debug, Clone)]
pub struct Dag {
    /// By `NodeIx`.
    pub nodes: Vec<DagNode>,
    /// What nodes run; many nodes may share one.
    pub templates: Vec<NodeTemplate>,
    /// Work on the longest path downstream of each node, itself left out, in milliseconds.
    pub downstream_path_ms: Vec<u64>,
    /// Which nodes have ended, and which are ready.
    pub progress: DagProgress,
}

impl Dag {
    /// Builds the graph from all its parts, in their order.
    ///
    /// # Errors
    /// What is wrong with the parts, as users see it.
    pub fn from_parts<'a>(parts: impl Iterator<Item = &'a GraphPart>) -> Result<Dag, String> {
        Dag::build(parts).map_err(|error| error.to_string())
    }

    fn build<'a>(parts: impl Iterator<Item = &'a GraphPart>) -> Result<Dag, DagError> {
        let (mut templates, mut records, mut edges) = (Vec::new(), Vec::new(), Vec::new());
        for part in parts {
            templates.extend(part.templates.iter().cloned());
            records.extend(part.nodes.iter().cloned());
            edges.extend(part.edges.iter().copied());
        }
        let node_count = records.len() as u32;
        check_nodes(&records, templates.len())?;
        let upstream = upstream_ranges(&edges, node_count)?;
        let topology = DagTopology::new(node_count, &expand_edges(&edges)?)
            .map_err(|error| DagError::from_topology(error, &records))?;
        check_map_sources(&records, &upstream)?;
        let nodes: Vec<DagNode> = records
            .into_iter()
            .zip(upstream)
            .map(|(record, ranges)| DagNode {
                name: record.name.into(),
                job: JobId(record.job),
                template: record.template,
                map_source: record.mapped_from.map(NodeIx),
                upstream_ranges: ranges.into(),
            })
            .collect();
        Ok(Dag::new(nodes, templates, Arc::new(topology)))
    }

    fn new(nodes: Vec<DagNode>, templates: Vec<NodeTemplate>, topology: Arc<DagTopology>) -> Dag {
        let run_ms =
            |node: NodeIx| templates[nodes[node.index()].template as usize].manifest.estimated_run_ms();
        let downstream_path_ms = topology.downstream_path_weights(run_ms);
        let progress = new_progress(&nodes, &templates, topology);
        Dag { nodes, templates, downstream_path_ms, progress }
    }

    /// Makes it the same graph with no node ended.
    pub fn reset_progress(&mut self) {
        self.progress = new_progress(&self.nodes, &self.templates, self.progress.topology().clone());
    }

    /// A node by its index.
    pub fn node(&self, node: NodeIx) -> &DagNode {
        &self.nodes[node.index()]
    }

    /// The template of a node.
    pub fn template(&self, node: NodeIx) -> &NodeTemplate {
        &self.templates[self.node(node).template as usize]
    }

    /// All direct upstream nodes of one.
    pub fn upstream(&self, node: NodeIx) -> impl Iterator<Item = NodeIx> + '_ {
        let ranges = self.node(node).upstream_ranges.iter();
        ranges.flat_map(|(first, count)| *first..first + count).map(NodeIx)
    }

    /// Work on the longest path downstream of a node, in seconds.
    pub fn downstream_path_s(&self, node: NodeIx) -> f64 {
        from_milli(self.downstream_path_ms[node.index()])
    }

    /// The new jobs of the nodes that a rerun lists as rows: first node, count, first job. A rerun covers all nodes
    /// downstream of its nodes: half of a chain run anew would mix two versions of the data.
    ///
    /// # Errors
    /// What is wrong with the rows, as users see it.
    pub fn rerun_jobs(&self, rows: &[(u32, u32, u64)]) -> Result<BTreeMap<NodeIx, JobId>, String> {
        self.checked_rerun_jobs(rows).map_err(|error| error.to_string())
    }

    fn checked_rerun_jobs(&self, rows: &[(u32, u32, u64)]) -> Result<BTreeMap<NodeIx, JobId>, DagError> {
        let mut jobs = BTreeMap::new();
        for (first, count, first_job) in rows.iter().copied() {
            let end = first.checked_add(count).filter(|end| *end as usize <= self.nodes.len());
            for node in first..end.ok_or(DagError::RerunRange { first, count })? {
                let job = checked_job(first_job.saturating_add(u64::from(node - first)))?;
                if jobs.insert(NodeIx(node), job).is_some() {
                    return Err(DagError::RerunDuplicate(node));
                }
            }
        }
        let distinct: HashSet<JobId> = jobs.values().copied().collect();
        if jobs.is_empty() || distinct.len() < jobs.len() {
            return Err(DagError::RerunJobs);
        }
        let downstream = self.progress.topology().downstream_closure(jobs.keys().copied());
        match downstream.into_iter().find(|node| !jobs.contains_key(node)) {
            Some(node) => Err(DagError::RerunIncomplete(self.node(node).name.to_string())),
            None => Ok(jobs),
        }
    }
}

fn new_progress(nodes: &[DagNode], templates: &[NodeTemplate], topology: Arc<DagTopology>) -> DagProgress {
    let rules: Arc<[TriggerRule]> =
        nodes.iter().map(|node| templates[node.template as usize].trigger_rule).collect();
    let map_sources = nodes.iter().zip(0..).filter_map(|(node, ix)| Some((NodeIx(ix), node.map_source?)));
    DagProgress::new(topology, rules, Arc::new(map_sources.collect()))
}

/// The pools that the nodes of a graph name.
pub fn pool_names(dag: &Dag) -> BTreeSet<&str> {
    dag.templates.iter().filter_map(|template| template.pool.as_deref()).collect()
}

#[cfg(test)]
#[path = "../tests/dag.rs"]
mod tests;
