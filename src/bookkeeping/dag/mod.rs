//! The graph of one run: it is built and validated from the uploaded parts and holds the progress of its nodes.
//!
//! [`Dag`] owns the nodes and their templates; [`DagProgress`] decides which nodes are ready. The module is pure: it
//! uses neither the store nor a clock.

mod error;
mod validation;

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::sync::Arc;

use olivelatch_dag::{DagProgress, DagTopology, NodeIx, TriggerRule};

use crate::ids::{JobId, from_milli};
use crate::protocol::graphs::{GraphPart, NodeTemplate};

pub use error::DagError;
use validation::{check_map_sources, check_nodes, checked_job, expand_edges, upstream_ranges};

/// A node of the graph. Only its job ever changes, when the node is rerun.
#[derive(Debug, Clone)]
pub struct DagNode {
    /// Name, unique within the graph.
    pub name: Box<str>,
    /// Id of the job that the node becomes when it is ready.
    pub job: JobId,
    /// Index of the node's template.
    pub template: u32,
    /// For a mapped node: the node that produces its list. The mapped node has one task for each element.
    pub map_source: Option<NodeIx>,
    /// Direct upstream nodes as ranges: first node, number of nodes.
    pub upstream_ranges: Box<[(u32, u32)]>,
}

/// The graph of a run.
#[derive(Debug, Clone)]
pub struct Dag {
    /// Nodes, indexed by `NodeIx`.
    pub nodes: Vec<DagNode>,
    /// Templates of the nodes; several nodes may share one.
    pub templates: Vec<NodeTemplate>,
    /// Estimated run time of the longest path downstream of each node, the node itself excluded.
    pub downstream_path_ms: Vec<u64>,
    /// Outcomes of the nodes, and which nodes are ready.
    pub progress: DagProgress,
}

impl Dag {
    /// Builds the graph from all its parts, which must be in order.
    ///
    /// # Errors
    /// Returns the first fault found in the parts, with a text for users.
    pub fn from_parts<'a>(parts: impl Iterator<Item = &'a GraphPart>) -> Result<Dag, DagError> {
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

    /// Discards the outcomes of all nodes.
    pub fn reset_progress(&mut self) {
        self.progress = new_progress(&self.nodes, &self.templates, self.progress.topology().clone());
    }

    /// Returns a node by its index.
    pub fn node(&self, node: NodeIx) -> &DagNode {
        &self.nodes[node.index()]
    }

    /// Returns the template of a node.
    pub fn template(&self, node: NodeIx) -> &NodeTemplate {
        &self.templates[self.node(node).template as usize]
    }

    /// Returns the direct upstream nodes of a node.
    pub fn upstream(&self, node: NodeIx) -> impl Iterator<Item = NodeIx> + '_ {
        let ranges = self.node(node).upstream_ranges.iter();
        ranges.flat_map(|(first, count)| *first..first + count).map(NodeIx)
    }

    /// Returns the estimated run time of the longest path downstream of a node, in seconds.
    pub fn downstream_path_s(&self, node: NodeIx) -> f64 {
        from_milli(self.downstream_path_ms[node.index()])
    }

    /// Returns the new jobs of the nodes that a rerun lists as rows: first node, number of nodes, first job. A rerun
    /// must include all nodes downstream of its nodes: rerunning only a part of a chain would mix two versions of the
    /// data.
    ///
    /// # Errors
    /// Returns the first fault found in the rows, with a text for users.
    pub fn rerun_jobs(&self, rows: &[(u32, u32, u64)]) -> Result<BTreeMap<NodeIx, JobId>, DagError> {
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

/// Returns the names of the pools that the graph's templates refer to.
pub fn pool_names(dag: &Dag) -> BTreeSet<&str> {
    dag.templates.iter().filter_map(|template| template.pool.as_deref()).collect()
}

#[cfg(test)]
#[path = "../tests/dag.rs"]
mod tests;
