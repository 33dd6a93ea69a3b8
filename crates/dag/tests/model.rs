//! A bounded model check: every interleaving of starts, finishes, failures, retries, cancellations, takeovers and late
//! reports of small graphs, breadth first over the transition function. What is durable and what a leader only
//! remembers are kept apart, as in the service. It is shown to find a mistake that is built in on purpose.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::sync::Arc;

use olivelatch_dag::{
    DagProgress, DagTopology, Failure, FailureEffect, NodeIx, NodeOutcome, RetryPolicy, RetryState,
    TriggerRule,
};
use proptest::prelude::*;

const MAX_ATTEMPTS: u32 = 2;

/// Mistakes to be found.
#[derive(Clone, Copy, PartialEq)]
enum InjectedBug {
    None,
    /// A late report of success counts although the node has an end.
    CountsLateSuccess,
    /// A node starts as soon as one of those before it has ended.
    StartsEarly,
    /// A takeover forgets the failures that were counted.
    ForgetsFailures,
}

/// What the leader remembers of a node.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum LeaderNodeState {
    Idle,
    Runs(u64),
    RetryWait,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct State {
    /// Durable: ends, failures, the run's cancellation.
    outcomes: BTreeMap<u32, NodeOutcome>,
    retry_states: Vec<RetryState>,
    cancelled: bool,
    /// The leader's.
    leader_states: Vec<LeaderNodeState>,
    /// Attempts that were started, by node, and may still report.
    attempts: Vec<u64>,
    starts: u8,
    takeovers: u8,
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
            takeovers: 0,
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
        let held = state.leader_states[node as usize] == LeaderNodeState::Idle;
        let ready = progress.ready().contains(node);
        let early = self.injected_bug == InjectedBug::StartsEarly
            && progress.unfinished().contains(node)
            && (0..self.topology.len()).any(|up| {
                state.outcomes.contains_key(&up)
                    && self.topology.downstream(NodeIx(up)).any(|down| down.0 == node)
            });
        held && !state.cancelled && (ready || early)
    }

    fn end(&self, state: &mut State, node: u32, outcome: NodeOutcome) {
        let late = self.injected_bug == InjectedBug::CountsLateSuccess && outcome == NodeOutcome::Success;
        if late {
            state.outcomes.insert(node, outcome);
        } else {
            state.outcomes.entry(node).or_insert(outcome);
        }
        state.leader_states[node as usize] = LeaderNodeState::Idle;
    }

    fn successors(&self, state: &State) -> Vec<State> {
        let mut all = Vec::new();
        let progress = self.progress(state);
        for node in 0..self.topology.len() {
            let at = node as usize;
            if self.startable(state, &progress, node) {
                let mut next = state.clone();
                next.attempts[at] += 1;
                next.leader_states[at] = LeaderNodeState::Runs(next.attempts[at]);
                next.starts += 1;
                all.push(next);
            }
            if let LeaderNodeState::Runs(attempt) = state.leader_states[at] {
                let mut done = state.clone();
                self.end(&mut done, node, NodeOutcome::Success);
                all.push(done);
                all.push(self.fail(state, node, attempt));
            }
            if state.leader_states[at] == LeaderNodeState::RetryWait {
                let mut next = state.clone();
                next.leader_states[at] = LeaderNodeState::Idle;
                all.push(next);
            }
            // A report of an attempt that the leader has given up on, or that was counted.
            if state.attempts[at] > 0 && state.outcomes.contains_key(&node) {
                let mut late = state.clone();
                self.end(&mut late, node, NodeOutcome::Success);
                all.push(late);
                all.push(self.fail(state, node, state.attempts[at]));
            }
        }
        for most in [1, 4] {
            let mut next = state.clone();
            for (node, outcome) in progress.outcomes_to_write(most) {
                if !state.cancelled {
                    self.end(&mut next, node.0, outcome);
                }
            }
            all.push(next);
        }
        if state.cancelled {
            let mut next = state.clone();
            if let Some(node) = progress.unfinished().min() {
                self.end(&mut next, node, NodeOutcome::Cancelled);
            }
            all.push(next);
        } else {
            let mut next = state.clone();
            next.cancelled = true;
            all.push(next);
        }
        if state.takeovers < 2 {
            let mut next = state.clone();
            next.takeovers += 1;
            // Tasks that run are found on their machines; waits are begun anew.
            for held in next.leader_states.iter_mut().filter(|held| **held == LeaderNodeState::RetryWait) {
                *held = LeaderNodeState::Idle;
            }
            if self.injected_bug == InjectedBug::ForgetsFailures {
                next.retry_states.fill(RetryState::default());
            }
            all.push(next);
        }
        all.retain(|next| next != state);
        all
    }

    fn fail(&self, state: &State, node: u32, attempt: u64) -> State {
        let mut next = state.clone();
        let retry = RetryPolicy { max_attempts: MAX_ATTEMPTS, ..RetryPolicy::default() };
        let failure = Failure { attempt, machine: String::new(), cause: String::new() };
        if next.outcomes.contains_key(&node) {
            return next;
        }
        match next.retry_states[node as usize].record_failure(failure, &retry) {
            FailureEffect::Exhausted => self.end(&mut next, node, NodeOutcome::Failed),
            FailureEffect::Retry => next.leader_states[node as usize] = LeaderNodeState::RetryWait,
            FailureEffect::AlreadyCounted => {}
        }
        next
    }

    /// What must hold of every step.
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
            let at = node as usize;
            let started = after.attempts[at] > before.attempts[at];
            if started && !progress.ready().contains(node) {
                return Some(format!("{node} started before its rule held"));
            }
            if after.attempts[at] > u64::from(MAX_ATTEMPTS) {
                return Some(format!("{node} was tried {} times", after.attempts[at]));
            }
        }
        None
    }

    /// All states that can be reached; Err says what went wrong.
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
                if let Some(wrong) = self.violation(&state, &next) {
                    return Err(wrong);
                }
                if seen.insert(next.clone()) {
                    queue.push_back(next);
                }
            }
        }
        if finals == 0 { Err("no final state".into()) } else { Ok(seen.len()) }
    }

    /// From every state a final one can be reached without anybody cancelling: nothing waits for good.
    fn ends_by_itself(&self) -> Result<(), String> {
        let mut state = self.initial_state();
        for _ in 0..200 {
            if state.outcomes.len() == self.topology.len() as usize {
                return Ok(());
            }
            let nexts = self.successors(&state);
            let good = |next: &&State| !next.cancelled && next.takeovers == 0;
            let Some(next) = nexts.iter().find(good) else { return Err("stuck".into()) };
            state = next.clone();
        }
        Err("it goes on for ever".into())
    }
}

