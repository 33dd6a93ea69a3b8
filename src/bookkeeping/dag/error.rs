//! What can be wrong with an uploaded graph or a rerun. Users see the texts.

use olivelatch_dag::TopologyError;
use thiserror::Error;

use super::validation::{MAX_EDGES, MAX_NODE_NAME_BYTES};
use crate::protocol::graphs::DagNodeRecord;

/// Nodes named in the message about a cycle.
const MAX_CYCLE_NAMES_SHOWN: usize = 12;

/// Why a graph is not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DagError {
    /// A node's name has a wrong form.
    #[error("node {0:?}: expected a name of 1 to {MAX_NODE_NAME_BYTES} bytes without spaces")]
    NodeName(String),
    /// Two nodes have the same name.
    #[error("two nodes are called {0}")]
    DuplicateName(String),
    /// Two nodes have the same job.
    #[error("node {node}: another node has the job {job}")]
    DuplicateJob {
        /// Name of the second one.
        node: String,
        /// The job's number.
        job: u64,
    },
    /// A job number is out of the range of job ids.
    #[error("{0} is no number of a job")]
    JobNumber(u64),
    /// A node refers to a template that does not exist.
    #[error("node {node}: there is no template {template}")]
    NoSuchTemplate {
        /// Name of the node.
        node: String,
        /// Index of the template.
        template: u32,
    },
    /// An edge range refers to nodes that do not exist, or is empty.
    #[error("edges of node {to}: nodes {first} and {count} on are not all there")]
    EdgeRange {
        /// The downstream node.
        to: u32,
        /// First upstream node.
        first: u32,
        /// Number of upstream nodes.
        count: u32,
    },
    /// The graph has too many edges.
    #[error("{0} edges: a graph has {MAX_EDGES} at most")]
    TooManyEdges(u64),
    /// A mapped node is not downstream of the node whose list it runs over.
    #[error("node {0}: it does not come after the node whose list it runs over")]
    MapSource(String),
    /// Nodes depend on one another; the first one is named again at the end.
    #[error("nodes wait for one another in a circle: {}", .0.join(" -> "))]
    Cycle(Vec<String>),
    /// An edge is given twice.
    #[error("node {to} comes after {from} twice")]
    DuplicateEdge {
        /// Upstream node.
        from: String,
        /// Downstream node.
        to: String,
    },
    /// Another fault of the topology.
    #[error(transparent)]
    Topology(TopologyError),
    /// A rerun refers to nodes that do not exist.
    #[error("redo: there are no nodes {first} and {count} on")]
    RerunRange {
        /// First node.
        first: u32,
        /// Number of nodes.
        count: u32,
    },
    /// A rerun lists a node twice.
    #[error("redo: node {0} is there twice")]
    RerunDuplicate(u32),
    /// A rerun has no nodes, or two of them have the same new job.
    #[error("redo: expected at least one node, and each with a job of its own")]
    RerunJobs,
    /// A node downstream of the rerun is not part of it.
    #[error("redo: {0} comes after what is done over and is not")]
    RerunIncomplete(String),
}

impl DagError {
    /// A fault of the topology, with the names of the nodes.
    pub(super) fn from_topology(error: TopologyError, nodes: &[DagNodeRecord]) -> DagError {
        let name = |node: &u32| nodes.get(*node as usize).map_or("?", |node| node.name.as_str()).to_string();
        match error {
            TopologyError::Cycle(cycle) => {
                let mut names: Vec<String> = cycle.iter().take(MAX_CYCLE_NAMES_SHOWN).map(name).collect();
                if cycle.len() > MAX_CYCLE_NAMES_SHOWN {
                    names.push("...".into());
                }
                names.extend(cycle.first().map(name));
                DagError::Cycle(names)
            }
            TopologyError::DuplicateEdge { from, to } => {
                DagError::DuplicateEdge { from: name(&from), to: name(&to) }
            }
            TopologyError::NoSuchNode { .. } => DagError::Topology(error),
        }
    }
}
