//! Tests of when silent workers indicate a network failure of the leader.

use super::*;

#[test]
fn a_single_silent_worker_does_not_indicate_a_network_failure() {
    assert!(!is_cut_off(1, 1, 1));
    assert!(!is_cut_off(1, 0, 0));
}

#[test]
fn a_controller_is_cut_off_if_all_workers_are_silent() {
    assert!(is_cut_off(2, 2, 0));
    assert!(!is_cut_off(3, 2, 0));
}

#[test]
fn a_controller_is_cut_off_if_enough_silent_workers_report_to_others() {
    assert!(is_cut_off(70, 10, 6), "one in seven is silent, and 60% of those report elsewhere");
    assert!(!is_cut_off(71, 10, 10), "fewer than one in seven are silent");
    assert!(!is_cut_off(70, 10, 5), "fewer than 60% of the silent workers report elsewhere");
}