fn model(nodes: u32, edges: &[(u32, u32)], rules: &[TriggerRule], mistake: InjectedBug) -> Model {
    let shape = Arc::new(DagTopology::new(nodes, edges).expect("no cycle"));
    Model { topology: shape, rules: rules.into(), injected_bug: mistake }
}

/// Graphs of three nodes with every rule at the last one, and the diamond of four.
#[test]
fn every_interleaving_of_small_graphs_ends_as_it_must() {
    let mut states = 0;
    for rule in TriggerRule::ALL {
        for edges in [&[(0, 2), (1, 2)][..], &[(0, 1), (1, 2)], &[(0, 1), (0, 2)]] {
            let model =
                model(3, edges, &[TriggerRule::AllSuccess, TriggerRule::AllSuccess, rule], InjectedBug::None);
            states += model.explore().unwrap_or_else(|wrong| panic!("{rule:?} {edges:?}: {wrong}"));
            model.ends_by_itself().unwrap_or_else(|wrong| panic!("{rule:?} {edges:?}: {wrong}"));
        }
    }
    let diamond = [(0, 1), (0, 2), (1, 3), (2, 3)];
    let rules =
        [TriggerRule::AllSuccess, TriggerRule::AllSuccess, TriggerRule::AllDone, TriggerRule::OneFailed];
    states += model(4, &diamond, &rules, InjectedBug::None).explore().expect("the diamond");
    assert!(states > 10_000, "only {states} states were looked at");
}

#[test]
fn mistakes_that_are_built_in_are_found() {
    for (mistake, found) in [
        (InjectedBug::CountsLateSuccess, "the end of"),
        (InjectedBug::StartsEarly, "started before its rule held"),
        (InjectedBug::ForgetsFailures, "was tried"),
    ] {
        let model = model(3, &[(0, 2), (1, 2)], &[TriggerRule::AllSuccess; 3], mistake);
        let wrong = model.explore().expect_err("a mistake");
        assert!(wrong.contains(found), "{wrong}");
    }
}

