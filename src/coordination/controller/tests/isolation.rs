//! Tests of how long a controller must seem isolated before it counts as isolated.

use super::*;

#[test]
fn a_controller_is_isolated_once_it_has_seemed_so_for_long_enough() {
    let mut detector = IsolationDetector::default();
    for now in [1_000, 2_000, 2_500] {
        detector.observe(Millis(now), true);
    }
    assert!(!detector.is_isolated(Millis(1_000 + ISOLATED_AFTER_MS)));
    assert!(detector.is_isolated(Millis(1_001 + ISOLATED_AFTER_MS)));
}

#[test]
fn an_observation_of_no_isolation_restarts_the_period() {
    let mut detector = IsolationDetector::default();
    detector.observe(Millis(1_000), true);
    detector.observe(Millis(2_000), false);
    assert!(!detector.is_isolated(Millis(10_000)));
    detector.observe(Millis(3_000), true);
    assert!(!detector.is_isolated(Millis(3_000 + ISOLATED_AFTER_MS)));
    assert!(detector.is_isolated(Millis(3_001 + ISOLATED_AFTER_MS)));
}
