//! Tests of when the network explains that workers are silent.

use super::*;

#[test]
fn a_single_silent_worker_is_no_sign_of_a_network_failure() {
    assert!(!is_cut_off(1, 1, 1));
    assert!(!is_cut_off(1, 0, 0));
}

#[test]
fn a_controller_is_cut_off_if_all_workers_are_silent() {
    assert!(is_cut_off(2, 2, 0));
    assert!(!is_cut_off(3, 2, 0));
}

#[test]
fn a_controller_is_cut_off_if_enough_silent_workers_reach_another() {
    assert!(is_cut_off(70, 10, 6), "one in seven silent, 60 % of them elsewhere");
    assert!(!is_cut_off(71, 10, 10), "less than one in seven silent");
    assert!(!is_cut_off(70, 10, 5), "less than 60 % of them elsewhere");
}
