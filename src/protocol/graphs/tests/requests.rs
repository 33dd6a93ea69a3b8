//! Tests of `requests`.

use super::*;

/// Invalid requests are rejected with the right status code.
#[test]
fn valid_requests_parse_and_invalid_ones_are_rejected() {
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
        let response =
            parse_graph_request(method, path, "", body.as_bytes()).expect("a path").expect_err("a rejection");
        assert_eq!(response.status, status, "{method} {path} {body}");
    }
    assert!(parse_graph_request("GET", "graphs/n/colour", "", b"").is_none());
}
