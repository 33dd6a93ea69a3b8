//! Each key with waiting jobs receives its minimum share, and minimum shares take no more capacity than stated, for
//! random weights and sets of waiting keys.

use std::collections::BTreeMap;

use olivelatch_admission::service_window::{ServiceWindow, WaitingKey};
use proptest::prelude::*;

const WINDOW_MS: u64 = 30_000;
const MINIMUM_SHARE: f64 = 0.5;
const STEP_MS: u64 = 100;
const STEPS_PER_WINDOW: f64 = (WINDOW_MS / STEP_MS) as f64;

/// Simulates one server that gives one unit of service per step: to the first key below its minimum share, or else to
/// `preferred`, the key that an order by objectives puts first. Keys with `is_idle` have no waiting jobs, except for
/// `preferred`. Returns the service of each key in the last window.
fn simulate(weights: &[u64], preferred: usize, steps: u64, is_idle: &[bool]) -> BTreeMap<usize, u64> {
    let mut window = ServiceWindow::new(WINDOW_MS, 0);
    let waiting: Vec<WaitingKey<usize>> = weights
        .iter()
        .enumerate()
        .filter(|(key, _)| !is_idle[*key] || *key == preferred)
        .map(|(key, weight)| WaitingKey { key, weight: *weight })
        .collect();
    let mut last_window = BTreeMap::new();
    for step in 0..steps {
        let now = step * STEP_MS;
        window.advance_to(now);
        let key = window.below_minimum_share(&waiting, MINIMUM_SHARE).first().copied().unwrap_or(preferred);
        window.record(key, 1);
        if now + WINDOW_MS >= steps * STEP_MS {
            *last_window.entry(key).or_default() += 1;
        }
    }
    last_window
}

proptest! {
    #[test]
    fn each_waiting_key_gets_its_minimum_share(
        weights in prop::collection::vec(1_u64..20, 2..8),
        preferred in 0_usize..8,
        is_idle in prop::collection::vec(any::<bool>(), 8),
    ) {
        let preferred = preferred % weights.len();
        let last_window = simulate(&weights, preferred, 2_000, &is_idle);
        let waiting: Vec<usize> = (0..weights.len()).filter(|key| !is_idle[*key] || *key == preferred).collect();
        let total_weight: u64 = waiting.iter().map(|key| weights[*key]).sum();
        for key in waiting {
            let minimum = MINIMUM_SHARE * STEPS_PER_WINDOW * weights[key] as f64 / total_weight as f64;
            let received = last_window.get(&key).copied().unwrap_or(0) as f64;
            // The window advances by a sixth of its length at a time, so a key may fall short by up to that fraction.
            prop_assert!(received >= minimum * 0.8 - 2.0, "key {key} received {received}, minimum share {minimum}");
        }
    }

    /// The preferred key receives all service beyond the minimum shares of the others.
    #[test]
    fn minimum_shares_take_no_more_than_stated(weights in prop::collection::vec(1_u64..20, 2..8)) {
        let last_window = simulate(&weights, 0, 2_000, &[false; 8]);
        let total_weight: u64 = weights.iter().sum();
        let others_minimum =
            MINIMUM_SHARE * STEPS_PER_WINDOW * (total_weight - weights[0]) as f64 / total_weight as f64;
        let received = last_window.get(&0).copied().unwrap_or(0) as f64;
        prop_assert!(
            received >= STEPS_PER_WINDOW - others_minimum * 1.25 - 2.0 * weights.len() as f64,
            "received {received}"
        );
    }
}
