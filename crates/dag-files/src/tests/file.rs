//! Tests of `file`.

use super::*;

fn parse(text: &str) -> Result<DagFile, DagFileError> {
    DagFile::parse("f.hcl", text, &BTreeMap::new())
}

const EXAMPLE: &str = "graph = \"nightly\"\nrun = \"nightly-{{ day }}\"\nvars {\n  day = \"2026-12-01\"\n  towns = [\"north\", \"south\"]\n}\n\
        defaults {\n  tries = 2\n}\n\
        node \"raw\" {\n  command = [\"true\"]\n}\n\
        node \"balance\" {\n  each = \"towns\"\n  after = [\"raw\"]\n  command = [\"sh\", \"-c\", \"echo {{ item }} {{ index }} ${HOME}\"]\n}\n\
        node \"check\" {\n  each = \"towns\"\n  after = [\"balance-{{ item }}\"]\n  command = [\"true\"]\n  tries = 5\n}\n\
        node \"bills\" {\n  after = [\"balance\"]\n  map = \"raw\"\n  rule = \"none_failed\"\n  command = [\"true\"]\n}\n";

#[test]
fn variables_elements_and_block_labels_are_expanded() {
    let dag_file = parse(EXAMPLE).expect("a graph");
    assert_eq!((dag_file.graph.as_str(), dag_file.run.as_deref()), ("nightly", Some("nightly-2026-12-01")));
    let names: Vec<&str> = dag_file.nodes.iter().map(|node| node.name.as_str()).collect();
    assert_eq!(names, ["raw", "balance-north", "balance-south", "check-north", "check-south", "bills"]);
    let upstream: Vec<&[u32]> = dag_file.nodes.iter().map(|node| node.upstream.as_slice()).collect();
    assert_eq!(upstream, [&[][..], &[0], &[0], &[1], &[2], &[0, 1, 2]]);
    assert_eq!(dag_file.nodes[2].job.command[2], "echo south 1 ${HOME}");
    let max_attempts: Vec<u32> = dag_file.nodes.iter().map(|node| node.attributes.max_attempts).collect();
    assert_eq!(max_attempts, [2, 2, 2, 5, 5, 2]);
    assert_eq!(dag_file.nodes[5].map_source, Some(0));
    let overrides =
        BTreeMap::from([("day".to_string(), "x".to_string()), ("towns".into(), "[\"east\"]".into())]);
    let dag_file = DagFile::parse("f", EXAMPLE, &overrides).expect("a graph");
    assert_eq!((dag_file.run.as_deref(), dag_file.nodes.len()), (Some("nightly-x"), 4));
}

/// Parsing reports each mistake, with its line where it is known, before anything is sent.
#[test]
fn mistakes_are_reported_with_their_lines() {
    let head = "graph = \"g\"\n";
    let node = |name: &str, rest: &str| format!("node \"{name}\" {{\n  command = [\"true\"]\n{rest}}}\n");
    for (text, expected) in [
        (format!("{head}{}", node("a", "  colour = 1\n")), "line 4: node \"a\": unknown field `colour`"),
        (
            format!("{head}{}{}", node("a", ""), node("a", "")),
            "line 5: node \"a\": another node has the same name",
        ),
        (
            format!("{head}{}", node("a", "  after = [\"b\"]\n")),
            "line 4: node \"a\": after: there is no node \"b\"",
        ),
        (
            format!("{head}{}{}", node("a", "  after = [\"b\"]\n"), node("b", "  after = [\"a\"]\n")),
            "the graph has a cycle: ",
        ),
        (
            format!("{head}{}", node("a", "  rule = \"some\"\n")),
            "line 4: node \"a\": rule: expected one of all_success",
        ),
        (format!("{head}{}", node("a", "  dir = \"{{ nothing }}\"\n")), "node \"a\": undefined value"),
        (format!("{head}{}", node("a", "  each = \"nothing\"\n")), "each: expected a list"),
        (head.into(), "the graph has no nodes"),
        ("graph = \"a b\"\n".into(), "expected a name of letters, digits, dots, dashes and underscores"),
        (format!("{head}colour = 1\n"), "line 2: unknown field `colour`"),
        (format!("{head}thing \"a\" {{\n}}\n"), "line 2: expected a node, vars or defaults block"),
        (format!("{head}node \"a\" {{\n"), "f.hcl: "),
    ] {
        let problem = parse(&text).expect_err("a problem").to_string();
        assert!(problem.contains(expected), "{problem}\n  does not contain {expected}");
    }
}
