//! The immutable part of a graph: its edges, checked to have no cycle.

use thiserror::Error;

/// A node's position in its graph.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NodeIx(pub u32);

impl NodeIx {
    /// The position as an index of slices.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

/// Why edges do not make a graph. The texts reach users.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TopologyError {
    /// An edge refers to a node that does not exist.
    #[error("edge {from} -> {to}: the graph has nodes 0 to {last}")]
    NoSuchNode {
        /// Upstream node.
        from: u32,
        /// Downstream node.
        to: u32,
        /// The last node that exists.
        last: u32,
    },
    /// An edge is given twice.
    #[error("edge {from} -> {to} is there twice")]
    DuplicateEdge {
        /// Upstream node.
        from: u32,
        /// Downstream node.
        to: u32,
    },
    /// Nodes that depend on one another: each is downstream of the one before it, and the first of the last.
    #[error("nodes wait for one another in a circle: {0:?}")]
    Cycle(Vec<u32>),
}

/// A graph without cycles, as an adjacency list in one array (compressed sparse rows), and the in-degrees.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DagTopology {
    /// Where in `downstream` each node's entries begin; one more offset at the end.
    downstream_offsets: Vec<u32>,
    downstream: Vec<u32>,
    in_degrees: Vec<u32>,
    /// Every node after all its upstream nodes.
    topological_order: Vec<u32>,
}

impl DagTopology {
    /// Builds the graph of nodes 0 to `node_count` from edges (from, to).
    ///
    /// # Errors
    /// An edge is given twice or refers to a node that does not exist, or there is a cycle.
    pub fn new(node_count: u32, edges: &[(u32, u32)]) -> Result<DagTopology, TopologyError> {
        let mut sorted = edges.to_vec();
        sorted.sort_unstable();
        if let Some(duplicate) = sorted.windows(2).find(|pair| pair[0] == pair[1]) {
            let (from, to) = duplicate[0];
            return Err(TopologyError::DuplicateEdge { from, to });
        }
        let mut topology = DagTopology {
            downstream_offsets: vec![0; node_count as usize + 1],
            downstream: Vec::with_capacity(sorted.len()),
            in_degrees: vec![0; node_count as usize],
            topological_order: Vec::with_capacity(node_count as usize),
        };
        for (from, to) in sorted {
            if from >= node_count || to >= node_count {
                return Err(TopologyError::NoSuchNode { from, to, last: node_count.saturating_sub(1) });
            }
            topology.downstream_offsets[from as usize + 1] += 1;
            topology.in_degrees[to as usize] += 1;
            topology.downstream.push(to);
        }
        // Counts become offsets.
        for node in 1..topology.downstream_offsets.len() {
            topology.downstream_offsets[node] += topology.downstream_offsets[node - 1];
        }
        topology.sort_topologically()?;
        Ok(topology)
    }

    /// Kahn's algorithm.
    fn sort_topologically(&mut self) -> Result<(), TopologyError> {
        let mut open_degrees = self.in_degrees.clone();
        let mut order: Vec<u32> = (0..self.len()).filter(|node| open_degrees[*node as usize] == 0).collect();
        let mut visited = 0;
        while let Some(node) = order.get(visited).copied() {
            visited += 1;
            for next in self.downstream(NodeIx(node)) {
                open_degrees[next.index()] -= 1;
                if open_degrees[next.index()] == 0 {
                    order.push(next.0);
                }
            }
        }
        if order.len() < self.len() as usize {
            return Err(TopologyError::Cycle(self.find_cycle(&open_degrees)));
        }
        self.topological_order = order;
        Ok(())
    }

    /// Nodes that the sort left with open in-degrees are on a cycle or downstream of one: following upstream edges among
    /// them ends on a cycle.
    fn find_cycle(&self, open_degrees: &[u32]) -> Vec<u32> {
        let unsorted = || (0..self.len()).filter(|node| open_degrees[*node as usize] > 0);
        let mut upstream = vec![None; open_degrees.len()];
        for from in unsorted() {
            for to in self.downstream(NodeIx(from)) {
                upstream[to.index()] = Some(from);
            }
        }
        let Some(mut node) = unsorted().next() else { return Vec::new() };
        let mut path_position = vec![None; open_degrees.len()];
        let mut path = Vec::new();
        while path_position[node as usize].is_none() {
            path_position[node as usize] = Some(path.len());
            path.push(node);
            match upstream[node as usize] {
                Some(next) => node = next,
                None => break,
            }
        }
        let mut cycle = path.split_off(path_position[node as usize].unwrap_or(0));
        cycle.reverse();
        cycle
    }

    /// Number of nodes.
    pub fn len(&self) -> u32 {
        self.in_degrees.len() as u32
    }

    /// There are no nodes.
    pub fn is_empty(&self) -> bool {
        self.in_degrees.is_empty()
    }

    /// The direct downstream nodes of one, in order of their positions.
    pub fn downstream(&self, node: NodeIx) -> impl Iterator<Item = NodeIx> + '_ {
        let start = self.downstream_offsets[node.index()] as usize;
        let end = self.downstream_offsets[node.index() + 1] as usize;
        self.downstream[start..end].iter().map(|next| NodeIx(*next))
    }

    /// It has no downstream nodes.
    pub fn is_leaf(&self, node: NodeIx) -> bool {
        self.downstream_offsets[node.index()] == self.downstream_offsets[node.index() + 1]
    }

    /// Number of direct upstream nodes.
    pub fn in_degree(&self, node: NodeIx) -> u32 {
        self.in_degrees[node.index()]
    }

    /// All nodes, each after all its upstream nodes.
    fn topological_order(&self) -> impl DoubleEndedIterator<Item = NodeIx> + '_ {
        self.topological_order.iter().map(|node| NodeIx(*node))
    }

    /// The weight of the heaviest path downstream of each node, itself left out; `weight`: that of one node.
    pub fn downstream_path_weights(&self, weight: impl Fn(NodeIx) -> u64) -> Vec<u64> {
        let mut paths = vec![0; self.in_degrees.len()];
        for node in self.topological_order().rev() {
            let heaviest = self.downstream(node).map(|next| paths[next.index()] + weight(next)).max();
            paths[node.index()] = heaviest.unwrap_or(0);
        }
        paths
    }

    /// The layer of each node: the number of edges on the longest path to it.
    pub fn layers(&self) -> Vec<u32> {
        let mut layers = vec![0; self.in_degrees.len()];
        for node in self.topological_order() {
            for next in self.downstream(node) {
                layers[next.index()] = layers[next.index()].max(layers[node.index()] + 1);
            }
        }
        layers
    }

    /// The nodes themselves and all nodes downstream of them, in order of their positions.
    pub fn downstream_closure(&self, from: impl IntoIterator<Item = NodeIx>) -> Vec<NodeIx> {
        let mut seen = roaring::RoaringBitmap::new();
        let mut stack: Vec<NodeIx> = from.into_iter().filter(|node| node.0 < self.len()).collect();
        while let Some(node) = stack.pop() {
            if seen.insert(node.0) {
                stack.extend(self.downstream(node));
            }
        }
        seen.into_iter().map(NodeIx).collect()
    }
}

#[cfg(test)]
#[path = "tests/topology.rs"]
mod tests;
