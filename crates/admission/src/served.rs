//! What each of several parties has been given lately, and who is far behind its weight.
//!
//! Orders that look at aims alone starve: what has missed them all waits behind whatever comes new, for as long as new work
//! keeps coming. A party that has work waiting is owed a floor, a stated part of its weight among those that wait. Who is
//! below it comes forward until it is not, and no further: the order above the floor is not touched.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The window moves in so many steps.
const STEPS: usize = 6;

/// Amounts given to parties `K` over a sliding window. Memory: at most six entries a party.
#[derive(Debug, Clone)]
pub struct Served<K> {
    step_ms: u64,
    /// Closed steps, the oldest first.
    past: VecDeque<BTreeMap<K, u64>>,
    present: BTreeMap<K, u64>,
    /// When the present step began, in milliseconds of the caller's clock.
    since: u64,
}

/// One that has work waiting, and how much it counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim<K> {
    pub party: K,
    pub weight: u64,
}

impl<K: Ord + Copy> Served<K> {
    pub fn new(window_ms: u64, now: u64) -> Served<K> {
        let step_ms = (window_ms / STEPS as u64).max(1);
        Served { step_ms, past: VecDeque::new(), present: BTreeMap::new(), since: now }
    }

    pub fn give(&mut self, party: K, amount: u64) {
        let given = self.present.entry(party).or_default();
        *given = given.saturating_add(amount);
    }

    /// Lets the window move on. A clock that stood still for long empties it.
    pub fn at(&mut self, now: u64) {
        let steps = (now.saturating_sub(self.since) / self.step_ms).min(STEPS as u64 + 1);
        for _ in 0..steps {
            self.past.push_back(std::mem::take(&mut self.present));
            if self.past.len() > STEPS {
                self.past.pop_front();
            }
        }
        if steps > 0 {
            self.since = now - now.saturating_sub(self.since) % self.step_ms;
        }
    }

    pub fn given(&self, party: K) -> u64 {
        let steps = self.past.iter().chain([&self.present]).filter_map(|step| step.get(&party));
        steps.fold(0, |all, given| all.saturating_add(*given))
    }

    /// Who of those that wait got less than `floor` (0 to 1) of its weight's part of what all of them got. Where nothing
    /// was given to any, nobody is behind another.
    pub fn behind(&self, waiting: &[Claim<K>], floor: f64) -> BTreeSet<K> {
        let weights: u64 = waiting.iter().map(|claim| claim.weight).sum();
        let given: u64 = waiting.iter().fold(0, |all, claim| all.saturating_add(self.given(claim.party)));
        let owed = |claim: &Claim<K>| floor * given as f64 * claim.weight as f64 / weights.max(1) as f64;
        let below = waiting.iter().filter(|claim| (self.given(claim.party) as f64) < owed(claim));
        below.map(|claim| claim.party).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn claims(weights: &[(u32, u64)]) -> Vec<Claim<u32>> {
        weights.iter().map(|(party, weight)| Claim { party: *party, weight: *weight }).collect()
    }

    #[test]
    fn who_got_nothing_comes_forward_until_it_has_its_floor() {
        let mut served = Served::new(60_000, 0);
        served.give(1, 900);
        let waiting = claims(&[(1, 1), (2, 1)]);
        assert_eq!(served.behind(&waiting, 0.5), [2].into());
        served.give(2, 299);
        assert_eq!(served.behind(&waiting, 0.5), [2].into(), "299 of 1,199 is under a quarter");
        served.give(2, 2);
        assert!(served.behind(&waiting, 0.5).is_empty());
    }

    #[test]
    fn what_lies_before_the_window_does_not_count() {
        let mut served = Served::new(60_000, 0);
        served.give(2, 1_000);
        served.at(65_000);
        served.give(1, 10);
        assert_eq!(served.given(2), 1_000, "the step it was given in is still in the window");
        served.at(75_000);
        assert_eq!(served.given(2), 0);
        assert_eq!(served.behind(&claims(&[(1, 1), (2, 1)]), 0.5), [2].into());
    }

    #[test]
    fn weights_decide_who_is_owed_what() {
        let mut served = Served::new(60_000, 0);
        served.give(1, 80);
        served.give(2, 20);
        assert!(served.behind(&claims(&[(1, 3), (2, 1)]), 0.5).is_empty());
        assert_eq!(served.behind(&claims(&[(1, 1), (2, 1)]), 0.5), [2].into());
        assert!(served.behind(&claims(&[(3, 1)]), 0.5).is_empty(), "alone, nobody is behind another");
    }
}
