//! The progress of a run, as a pure function of the durable node outcomes.
//!
//! Applying the same outcomes in any order makes the same nodes ready. Only outcomes therefore need to be stored, and a
//! new leader does not repeat work after a failover.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use roaring::RoaringBitmap;

use crate::topology::{DagTopology, NodeIx};
use crate::trigger_rule::{NodeOutcome, RuleDecision, TriggerRule, UpstreamCounts};

/// The changes that follow from an outcome or from activating the run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ProgressChanges {
    /// Nodes that have become ready to run.
    pub ready: Vec<NodeIx>,
}

/// Tracks which nodes of a run are waiting, ready, or finished.
#[derive(Debug, Clone)]
pub struct DagProgress {
    topology: Arc<DagTopology>,
    rules: Arc<[TriggerRule]>,
    /// For each mapped node, which runs one task per element of a list: the node that produces the list.
    map_sources: Arc<BTreeMap<NodeIx, NodeIx>>,
    upstream_counts: Vec<UpstreamCounts>,
    /// Lengths of the lists produced by finished nodes.
    list_lens: BTreeMap<NodeIx, u32>,
    outcomes: BTreeMap<NodeIx, NodeOutcome>,
    unfinished: RoaringBitmap,
    ready: RoaringBitmap,
    /// Outcomes that trigger rules have decided but that are not durable yet.
    pending_outcomes: BTreeMap<NodeIx, NodeOutcome>,
    is_active: bool,
}

impl DagProgress {
    /// Creates the progress of a run without outcomes. No node is ready before [`activate`](Self::activate).
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

    /// Starts the run: evaluates all unfinished nodes against the outcomes recorded so far.
    pub fn activate(&mut self) -> ProgressChanges {
        let mut changes = ProgressChanges::default();
        if !std::mem::replace(&mut self.is_active, true) {
            for node in self.unfinished.clone() {
                self.evaluate(NodeIx(node), &mut changes);
            }
        }
        changes
    }

    /// Records a durable outcome of a node; `list_len` is the length of the list that the node produced, if any. Takes
    /// time proportional to the number of the node's downstream edges. A second outcome of a node is ignored.
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

    /// Applies the trigger rule of a node that is neither finished nor ready. A decided outcome becomes pending.
    fn evaluate(&mut self, node: NodeIx, changes: &mut ProgressChanges) {
        if !self.is_waiting(node) {
            return;
        }
        // A pending outcome is decided again: a failure recorded after a skip changes it, and a new leader that reads
        // both upstream outcomes from the store cannot tell in which order they were recorded.
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

    /// Returns whether the node is neither finished nor ready. Its outcome may already be pending.
    fn is_waiting(&self, node: NodeIx) -> bool {
        self.unfinished.contains(node.0) && !self.ready.contains(node.0)
    }

    /// Applies a node's trigger rule. A mapped node also needs the list that it runs over: it is skipped if the list is
    /// empty, and cannot run if there is no list, as the number of its tasks is then unknown.
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

    /// Returns the outcomes to write now, at most `limit`. One transaction must write all of them, because an outcome
    /// may follow from earlier entries of the result, which are not durable yet.
    pub fn outcomes_to_write(&self, limit: usize) -> Vec<(NodeIx, NodeOutcome)> {
        let mut to_write = Vec::new();
        let mut counts: BTreeMap<NodeIx, UpstreamCounts> = BTreeMap::new();
        let mut queued: RoaringBitmap = self.pending_outcomes.keys().map(|node| node.0).collect();
        let mut queue: VecDeque<(NodeIx, NodeOutcome)> =
            self.pending_outcomes.iter().map(|(node, outcome)| (*node, *outcome)).collect();
        while to_write.len() < limit
            && let Some((node, outcome)) = queue.pop_front()
        {
            to_write.push((node, outcome));
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
        to_write
    }

    /// Returns whether trigger rules have decided outcomes that are not durable yet.
    pub fn has_outcomes_to_write(&self) -> bool {
        !self.pending_outcomes.is_empty()
    }

    /// Returns the topology of the graph.
    pub fn topology(&self) -> &Arc<DagTopology> {
        &self.topology
    }

    /// Returns the nodes without a durable outcome.
    pub fn unfinished(&self) -> &RoaringBitmap {
        &self.unfinished
    }

    /// Returns the nodes that may run and have no durable outcome.
    pub fn ready(&self) -> &RoaringBitmap {
        &self.ready
    }

    /// Returns the durable outcome of a node, if it has one.
    pub fn outcome(&self, node: NodeIx) -> Option<NodeOutcome> {
        self.outcomes.get(&node).copied()
    }

    /// Returns the trigger rule of a node.
    pub fn rule(&self, node: NodeIx) -> TriggerRule {
        self.rules[node.index()]
    }

    /// Returns the number of list elements that a mapped node runs over, or `None` if it is not known yet.
    pub fn map_len(&self, node: NodeIx) -> Option<u32> {
        self.list_lens.get(self.map_sources.get(&node)?).copied()
    }

    /// Returns whether all nodes have durable outcomes.
    pub fn is_finished(&self) -> bool {
        self.unfinished.is_empty()
    }

    /// Returns whether the run has finished and, as in Airflow, none of its leaves failed.
    pub fn is_successful(&self) -> bool {
        let failed_leaf =
            |(node, outcome): (&NodeIx, &NodeOutcome)| self.topology.is_leaf(*node) && outcome.is_failure();
        self.is_finished() && !self.outcomes.iter().any(failed_leaf)
    }

    /// Returns the number of finished nodes by outcome.
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