/// What a rule says from scratch, written as its description reads.
fn naive(rule: TriggerRule, ends: &[Option<NodeOutcome>]) -> Option<bool> {
    let failed = ends.iter().flatten().filter(|end| end.is_failure()).count();
    let good = ends.iter().flatten().filter(|end| **end == NodeOutcome::Success).count();
    let all = ends.iter().all(Option::is_some);
    match rule {
        TriggerRule::AllSuccess => all.then_some(good == ends.len()),
        TriggerRule::AllFailed => all.then_some(failed == ends.len()),
        TriggerRule::AllDone => all.then_some(true),
        TriggerRule::OneSuccess => {
            if good > 0 {
                Some(true)
            } else {
                all.then_some(false)
            }
        }
        TriggerRule::OneFailed => {
            if failed > 0 {
                Some(true)
            } else {
                all.then_some(false)
            }
        }
        TriggerRule::NoneFailed => all.then_some(failed == 0),
        TriggerRule::NoneFailedMinOneSuccess => all.then_some(failed == 0 && good > 0),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(16), ..ProptestConfig::default() })]

    /// Ends of random graphs in random order: the same nodes run as the rules say from scratch, and reading the ends
    /// back in the order of their keys, as a new leader does, comes to the same.
    #[test]
    fn progress_agrees_with_the_rules_in_any_order(
        nodes in 2u32..14,
        density in 0.05f64..0.6,
        seed in proptest::collection::vec(0u32..1_000_000, 400),
    ) {
        let mut draw = seed.into_iter().cycle();
        let mut chance = move |of: u32| draw.next().unwrap_or(0) % of;
        let mut edges = Vec::new();
        for to in 1..nodes {
            for from in 0..to {
                if f64::from(chance(1000)) < density * 1000.0 {
                    edges.push((from, to));
                }
            }
        }
        let rules: Vec<TriggerRule> = (0..nodes).map(|_| TriggerRule::ALL[chance(7) as usize]).collect();
        let shape = Arc::new(DagTopology::new(nodes, &edges).expect("edges go up"));
        let mut run = DagProgress::new(shape.clone(), rules.clone().into(), Arc::default());
        let mut ends: BTreeMap<u32, NodeOutcome> = BTreeMap::new();
        let mut ready: Vec<u32> = run.activate().ready.into_iter().map(|node| node.0).collect();
        let mut started: Vec<u32> = ready.clone();
        while !run.is_finished() {
            let take_due = run.has_outcomes_to_write() && (ready.is_empty() || chance(2) == 0);
            let (node, outcome) = if take_due {
                let (node, outcome) = run.outcomes_to_write(1)[0];
                (node.0, outcome)
            } else {
                prop_assert!(!ready.is_empty(), "stuck");
                let at = chance(ready.len() as u32) as usize;
                let outcome = [NodeOutcome::Success, NodeOutcome::Failed, NodeOutcome::Cancelled][chance(3) as usize];
                (ready.swap_remove(at), outcome)
            };
            ends.insert(node, outcome);
            let new: Vec<u32> = run.record_outcome(NodeIx(node), outcome, None).ready.into_iter().map(|n| n.0).collect();
            started.extend(&new);
            ready.extend(new);
            let mut again = DagProgress::new(shape.clone(), rules.clone().into(), Arc::default());
            ends.iter().for_each(|(node, outcome)| { again.record_outcome(NodeIx(*node), *outcome, None); });
            again.activate();
            prop_assert_eq!(again.ready(), run.ready());
            prop_assert_eq!(again.outcomes_to_write(99), run.outcomes_to_write(99));
        }
        started.sort_unstable();
        let before = started.len();
        started.dedup();
        prop_assert_eq!(before, started.len(), "a node became ready twice");
        for node in 0..nodes {
            let up: Vec<Option<NodeOutcome>> =
                edges.iter().filter(|(_, to)| *to == node).map(|(from, _)| ends.get(from).copied()).collect();
            let runs = up.is_empty() || naive(rules[node as usize], &up) == Some(true);
            prop_assert_eq!(started.contains(&node), runs, "node {} with {:?} of {:?}", node, rules[node as usize], up);
        }
    }
}
