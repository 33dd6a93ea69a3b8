//! Tests of `progress`.

use super::*;

fn progress(nodes: u32, edges: &[(u32, u32)], rules: &[(u32, TriggerRule)]) -> DagProgress {
    let topology = Arc::new(DagTopology::new(nodes, edges).expect("no cycle"));
    let mut node_rules = vec![TriggerRule::AllSuccess; nodes as usize];
    rules.iter().for_each(|(node, rule)| node_rules[*node as usize] = *rule);
    DagProgress::new(topology, node_rules.into(), Arc::default())
}

fn ready(changes: ProgressChanges) -> Vec<u32> {
    changes.ready.into_iter().map(|node| node.0).collect()
}

/// A node with the rule `one_failed` becomes ready at the first failure, and no further failure makes it ready again.
#[test]
fn one_failed_makes_its_node_ready_once() {
    let mut run = progress(3, &[(0, 2), (1, 2)], &[(2, TriggerRule::OneFailed)]);
    assert_eq!(ready(run.activate()), [0, 1]);
    assert_eq!(ready(run.record_outcome(NodeIx(0), NodeOutcome::Failed, None)), [2]);
    assert_eq!(ready(run.record_outcome(NodeIx(1), NodeOutcome::Failed, None)), []);
    assert_eq!(ready(run.record_outcome(NodeIx(0), NodeOutcome::Failed, None)), [], "an outcome counts once");
    run.record_outcome(NodeIx(2), NodeOutcome::Success, None);
    assert!(run.is_finished() && run.is_successful(), "the only leaf succeeded");
}

/// One call returns the outcomes of all nodes that can no longer run, up to its limit, so that one transaction can
/// write them.
#[test]
fn a_failure_propagates_to_the_leaves() {
    let edges: Vec<(u32, u32)> = (0..99).map(|node| (node, node + 1)).collect();
    let mut run = progress(100, &edges, &[]);
    run.activate();
    run.record_outcome(NodeIx(0), NodeOutcome::Failed, None);
    let outcomes = run.outcomes_to_write(1000);
    assert_eq!(outcomes.len(), 99);
    assert!(outcomes.iter().all(|(_, outcome)| *outcome == NodeOutcome::UpstreamFailed));
    assert!(outcomes.is_sorted());
    assert_eq!(run.outcomes_to_write(7), outcomes[..7]);
    for (node, outcome) in outcomes {
        assert_eq!(ready(run.record_outcome(node, outcome, None)), []);
    }
    assert!(run.is_finished() && !run.is_successful());
}

/// A mapped node runs over the list of its source; it is skipped if the list is empty, and ends as `upstream_failed` if
/// there is no list.
#[test]
fn mapped_nodes_run_over_their_lists() {
    let topology = Arc::new(DagTopology::new(4, &[(0, 1), (0, 2), (0, 3)]).expect("no cycle"));
    let mapped = Arc::new(BTreeMap::from([(NodeIx(1), NodeIx(0)), (NodeIx(2), NodeIx(0))]));
    for (list_len, expected_ready, expected_outcome) in [
        (Some(5_000), vec![1, 2, 3], None),
        (Some(0), vec![3], Some(NodeOutcome::Skipped)),
        (None, vec![3], Some(NodeOutcome::UpstreamFailed)),
    ] {
        let mut run =
            DagProgress::new(topology.clone(), vec![TriggerRule::AllSuccess; 4].into(), mapped.clone());
        run.activate();
        assert_eq!(ready(run.record_outcome(NodeIx(0), NodeOutcome::Success, list_len)), expected_ready);
        assert_eq!(run.map_len(NodeIx(1)), list_len);
        assert_eq!(run.outcomes_to_write(9).first().map(|(_, outcome)| *outcome), expected_outcome);
    }
}
