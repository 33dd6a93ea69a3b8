//! Tests of `dag`.

use super::*;
use crate::protocol::graphs::DagNodeRecord;

fn part(nodes: &[(&str, u64, Option<u32>)], edges: &[(u32, u32, u32)]) -> GraphPart {
    let spec = serde_json::json!({"uid": "", "jobclass": "c", "owner": "o", "shape": "array", "urgency": "low",
            "pieces": 1, "vcpus": 1.0, "accelerators": 0.0, "memory_gb": 1.0, "bundle": "b", "size_gb": 0.0,
            "together": false, "scatter": false, "loaners": false, "guess_s": 2.0, "snapshot_s": 0.0, "flush_s": 0.0});
    let template = serde_json::from_value(serde_json::json!({ "spec": spec })).expect("a template");
    let row = |(name, job, map): &(&str, u64, Option<u32>)| DagNodeRecord {
        name: (*name).into(),
        job: *job,
        template: 0,
        mapped_from: *map,
    };
    let nodes = nodes.iter().map(row).collect();
    GraphPart { templates: vec![template], nodes, edges: edges.to_vec(), reruns: Vec::new() }
}

fn error_text(nodes: &[(&str, u64, Option<u32>)], edges: &[(u32, u32, u32)]) -> String {
    Dag::from_parts([part(nodes, edges)].iter()).map(|_| ()).expect_err("an error").to_string()
}

#[test]
fn errors_name_the_invalid_part() {
    let abc = [("a", 1, None), ("b", 2, None), ("c", 3, None)];
    let cycle = error_text(&abc, &[(1, 0, 1), (2, 1, 1), (0, 2, 1)]);
    assert!(cycle.contains("cycle: ") && cycle.matches(" -> ").count() == 3, "{cycle}");
    assert!(error_text(&[("a", 1, None), ("a", 2, None)], &[]).contains("two nodes are named a"));
    assert!(error_text(&[("a", 1, None), ("b", 1, None)], &[]).contains("job number 1 is already used"));
    assert!(error_text(&[("a b", 1, None)], &[]).contains("without spaces"));
    assert!(
        error_text(&abc, &[(2, 1, 2)]).contains("only nodes that exist")
            || error_text(&abc, &[(2, 1, 2)]).contains("cycle")
    );
    assert!(error_text(&abc, &[(2, 0, 9)]).contains("only nodes that exist"));
    assert!(error_text(&abc, &[(2, 0, 1), (2, 0, 2)]).contains("edge a -> c is given twice"));
    assert!(error_text(&[("a", 1, None), ("b", 2, Some(0))], &[]).contains("must be directly downstream"));
    assert!(error_text(&[("a", 1_000_000_000_000_000_000, None)], &[]).contains("is not a valid job number"));
}

/// Rerunning only a part of a chain would mix two versions of the data.
#[test]
fn a_rerun_covers_all_downstream_nodes() {
    let dag = Dag::from_parts(
        [part(&[("a", 1, None), ("b", 2, None), ("c", 3, None)], &[(1, 0, 1), (2, 1, 1)])].iter(),
    );
    let dag = dag.expect("a graph");
    assert_eq!(dag.downstream_path_ms, [4000, 2000, 0]);
    let jobs = dag.rerun_jobs(&[(1, 2, 50)]).expect("two nodes");
    assert_eq!(jobs.values().copied().collect::<Vec<_>>(), [JobId(50), JobId(51)]);
    assert!(
        dag.rerun_jobs(&[(1, 1, 50)]).expect_err("c is missing").to_string().contains("node c is downstream")
    );
    for invalid_rows in [&[(1, 9, 50)][..], &[], &[(1, 2, 50), (2, 1, 60)], &[(1, 1, 50), (2, 1, 50)]] {
        assert!(dag.rerun_jobs(invalid_rows).is_err(), "{invalid_rows:?}");
    }
}
