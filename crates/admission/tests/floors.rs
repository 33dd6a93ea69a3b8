//! Over any flood, whoever has work waiting gets its floor, in any window after the first.

use std::collections::BTreeMap;

use olivelatch_admission::served::{Claim, Served};
use proptest::prelude::*;

const WINDOW_MS: u64 = 30_000;
const FLOOR: f64 = 0.5;

/// One server of one unit a step: gives to the first of those behind, else to the loudest, as an order by aims would.
fn play(weights: &[u64], loudest: usize, steps: u64, quiet: &[bool]) -> BTreeMap<usize, u64> {
    let mut served = Served::new(WINDOW_MS, 0);
    let waiting: Vec<Claim<usize>> = weights
        .iter()
        .enumerate()
        .filter(|(party, _)| !quiet[*party] || *party == loudest)
        .map(|(party, weight)| Claim { party, weight: *weight })
        .collect();
    let mut last = BTreeMap::new();
    for step in 0..steps {
        let now = step * 100;
        served.at(now);
        let party = served.behind(&waiting, FLOOR).first().copied().unwrap_or(loudest);
        served.give(party, 1);
        if now + WINDOW_MS >= steps * 100 {
            *last.entry(party).or_default() += 1;
        }
    }
    last
}

proptest! {
    #[test]
    fn each_with_work_waiting_gets_its_floor(
        weights in prop::collection::vec(1_u64..20, 2..8),
        loudest in 0_usize..8,
        quiet in prop::collection::vec(any::<bool>(), 8),
    ) {
        let loudest = loudest % weights.len();
        let last = play(&weights, loudest, 2_000, &quiet);
        let there: Vec<usize> = (0..weights.len()).filter(|at| !quiet[*at] || *at == loudest).collect();
        let all: u64 = there.iter().map(|at| weights[*at]).sum();
        for party in there {
            let owed = FLOOR * 300.0 * weights[party] as f64 / all as f64;
            let got = last.get(&party).copied().unwrap_or(0) as f64;
            // The window moves in steps of a sixth.
            prop_assert!(got >= owed * 0.8 - 2.0, "{party} got {got} of {owed}");
        }
    }

    /// The order above the floor is not touched: the loudest keeps all that the floors leave.
    #[test]
    fn floors_take_no_more_than_they_are(weights in prop::collection::vec(1_u64..20, 2..8)) {
        let last = play(&weights, 0, 2_000, &[false; 8]);
        let all: u64 = weights.iter().sum();
        let floors = FLOOR * 300.0 * (all - weights[0]) as f64 / all as f64;
        let got = last.get(&0).copied().unwrap_or(0) as f64;
        prop_assert!(got >= 300.0 - floors * 1.25 - 2.0 * weights.len() as f64, "{got}");
    }
}
