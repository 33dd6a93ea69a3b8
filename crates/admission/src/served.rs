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
#[path = "tests/served.rs"]
mod tests;
