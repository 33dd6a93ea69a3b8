//! Tests of `topology`.

use super::*;

#[test]
fn cycles_and_other_errors_are_reported() {
    let cycle = DagTopology::new(5, &[(0, 1), (1, 2), (2, 3), (3, 1), (3, 4)]);
    let Err(TopologyError::Cycle(nodes)) = cycle else { panic!("{cycle:?}") };
    let mut sorted = nodes.clone();
    sorted.sort_unstable();
    assert_eq!(sorted, [1, 2, 3]);
    for pair in 0..3 {
        let edge = (nodes[pair], nodes[(pair + 1) % 3]);
        assert!([(1, 2), (2, 3), (3, 1)].contains(&edge), "{nodes:?} follow the direction of the edges");
    }
    assert_eq!(DagTopology::new(1, &[(0, 0)]), Err(TopologyError::Cycle(vec![0])));
    assert_eq!(DagTopology::new(2, &[(0, 2)]), Err(TopologyError::NoSuchNode { from: 0, to: 2, last: 1 }));
    assert_eq!(DagTopology::new(2, &[(0, 1), (0, 1)]), Err(TopologyError::DuplicateEdge { from: 0, to: 1 }));
}

#[test]
fn paths_layers_and_closures() {
    // Edges: 0 -> 1 -> 3 and 0 -> 2 -> 3; node 4 has none.
    let topology = DagTopology::new(5, &[(0, 1), (0, 2), (1, 3), (2, 3)]).expect("no cycle");
    let weights = [1, 10, 20, 5, 7];
    assert_eq!(topology.downstream_path_weights(|node| weights[node.index()]), [25, 5, 5, 0, 0]);
    assert_eq!(topology.layers(), [0, 1, 1, 2, 0]);
    let closure: Vec<u32> = topology.downstream_closure([NodeIx(2)]).into_iter().map(|node| node.0).collect();
    assert_eq!(closure, [2, 3]);
    assert!(topology.is_leaf(NodeIx(3)) && topology.is_leaf(NodeIx(4)) && !topology.is_leaf(NodeIx(0)));
}
