//! Tests of `file`.

use super::*;

fn parse(text: &str) -> Result<DagFile, DagFileError> {
    DagFile::parse("f.hcl", text, &BTreeMap::new())
}

const CHAIN: &str = "graph = \"nightly\"\nrun = \"nightly-{{ day }}\"\nvars {\n  day = \"2026-12-01\"\n  towns = [\"north\", \"south\"]\n}\n\
        defaults {\n  tries = 2\n}\n\
        node \"raw\" {\n  command = [\"true\"]\n}\n\
        node \"balance\" {\n  each = \"towns\"\n  after = [\"raw\"]\n  command = [\"sh\", \"-c\", \"echo {{ item }} {{ index }} ${HOME}\"]\n}\n\
        node \"check\" {\n  each = \"towns\"\n  after = [\"balance-{{ item }}\"]\n  command = [\"true\"]\n  tries = 5\n}\n\
        node \"bills\" {\n  after = [\"balance\"]\n  map = \"raw\"\n  rule = \"none_failed\"\n  command = [\"true\"]\n}\n";

#[test]
fn variables_elements_and_groups_are_filled_in() {
    let flow = parse(CHAIN).expect("a graph");
    assert_eq!((flow.graph.as_str(), flow.run.as_deref()), ("nightly", Some("nightly-2026-12-01")));
    let names: Vec<&str> = flow.nodes.iter().map(|node| node.name.as_str()).collect();
    assert_eq!(names, ["raw", "balance-north", "balance-south", "check-north", "check-south", "bills"]);
    let after: Vec<&[u32]> = flow.nodes.iter().map(|node| node.after.as_slice()).collect();
    assert_eq!(after, [&[][..], &[0], &[0], &[1], &[2], &[0, 1, 2]]);
    assert_eq!(flow.nodes[2].job.command[2], "echo south 1 ${HOME}");
    let tries: Vec<u32> = flow.nodes.iter().map(|node| node.attributes.max_attempts).collect();
    assert_eq!(tries, [2, 2, 2, 5, 5, 2]);
    assert_eq!(flow.nodes[5].map, Some(0));
    let given = BTreeMap::from([("day".to_string(), "x".to_string()), ("towns".into(), "[\"east\"]".into())]);
    let flow = DagFile::parse("f", CHAIN, &given).expect("a graph");
    assert_eq!((flow.run.as_deref(), flow.nodes.len()), (Some("nightly-x"), 4));
}

/// Each mistake is refused with its line, before anything is sent.
#[test]
fn mistakes_are_named_with_their_lines() {
    let head = "graph = \"g\"\n";
    let node = |name: &str, rest: &str| format!("node \"{name}\" {{\n  command = [\"true\"]\n{rest}}}\n");
    for (text, expected) in [
        (format!("{head}{}", node("a", "  colour = 1\n")), "line 4: node \"a\": unknown field `colour`"),
        (
            format!("{head}{}{}", node("a", ""), node("a", "")),
            "line 5: node \"a\": another node has that name",
        ),
        (
            format!("{head}{}", node("a", "  after = [\"b\"]\n")),
            "line 4: node \"a\": after: there is no node \"b\"",
        ),
        (
            format!("{head}{}{}", node("a", "  after = [\"b\"]\n"), node("b", "  after = [\"a\"]\n")),
            "in a circle: ",
        ),
        (
            format!("{head}{}", node("a", "  rule = \"some\"\n")),
            "line 4: node \"a\": rule: expected one of all_success",
        ),
        (format!("{head}{}", node("a", "  dir = \"{{ nothing }}\"\n")), "node \"a\": undefined value"),
        (format!("{head}{}", node("a", "  each = \"nothing\"\n")), "each: expected a list"),
        (head.into(), "no nodes"),
        ("graph = \"a b\"\n".into(), "expected a name like nightly"),
        (format!("{head}colour = 1\n"), "line 2: unknown field `colour`"),
        (format!("{head}thing \"a\" {{\n}}\n"), "line 2: expected node, vars or defaults"),
        (format!("{head}node \"a\" {{\n"), "f.hcl: "),
    ] {
        let problem = parse(&text).expect_err("a problem").to_string();
        assert!(problem.contains(expected), "{problem}\n  lacks {expected}");
    }
}
