//! Tests of `trigger_rule`.

use super::*;

/// Checks each rule against every combination of counts (successes, failures, skips) for two upstream nodes.
#[test]
fn every_rule_decides_as_in_the_table() {
    use NodeOutcome::{Skipped, UpstreamFailed};
    use RuleDecision::{End, Run, Wait};
    let (fail, skip) = (End(UpstreamFailed), End(Skipped));
    // The decisions are in the order of `TriggerRule::ALL`.
    let table = [
        ((0, 0, 0), [Wait, Wait, Wait, Wait, Wait, Wait, Wait]),
        ((1, 0, 0), [Wait, skip, Wait, Run, Wait, Wait, Wait]),
        ((0, 1, 0), [fail, Wait, Wait, Wait, Run, fail, fail]),
        ((0, 0, 1), [skip, skip, Wait, Wait, Wait, Wait, Wait]),
        ((2, 0, 0), [Run, skip, Run, Run, skip, Run, Run]),
        ((1, 1, 0), [fail, skip, Run, Run, Run, fail, fail]),
        ((1, 0, 1), [skip, skip, Run, Run, skip, Run, Run]),
        ((0, 2, 0), [fail, Run, Run, fail, Run, fail, fail]),
        ((0, 1, 1), [fail, skip, Run, fail, Run, fail, fail]),
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
