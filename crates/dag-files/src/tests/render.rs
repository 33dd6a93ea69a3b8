//! Tests of `render`.

use super::*;
use serde_json::json;

fn detail() -> DagRunDetail {
    let node = |name: &str,
                state: &str,
                upstream: &[(u32, u32)],
                estimated_run_s: f64,
                downstream_path_s: f64| {
        json!({"name": name, "job": format!("job-{name}"), "state": state, "rule": "all_success", "after": upstream,
                "tasks": 3, "done": 1, "running": 0, "guess_s": estimated_run_s, "ahead_s": downstream_path_s,
                "evidence": if state == "failed" {
                    json!([{"t": 2, "a": 77, "m": "host-9", "c": "error"}])
                } else { json!([]) }})
    };
    let summary = json!({"run": "r-1", "graph": "nightly", "state": "failed", "nodes": 4,
            "states": {"failed": 1, "success": 2, "waiting": 1}, "accepted_ms": 1, "next_part": 1});
    let nodes = [
        node("a", "success", &[], 2.0, 25.0),
        node("b<c", "failed", &[(0, 1)], 20.0, 5.0),
        node("d", "success", &[(0, 1)], 1.0, 5.0),
        node("e", "waiting", &[(1, 2)], 5.0, 0.0),
    ];
    serde_json::from_value(json!({"node": "n", "row": summary, "first": 0, "nodes": nodes})).expect("a run")
}

#[test]
fn text_shows_layers_states_failures_and_the_critical_path() {
    let detail = detail();
    let text = RunView::new(&detail).expect("a view").render_text();
    for expected in [
        "r-1  of graph nightly: failed",
        "layer 0\n  + a",
        "  x b<c",
        "task 2 attempt 77 on host-9: error",
        "layer 2\n  . e",
        "critical path: a 2 s -> b<c 20 s -> e 5 s (27 s)",
    ] {
        assert!(text.contains(expected), "{text}\n  does not contain {expected}");
    }
}

#[test]
fn dot_and_svg_show_every_node_and_edge() {
    let detail = detail();
    let view = RunView::new(&detail).expect("a view");
    let dot = view.render_dot().expect("DOT");
    assert!(
        dot.contains("n0 -> n1") && dot.contains("n2 -> n3") && dot.matches(" -> ").count() == 4,
        "{dot}"
    );
    let svg = view.render_svg().expect("SVG");
    assert!(svg.contains("b&lt;c") && !svg.contains("b<c"), "{svg}");
    assert_eq!((svg.matches("<rect").count(), svg.matches("<path").count()), (4, 4));
    assert!(svg.starts_with("<svg") && svg.trim_end().ends_with("</svg>"));
}
