//! Tests of `trigger_rule`.

use super::*;

/// The whole table for two upstream nodes: successes, failures, skips so far, and what each rule decides.
#[test]
fn every_rule_decides_as_in_the_table() {
    use NodeOutcome::{Skipped, UpstreamFailed};
    use RuleDecision::{End, Run, Wait};
    let (up, skip) = (End(UpstreamFailed), End(Skipped));
    // In the order of `TriggerRule::ALL`.
    let table = [
        ((0, 0, 0), [Wait, Wait, Wait, Wait, Wait, Wait, Wait]),
        ((1, 0, 0), [Wait, skip, Wait, Run, Wait, Wait, Wait]),
        ((0, 1, 0), [up, Wait, Wait, Wait, Run, up, up]),
        ((0, 0, 1), [skip, skip, Wait, Wait, Wait, Wait, Wait]),
        ((2, 0, 0), [Run, skip, Run, Run, skip, Run, Run]),
        ((1, 1, 0), [up, skip, Run, Run, Run, up, up]),
        ((1, 0, 1), [skip, skip, Run, Run, skip, Run, Run]),
        ((0, 2, 0), [up, Run, Run, up, Run, up, up]),
        ((0, 1, 1), [up, skip, Run, up, Run, up, up]),
        ((0, 0, 2), [skip, skip, Run, skip, skip, Run, skip]),
    ];
    for ((success, failed, skipped), expected) in table {
        let counts = UpstreamCounts { upstream: 2, success, failed, skipped };
        let found = TriggerRule::ALL.map(|rule| rule.decide(&counts));
        assert_eq!(found, expected, "{counts:?}");
    }
    for rule in TriggerRule::ALL {
        assert_eq!(rule.decide(&UpstreamCounts::default()), Run, "a node without upstream nodes runs");
        assert_eq!(TriggerRule::parse(rule.as_str()), Some(rule));
    }
}
