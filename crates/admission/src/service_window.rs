//! How much service each key received recently, and which keys are below their minimum share. Keys stand for what
//! competes for capacity, such as the job classes of teams.
//!
//! Ordering jobs only by their objectives leads to starvation: jobs that have missed their objectives wait behind
//! every new job for as long as new jobs keep arriving. A key with waiting jobs is therefore entitled to a minimum
//! share: a fixed fraction of what it would receive if service were divided among the waiting keys by weight. The key
//! is served first until it has received its minimum share. All other capacity is still assigned in the order of
//! objectives.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Number of steps into which the window is divided.
const STEPS: usize = 6;

/// The service that keys `K` received over a sliding window, in the caller's unit. Memory: at most seven entries per
/// key.
#[derive(Debug, Clone)]
pub struct ServiceWindow<K> {
    step_ms: u64,
    /// Service per key in the completed steps, the oldest step first.
    completed_steps: VecDeque<BTreeMap<K, u64>>,
    /// Service per key in the current step.
    current_step: BTreeMap<K, u64>,
    /// Start of the current step, in milliseconds of the caller's clock.
    step_started_ms: u64,
}

/// A key with waiting jobs, and its weight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingKey<K> {
    /// The key that has waiting jobs.
    pub key: K,
    /// Weight of the key. Minimum shares are proportional to the weights.
    pub weight: u64,
}

impl<K: Ord + Copy> ServiceWindow<K> {
    /// Creates an empty window that starts at `now`, in milliseconds of the caller's clock.
    pub fn new(window_ms: u64, now: u64) -> ServiceWindow<K> {
        ServiceWindow {
            step_ms: (window_ms / STEPS as u64).max(1),
            completed_steps: VecDeque::new(),
            current_step: BTreeMap::new(),
            step_started_ms: now,
        }
    }

    /// Records service that the key received in the current step.
    pub fn record(&mut self, key: K, amount: u64) {
        let served = self.current_step.entry(key).or_default();
        *served = served.saturating_add(amount);
    }

    /// Advances the window to `now`. Advancing by more than the whole window clears it.
    pub fn advance_to(&mut self, now: u64) {
        let elapsed_ms = now.saturating_sub(self.step_started_ms);
        let steps = (elapsed_ms / self.step_ms).min(STEPS as u64 + 1);
        for _ in 0..steps {
            self.completed_steps.push_back(std::mem::take(&mut self.current_step));
            if self.completed_steps.len() > STEPS {
                self.completed_steps.pop_front();
            }
        }
        if steps > 0 {
            self.step_started_ms = now - elapsed_ms % self.step_ms;
        }
    }

    /// Returns the service that the key received within the window.
    pub fn total(&self, key: K) -> u64 {
        let steps = self.completed_steps.iter().chain([&self.current_step]);
        steps.filter_map(|step| step.get(&key)).fold(0, |total, served| total.saturating_add(*served))
    }

    /// Returns the keys that are below their minimum share. A key's minimum share is the service that all waiting keys
    /// received, multiplied by the key's fraction of their total weight and by `minimum_share` (0 to 1). If no waiting
    /// key received any service, none is below its minimum share.
    pub fn below_minimum_share(&self, waiting: &[WaitingKey<K>], minimum_share: f64) -> BTreeSet<K> {
        let total_weight: u64 = waiting.iter().map(|entry| entry.weight).sum();
        let total_service =
            waiting.iter().fold(0_u64, |total, entry| total.saturating_add(self.total(entry.key)));
        let minimum_service = |entry: &WaitingKey<K>| {
            minimum_share * total_service as f64 * entry.weight as f64 / total_weight.max(1) as f64
        };
        let below = waiting.iter().filter(|entry| (self.total(entry.key) as f64) < minimum_service(entry));
        below.map(|entry| entry.key).collect()
    }
}

#[cfg(test)]
#[path = "tests/service_window.rs"]
mod tests;
