//! The immutable part of a graph: its nodes and edges, checked to have no cycle.

use thiserror::Error;

/// The position of a node in its graph, counted from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NodeIx(pub u32);

impl NodeIx {
    /// Returns the position as a slice index.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

/// The reason why edges do not form a valid graph. Users see the messages.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TopologyError {
    /// An edge refers to a node that does not exist.
    #[error("edge {from} -> {to} refers to a node that does not exist: expected nodes 0 to {last}")]
    NoSuchNode {
        /// Upstream node.
        from: u32,
        /// Downstream node.
        to: u32,
        /// Position of the last existing node.
        last: u32,
    },
    /// An edge is given twice.
    #[error("edge {from} -> {to} is given twice")]
    DuplicateEdge {
        /// Upstream node.
        from: u32,
        /// Downstream node.
        to: u32,
    },
    /// The nodes of a dependency cycle, in the direction of its edges; an edge leads from the last node to the first.
    #[error("the graph has a cycle: {0:?}")]
    Cycle(Vec<u32>),
}

/// A graph without cycles, stored as adjacency lists in one array (compressed sparse rows) with in-degrees.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DagTopology {
    /// Start of each node's entries in `downstream`, followed by the length of `downstream`.
    downstream_offsets: Vec<u32>,
    downstream: Vec<u32>,
    in_degrees: Vec<u32>,
    /// All nodes, each after all of its upstream nodes.
    topological_order: Vec<u32>,
}

impl DagTopology {
    /// Builds the graph of `node_count` nodes, numbered from 0, from its edges (from, to).
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
        // Prefix sums turn the entry counts into offsets.
        for node in 1..topology.downstream_offsets.len() {
            topology.downstream_offsets[node] += topology.downstream_offsets[node - 1];
        }
        topology.sort_topologically()?;
        Ok(topology)
    }

    /// Fills `topological_order` by Kahn's algorithm.
    fn sort_topologically(&mut self) -> Result<(), TopologyError> {
        let mut remaining_in_degrees = self.in_degrees.clone();
        let mut order: Vec<u32> =
            (0..self.len()).filter(|node| remaining_in_degrees[*node as usize] == 0).collect();
        let mut visited = 0;
        while let Some(node) = order.get(visited).copied() {
            visited += 1;
            for next in self.downstream(NodeIx(node)) {
                remaining_in_degrees[next.index()] -= 1;
                if remaining_in_degrees[next.index()] == 0 {
                    order.push(next.0);
                }
            }
        }
        if order.len() < self.len() as usize {
            return Err(TopologyError::Cycle(self.find_cycle(&remaining_in_degrees)));
        }
        self.topological_order = order;
        Ok(())
    }

    /// Returns the nodes of a cycle. `remaining_in_degrees` are the values left by the topological sort: nodes with a
    /// value above 0 lie on a cycle or downstream of one, so following upstream edges among them leads into a cycle.
    fn find_cycle(&self, remaining_in_degrees: &[u32]) -> Vec<u32> {
        let unsorted = || (0..self.len()).filter(|node| remaining_in_degrees[*node as usize] > 0);
        let mut any_upstream = vec![None; remaining_in_degrees.len()];
        for from in unsorted() {
            for to in self.downstream(NodeIx(from)) {
                any_upstream[to.index()] = Some(from);
            }
        }
        let Some(mut node) = unsorted().next() else { return Vec::new() };
        let mut path_position = vec![None; remaining_in_degrees.len()];
        let mut path = Vec::new();
        while path_position[node as usize].is_none() {
            path_position[node as usize] = Some(path.len());
            path.push(node);
            match any_upstream[node as usize] {
                Some(from) => node = from,
                None => break,
            }
        }
        let mut cycle = path.split_off(path_position[node as usize].unwrap_or(0));
        cycle.reverse();
        cycle
    }

    /// Returns the number of nodes.
    pub fn len(&self) -> u32 {
        self.in_degrees.len() as u32
    }

    /// Returns whether the graph has no nodes.
    pub fn is_empty(&self) -> bool {
        self.in_degrees.is_empty()
    }

    /// Returns the direct downstream nodes of a node, by position.
    pub fn downstream(&self, node: NodeIx) -> impl Iterator<Item = NodeIx> + '_ {
        let start = self.downstream_offsets[node.index()] as usize;
        let end = self.downstream_offsets[node.index() + 1] as usize;
        self.downstream[start..end].iter().map(|next| NodeIx(*next))
    }

    /// Returns whether a node has no downstream nodes.
    pub fn is_leaf(&self, node: NodeIx) -> bool {
        self.downstream_offsets[node.index()] == self.downstream_offsets[node.index() + 1]
    }

    /// Returns the number of direct upstream nodes of a node.
    pub fn in_degree(&self, node: NodeIx) -> u32 {
        self.in_degrees[node.index()]
    }

    /// Returns all nodes, each after all of its upstream nodes.
    fn topological_order(&self) -> impl DoubleEndedIterator<Item = NodeIx> + '_ {
        self.topological_order.iter().map(|node| NodeIx(*node))
    }

    /// Returns for each node the weight of the heaviest path downstream of it, without the node itself. `weight` is the
    /// weight of a single node.
    pub fn downstream_path_weights(&self, weight: impl Fn(NodeIx) -> u64) -> Vec<u64> {
        let mut paths = vec![0; self.in_degrees.len()];
        for node in self.topological_order().rev() {
            let heaviest = self.downstream(node).map(|next| paths[next.index()] + weight(next)).max();
            paths[node.index()] = heaviest.unwrap_or(0);
        }
        paths
    }

    /// Returns the layer of each node: the number of edges on the longest path to it.
    pub fn layers(&self) -> Vec<u32> {
        let mut layers = vec![0; self.in_degrees.len()];
        for node in self.topological_order() {
            for next in self.downstream(node) {
                layers[next.index()] = layers[next.index()].max(layers[node.index()] + 1);
            }
        }
        layers
    }

    /// Returns the given nodes and all nodes downstream of them, by position. Nodes that do not exist are ignored.
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
