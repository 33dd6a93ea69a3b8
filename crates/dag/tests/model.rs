//! A bounded model check of small graphs: every interleaving of starts, finishes, failures, retries, cancellations,
//! failovers and late heartbeats, breadth first over the transition function. Durable state and what only the leader
//! knows are kept apart, as in the service. The check is shown to find bugs that are injected on purpose.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::sync::Arc;

use olivelatch_dag::{
    DagProgress, DagTopology, Failure, FailureEffect, NodeIx, NodeOutcome, RetryPolicy, RetryState,
    TriggerRule,
};

const MAX_ATTEMPTS: u32 = 2;
const MAX_FAILOVERS: u8 = 2;

/// Bugs to be found.
#[derive(Clone, Copy, PartialEq)]
enum InjectedBug {
    None,
    /// A late heartbeat's success counts although the node has an outcome.
    CountsLateSuccess,
    /// A node starts as soon as one of its upstream nodes has ended.
    StartsEarly,
    /// A failover forgets the failures that were counted.
    ForgetsFailures,
}

/// What the leader knows of a node, which is lost with a failover unless machines report it.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum LeaderNodeState {
    Idle,
    Runs(u64),
    RetryWait,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct State {
    /// Durable, as are the failures and the run's cancellation.
    outcomes: BTreeMap<u32, NodeOutcome>,
    retry_states: Vec<RetryState>,
    cancelled: bool,
    /// Known to the leader only.
    leader_states: Vec<LeaderNodeState>,
    /// Attempts started, by node; heartbeats may still report any of them.
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

    fn startable(&self, state: &State, progress: &DagProgress, node: u32) -> bool {
        let is_idle = state.leader_states[node as usize] == LeaderNodeState::Idle;
        let ready = progress.ready().contains(node);
        let starts_early = self.injected_bug == InjectedBug::StartsEarly
            && progress.unfinished().contains(node)
            && (0..self.topology.len()).any(|up| {
                state.outcomes.contains_key(&up)
                    && self.topology.downstream(NodeIx(up)).any(|down| down.0 == node)
            });
        is_idle && !state.cancelled && (ready || starts_early)
    }

    fn end(&self, state: &mut State, node: u32, outcome: NodeOutcome) {
        let overwrites =
            self.injected_bug == InjectedBug::CountsLateSuccess && outcome == NodeOutcome::Success;
        if overwrites {
            state.outcomes.insert(node, outcome);
        } else {
            state.outcomes.entry(node).or_insert(outcome);
        }
        state.leader_states[node as usize] = LeaderNodeState::Idle;
    }

    /// The states that one step can lead to.
    fn successors(&self, state: &State) -> Vec<State> {
        let progress = self.progress(state);
        let mut all = Vec::new();
        for node in 0..self.topology.len() {
            self.node_successors(state, &progress, node, &mut all);
        }
        for limit in [1, 4] {
            all.push(self.write_outcomes(state, &progress, limit));
        }
        all.push(self.cancel(state, &progress));
        if state.failovers < MAX_FAILOVERS {
            all.push(self.fail_over(state));
        }
        all.retain(|next| next != state);
        all
    }

    /// Steps of one node: start, finish, failure, retry, and late heartbeats.
    fn node_successors(&self, state: &State, progress: &DagProgress, node: u32, all: &mut Vec<State>) {
        let index = node as usize;
        if self.startable(state, progress, node) {
            let mut next = state.clone();
            next.attempts[index] += 1;
            next.leader_states[index] = LeaderNodeState::Runs(next.attempts[index]);
            next.starts += 1;
            all.push(next);
        }
        if let LeaderNodeState::Runs(attempt) = state.leader_states[index] {
            all.push(self.succeed(state, node));
            all.push(self.fail(state, node, attempt));
        }
        if state.leader_states[index] == LeaderNodeState::RetryWait {
            let mut next = state.clone();
            next.leader_states[index] = LeaderNodeState::Idle;
            all.push(next);
        }
        // A heartbeat about an attempt that the leader has given up, or that was counted.
        if state.attempts[index] > 0 && state.outcomes.contains_key(&node) {
            all.push(self.succeed(state, node));
            all.push(self.fail(state, node, state.attempts[index]));
        }
    }

    fn write_outcomes(&self, state: &State, progress: &DagProgress, limit: usize) -> State {
        let mut next = state.clone();
        for (node, outcome) in progress.outcomes_to_write(limit) {
            if !state.cancelled {
                self.end(&mut next, node.0, outcome);
            }
        }
        next
    }

    /// Cancels the run, or one more node of a run that is cancelled.
    fn cancel(&self, state: &State, progress: &DagProgress) -> State {
        let mut next = state.clone();
        if !state.cancelled {
            next.cancelled = true;
        } else if let Some(node) = progress.unfinished().min() {
            self.end(&mut next, node, NodeOutcome::Cancelled);
        }
        next
    }

    /// Running tasks are found on their machines; delays before retries are forgotten.
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
        self.end(&mut next, node, NodeOutcome::Success);
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
            FailureEffect::Exhausted => self.end(&mut next, node, NodeOutcome::Failed),
            FailureEffect::Retry => next.leader_states[node as usize] = LeaderNodeState::RetryWait,
            FailureEffect::AlreadyCounted => {}
        }
        next
    }

    /// Checks the invariants of a step.
    fn violation(&self, before: &State, after: &State) -> Option<String> {
        for (node, outcome) in &before.outcomes {
            if after.outcomes.get(node) != Some(outcome) {
                return Some(format!(
                    "the end of {node} changed from {outcome:?} to {:?}",
                    after.outcomes.get(node)
                ));
            }
        }
        let progress = self.progress(before);
        for node in 0..self.topology.len() {
            let index = node as usize;
            let started = after.attempts[index] > before.attempts[index];
            if started && !progress.ready().contains(node) {
                return Some(format!("{node} started before its rule held"));
            }
            if after.attempts[index] > u64::from(MAX_ATTEMPTS) {
                return Some(format!("{node} was tried {} times", after.attempts[index]));
            }
        }
        None
    }

    /// Visits all states that can be reached. Returns how many there are, or what went wrong.
    fn explore(&self) -> Result<usize, String> {
        let mut seen = HashSet::from([self.initial_state()]);
        let mut queue = VecDeque::from([self.initial_state()]);
        let mut finals = 0;
        while let Some(state) = queue.pop_front() {
            let nexts = self.successors(&state);
            if state.outcomes.len() == self.topology.len() as usize {
                finals += 1;
            } else if nexts.is_empty() {
                return Err(format!("stuck with ends {:?}", state.outcomes));
            }
            for next in nexts {
                if let Some(violation) = self.violation(&state, &next) {
                    return Err(violation);
                }
                if seen.insert(next.clone()) {
                    queue.push_back(next);
                }
            }
        }
        if finals == 0 { Err("no final state".into()) } else { Ok(seen.len()) }
    }

    /// Liveness: a final state is reached without cancellations and failovers.
    fn ends_by_itself(&self) -> Result<(), String> {
        let mut state = self.initial_state();
        for _ in 0..200 {
            if state.outcomes.len() == self.topology.len() as usize {
                return Ok(());
            }
            let nexts = self.successors(&state);
            let is_undisturbed = |next: &&State| !next.cancelled && next.failovers == 0;
            let Some(next) = nexts.iter().find(is_undisturbed) else { return Err("stuck".into()) };
            state = next.clone();
        }
        Err("it goes on for ever".into())
    }
}

