//! Tests of the service window.

use super::*;

fn waiting_keys(weights: &[(u32, u64)]) -> Vec<WaitingKey<u32>> {
    weights.iter().map(|(key, weight)| WaitingKey { key: *key, weight: *weight }).collect()
}

#[test]
fn key_without_service_is_below_until_it_reaches_its_minimum_share() {
    let mut window = ServiceWindow::new(60_000, 0);
    window.record(1, 900);
    let waiting = waiting_keys(&[(1, 1), (2, 1)]);
    assert_eq!(window.below_minimum_share(&waiting, 0.5), [2].into());
    window.record(2, 299);
    assert_eq!(window.below_minimum_share(&waiting, 0.5), [2].into(), "299 of 1,199 is less than a quarter");
    window.record(2, 2);
    assert!(window.below_minimum_share(&waiting, 0.5).is_empty());
}

#[test]
fn service_before_the_window_does_not_count() {
    let mut window = ServiceWindow::new(60_000, 0);
    window.record(2, 1_000);
    window.advance_to(65_000);
    window.record(1, 10);
    assert_eq!(window.total(2), 1_000, "the step with the service is still in the window");
    window.advance_to(75_000);
    assert_eq!(window.total(2), 0);
    assert_eq!(window.below_minimum_share(&waiting_keys(&[(1, 1), (2, 1)]), 0.5), [2].into());
}

#[test]
fn minimum_shares_are_proportional_to_weights() {
    let mut window = ServiceWindow::new(60_000, 0);
    window.record(1, 80);
    window.record(2, 20);
    assert!(window.below_minimum_share(&waiting_keys(&[(1, 3), (2, 1)]), 0.5).is_empty());
    assert_eq!(window.below_minimum_share(&waiting_keys(&[(1, 1), (2, 1)]), 0.5), [2].into());
    assert!(
        window.below_minimum_share(&waiting_keys(&[(3, 1)]), 0.5).is_empty(),
        "the only waiting key is never below its minimum share"
    );
}
