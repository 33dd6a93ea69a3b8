//! The unchanging part of a graph: its edges, checked to have no cycle.

use thiserror::Error;

/// A node's position in its graph.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NodeIx(pub u32);

impl NodeIx {
    pub fn at(self) -> usize {
        self.0 as usize
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ShapeError {
    #[error("edge {from} -> {to}: the graph has nodes 0 to {last}")]
    NoSuchNode { from: u32, to: u32, last: u32 },
    #[error("edge {from} -> {to} is there twice")]
    Twice { from: u32, to: u32 },
    /// Each comes after the one before it, and the first after the last.
    #[error("nodes wait for one another in a circle: {0:?}")]
    Cycle(Vec<u32>),
}

/// Edges by dense index: downstream nodes in one row behind another, in-degrees beside them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Shape {
    /// Where the downstream nodes of each node begin; one more at the end.
    starts: Vec<u32>,
    down: Vec<u32>,
    upstream: Vec<u32>,
    /// Every node behind all that it waits for.
    order: Vec<u32>,
}

impl Shape {
    /// `edges`: from, to.
    pub fn new(nodes: u32, edges: &[(u32, u32)]) -> Result<Shape, ShapeError> {
        let mut sorted = edges.to_vec();
        sorted.sort_unstable();
        if let Some(twice) = sorted.windows(2).find(|pair| pair[0] == pair[1]) {
            return Err(ShapeError::Twice { from: twice[0].0, to: twice[0].1 });
        }
        let mut shape = Shape {
            starts: vec![0; nodes as usize + 1],
            down: Vec::with_capacity(sorted.len()),
            upstream: vec![0; nodes as usize],
            order: Vec::with_capacity(nodes as usize),
        };
        for (from, to) in sorted {
            if from >= nodes || to >= nodes {
                return Err(ShapeError::NoSuchNode { from, to, last: nodes.saturating_sub(1) });
            }
            shape.starts[from as usize + 1] += 1;
            shape.upstream[to as usize] += 1;
            shape.down.push(to);
        }
        for at in 1..shape.starts.len() {
            shape.starts[at] += shape.starts[at - 1];
        }
        shape.sort()?;
        Ok(shape)
    }

    fn sort(&mut self) -> Result<(), ShapeError> {
        let mut open = self.upstream.clone();
        let mut order: Vec<u32> = (0..self.len()).filter(|node| open[*node as usize] == 0).collect();
        let mut at = 0;
        while let Some(node) = order.get(at).copied() {
            at += 1;
            for next in self.down(NodeIx(node)) {
                open[next.at()] -= 1;
                if open[next.at()] == 0 {
                    order.push(next.0);
                }
            }
        }
        if order.len() < self.len() as usize {
            return Err(ShapeError::Cycle(self.cycle(&open)));
        }
        self.order = order;
        Ok(())
    }

    /// Nodes with open in-degrees wait for a cycle or are on one: going upstream among them ends on one.
    fn cycle(&self, open: &[u32]) -> Vec<u32> {
        let mut before = vec![None; open.len()];
        for from in (0..self.len()).filter(|node| open[*node as usize] > 0) {
            for to in self.down(NodeIx(from)) {
                before[to.at()] = Some(from);
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
        self.upstream.len() as u32
    }

    pub fn is_empty(&self) -> bool {
        self.upstream.is_empty()
    }

    pub fn edges(&self) -> usize {
        self.down.len()
    }

    pub fn down(&self, node: NodeIx) -> impl Iterator<Item = NodeIx> + '_ {
        let (from, to) = (self.starts[node.at()] as usize, self.starts[node.at() + 1] as usize);
        self.down[from..to].iter().map(|next| NodeIx(*next))
    }

    pub fn leaf(&self, node: NodeIx) -> bool {
        self.starts[node.at()] == self.starts[node.at() + 1]
    }

    /// How many nodes it waits for.
    pub fn upstream(&self, node: NodeIx) -> u32 {
        self.upstream[node.at()]
    }

    /// Every node behind all that it waits for.
    pub fn order(&self) -> impl DoubleEndedIterator<Item = NodeIx> + '_ {
        self.order.iter().map(|node| NodeIx(*node))
    }

    /// Work on the longest path behind each node, itself left out; `weight` as long as a node runs.
    pub fn ahead(&self, weight: impl Fn(NodeIx) -> u64) -> Vec<u64> {
        let mut ahead = vec![0; self.upstream.len()];
        for node in self.order().rev() {
            let longest = self.down(node).map(|next| ahead[next.at()] + weight(next)).max();
            ahead[node.at()] = longest.unwrap_or(0);
        }
        ahead
    }

    /// The layer of each node: the most edges on a way to it.
    pub fn layers(&self) -> Vec<u32> {
        let mut layers = vec![0; self.upstream.len()];
        for node in self.order() {
            for next in self.down(node) {
                layers[next.at()] = layers[next.at()].max(layers[node.at()] + 1);
            }
        }
        layers
    }

    /// The nodes themselves and all behind them, in order of their positions.
    pub fn closure(&self, from: impl IntoIterator<Item = NodeIx>) -> Vec<NodeIx> {
        let mut seen = roaring::RoaringBitmap::new();
        let mut open: Vec<NodeIx> = from.into_iter().filter(|node| node.0 < self.len()).collect();
        while let Some(node) = open.pop() {
            if seen.insert(node.0) {
                open.extend(self.down(node));
            }
        }
        seen.into_iter().map(NodeIx).collect()
    }
}

#[cfg(test)]
#[path = "tests/shape.rs"]
mod tests;