fn model(nodes: u32, edges: &[(u32, u32)], rules: &[TriggerRule], injected_bug: InjectedBug) -> Model {
    let topology = Arc::new(DagTopology::new(nodes, edges).expect("no cycle"));
    Model { topology, rules: rules.into(), injected_bug }
}

/// Graphs of three nodes with every rule at the last one, and the diamond of four.
#[test]
fn every_interleaving_of_small_graphs_keeps_the_invariants() {
    let mut states = 0;
    for rule in TriggerRule::ALL {
        for edges in [&[(0, 2), (1, 2)][..], &[(0, 1), (1, 2)], &[(0, 1), (0, 2)]] {
            let model =
                model(3, edges, &[TriggerRule::AllSuccess, TriggerRule::AllSuccess, rule], InjectedBug::None);
            states += model.explore().unwrap_or_else(|violation| panic!("{rule:?} {edges:?}: {violation}"));
            model.ends_by_itself().unwrap_or_else(|violation| panic!("{rule:?} {edges:?}: {violation}"));
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
        (InjectedBug::CountsLateSuccess, "the end of"),
        (InjectedBug::StartsEarly, "started before its rule held"),
        (InjectedBug::ForgetsFailures, "was tried"),
    ] {
        let model = model(3, &[(0, 2), (1, 2)], &[TriggerRule::AllSuccess; 3], bug);
        let violation = model.explore().expect_err("a violation");
        assert!(violation.contains(expected), "{violation}");
    }
}
