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
pub struct ServiceWindow<K> {
    step_ms: u64,
    /// Closed steps, the oldest first.
    closed_steps: VecDeque<BTreeMap<K, u64>>,
    current_step: BTreeMap<K, u64>,
    /// When the present step began, in milliseconds of the caller's clock.
    step_started_ms: u64,
}

/// One that has work waiting, and how much it counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingShare<K> {
    pub key: K,
    pub weight: u64,
}

impl<K: Ord + Copy> ServiceWindow<K> {
    pub fn new(window_ms: u64, now: u64) -> ServiceWindow<K> {
        let step_ms = (window_ms / STEPS as u64).max(1);
        ServiceWindow {
            step_ms,
            closed_steps: VecDeque::new(),
            current_step: BTreeMap::new(),
            step_started_ms: now,
        }
    }

    pub fn record(&mut self, key: K, amount: u64) {
        let given = self.current_step.entry(key).or_default();
        *given = given.saturating_add(amount);
    }

    /// Lets the window move on. A clock that stood still for long empties it.
    pub fn advance_to(&mut self, now: u64) {
        let steps = (now.saturating_sub(self.step_started_ms) / self.step_ms).min(STEPS as u64 + 1);
        for _ in 0..steps {
            self.closed_steps.push_back(std::mem::take(&mut self.current_step));
            if self.closed_steps.len() > STEPS {
                self.closed_steps.pop_front();
            }
        }
        if steps > 0 {
            self.step_started_ms = now - now.saturating_sub(self.step_started_ms) % self.step_ms;
        }
    }

    pub fn total(&self, key: K) -> u64 {
        let steps = self.closed_steps.iter().chain([&self.current_step]).filter_map(|step| step.get(&key));
        steps.fold(0, |all, given| all.saturating_add(*given))
    }

    /// Who of those that wait got less than `floor` (0 to 1) of its weight's part of what all of them got. Where nothing
    /// was given to any, nobody is behind another.
    pub fn below_minimum_share(&self, waiting: &[WaitingShare<K>], minimum_share: f64) -> BTreeSet<K> {
        let weights: u64 = waiting.iter().map(|claim| claim.weight).sum();
        let given: u64 = waiting.iter().fold(0, |all, claim| all.saturating_add(self.total(claim.key)));
        let owed_amount = |claim: &WaitingShare<K>| {
            minimum_share * given as f64 * claim.weight as f64 / weights.max(1) as f64
        };
        let below = waiting.iter().filter(|claim| (self.total(claim.key) as f64) < owed_amount(claim));
        below.map(|claim| claim.key).collect()
    }
}

#[cfg(test)]
#[path = "tests/service_window.rs"]
mod tests;
