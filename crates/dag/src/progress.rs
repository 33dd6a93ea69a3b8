//! The progress of a run: a pure function of the outcomes that are durable.
//!
//! Whoever applies the same outcomes, in whatever order, finds the same nodes ready. So nothing but outcomes has to be
//! stored, and a failover repeats nothing.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use roaring::RoaringBitmap;

use crate::topology::{DagTopology, NodeIx};
use crate::trigger_rule::{NodeOutcome, RuleDecision, TriggerRule, UpstreamCounts};

/// What followed from an outcome.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ProgressChanges {
    /// Nodes that may run from now on.
    pub ready: Vec<NodeIx>,
}

/// Which nodes of a run have ended, are ready, or will never run.
#[derive(Debug, Clone)]
pub struct DagProgress {
    topology: Arc<DagTopology>,
    rules: Arc<[TriggerRule]>,
    /// The node whose list a mapped node runs over.
    map_sources: Arc<BTreeMap<NodeIx, NodeIx>>,
    upstream_counts: Vec<UpstreamCounts>,
    /// Lengths of the lists that nodes produced.
    list_lens: BTreeMap<NodeIx, u32>,
    outcomes: BTreeMap<NodeIx, NodeOutcome>,
    unfinished: RoaringBitmap,
    ready: RoaringBitmap,
    /// Outcomes that rules have decided and that are not durable yet.
    pending_outcomes: BTreeMap<NodeIx, NodeOutcome>,
    is_active: bool,
}

impl DagProgress {
    /// A run of which no node has ended. None is ready before [`activate`](Self::activate).
    pub fn new(
        topology: Arc<DagTopology>,
        rules: Arc<[TriggerRule]>,
        map_sources: Arc<BTreeMap<NodeIx, NodeIx>>,
    ) -> DagProgress {
        let initial_counts =
            |node| UpstreamCounts { upstream: topology.in_degree(NodeIx(node)), ..UpstreamCounts::default() };
        let upstream_counts = (0..topology.len()).map(initial_counts).collect();
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

    /// The run may start: evaluates all nodes, by the outcomes recorded so far.
    pub fn activate(&mut self) -> ProgressChanges {
        let mut changes = ProgressChanges::default();
        if !std::mem::replace(&mut self.is_active, true) {
            for node in self.unfinished.clone() {
                self.evaluate(NodeIx(node), &mut changes);
            }
        }
        changes
    }

    /// A node's outcome is durable; `list_len`: the length of the list it produced. Takes time in proportion to the
    /// node's downstream edges. A second outcome of a node is ignored.
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
        if let Some(len) = list_len {
            self.list_lens.insert(node, len);
        }
        let topology = self.topology.clone();
        for next in topology.downstream(node) {
            self.upstream_counts[next.index()].record(outcome);
            if self.is_active {
                self.evaluate(next, &mut changes);
            }
        }
        changes
    }

    fn evaluate(&mut self, node: NodeIx, changes: &mut ProgressChanges) {
        if !self.is_waiting(node) {
            return;
        }
        // A pending outcome is decided again: a failure after a skip changes it, and who reads the two upstream
        // outcomes later cannot tell in which order they came.
        match self.decide(node, &self.upstream_counts[node.index()]) {
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

    /// The node has neither ended nor become ready.
    fn is_waiting(&self, node: NodeIx) -> bool {
        self.unfinished.contains(node.0) && !self.ready.contains(node.0)
    }

    /// The decision of a node's rule. A mapped node also needs its list: over an empty one there is nothing to run,
    /// and without one the number of tasks is unknown.
    fn decide(&self, node: NodeIx, counts: &UpstreamCounts) -> RuleDecision {
        let decision = self.rules[node.index()].decide(counts);
        let Some(source) = self.map_sources.get(&node).filter(|_| decision == RuleDecision::Run) else {
            return decision;
        };
        match self.list_lens.get(source) {
            Some(0) => RuleDecision::End(NodeOutcome::Skipped),
            Some(_) => RuleDecision::Run,
            None => RuleDecision::End(NodeOutcome::UpstreamFailed),
        }
    }

    /// Outcomes to be written now, at most `limit`. Each follows from durable outcomes and from those before it in the
    /// list: written in this order by one transaction, either all of them hold or none is written.
    pub fn outcomes_to_write(&self, limit: usize) -> Vec<(NodeIx, NodeOutcome)> {
        let mut written = Vec::new();
        let mut counts: BTreeMap<NodeIx, UpstreamCounts> = BTreeMap::new();
        let mut queued: RoaringBitmap = self.pending_outcomes.keys().map(|node| node.0).collect();
        let mut queue: VecDeque<(NodeIx, NodeOutcome)> =
            self.pending_outcomes.iter().map(|(node, outcome)| (*node, *outcome)).collect();
        while written.len() < limit
            && let Some((node, outcome)) = queue.pop_front()
        {
            written.push((node, outcome));
            for next in self.topology.downstream(node) {
                let next_counts = counts.entry(next).or_insert(self.upstream_counts[next.index()]);
                next_counts.record(outcome);
                if !self.is_waiting(next) || queued.contains(next.0) {
                    continue;
                }
                if let RuleDecision::End(outcome) = self.decide(next, next_counts) {
                    queued.insert(next.0);
                    queue.push_back((next, outcome));
                }
            }
        }
        written
    }

    /// Have rules decided outcomes that are not durable yet?
    pub fn has_outcomes_to_write(&self) -> bool {
        !self.pending_outcomes.is_empty()
    }

    /// The graph.
    pub fn topology(&self) -> &Arc<DagTopology> {
        &self.topology
    }

    /// Nodes without an outcome.
    pub fn unfinished(&self) -> &RoaringBitmap {
        &self.unfinished
    }

    /// Nodes that may run and have not ended.
    pub fn ready(&self) -> &RoaringBitmap {
        &self.ready
    }

    /// How a node ended.
    pub fn outcome(&self, node: NodeIx) -> Option<NodeOutcome> {
        self.outcomes.get(&node).copied()
    }

    /// The trigger rule of a node.
    pub fn rule(&self, node: NodeIx) -> TriggerRule {
        self.rules[node.index()]
    }

    /// Over how many elements a mapped node runs, once that is known.
    pub fn map_len(&self, node: NodeIx) -> Option<u32> {
        self.list_lens.get(self.map_sources.get(&node)?).copied()
    }

    /// All nodes have ended.
    pub fn is_finished(&self) -> bool {
        self.unfinished.is_empty()
    }

    /// Did the run succeed? Judged by its leaves, as in Airflow: none of them failed.
    pub fn is_successful(&self) -> bool {
        let failed_leaf =
            |(node, outcome): (&NodeIx, &NodeOutcome)| self.topology.is_leaf(*node) && outcome.is_failure();
        self.is_finished() && !self.outcomes.iter().any(failed_leaf)
    }

    /// How many nodes ended in each way.
    pub fn outcome_counts(&self) -> BTreeMap<NodeOutcome, u32> {
        let mut counts = BTreeMap::new();
        for outcome in self.outcomes.values() {
            *counts.entry(*outcome).or_default() += 1;
        }
        counts
    }
}

#[cfg(test)]
#[path = "tests/progress.rs"]
mod tests;
