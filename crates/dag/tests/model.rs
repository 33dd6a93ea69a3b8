//! A bounded model check of small graphs: a breadth-first search through every interleaving of starts, successes,
//! failures, retries, cancellations, failovers and late heartbeats. As in the service, the model separates durable
//! state from the leader's volatile state. A second test injects bugs and requires that the check finds them.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::sync::Arc;

use olivelatch_dag::{
    DagProgress, DagTopology, Failure, FailureEffect, NodeIx, NodeOutcome, RetryPolicy, RetryState,
    TriggerRule,
};

const MAX_ATTEMPTS: u32 = 2;
const MAX_FAILOVERS: u8 = 2;

/// Bugs that the check must find.
#[derive(Clone, Copy, PartialEq)]
enum InjectedBug {
    None,
    /// A success reported by a late heartbeat overwrites the outcome of its node.
    CountsLateSuccess,
    /// A node may start as soon as one of its upstream nodes has finished.
    StartsEarly,
    /// A failover loses the failures counted before it.
    ForgetsFailures,
}

/// The leader's volatile state of a node. A failover loses it unless machines report it to the new leader.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum LeaderNodeState {
    Idle,
    Running(u64),
    RetryWait,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct State {
    /// Durable, as are `retry_states` and `cancelled`.
    outcomes: BTreeMap<u32, NodeOutcome>,
    retry_states: Vec<RetryState>,
    cancelled: bool,
    /// Volatile: held by the leader only.
    leader_states: Vec<LeaderNodeState>,
    /// Number of attempts started, by node: also the number of the last attempt, which late heartbeats report.
    attempts: Vec<u64>,
    starts: u8,
    failovers: u8,
}

struct Model {
    topology: Arc<DagTopology>,
    rules: Arc<[TriggerRule]>,
    injected_bug: InjectedBug,
}

impl Model {
    fn initial_state(&self) -> State {
        let nodes = self.topology.len() as usize;
        State {
            outcomes: BTreeMap::new(),
            retry_states: vec![RetryState::default(); nodes],
            cancelled: false,
            leader_states: vec![LeaderNodeState::Idle; nodes],
            attempts: vec![0; nodes],
            starts: 0,
            failovers: 0,
        }
    }

    fn progress(&self, state: &State) -> DagProgress {
        let mut progress = DagProgress::new(self.topology.clone(), self.rules.clone(), Arc::default());
        for (node, outcome) in &state.outcomes {
            progress.record_outcome(NodeIx(*node), *outcome, None);
        }
        progress.activate();
        progress
    }

    fn can_start(&self, state: &State, progress: &DagProgress, node: u32) -> bool {
        let is_idle = state.leader_states[node as usize] == LeaderNodeState::Idle;
        let ready = progress.ready().contains(node);
        let starts_early = self.injected_bug == InjectedBug::StartsEarly
            && progress.unfinished().contains(node)
            && (0..self.topology.len()).any(|upstream| {
                state.outcomes.contains_key(&upstream)
                    && self.topology.downstream(NodeIx(upstream)).any(|next| next.0 == node)
            });
        is_idle && !state.cancelled && (ready || starts_early)
    }

    fn set_outcome(&self, state: &mut State, node: u32, outcome: NodeOutcome) {
        let overwrites =
            self.injected_bug == InjectedBug::CountsLateSuccess && outcome == NodeOutcome::Success;
        if overwrites {
            state.outcomes.insert(node, outcome);
        } else {
            state.outcomes.entry(node).or_insert(outcome);
        }
        state.leader_states[node as usize] = LeaderNodeState::Idle;
    }

    /// Returns the states reachable in one step.
    fn successors(&self, state: &State) -> Vec<State> {
        let progress = self.progress(state);
        let mut successors = Vec::new();
        for node in 0..self.topology.len() {
            self.node_successors(state, &progress, node, &mut successors);
        }
        for limit in [1, 4] {
            successors.push(self.write_outcomes(state, &progress, limit));
        }
        successors.push(self.cancel(state, &progress));
        if state.failovers < MAX_FAILOVERS {
            successors.push(self.fail_over(state));
        }
        successors.retain(|next| next != state);
        successors
    }

