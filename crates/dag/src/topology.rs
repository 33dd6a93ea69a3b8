//! The unchanging part of a graph: its edges, checked to have no cycle.

use thiserror::Error;

/// A node's position in its graph.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NodeIx(pub u32);

impl NodeIx {
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TopologyError {
    #[error("edge {from} -> {to}: the graph has nodes 0 to {last}")]
    NoSuchNode { from: u32, to: u32, last: u32 },
    #[error("edge {from} -> {to} is there twice")]
    DuplicateEdge { from: u32, to: u32 },
    /// Each comes after the one before it, and the first after the last.
    #[error("nodes wait for one another in a circle: {0:?}")]
    Cycle(Vec<u32>),
}

/// Edges by dense index: downstream nodes in one row behind another, in-degrees beside them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DagTopology {
    /// Where the downstream nodes of each node begin; one more at the end.
    downstream_offsets: Vec<u32>,
    downstream: Vec<u32>,
    in_degrees: Vec<u32>,
    /// Every node behind all that it waits for.
    topological_order: Vec<u32>,
}

impl DagTopology {
    /// `edges`: from, to.
    pub fn new(nodes: u32, edges: &[(u32, u32)]) -> Result<DagTopology, TopologyError> {
        let mut sorted = edges.to_vec();
        sorted.sort_unstable();
        if let Some(twice) = sorted.windows(2).find(|pair| pair[0] == pair[1]) {
            return Err(TopologyError::DuplicateEdge { from: twice[0].0, to: twice[0].1 });
        }
        let mut shape = DagTopology {
            downstream_offsets: vec![0; nodes as usize + 1],
            downstream: Vec::with_capacity(sorted.len()),
            in_degrees: vec![0; nodes as usize],
            topological_order: Vec::with_capacity(nodes as usize),
        };
        for (from, to) in sorted {
            if from >= nodes || to >= nodes {
                return Err(TopologyError::NoSuchNode { from, to, last: nodes.saturating_sub(1) });
            }
            shape.downstream_offsets[from as usize + 1] += 1;
            shape.in_degrees[to as usize] += 1;
            shape.downstream.push(to);
        }
        for at in 1..shape.downstream_offsets.len() {
            shape.downstream_offsets[at] += shape.downstream_offsets[at - 1];
        }
        shape.sort_topologically()?;
        Ok(shape)
    }

    fn sort_topologically(&mut self) -> Result<(), TopologyError> {
        let mut open = self.in_degrees.clone();
        let mut order: Vec<u32> = (0..self.len()).filter(|node| open[*node as usize] == 0).collect();
        let mut at = 0;
        while let Some(node) = order.get(at).copied() {
            at += 1;
            for next in self.downstream(NodeIx(node)) {
                open[next.index()] -= 1;
                if open[next.index()] == 0 {
                    order.push(next.0);
                }
            }
        }
        if order.len() < self.len() as usize {
            return Err(TopologyError::Cycle(self.find_cycle(&open)));
        }
        self.topological_order = order;
        Ok(())
    }

    /// Nodes with open in-degrees wait for a cycle or are on one: going upstream among them ends on one.
    fn find_cycle(&self, open: &[u32]) -> Vec<u32> {
        let mut before = vec![None; open.len()];
        for from in (0..self.len()).filter(|node| open[*node as usize] > 0) {
            for to in self.downstream(NodeIx(from)) {
                before[to.index()] = Some(from);
            }
        }
        let Some(mut node) = (0..self.len()).find(|node| open[*node as usize] > 0) else { return Vec::new() };
        let mut place = vec![None; open.len()];
        let mut path = Vec::new();
        while place[node as usize].is_none() {
            place[node as usize] = Some(path.len());
            path.push(node);
            match before[node as usize] {
                Some(next) => node = next,
                None => break,
            }
        }
        let mut cycle = path.split_off(place[node as usize].unwrap_or(0));
        cycle.reverse();
        cycle
    }

    pub fn len(&self) -> u32 {
        self.in_degrees.len() as u32
    }

    pub fn is_empty(&self) -> bool {
        self.in_degrees.is_empty()
    }

    pub fn edge_count(&self) -> usize {
        self.downstream.len()
    }

    pub fn downstream(&self, node: NodeIx) -> impl Iterator<Item = NodeIx> + '_ {
        let (from, to) = (
            self.downstream_offsets[node.index()] as usize,
            self.downstream_offsets[node.index() + 1] as usize,
        );
        self.downstream[from..to].iter().map(|next| NodeIx(*next))
    }

    pub fn is_leaf(&self, node: NodeIx) -> bool {
        self.downstream_offsets[node.index()] == self.downstream_offsets[node.index() + 1]
    }

    /// How many nodes it waits for.
    pub fn in_degree(&self, node: NodeIx) -> u32 {
        self.in_degrees[node.index()]
    }

    /// Every node behind all that it waits for.
    pub fn topological_order(&self) -> impl DoubleEndedIterator<Item = NodeIx> + '_ {
        self.topological_order.iter().map(|node| NodeIx(*node))
    }

    /// Work on the longest path behind each node, itself left out; `weight` as long as a node runs.
    pub fn downstream_path_weights(&self, weight: impl Fn(NodeIx) -> u64) -> Vec<u64> {
        let mut ahead = vec![0; self.in_degrees.len()];
        for node in self.topological_order().rev() {
            let longest = self.downstream(node).map(|next| ahead[next.index()] + weight(next)).max();
            ahead[node.index()] = longest.unwrap_or(0);
        }
        ahead
    }

    /// The layer of each node: the most edges on a way to it.
    pub fn layers(&self) -> Vec<u32> {
        let mut layers = vec![0; self.in_degrees.len()];
        for node in self.topological_order() {
            for next in self.downstream(node) {
                layers[next.index()] = layers[next.index()].max(layers[node.index()] + 1);
            }
        }
        layers
    }

    /// The nodes themselves and all behind them, in order of their positions.
    pub fn downstream_closure(&self, from: impl IntoIterator<Item = NodeIx>) -> Vec<NodeIx> {
        let mut seen = roaring::RoaringBitmap::new();
        let mut open: Vec<NodeIx> = from.into_iter().filter(|node| node.0 < self.len()).collect();
        while let Some(node) = open.pop() {
            if seen.insert(node.0) {
                open.extend(self.downstream(node));
            }
        }
        seen.into_iter().map(NodeIx).collect()
    }
}

#[cfg(test)]
#[path = "tests/topology.rs"]
mod tests;
