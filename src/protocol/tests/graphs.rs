//! Tests of `graphs`.

use super::*;

#[test]
fn a_large_graph_is_cut_into_parts_that_fit() {
    let node = |at: u32| DagNodeRecord {
        name: format!("node-{at}"),
        job: u64::from(at),
        template: 0,
        mapped_from: None,
    };
    let nodes: Vec<DagNodeRecord> = (0..10_000).map(node).collect();
    let edges: Vec<_> = (1..10_000).map(|at| (at, at - 1, 1)).collect();
    let parts = split_into_parts(Vec::new(), nodes.clone(), edges.clone(), vec![(0, 1, 5)], 3_900);
    let size = |part: &GraphPart| serde_json::to_string(part).map_or(0, |text| text.len());
    assert!(parts.iter().map(size).max().is_some_and(|most| most <= 3_900));
    assert!(parts.len() < 200, "{} parts", parts.len());
    assert_eq!(parts.iter().flat_map(|part| part.nodes.clone()).collect::<Vec<_>>(), nodes);
    assert_eq!(parts.iter().flat_map(|part| part.edges.clone()).collect::<Vec<_>>(), edges);
}

/// Whatever is wrong is answered with what was expected.
#[test]
fn requests_are_read_or_named() {
    let header = br#"{"graph":"nightly","parts":2,"nodes":30}"#;
    let Some(Ok(GraphRouteRequest::Modify(DagRequest::Commit { header, .. }))) =
        parse_graph_request("POST", "graphs/n-1", "", header)
    else {
        panic!("a commit")
    };
    assert_eq!(header.max_active_runs, 1);
    for (method, path, body, status) in [
        ("POST", "graphs/n 1", "{}", 400),
        ("POST", "graphs/n", "{}", 400),
        ("POST", "graphs/n", r#"{"graph":"a/b","parts":1,"nodes":1}"#, 400),
        ("POST", "graphs/n", r#"{"graph":"a","parts":1,"nodes":0}"#, 400),
        ("POST", "graphs/n/parts", r#"{"first":0,"parts":[{"colour":1}]}"#, 400),
        ("POST", "graphs/n/redo", r#"{"from":-1,"parts":1}"#, 400),
        ("DELETE", "graphs/n", "", 405),
        ("GET", "graphs/n/cancel", "", 405),
    ] {
        let answer =
            parse_graph_request(method, path, "", body.as_bytes()).expect("a path").expect_err("refused");
        assert_eq!(answer.status, status, "{method} {path} {body}");
    }
    assert!(parse_graph_request("GET", "graphs/n/colour", "", b"").is_none());
}
