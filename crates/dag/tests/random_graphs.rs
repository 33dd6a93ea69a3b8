//! Compares the progress of runs of random graphs with the definitions of the trigger rules.

use std::collections::BTreeMap;
use std::sync::Arc;

use olivelatch_dag::{DagProgress, DagTopology, NodeIx, NodeOutcome, TriggerRule};
use proptest::prelude::*;

/// Returns whether a node runs by the definition of its trigger rule, or `None` if that is not known yet.
fn naive_decision(rule: TriggerRule, outcomes: &[Option<NodeOutcome>]) -> Option<bool> {
    let failed = outcomes.iter().flatten().filter(|outcome| outcome.is_failure()).count();
    let succeeded = outcomes.iter().flatten().filter(|outcome| **outcome == NodeOutcome::Success).count();
    let all_finished = outcomes.iter().all(Option::is_some);
    match rule {
        TriggerRule::AllSuccess => all_finished.then_some(succeeded == outcomes.len()),
        TriggerRule::AllFailed => all_finished.then_some(failed == outcomes.len()),
        TriggerRule::AllDone => all_finished.then_some(true),
        TriggerRule::OneSuccess => {
            if succeeded > 0 {
                Some(true)
            } else {
                all_finished.then_some(false)
            }
        }
        TriggerRule::OneFailed => {
            if failed > 0 {
                Some(true)
            } else {
                all_finished.then_some(false)
            }
        }
        TriggerRule::NoneFailed => all_finished.then_some(failed == 0),
        TriggerRule::NoneFailedMinOneSuccess => all_finished.then_some(failed == 0 && succeeded > 0),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(16), ..ProptestConfig::default() })]

    /// Records outcomes of random graphs in random order. The nodes that run must be those that the definitions of the
    /// trigger rules require. Replaying the outcomes in the order of their keys, as a new leader does, must give the
    /// same state.
    #[test]
    fn progress_agrees_with_the_rules_in_any_order(
        nodes in 2u32..14,
        density in 0.05f64..0.6,
        random_numbers in proptest::collection::vec(0u32..1_000_000, 400),
    ) {
        let mut draw = random_numbers.into_iter().cycle();
        let mut random_below = move |bound: u32| draw.next().unwrap_or(0) % bound;
        let mut edges = Vec::new();
        for to in 1..nodes {
            for from in 0..to {
                if f64::from(random_below(1000)) < density * 1000.0 {
                    edges.push((from, to));
                }
            }
        }
        let rules: Vec<TriggerRule> = (0..nodes).map(|_| TriggerRule::ALL[random_below(7) as usize]).collect();
        let topology = Arc::new(DagTopology::new(nodes, &edges).expect("every edge leads to a later node"));
        let mut run = DagProgress::new(topology.clone(), rules.clone().into(), Arc::default());
        let mut outcomes: BTreeMap<u32, NodeOutcome> = BTreeMap::new();
        let mut ready: Vec<u32> = run.activate().ready.into_iter().map(|node| node.0).collect();
        let mut started: Vec<u32> = ready.clone();
        while !run.is_finished() {
            let write_pending = run.has_outcomes_to_write() && (ready.is_empty() || random_below(2) == 0);
            let (node, outcome) = if write_pending {
                let (node, outcome) = run.outcomes_to_write(1)[0];
                (node.0, outcome)
            } else {
                prop_assert!(!ready.is_empty(), "stuck");
                let position = random_below(ready.len() as u32) as usize;
                let outcome =
                    [NodeOutcome::Success, NodeOutcome::Failed, NodeOutcome::Cancelled][random_below(3) as usize];
                (ready.swap_remove(position), outcome)
            };
            outcomes.insert(node, outcome);
            let changes = run.record_outcome(NodeIx(node), outcome, None);
            let newly_ready: Vec<u32> = changes.ready.into_iter().map(|node| node.0).collect();
            started.extend(&newly_ready);
            ready.extend(newly_ready);
            let mut replayed = DagProgress::new(topology.clone(), rules.clone().into(), Arc::default());
            outcomes.iter().for_each(|(node, outcome)| { replayed.record_outcome(NodeIx(*node), *outcome, None); });
            replayed.activate();
            prop_assert_eq!(replayed.ready(), run.ready());
            prop_assert_eq!(replayed.outcomes_to_write(99), run.outcomes_to_write(99));
        }
        started.sort_unstable();
        let start_count = started.len();
        started.dedup();
        prop_assert_eq!(start_count, started.len(), "a node became ready twice");
        for node in 0..nodes {
            let upstream: Vec<Option<NodeOutcome>> =
                edges.iter().filter(|(_, to)| *to == node).map(|(from, _)| outcomes.get(from).copied()).collect();
            let runs = upstream.is_empty() || naive_decision(rules[node as usize], &upstream) == Some(true);
            prop_assert_eq!(started.contains(&node), runs, "node {} with {:?} of {:?}", node, rules[node as usize], upstream);
        }
    }
}
