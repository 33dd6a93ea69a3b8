//! Validation of an uploaded graph before it is built.

use std::collections::HashSet;

use super::DagError;
use crate::ids::JobId;
use crate::protocol::graphs::DagNodeRecord;

/// Maximum length of a node's name, in bytes.
pub(super) const MAX_NODE_NAME_BYTES: usize = 100;
/// Maximum number of edges of one graph. Without this limit, the edge ranges of a graph with 20,000 nodes could expand
/// to 400 million edges.
pub(super) const MAX_EDGES: usize = 500_000;

/// Converts a job number to a job id, if it is in the range of job ids.
pub(super) fn checked_job(number: u64) -> Result<JobId, DagError> {
    let id = JobId(number);
    JobId::parse(&id.to_string()).map(|_| id).ok_or(DagError::JobNumber(number))
}

/// Checks that the names and jobs of the nodes are valid and unique, and that their templates exist.
pub(super) fn check_nodes(nodes: &[DagNodeRecord], template_count: usize) -> Result<(), DagError> {
    let mut names = HashSet::new();
    let mut jobs = HashSet::new();
    for node in nodes {
        let name = node.name.as_str();
        if !(1..=MAX_NODE_NAME_BYTES).contains(&name.len()) || name.contains(char::is_whitespace) {
            return Err(DagError::NodeName(name.into()));
        }
        if !names.insert(name) {
            return Err(DagError::DuplicateName(name.into()));
        }
        if !jobs.insert(checked_job(node.job)?) {
            return Err(DagError::DuplicateJob { node: name.into(), job: node.job });
        }
        if node.template as usize >= template_count {
            return Err(DagError::NoSuchTemplate { node: name.into(), template: node.template });
        }
    }
    Ok(())
}

/// Edges from consecutive upstream nodes to one node, as in the parts of a graph: downstream node, first upstream node,
/// number of upstream nodes.
type EdgeRange = (u32, u32, u32);

fn check_edge_range((to, first, count): EdgeRange, node_count: u32) -> Result<(), DagError> {
    let is_valid =
        first.checked_add(count).is_some_and(|end| end <= node_count) && to < node_count && count > 0;
    is_valid.then_some(()).ok_or(DagError::EdgeRange { to, first, count })
}

/// Returns the upstream nodes of each node, as ranges: first node, number of nodes.
pub(super) fn upstream_ranges(
    edges: &[EdgeRange],
    node_count: u32,
) -> Result<Vec<Vec<(u32, u32)>>, DagError> {
    let mut upstream = vec![Vec::new(); node_count as usize];
    for (to, first, count) in edges.iter().copied() {
        check_edge_range((to, first, count), node_count)?;
        upstream[to as usize].push((first, count));
    }
    Ok(upstream)
}

/// Expands edge ranges, which must be valid, to single edges (from, to).
pub(super) fn expand_edges(edges: &[EdgeRange]) -> Result<Vec<(u32, u32)>, DagError> {
    let edge_count: u64 = edges.iter().map(|(_, _, count)| u64::from(*count)).sum();
    if edge_count > MAX_EDGES as u64 {
        return Err(DagError::TooManyEdges(edge_count));
    }
    let expand = |(to, first, count): &EdgeRange| {
        let to = *to;
        (*first..first + count).map(move |from| (from, to))
    };
    Ok(edges.iter().flat_map(expand).collect())
}

/// Checks that each mapped node is directly downstream of the node whose list it is mapped over.
pub(super) fn check_map_sources(
    nodes: &[DagNodeRecord],
    upstream: &[Vec<(u32, u32)>],
) -> Result<(), DagError> {
    for (node, ranges) in nodes.iter().zip(upstream) {
        let Some(source) = node.mapped_from else { continue };
        if !ranges.iter().any(|(first, count)| (*first..first + count).contains(&source)) {
            return Err(DagError::MapSource(node.name.clone()));
        }
    }
    Ok(())
}
