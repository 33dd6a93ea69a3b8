//! A bounded model check: every interleaving of starts, finishes, failures, retries, cancellations, takeovers and late
//! reports of small graphs, breadth first over the transition function. What is durable and what a leader only
//! remembers are kept apart, as in the service. It is shown to find a mistake that is built in on purpose.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::sync::Arc;

use olivelatch_graph::{After, Failure, NodeIx, Outcome, Progress, Retry, Rule, Shape, Tries};
use proptest::prelude::*;

const TRIES: u32 = 2;

/// Mistakes to be found.
#[derive(Clone, Copy, PartialEq)]
enum Mistake {
    None,
    /// A late report of success counts although the node has an end.
    LateCounts,
    /// A node starts as soon as one of those before it has ended.
    Early,
    /// A takeover forgets the failures that were counted.
    ForgetsTries,
}

/// What the leader remembers of a node.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum Held {
    Idle,
    Runs(u64),
    RetryWait,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct State {
    /// Durable: ends, failures, the run's cancellation.
    ends: BTreeMap<u32, Outcome>,
    tries: Vec<Tries>,
    cancelled: bool,
    /// The leader's.
    held: Vec<Held>,
    /// Attempts that were started, by node, and may still report.
    attempts: Vec<u64>,
    starts: u8,
    takeovers: u8,
}

struct Model {
    shape: Arc<Shape>,
    rules: Arc<[Rule]>,
    mistake: Mistake,
}

impl Model {
    fn first(&self) -> State {
        let nodes = self.shape.len() as usize;
        State {
            ends: BTreeMap::new(),
            tries: vec![Tries::default(); nodes],
            cancelled: false,
            held: vec![Held::Idle; nodes],
            attempts: vec![0; nodes],
            starts: 0,
            takeovers: 0,
        }
    }

    fn progress(&self, state: &State) -> Progress {
        let mut progress = Progress::new(self.shape.clone(), self.rules.clone(), Arc::default());
        for (node, outcome) in &state.ends {
            progress.ended(NodeIx(*node), *outcome, None);
        }
        progress.activate();
        progress
    }

    fn startable(&self, state: &State, progress: &Progress, node: u32) -> bool {
        let held = state.held[node as usize] == Held::Idle;
        let ready = progress.ready().contains(node);
        let early = self.mistake == Mistake::Early
            && progress.open().contains(node)
            && (0..self.shape.len()).any(|up| {
                state.ends.contains_key(&up) && self.shape.down(NodeIx(up)).any(|down| down.0 == node)
            });
        held && !state.cancelled && (ready || early)
    }

    fn end(&self, state: &mut State, node: u32, outcome: Outcome) {
        let late = self.mistake == Mistake::LateCounts && outcome == Outcome::Success;
        if late {
            state.ends.insert(node, outcome);
        } else {
            state.ends.entry(node).or_insert(outcome);
        }
        state.held[node as usize] = Held::Idle;
    }

