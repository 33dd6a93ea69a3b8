//! Tests of `parts`.

use super::*;

#[test]
fn a_large_graph_is_split_into_parts_within_the_size_limit() {
    let node = |index: u32| DagNodeRecord {
        name: format!("node-{index}"),
        job: u64::from(index),
        template: 0,
        mapped_from: None,
    };
    let nodes: Vec<DagNodeRecord> = (0..10_000).map(node).collect();
    let edges: Vec<_> = (1..10_000).map(|index| (index, index - 1, 1)).collect();
    let parts = split_into_parts(Vec::new(), nodes.clone(), edges.clone(), vec![(0, 1, 5)], 3_900);
    let size = |part: &GraphPart| serde_json::to_string(part).map_or(0, |text| text.len());
    assert!(parts.iter().map(size).max().is_some_and(|largest| largest <= 3_900));
    assert!(parts.len() < 200, "{} parts", parts.len());
    assert_eq!(parts.iter().flat_map(|part| part.nodes.clone()).collect::<Vec<_>>(), nodes);
    assert_eq!(parts.iter().flat_map(|part| part.edges.clone()).collect::<Vec<_>>(), edges);
}
