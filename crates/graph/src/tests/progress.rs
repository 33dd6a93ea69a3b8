//! Tests of `progress`.

use super::*;

fn progress(nodes: u32, edges: &[(u32, u32)], rules: &[(u32, Rule)]) -> Progress {
    let shape = Arc::new(Shape::new(nodes, edges).expect("no cycle"));
    let mut all = vec![Rule::AllSuccess; nodes as usize];
    rules.iter().for_each(|(node, rule)| all[*node as usize] = *rule);
    Progress::new(shape, all.into(), Arc::default())
}

fn ready(changes: Changes) -> Vec<u32> {
    changes.ready.into_iter().map(|node| node.0).collect()
}

/// A rule that holds after the first failure makes its node ready once, however many fail after it.
#[test]
fn one_failed_fires_once() {
    let mut run = progress(3, &[(0, 2), (1, 2)], &[(2, Rule::OneFailed)]);
    assert_eq!(ready(run.activate()), [0, 1]);
    assert_eq!(ready(run.ended(NodeIx(0), Outcome::Failed, None)), [2]);
    assert_eq!(ready(run.ended(NodeIx(1), Outcome::Failed, None)), []);
    assert_eq!(ready(run.ended(NodeIx(0), Outcome::Failed, None)), [], "an end counts once");
    run.ended(NodeIx(2), Outcome::Success, None);
    assert!(run.over() && run.went_well(), "its last node went well");
}

/// What cannot run any more is told to the end of the graph by one transaction, as far as it has room.
#[test]
fn a_failure_is_told_all_the_way_down() {
    let edges: Vec<(u32, u32)> = (0..99).map(|at| (at, at + 1)).collect();
    let mut run = progress(100, &edges, &[]);
    run.activate();
    run.ended(NodeIx(0), Outcome::Failed, None);
    let all = run.to_write(1000);
    assert_eq!(all.len(), 99);
    assert!(all.iter().all(|(_, outcome)| *outcome == Outcome::UpstreamFailed));
    assert!(all.is_sorted());
    assert_eq!(run.to_write(7), all[..7]);
    for (node, outcome) in all {
        assert_eq!(ready(run.ended(node, outcome, None)), []);
    }
    assert!(run.over() && !run.went_well());
}

/// Ready counts the edges touched: a fan-in of many is looked at once each.
#[test]
fn mapped_nodes_run_over_their_lists() {
    let shape = Arc::new(Shape::new(4, &[(0, 1), (0, 2), (0, 3)]).expect("no cycle"));
    let mapped = Arc::new(BTreeMap::from([(NodeIx(1), NodeIx(0)), (NodeIx(2), NodeIx(0))]));
    for (list, one, other) in [
        (Some(5_000), vec![1, 2, 3], None),
        (Some(0), vec![3], Some(Outcome::Skipped)),
        (None, vec![3], Some(Outcome::UpstreamFailed)),
    ] {
        let mut run = Progress::new(shape.clone(), vec![Rule::AllSuccess; 4].into(), mapped.clone());
        run.activate();
        assert_eq!(ready(run.ended(NodeIx(0), Outcome::Success, list)), one);
        assert_eq!(run.mapped_over(NodeIx(1)), list);
        assert_eq!(run.to_write(9).first().map(|(_, outcome)| *outcome), other);
    }
}
