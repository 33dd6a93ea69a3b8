//! How far a run of a graph is: a pure function of the ends that are durable. Whoever reads the same ends, in whatever
//! order, knows the same nodes ready; so nothing but ends has to be written, and a takeover repeats nothing.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use roaring::RoaringBitmap;

use crate::topology::{DagTopology, NodeIx};
use crate::trigger_rule::{NodeOutcome, RuleDecision, TriggerRule, UpstreamCounts};

/// What followed from an end.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ProgressChanges {
    /// Nodes that may run from now on.
    pub ready: Vec<NodeIx>,
}

#[derive(Debug, Clone)]
pub struct DagProgress {
    topology: Arc<DagTopology>,
    rules: Arc<[TriggerRule]>,
    /// The node whose list a mapped node runs over.
    map_sources: Arc<BTreeMap<NodeIx, NodeIx>>,
    upstream_counts: Vec<UpstreamCounts>,
    /// Lengths of lists that nodes gave.
    list_lens: BTreeMap<NodeIx, u32>,
    outcomes: BTreeMap<NodeIx, NodeOutcome>,
    unfinished: RoaringBitmap,
    ready: RoaringBitmap,
    /// Decided by their rules, not durable yet.
    pending_outcomes: BTreeMap<NodeIx, NodeOutcome>,
    is_active: bool,
}

impl DagProgress {
    /// Nothing has ended; nothing is ready before `activate`.
    pub fn new(
        topology: Arc<DagTopology>,
        rules: Arc<[TriggerRule]>,
        map_sources: Arc<BTreeMap<NodeIx, NodeIx>>,
    ) -> DagProgress {
        let upstream =
            |node| UpstreamCounts { upstream: topology.in_degree(NodeIx(node)), ..UpstreamCounts::default() };
        let upstream_counts = (0..topology.len()).map(upstream).collect();
        let mut unfinished = RoaringBitmap::new();
        unfinished.insert_range(0..topology.len());
        DagProgress {
            topology,
            rules,
            map_sources,
            upstream_counts,
            list_lens: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            unfinished,
            ready: RoaringBitmap::new(),
            pending_outcomes: BTreeMap::new(),
            is_active: false,
        }
    }

    /// The run's turn has come: what waits for nothing is ready, and what ends before then have decided.
    pub fn activate(&mut self) -> ProgressChanges {
        let mut changes = ProgressChanges::default();
        if !std::mem::replace(&mut self.is_active, true) {
            for node in self.unfinished.clone() {
                self.evaluate(NodeIx(node), &mut changes);
            }
        }
        changes
    }

    pub fn is_active(&self) -> bool {
        self.is_active
    }

    /// A node's end is durable. `list`: the length of the list it gave. Costs the edges behind it.
    pub fn record_outcome(
        &mut self,
        node: NodeIx,
        outcome: NodeOutcome,
        list_len: Option<u32>,
    ) -> ProgressChanges {
        let mut changes = ProgressChanges::default();
        if !self.unfinished.remove(node.0) {
            return changes;
        }
        self.ready.remove(node.0);
        self.pending_outcomes.remove(&node);
        self.outcomes.insert(node, outcome);
        if let Some(list) = list_len {
            self.list_lens.insert(node, list);
        }
        let shape = self.topology.clone();
        for next in shape.downstream(node) {
            self.upstream_counts[next.index()].record(outcome);
            if self.is_active {
                self.evaluate(next, &mut changes);
            }
        }
        changes
    }

    fn evaluate(&mut self, node: NodeIx, changes: &mut ProgressChanges) {
        if !self.unfinished.contains(node.0) || self.ready.contains(node.0) {
            return;
        }
        // What is due but not durable is decided anew: a failure that comes after a skip makes another word of it, and
        // whoever reads the two ends later could not tell in which order they came.
        match self
            .decide(node, &self.upstream_counts[node.index()], |from| self.list_lens.get(&from).copied())
        {
            RuleDecision::Wait => {}
            RuleDecision::Run => {
                self.ready.insert(node.0);
                changes.ready.push(node);
            }
            RuleDecision::End(outcome) => {
                self.pending_outcomes.insert(node, outcome);
            }
        }
    }

