//! Over any flood, whoever has work waiting gets its floor, in any window after the first.

use std::collections::BTreeMap;

use olivelatch_admission::service_window::{ServiceWindow, WaitingShare};
use proptest::prelude::*;

const WINDOW_MS: u64 = 30_000;
const MINIMUM_SHARE: f64 = 0.5;

/// One server of one unit a step: gives to the first of those behind, else to the loudest, as an order by aims would.
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
        let now = step * 100;
        window.advance_to(now);
        let key = window.below_minimum_share(&waiting, MINIMUM_SHARE).first().copied().unwrap_or(loudest);
        window.record(key, 1);
        if now + WINDOW_MS >= steps * 100 {
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
        let waiting: Vec<usize> = (0..weights.len()).filter(|at| !quiet[*at] || *at == loudest).collect();
        let all: u64 = waiting.iter().map(|at| weights[*at]).sum();
        for party in waiting {
            let owed = MINIMUM_SHARE * 300.0 * weights[party] as f64 / all as f64;
            let got = last.get(&party).copied().unwrap_or(0) as f64;
            // The window moves in steps of a sixth.
            prop_assert!(got >= owed * 0.8 - 2.0, "{party} got {got} of {owed}");
        }
    }

    /// The order above the floor is not touched: the loudest keeps all that the floors leave.
    #[test]
    fn minimum_shares_take_no_more_than_stated(weights in prop::collection::vec(1_u64..20, 2..8)) {
        let last = simulate(&weights, 0, 2_000, &[false; 8]);
        let all: u64 = weights.iter().sum();
        let floors = MINIMUM_SHARE * 300.0 * (all - weights[0]) as f64 / all as f64;
        let got = last.get(&0).copied().unwrap_or(0) as f64;
        prop_assert!(got >= 300.0 - floors * 1.25 - 2.0 * weights.len() as f64, "{got}");
    }
}
