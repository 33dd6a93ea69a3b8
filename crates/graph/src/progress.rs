//! How far a run of a graph is: a pure function of the ends that are durable. Whoever reads the same ends, in whatever
//! order, knows the same nodes ready; so nothing but ends has to be written, and a takeover repeats nothing.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use roaring::RoaringBitmap;

use crate::rule::{Counts, Outcome, Rule, Verdict};
use crate::shape::{NodeIx, Shape};

/// What followed from an end.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Changes {
    /// Nodes that may run from now on.
    pub ready: Vec<NodeIx>,
}

#[derive(Debug, Clone)]
pub struct Progress {
    shape: Arc<Shape>,
    rules: Arc<[Rule]>,
    /// The node whose list a mapped node runs over.
    mapped: Arc<BTreeMap<NodeIx, NodeIx>>,
    counts: Vec<Counts>,
    /// Lengths of lists that nodes gave.
    lists: BTreeMap<NodeIx, u32>,
    outcomes: BTreeMap<NodeIx, Outcome>,
    open: RoaringBitmap,
    ready: RoaringBitmap,
    /// Decided by their rules, not durable yet.
    due: BTreeMap<NodeIx, Outcome>,
    active: bool,
}

impl Progress {
    /// Nothing has ended; nothing is ready before `activate`.
    pub fn new(shape: Arc<Shape>, rules: Arc<[Rule]>, mapped: Arc<BTreeMap<NodeIx, NodeIx>>) -> Progress {
        let upstream = |node| Counts { upstream: shape.upstream(NodeIx(node)), ..Counts::default() };
        let counts = (0..shape.len()).map(upstream).collect();
        let mut open = RoaringBitmap::new();
        open.insert_range(0..shape.len());
        Progress {
            shape,
            rules,
            mapped,
            counts,
            lists: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            open,
            ready: RoaringBitmap::new(),
            due: BTreeMap::new(),
            active: false,
        }
    }

    /// The run's turn has come: what waits for nothing is ready, and what ends before then have decided.
    pub fn activate(&mut self) -> Changes {
        let mut changes = Changes::default();
        if !std::mem::replace(&mut self.active, true) {
            for node in self.open.clone() {
                self.look_at(NodeIx(node), &mut changes);
            }
        }
        changes
    }

    pub fn active(&self) -> bool {
        self.active
    }

    /// A node's end is durable. `list`: the length of the list it gave. Costs the edges behind it.
    pub fn ended(&mut self, node: NodeIx, outcome: Outcome, list: Option<u32>) -> Changes {
        let mut changes = Changes::default();
        if !self.open.remove(node.0) {
            return changes;
        }
        self.ready.remove(node.0);
        self.due.remove(&node);
        self.outcomes.insert(node, outcome);
        if let Some(list) = list {
            self.lists.insert(node, list);
        }
        let shape = self.shape.clone();
        for next in shape.down(node) {
            self.counts[next.at()].add(outcome);
            if self.active {
                self.look_at(next, &mut changes);
            }
        }
        changes
    }

    fn look_at(&mut self, node: NodeIx, changes: &mut Changes) {
        if !self.open.contains(node.0) || self.ready.contains(node.0) {
            return;
        }
        // What is due but not durable is decided anew: a failure that comes after a skip makes another word of it, and
        // whoever reads the two ends later could not tell in which order they came.
        match self.verdict(node, &self.counts[node.at()], |from| self.lists.get(&from).copied()) {
            Verdict::Wait => {}
            Verdict::Run => {
                self.ready.insert(node.0);
                changes.ready.push(node);
            }
            Verdict::End(outcome) => {
                self.due.insert(node, outcome);
            }
        }
    }

    /// The rule's word, and for mapped nodes the list's: over an empty list there is nothing to run, and without one
    /// nobody knows how often.
    fn verdict(&self, node: NodeIx, counts: &Counts, list: impl Fn(NodeIx) -> Option<u32>) -> Verdict {
        let verdict = self.rules[node.at()].verdict(counts);
        match (verdict, self.mapped.get(&node)) {
            (Verdict::Run, Some(from)) => match list(*from) {
                Some(0) => Verdict::End(Outcome::Skipped),
                Some(_) => Verdict::Run,
                None => Verdict::End(Outcome::UpstreamFailed),
            },
            (verdict, _) => verdict,
        }
    }

    /// Ends to be written now, at most so many, each decided by ends that are durable and by those before it here:
    /// written in this order by one transaction they are all true, or none is written.
    pub fn to_write(&self, most: usize) -> Vec<(NodeIx, Outcome)> {
        let mut written = Vec::new();
        let mut counts: BTreeMap<NodeIx, Counts> = BTreeMap::new();
        let mut known: RoaringBitmap = self.due.keys().map(|node| node.0).collect();
        let mut queue: VecDeque<(NodeIx, Outcome)> =
            self.due.iter().map(|(node, end)| (*node, *end)).collect();
        while written.len() < most
            && let Some((node, outcome)) = queue.pop_front()
        {
            written.push((node, outcome));
            for next in self.shape.down(node) {
                let counted = counts.entry(next).or_insert(self.counts[next.at()]);
                counted.add(outcome);
                let waits = self.open.contains(next.0) && !self.ready.contains(next.0);
                if !waits || known.contains(next.0) {
                    continue;
                }
                let list = |from| self.lists.get(&from).copied();
                if let Verdict::End(outcome) = self.verdict(next, counted, list) {
                    known.insert(next.0);
                    queue.push_back((next, outcome));
                }
            }
        }
        written
    }

    pub fn has_to_write(&self) -> bool {
        !self.due.is_empty()
    }

    pub fn shape(&self) -> &Arc<Shape> {
        &self.shape
    }

    /// Nodes without an end.
    pub fn open(&self) -> &RoaringBitmap {
        &self.open
    }

    /// Nodes that may run and have not ended.
    pub fn ready(&self) -> &RoaringBitmap {
        &self.ready
    }

    pub fn outcome(&self, node: NodeIx) -> Option<Outcome> {
        self.outcomes.get(&node).copied()
    }

    pub fn rule(&self, node: NodeIx) -> Rule {
        self.rules[node.at()]
    }

    /// Over how many elements a mapped node runs, once that is known.
    pub fn mapped_over(&self, node: NodeIx) -> Option<u32> {
        self.lists.get(self.mapped.get(&node)?).copied()
    }

    pub fn over(&self) -> bool {
        self.open.is_empty()
    }

    /// Did the run go well? By its last nodes, as in Airflow: each has succeeded or was skipped.
    pub fn went_well(&self) -> bool {
        let bad = |(node, outcome): (&NodeIx, &Outcome)| self.shape.leaf(*node) && outcome.counts_as_failed();
        self.over() && !self.outcomes.iter().any(bad)
    }

    /// How many nodes ended in each way.
    pub fn tally(&self) -> BTreeMap<Outcome, u32> {
        let mut tally = BTreeMap::new();
        for outcome in self.outcomes.values() {
            *tally.entry(*outcome).or_default() += 1;
        }
        tally
    }
}

#[cfg(test)]
#[path = "tests/progress.rs"]
mod tests;
