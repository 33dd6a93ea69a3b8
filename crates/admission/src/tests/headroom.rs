//! Tests of `headroom`.

use super::*;

#[test]
fn reserves_room_for_the_recent_peak_demand() {
    let mut headroom = Headroom::new(60_000, 0.25);
    assert_eq!(headroom.allowed(), u64::MAX);
    headroom.record_demand(0, 700, 1_000);
    assert_eq!(headroom.allowed(), 300);
    headroom.record_demand(30_000, 100, 1_000);
    assert_eq!(headroom.allowed(), 300, "all of it for half the window");
    headroom.record_demand(45_000, 100, 1_000);
    assert_eq!(headroom.allowed(), 650, "half of it after three quarters");
    headroom.record_demand(61_000, 200, 1_000);
    assert_eq!(headroom.allowed(), 800, "nothing after the window");
    headroom.record_demand(62_000, 5_000, 1_000);
    assert_eq!(headroom.allowed(), 250, "the floor, however much is asked for");
    headroom.record_demand(200_000, 0, 1_000);
    assert_eq!(headroom.allowed(), 1_000);
}

/// Held against looking at all demands within the window.
#[test]
fn matches_a_scan_of_all_demands_in_the_window() {
    let mut headroom = Headroom::new(5, 0.0);
    let demands: Vec<u64> = (0..200u64).map(|at| at * at * 7919 % 101).collect();
    for (at, demand) in demands.iter().enumerate() {
        headroom.record_demand(at as u64, *demand, 1_000);
        let part = |age: usize| (2.0 * (1.0 - age as f64 / 5.0)).min(1.0);
        let counts = |age: usize| (demands[at - age] as f64 * part(age)) as u64;
        let most = (0..=at.min(5)).map(counts).max().unwrap_or(0);
        assert_eq!(headroom.allowed(), 1_000 - most);
    }
}