    /// Adds the states reached by a step of one node: start, success, failure, end of the backoff, or late heartbeat.
    fn node_successors(&self, state: &State, progress: &DagProgress, node: u32, successors: &mut Vec<State>) {
        let index = node as usize;
        if self.can_start(state, progress, node) {
            let mut next = state.clone();
            next.attempts[index] += 1;
            next.leader_states[index] = LeaderNodeState::Running(next.attempts[index]);
            next.starts += 1;
            successors.push(next);
        }
        if let LeaderNodeState::Running(attempt) = state.leader_states[index] {
            successors.push(self.succeed(state, node));
            successors.push(self.fail(state, node, attempt));
        }
        if state.leader_states[index] == LeaderNodeState::RetryWait {
            let mut next = state.clone();
            next.leader_states[index] = LeaderNodeState::Idle;
            successors.push(next);
        }
        // A late heartbeat reports the last attempt of a node that already has an outcome.
        if state.attempts[index] > 0 && state.outcomes.contains_key(&node) {
            successors.push(self.succeed(state, node));
            successors.push(self.fail(state, node, state.attempts[index]));
        }
    }

    fn write_outcomes(&self, state: &State, progress: &DagProgress, limit: usize) -> State {
        let mut next = state.clone();
        for (node, outcome) in progress.outcomes_to_write(limit) {
            if !state.cancelled {
                self.set_outcome(&mut next, node.0, outcome);
            }
        }
        next
    }

    /// Cancels the run, or records the cancellation of one more node of a cancelled run.
    fn cancel(&self, state: &State, progress: &DagProgress) -> State {
        let mut next = state.clone();
        if !state.cancelled {
            next.cancelled = true;
        } else if let Some(node) = progress.unfinished().min() {
            self.set_outcome(&mut next, node, NodeOutcome::Cancelled);
        }
        next
    }

    /// Changes the leader: the new one learns of running tasks from the heartbeats of their machines. Pending backoffs
    /// are lost, so their tasks may start at once.
    fn fail_over(&self, state: &State) -> State {
        let mut next = state.clone();
        next.failovers += 1;
        for node in next.leader_states.iter_mut().filter(|node| **node == LeaderNodeState::RetryWait) {
            *node = LeaderNodeState::Idle;
        }
        if self.injected_bug == InjectedBug::ForgetsFailures {
            next.retry_states.fill(RetryState::default());
        }
        next
    }

    fn succeed(&self, state: &State, node: u32) -> State {
        let mut next = state.clone();
        self.set_outcome(&mut next, node, NodeOutcome::Success);
        next
    }

    fn fail(&self, state: &State, node: u32, attempt: u64) -> State {
        let mut next = state.clone();
        let policy = RetryPolicy { max_attempts: MAX_ATTEMPTS, ..RetryPolicy::default() };
        let failure = Failure { attempt, machine: String::new(), cause: String::new() };
        if next.outcomes.contains_key(&node) {
            return next;
        }
        match next.retry_states[node as usize].record_failure(failure, &policy) {
            FailureEffect::Exhausted => self.set_outcome(&mut next, node, NodeOutcome::Failed),
            FailureEffect::Retry => next.leader_states[node as usize] = LeaderNodeState::RetryWait,
            FailureEffect::AlreadyCounted => {}
        }
        next
    }

