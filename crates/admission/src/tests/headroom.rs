//! Tests of headroom for jobs with objectives.

use super::*;

#[test]
fn reserves_capacity_for_the_recent_peak_demand() {
    let mut headroom = Headroom::new(60_000, 0.25);
    assert_eq!(headroom.allowed(), u64::MAX);
    headroom.record_demand(0, 700, 1_000);
    assert_eq!(headroom.allowed(), 300);
    headroom.record_demand(30_000, 100, 1_000);
    assert_eq!(headroom.allowed(), 300, "the peak is reserved in full for half the window");
    headroom.record_demand(45_000, 100, 1_000);
    assert_eq!(headroom.allowed(), 650, "half of the peak is reserved after three quarters of the window");
    headroom.record_demand(61_000, 200, 1_000);
    assert_eq!(headroom.allowed(), 800, "the peak is no longer reserved after the window");
    headroom.record_demand(62_000, 5_000, 1_000);
    assert_eq!(headroom.allowed(), 250, "the minimum share is allowed, however high the demand");
    headroom.record_demand(200_000, 0, 1_000);
    assert_eq!(headroom.allowed(), 1_000);
}

#[test]
fn matches_a_scan_of_all_demands_in_the_window() {
    let mut headroom = Headroom::new(5, 0.0);
    let demands: Vec<u64> = (0..200u64).map(|now| now * now * 7919 % 101).collect();
    for (now, demand) in demands.iter().enumerate() {
        headroom.record_demand(now as u64, *demand, 1_000);
        let weight = |age: usize| (2.0 * (1.0 - age as f64 / 5.0)).min(1.0);
        let weighted = |age: usize| (demands[now - age] as f64 * weight(age)) as u64;
        let reserved = (0..=now.min(5)).map(weighted).max().unwrap_or(0);
        assert_eq!(headroom.allowed(), 1_000 - reserved);
    }
}
