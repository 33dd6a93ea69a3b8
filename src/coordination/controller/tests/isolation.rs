//! Tests of how long a controller has to seem isolated before it counts as isolated.

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
fn one_observation_to_the_contrary_starts_anew() {
    let mut detector = IsolationDetector::default();
    detector.observe(Millis(1_000), true);
    detector.observe(Millis(2_000), false);
    assert!(!detector.is_isolated(Millis(10_000)));
    detector.observe(Millis(3_000), true);
    assert!(!detector.is_isolated(Millis(3_000 + ISOLATED_AFTER_MS)));
    assert!(detector.is_isolated(Millis(3_001 + ISOLATED_AFTER_MS)));
}