    /// The rule's word, and for mapped nodes the list's: over an empty list there is nothing to run, and without one
    /// nobody knows how often.
    fn decide(
        &self,
        node: NodeIx,
        counts: &UpstreamCounts,
        list: impl Fn(NodeIx) -> Option<u32>,
    ) -> RuleDecision {
        let verdict = self.rules[node.index()].decide(counts);
        match (verdict, self.map_sources.get(&node)) {
            (RuleDecision::Run, Some(from)) => match list(*from) {
                Some(0) => RuleDecision::End(NodeOutcome::Skipped),
                Some(_) => RuleDecision::Run,
                None => RuleDecision::End(NodeOutcome::UpstreamFailed),
            },
            (verdict, _) => verdict,
        }
    }

    /// Ends to be written now, at most so many, each decided by ends that are durable and by those before it here:
    /// written in this order by one transaction they are all true, or none is written.
    pub fn outcomes_to_write(&self, most: usize) -> Vec<(NodeIx, NodeOutcome)> {
        let mut written = Vec::new();
        let mut counts: BTreeMap<NodeIx, UpstreamCounts> = BTreeMap::new();
        let mut known: RoaringBitmap = self.pending_outcomes.keys().map(|node| node.0).collect();
        let mut queue: VecDeque<(NodeIx, NodeOutcome)> =
            self.pending_outcomes.iter().map(|(node, end)| (*node, *end)).collect();
        while written.len() < most
            && let Some((node, outcome)) = queue.pop_front()
        {
            written.push((node, outcome));
            for next in self.topology.downstream(node) {
                let counted = counts.entry(next).or_insert(self.upstream_counts[next.index()]);
                counted.record(outcome);
                let waits = self.unfinished.contains(next.0) && !self.ready.contains(next.0);
                if !waits || known.contains(next.0) {
                    continue;
                }
                let list = |from| self.list_lens.get(&from).copied();
                if let RuleDecision::End(outcome) = self.decide(next, counted, list) {
                    known.insert(next.0);
                    queue.push_back((next, outcome));
                }
            }
        }
        written
    }

    pub fn has_outcomes_to_write(&self) -> bool {
        !self.pending_outcomes.is_empty()
    }

    pub fn topology(&self) -> &Arc<DagTopology> {
        &self.topology
    }

    /// Nodes without an end.
    pub fn unfinished(&self) -> &RoaringBitmap {
        &self.unfinished
    }

    /// Nodes that may run and have not ended.
    pub fn ready(&self) -> &RoaringBitmap {
        &self.ready
    }

    pub fn outcome(&self, node: NodeIx) -> Option<NodeOutcome> {
        self.outcomes.get(&node).copied()
    }

    pub fn rule(&self, node: NodeIx) -> TriggerRule {
        self.rules[node.index()]
    }

    /// Over how many elements a mapped node runs, once that is known.
    pub fn map_len(&self, node: NodeIx) -> Option<u32> {
        self.list_lens.get(self.map_sources.get(&node)?).copied()
    }

    pub fn is_finished(&self) -> bool {
        self.unfinished.is_empty()
    }

    /// Did the run go well? By its last nodes, as in Airflow: each has succeeded or was skipped.
    pub fn is_successful(&self) -> bool {
        let bad =
            |(node, outcome): (&NodeIx, &NodeOutcome)| self.topology.is_leaf(*node) && outcome.is_failure();
        self.is_finished() && !self.outcomes.iter().any(bad)
    }

    /// How many nodes ended in each way.
    pub fn outcome_counts(&self) -> BTreeMap<NodeOutcome, u32> {
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