    /// Returns the invariant that a step violates, if any.
    fn violation(&self, before: &State, after: &State) -> Option<String> {
        for (node, outcome) in &before.outcomes {
            if after.outcomes.get(node) != Some(outcome) {
                return Some(format!(
                    "the outcome of node {node} changed from {outcome:?} to {:?}",
                    after.outcomes.get(node)
                ));
            }
        }
        let progress = self.progress(before);
        for node in 0..self.topology.len() {
            let index = node as usize;
            let started = after.attempts[index] > before.attempts[index];
            if started && !progress.ready().contains(node) {
                return Some(format!("node {node} started before its trigger rule was met"));
            }
            if after.attempts[index] > u64::from(MAX_ATTEMPTS) {
                return Some(format!("node {node} was attempted {} times", after.attempts[index]));
            }
        }
        None
    }

    /// Visits all reachable states. Returns their number, or a description of the first violation.
    fn explore(&self) -> Result<usize, String> {
        let mut seen = HashSet::from([self.initial_state()]);
        let mut queue = VecDeque::from([self.initial_state()]);
        let mut final_states = 0;
        while let Some(state) = queue.pop_front() {
            let successors = self.successors(&state);
            if state.outcomes.len() == self.topology.len() as usize {
                final_states += 1;
            } else if successors.is_empty() {
                return Err(format!("stuck with outcomes {:?}", state.outcomes));
            }
            for next in successors {
                if let Some(violation) = self.violation(&state, &next) {
                    return Err(violation);
                }
                if seen.insert(next.clone()) {
                    queue.push_back(next);
                }
            }
        }
        if final_states == 0 { Err("no final state".into()) } else { Ok(seen.len()) }
    }

    /// Checks liveness: a final state is reached without cancellations and failovers.
    fn finishes_undisturbed(&self) -> Result<(), String> {
        let mut state = self.initial_state();
        for _ in 0..200 {
            if state.outcomes.len() == self.topology.len() as usize {
                return Ok(());
            }
            let successors = self.successors(&state);
            let is_undisturbed = |next: &&State| !next.cancelled && next.failovers == 0;
            let Some(next) = successors.iter().find(is_undisturbed) else { return Err("stuck".into()) };
            state = next.clone();
        }
        Err("no final state after 200 steps".into())
    }
}

fn model(nodes: u32, edges: &[(u32, u32)], rules: &[TriggerRule], injected_bug: InjectedBug) -> Model {
    let topology = Arc::new(DagTopology::new(nodes, edges).expect("no cycle"));
    Model { topology, rules: rules.into(), injected_bug }
}

/// Explores graphs of three nodes with every trigger rule at the last node, and a diamond of four nodes.
#[test]
fn every_interleaving_of_small_graphs_keeps_the_invariants() {
    let mut states = 0;
    for rule in TriggerRule::ALL {
        for edges in [&[(0, 2), (1, 2)][..], &[(0, 1), (1, 2)], &[(0, 1), (0, 2)]] {
            let model =
                model(3, edges, &[TriggerRule::AllSuccess, TriggerRule::AllSuccess, rule], InjectedBug::None);
            states += model.explore().unwrap_or_else(|violation| panic!("{rule:?} {edges:?}: {violation}"));
            model
                .finishes_undisturbed()
                .unwrap_or_else(|violation| panic!("{rule:?} {edges:?}: {violation}"));
        }
    }
    let diamond = [(0, 1), (0, 2), (1, 3), (2, 3)];
    let rules =
        [TriggerRule::AllSuccess, TriggerRule::AllSuccess, TriggerRule::AllDone, TriggerRule::OneFailed];
    states += model(4, &diamond, &rules, InjectedBug::None).explore().expect("the diamond");
    assert!(states > 10_000, "only {states} states were visited");
}

#[test]
fn injected_bugs_are_found() {
    for (bug, expected) in [
        (InjectedBug::CountsLateSuccess, "the outcome of node"),
        (InjectedBug::StartsEarly, "started before its trigger rule was met"),
        (InjectedBug::ForgetsFailures, "was attempted"),
    ] {
        let model = model(3, &[(0, 2), (1, 2)], &[TriggerRule::AllSuccess; 3], bug);
        let violation = model.explore().expect_err("a violation");
        assert!(violation.contains(expected), "{violation}");
    }
}
