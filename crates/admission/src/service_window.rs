//! How much service each of several keys got recently, and which are below their minimum share.
//!
//! An order by objectives alone starves: jobs that have missed them all wait behind whatever arrives, for as long as new
//! jobs keep arriving. A key that has jobs waiting is due a minimum share: a stated part of its weight among those that
//! wait. It is served first until it has that, and no longer: the order above minimum shares is not touched.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The window advances in this many steps.
const STEPS: usize = 6;

/// Service given to keys `K` over a sliding window. Memory: at most seven entries for each key.
#[derive(Debug, Clone)]
pub struct ServiceWindow<K> {
    step_ms: u64,
    /// The oldest first.
    closed_steps: VecDeque<BTreeMap<K, u64>>,
    current_step: BTreeMap<K, u64>,
    /// When the current step began, in milliseconds of the caller's clock.
    step_started_ms: u64,
}

/// A key that has jobs waiting, and its weight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingShare<K> {
    /// The key.
    pub key: K,
    /// Minimum shares are in proportion to weights.
    pub weight: u64,
}

impl<K: Ord + Copy> ServiceWindow<K> {
    /// An empty window that starts at `now` (milliseconds of the caller's clock).
    pub fn new(window_ms: u64, now: u64) -> ServiceWindow<K> {
        ServiceWindow {
            step_ms: (window_ms / STEPS as u64).max(1),
            closed_steps: VecDeque::new(),
            current_step: BTreeMap::new(),
            step_started_ms: now,
        }
    }

    /// Records service in the current step.
    pub fn record(&mut self, key: K, amount: u64) {
        let served = self.current_step.entry(key).or_default();
        *served = served.saturating_add(amount);
    }

    /// Advances the window. A jump over all of it empties it.
    pub fn advance_to(&mut self, now: u64) {
        let elapsed_ms = now.saturating_sub(self.step_started_ms);
        let steps = (elapsed_ms / self.step_ms).min(STEPS as u64 + 1);
        for _ in 0..steps {
            self.closed_steps.push_back(std::mem::take(&mut self.current_step));
            if self.closed_steps.len() > STEPS {
                self.closed_steps.pop_front();
            }
        }
        if steps > 0 {
            self.step_started_ms = now - elapsed_ms % self.step_ms;
        }
    }

    /// Service that the key got within the window.
    pub fn total(&self, key: K) -> u64 {
        let steps = self.closed_steps.iter().chain([&self.current_step]);
        steps.filter_map(|step| step.get(&key)).fold(0, |total, served| total.saturating_add(*served))
    }

    /// The keys that got less than `minimum_share` (0 to 1) of their weight's part of the service that all waiting ones
    /// got. If none got any, none is below another.
    pub fn below_minimum_share(&self, waiting: &[WaitingShare<K>], minimum_share: f64) -> BTreeSet<K> {
        let total_weight: u64 = waiting.iter().map(|share| share.weight).sum();
        let total_service =
            waiting.iter().fold(0_u64, |total, share| total.saturating_add(self.total(share.key)));
        let due = |share: &WaitingShare<K>| {
            minimum_share * total_service as f64 * share.weight as f64 / total_weight.max(1) as f64
        };
        let below = waiting.iter().filter(|share| (self.total(share.key) as f64) < due(share));
        below.map(|share| share.key).collect()
    }
}

#[cfg(test)]
#[path = "tests/service_window.rs"]
mod tests;
