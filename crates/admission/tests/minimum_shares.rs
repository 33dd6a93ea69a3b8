//! Under any load, each key that has jobs waiting gets its minimum share in any window after the first.

use std::collections::BTreeMap;

use olivelatch_admission::service_window::{ServiceWindow, WaitingShare};
use proptest::prelude::*;

const WINDOW_MS: u64 = 30_000;
const MINIMUM_SHARE: f64 = 0.5;
const STEP_MS: u64 = 100;
const STEPS_PER_WINDOW: f64 = (WINDOW_MS / STEP_MS) as f64;

/// One server gives one unit in each step: to the first key below its minimum share, else to the loudest, as an order by
/// objectives would. Returns what each key got in the last window.
fn simulate(weights: &[u64], loudest: usize, steps: u64, quiet: &[bool]) -> BTreeMap<usize, u64> {
    let mut window = ServiceWindow::new(WINDOW_MS, 0);
    let waiting: Vec<WaitingShare<usize>> = weights
        .iter()
        .enumerate()
        .filter(|(key, _)| !quiet[*key] || *key == loudest)
        .map(|(key, weight)| WaitingShare { key, weight: *weight })
        .collect();
    let mut last = BTreeMap::new();
    for step in 0..steps {
        let now = step * STEP_MS;
        window.advance_to(now);
        let key = window.below_minimum_share(&waiting, MINIMUM_SHARE).first().copied().unwrap_or(loudest);
        window.record(key, 1);
        if now + WINDOW_MS >= steps * STEP_MS {
            *last.entry(key).or_default() += 1;
        }
    }
    last
}

proptest! {
    #[test]
    fn each_waiting_key_gets_its_minimum_share(
        weights in prop::collection::vec(1_u64..20, 2..8),
        loudest in 0_usize..8,
        quiet in prop::collection::vec(any::<bool>(), 8),
    ) {
        let loudest = loudest % weights.len();
        let last = simulate(&weights, loudest, 2_000, &quiet);
        let waiting: Vec<usize> = (0..weights.len()).filter(|key| !quiet[*key] || *key == loudest).collect();
        let total_weight: u64 = waiting.iter().map(|key| weights[*key]).sum();
        for key in waiting {
            let due = MINIMUM_SHARE * STEPS_PER_WINDOW * weights[key] as f64 / total_weight as f64;
            let got = last.get(&key).copied().unwrap_or(0) as f64;
            // The window moves in steps of a sixth.
            prop_assert!(got >= due * 0.8 - 2.0, "{key} got {got} of {due}");
        }
    }

    /// The order above minimum shares is not touched: the loudest keeps all that they leave.
    #[test]
    fn minimum_shares_take_no_more_than_stated(weights in prop::collection::vec(1_u64..20, 2..8)) {
        let last = simulate(&weights, 0, 2_000, &[false; 8]);
        let total_weight: u64 = weights.iter().sum();
        let others_due =
            MINIMUM_SHARE * STEPS_PER_WINDOW * (total_weight - weights[0]) as f64 / total_weight as f64;
        let got = last.get(&0).copied().unwrap_or(0) as f64;
        prop_assert!(got >= STEPS_PER_WINDOW - others_due * 1.25 - 2.0 * weights.len() as f64, "{got}");
    }
}