    fn next(&self, state: &State) -> Vec<State> {
        let mut all = Vec::new();
        let progress = self.progress(state);
        for node in 0..self.shape.len() {
            let at = node as usize;
            if self.startable(state, &progress, node) {
                let mut next = state.clone();
                next.attempts[at] += 1;
                next.held[at] = Held::Runs(next.attempts[at]);
                next.starts += 1;
                all.push(next);
            }
            if let Held::Runs(attempt) = state.held[at] {
                let mut done = state.clone();
                self.end(&mut done, node, Outcome::Success);
                all.push(done);
                all.push(self.fail(state, node, attempt));
            }
            if state.held[at] == Held::RetryWait {
                let mut next = state.clone();
                next.held[at] = Held::Idle;
                all.push(next);
            }
            // A report of an attempt that the leader has given up on, or that was counted.
            if state.attempts[at] > 0 && state.ends.contains_key(&node) {
                let mut late = state.clone();
                self.end(&mut late, node, Outcome::Success);
                all.push(late);
                all.push(self.fail(state, node, state.attempts[at]));
            }
        }
        for most in [1, 4] {
            let mut next = state.clone();
            for (node, outcome) in progress.to_write(most) {
                if !state.cancelled {
                    self.end(&mut next, node.0, outcome);
                }
            }
            all.push(next);
        }
        if state.cancelled {
            let mut next = state.clone();
            if let Some(node) = progress.open().min() {
                self.end(&mut next, node, Outcome::Cancelled);
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
            for held in next.held.iter_mut().filter(|held| **held == Held::RetryWait) {
                *held = Held::Idle;
            }
            if self.mistake == Mistake::ForgetsTries {
                next.tries.fill(Tries::default());
            }
            all.push(next);
        }
        all.retain(|next| next != state);
        all
    }

    fn fail(&self, state: &State, node: u32, attempt: u64) -> State {
        let mut next = state.clone();
        let retry = Retry { tries: TRIES, ..Retry::default() };
        let failure = Failure { attempt, machine: String::new(), cause: String::new() };
        if next.ends.contains_key(&node) {
            return next;
        }
        match next.tries[node as usize].failed(failure, &retry) {
            After::Final => self.end(&mut next, node, Outcome::Failed),
            After::Retry => next.held[node as usize] = Held::RetryWait,
            After::Known => {}
        }
        next
    }

    /// What must hold of every step.
    fn wrong(&self, before: &State, after: &State) -> Option<String> {
        for (node, outcome) in &before.ends {
            if after.ends.get(node) != Some(outcome) {
                return Some(format!(
                    "the end of {node} changed from {outcome:?} to {:?}",
                    after.ends.get(node)
                ));
            }
        }
        let progress = self.progress(before);
        for node in 0..self.shape.len() {
            let at = node as usize;
            let started = after.attempts[at] > before.attempts[at];
            if started && !progress.ready().contains(node) {
                return Some(format!("{node} started before its rule held"));
            }
            if after.attempts[at] > u64::from(TRIES) {
                return Some(format!("{node} was tried {} times", after.attempts[at]));
            }
        }
        None
    }

    /// All states that can be reached; Err says what went wrong.
    fn explore(&self) -> Result<usize, String> {
        let mut seen = HashSet::from([self.first()]);
        let mut queue = VecDeque::from([self.first()]);
        let mut finals = 0;
        while let Some(state) = queue.pop_front() {
            let nexts = self.next(&state);
            if state.ends.len() == self.shape.len() as usize {
                finals += 1;
            } else if nexts.is_empty() {
                return Err(format!("stuck with ends {:?}", state.ends));
            }
            for next in nexts {
                if let Some(wrong) = self.wrong(&state, &next) {
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
        let mut state = self.first();
        for _ in 0..200 {
            if state.ends.len() == self.shape.len() as usize {
                return Ok(());
            }
            let nexts = self.next(&state);
            let good = |next: &&State| !next.cancelled && next.takeovers == 0;
            let Some(next) = nexts.iter().find(good) else { return Err("stuck".into()) };
            state = next.clone();
        }
        Err("it goes on for ever".into())
    }
}

fn model(nodes: u32, edges: &[(u32, u32)], rules: &[Rule], mistake: Mistake) -> Model {
    let shape = Arc::new(Shape::new(nodes, edges).expect("no cycle"));
    Model { shape, rules: rules.into(), mistake }
}

/// Graphs of three nodes with every rule at the last one, and the diamond of four.
#[test]
fn every_interleaving_of_small_graphs_ends_as_it_must() {
    let mut states = 0;
    for rule in Rule::ALL {
        for edges in [&[(0, 2), (1, 2)][..], &[(0, 1), (1, 2)], &[(0, 1), (0, 2)]] {
            let model = model(3, edges, &[Rule::AllSuccess, Rule::AllSuccess, rule], Mistake::None);
            states += model.explore().unwrap_or_else(|wrong| panic!("{rule:?} {edges:?}: {wrong}"));
            model.ends_by_itself().unwrap_or_else(|wrong| panic!("{rule:?} {edges:?}: {wrong}"));
        }
    }
    let diamond = [(0, 1), (0, 2), (1, 3), (2, 3)];
    let rules = [Rule::AllSuccess, Rule::AllSuccess, Rule::AllDone, Rule::OneFailed];
    states += model(4, &diamond, &rules, Mistake::None).explore().expect("the diamond");
    assert!(states > 10_000, "only {states} states were looked at");
}

#[test]
fn mistakes_that_are_built_in_are_found() {
    for (mistake, found) in [
        (Mistake::LateCounts, "the end of"),
        (Mistake::Early, "started before its rule held"),
        (Mistake::ForgetsTries, "was tried"),
    ] {
        let model = model(3, &[(0, 2), (1, 2)], &[Rule::AllSuccess; 3], mistake);
        let wrong = model.explore().expect_err("a mistake");
        assert!(wrong.contains(found), "{wrong}");
    }
}

/// What a rule says from scratch, written as its description reads.
fn naive(rule: Rule, ends: &[Option<Outcome>]) -> Option<bool> {
    let failed = ends.iter().flatten().filter(|end| end.counts_as_failed()).count();
    let good = ends.iter().flatten().filter(|end| **end == Outcome::Success).count();
    let all = ends.iter().all(Option::is_some);
    match rule {
        Rule::AllSuccess => all.then_some(good == ends.len()),
        Rule::AllFailed => all.then_some(failed == ends.len()),
        Rule::AllDone => all.then_some(true),
        Rule::OneSuccess => {
            if good > 0 {
                Some(true)
            } else {
                all.then_some(false)
            }
        }
        Rule::OneFailed => {
            if failed > 0 {
                Some(true)
            } else {
                all.then_some(false)
            }
        }
        Rule::NoneFailed => all.then_some(failed == 0),
        Rule::NoneFailedMinOneSuccess => all.then_some(failed == 0 && good > 0),
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
        let rules: Vec<Rule> = (0..nodes).map(|_| Rule::ALL[chance(7) as usize]).collect();
        let shape = Arc::new(Shape::new(nodes, &edges).expect("edges go up"));
        let mut run = Progress::new(shape.clone(), rules.clone().into(), Arc::default());
        let mut ends: BTreeMap<u32, Outcome> = BTreeMap::new();
        let mut ready: Vec<u32> = run.activate().ready.into_iter().map(|node| node.0).collect();
        let mut started: Vec<u32> = ready.clone();
        while !run.over() {
            let take_due = run.has_to_write() && (ready.is_empty() || chance(2) == 0);
            let (node, outcome) = if take_due {
                let (node, outcome) = run.to_write(1)[0];
                (node.0, outcome)
            } else {
                prop_assert!(!ready.is_empty(), "stuck");
                let at = chance(ready.len() as u32) as usize;
                let outcome = [Outcome::Success, Outcome::Failed, Outcome::Cancelled][chance(3) as usize];
                (ready.swap_remove(at), outcome)
            };
            ends.insert(node, outcome);
            let new: Vec<u32> = run.ended(NodeIx(node), outcome, None).ready.into_iter().map(|n| n.0).collect();
            started.extend(&new);
            ready.extend(new);
            let mut again = Progress::new(shape.clone(), rules.clone().into(), Arc::default());
            ends.iter().for_each(|(node, outcome)| { again.ended(NodeIx(*node), *outcome, None); });
            again.activate();
            prop_assert_eq!(again.ready(), run.ready());
            prop_assert_eq!(again.to_write(99), run.to_write(99));
        }
        started.sort_unstable();
        let before = started.len();
        started.dedup();
        prop_assert_eq!(before, started.len(), "a node became ready twice");
        for node in 0..nodes {
            let up: Vec<Option<Outcome>> =
                edges.iter().filter(|(_, to)| *to == node).map(|(from, _)| ends.get(from).copied()).collect();
            let runs = up.is_empty() || naive(rules[node as usize], &up) == Some(true);
            prop_assert_eq!(started.contains(&node), runs, "node {} with {:?} of {:?}", node, rules[node as usize], up);
        }
    }
}
