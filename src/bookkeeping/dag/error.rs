//! Errors of an uploaded graph or of a rerun. The texts are shown to users.

use olivelatch_dag::TopologyError;
use thiserror::Error;

use super::validation::{MAX_EDGES, MAX_NODE_NAME_BYTES};
use crate::protocol::graphs::DagNodeRecord;

/// Maximum number of nodes that the message about a cycle names.
const MAX_CYCLE_NAMES_SHOWN: usize = 12;

/// Why a graph is not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DagError {
    /// A node's name is invalid.
    #[error("node {0:?}: expected a name of 1 to {MAX_NODE_NAME_BYTES} bytes without spaces")]
    NodeName(String),
    /// Two nodes have the same name.
    #[error("node names must be unique: two nodes are named {0}")]
    DuplicateName(String),
    /// Two nodes have the same job number.
    #[error("node {node}: job number {job} is already used by another node")]
    DuplicateJob {
        /// Name of the second node.
        node: String,
        /// Number of the job.
        job: u64,
    },
    /// A job number is out of the range of job ids.
    #[error("{0} is not a valid job number: it has too many digits")]
    JobNumber(u64),
    /// A node refers to a template that does not exist.
    #[error("node {node}: template {template} does not exist")]
    NoSuchTemplate {
        /// Name of the node.
        node: String,
        /// Index of the template.
        template: u32,
    },
    /// An edge range refers to nodes that do not exist, or is empty.
    #[error(
        "edges to node {to} from {count} nodes starting at {first}: expected 1 or more, and only nodes that exist"
    )]
    EdgeRange {
        /// Index of the downstream node.
        to: u32,
        /// Index of the first upstream node.
        first: u32,
        /// Number of upstream nodes.
        count: u32,
    },
    /// The graph has too many edges.
    #[error("the graph has {0} edges, but at most {MAX_EDGES} are allowed")]
    TooManyEdges(u64),
    /// A mapped node is not directly downstream of the node whose list it is mapped over.
    #[error("node {0}: it must be directly downstream of the node whose list it is mapped over")]
    MapSource(String),
    /// The graph has a cycle. The list names its nodes in order and repeats the first one at the end.
    #[error("the graph has a cycle: {}", .0.join(" -> "))]
    Cycle(Vec<String>),
    /// An edge is given twice.
    #[error("the edge {from} -> {to} is given twice")]
    DuplicateEdge {
        /// Name of the upstream node.
        from: String,
        /// Name of the downstream node.
        to: String,
    },
    /// Another error of the topology.
    #[error(transparent)]
    Topology(TopologyError),
    /// A rerun refers to nodes that do not exist.
    #[error("redo: the range of {count} nodes from node {first} refers to nodes that do not exist")]
    RerunRange {
        /// Index of the first node.
        first: u32,
        /// Number of nodes.
        count: u32,
    },
    /// A rerun lists a node twice.
    #[error("redo: node {0} is listed twice")]
    RerunDuplicate(u32),
    /// A rerun has no nodes, or two of them have the same new job.
    #[error("redo: expected at least one node, and a different new job for each node")]
    RerunJobs,
    /// A node downstream of a rerun node is not part of the rerun.
    #[error("redo: node {0} is downstream of a listed node and must be listed too")]
    RerunIncomplete(String),
}

impl DagError {
    /// Converts an error of the topology, which refers to nodes by index, to one with their names.
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
