//! Tests of `progress`.

use super::*;

fn progress(nodes: u32, edges: &[(u32, u32)], rules: &[(u32, TriggerRule)]) -> DagProgress {
    let shape = Arc::new(DagTopology::new(nodes, edges).expect("no cycle"));
    let mut all = vec![TriggerRule::AllSuccess; nodes as usize];
    rules.iter().for_each(|(node, rule)| all[*node as usize] = *rule);
    DagProgress::new(shape, all.into(), Arc::default())
}

fn ready(changes: ProgressChanges) -> Vec<u32> {
    changes.ready.into_iter().map(|node| node.0).collect()
}

/// A rule that holds after the first failure makes its node ready once, however many fail after it.
#[test]
fn one_failed_fires_once() {
    let mut run = progress(3, &[(0, 2), (1, 2)], &[(2, TriggerRule::OneFailed)]);
    assert_eq!(ready(run.activate()), [0, 1]);
    assert_eq!(ready(run.record_outcome(NodeIx(0), NodeOutcome::Failed, None)), [2]);
    assert_eq!(ready(run.record_outcome(NodeIx(1), NodeOutcome::Failed, None)), []);
    assert_eq!(ready(run.record_outcome(NodeIx(0), NodeOutcome::Failed, None)), [], "an end counts once");
    run.record_outcome(NodeIx(2), NodeOutcome::Success, None);
    assert!(run.is_finished() && run.is_successful(), "its last node went well");
}

/// What cannot run any more is told to the end of the graph by one transaction, as far as it has room.
#[test]
fn a_failure_is_told_all_the_way_down() {
    let edges: Vec<(u32, u32)> = (0..99).map(|at| (at, at + 1)).collect();
    let mut run = progress(100, &edges, &[]);
    run.activate();
    run.record_outcome(NodeIx(0), NodeOutcome::Failed, None);
    let all = run.outcomes_to_write(1000);
    assert_eq!(all.len(), 99);
    assert!(all.iter().all(|(_, outcome)| *outcome == NodeOutcome::UpstreamFailed));
    assert!(all.is_sorted());
    assert_eq!(run.outcomes_to_write(7), all[..7]);
    for (node, outcome) in all {
        assert_eq!(ready(run.record_outcome(node, outcome, None)), []);
    }
    assert!(run.is_finished() && !run.is_successful());
}

/// Ready counts the edges touched: a fan-in of many is looked at once each.
#[test]
fn mapped_nodes_run_over_their_lists() {
    let shape = Arc::new(DagTopology::new(4, &[(0, 1), (0, 2), (0, 3)]).expect("no cycle"));
    let mapped = Arc::new(BTreeMap::from([(NodeIx(1), NodeIx(0)), (NodeIx(2), NodeIx(0))]));
    for (list, one, other) in [
        (Some(5_000), vec![1, 2, 3], None),
        (Some(0), vec![3], Some(NodeOutcome::Skipped)),
        (None, vec![3], Some(NodeOutcome::UpstreamFailed)),
    ] {
        let mut run =
            DagProgress::new(shape.clone(), vec![TriggerRule::AllSuccess; 4].into(), mapped.clone());
        run.activate();
        assert_eq!(ready(run.record_outcome(NodeIx(0), NodeOutcome::Success, list)), one);
        assert_eq!(run.map_len(NodeIx(1)), list);
        assert_eq!(run.outcomes_to_write(9).first().map(|(_, outcome)| *outcome), other);
    }
}
