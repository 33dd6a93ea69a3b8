//! How often a task is tried, how long it waits in between, and what it leaves as evidence.

use serde::{Deserialize, Serialize};

/// Tries of a task and the waits between them; times in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Retry {
    pub tries: u32,
    pub wait_ms: u64,
    pub most_wait_ms: u64,
}

impl Default for Retry {
    fn default() -> Retry {
        Retry { tries: 1, wait_ms: 1_000, most_wait_ms: 60_000 }
    }
}

impl Retry {
    /// The wait after the `nth` failure (from 1): doubled each time up to the bound, then by as much as half of it
    /// shorter, so that tasks that failed together do not come back together. `chance`: 0 to 1.
    pub fn wait(&self, nth: u32, chance: f64) -> u64 {
        let doublings = nth.saturating_sub(1).min(40);
        let full = self.wait_ms.saturating_mul(1 << doublings).min(self.most_wait_ms);
        full - (full as f64 / 2.0 * chance.clamp(0.0, 1.0)) as u64
    }
}

/// One try that failed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Failure {
    #[serde(rename = "a")]
    pub attempt: u64,
    #[serde(rename = "m")]
    pub machine: String,
    #[serde(rename = "c")]
    pub cause: String,
}

/// Failures kept as evidence, the last ones.
pub const EVIDENCE: usize = 3;

/// The failures of one task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Tries {
    #[serde(rename = "n")]
    pub failures: u32,
    #[serde(rename = "last")]
    pub evidence: Vec<Failure>,
}

/// What follows from a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum After {
    /// It was counted before.
    Known,
    Retry,
    /// The tries are used up.
    Final,
}

impl Tries {
    /// Is a failure of this attempt certainly counted, or too old to count?
    pub fn covers(&self, attempt: u64) -> bool {
        self.evidence.last().is_some_and(|last| attempt <= last.attempt)
    }

    /// An attempt has failed. Reports are repeated, so each attempt counts once: attempts rise, so that one that is
    /// not newer than the last that counted is known or too late to matter.
    pub fn failed(&mut self, failure: Failure, retry: &Retry) -> After {
        if self.covers(failure.attempt) {
            return After::Known;
        }
        self.failures += 1;
        if self.evidence.len() == EVIDENCE {
            self.evidence.remove(0);
        }
        self.evidence.push(failure);
        if self.used_up(retry) { After::Final } else { After::Retry }
    }

    pub fn used_up(&self, retry: &Retry) -> bool {
        self.failures >= retry.tries.max(1)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn waits_double_up_to_a_bound_and_vary_by_half() {
        let retry = Retry { tries: 9, wait_ms: 1_000, most_wait_ms: 10_000 };
        let waits = |chance| [1, 2, 3, 4, 5, 60].map(|nth| retry.wait(nth, chance));
        assert_eq!(waits(0.0), [1_000, 2_000, 4_000, 8_000, 10_000, 10_000]);
        assert_eq!(waits(1.0), [500, 1_000, 2_000, 4_000, 5_000, 5_000]);
    }

    #[test]
    fn an_attempt_counts_once_and_the_last_ones_are_kept() {
        let retry = Retry { tries: 5, ..Retry::default() };
        let failure = |attempt| Failure { attempt, machine: "m".into(), cause: "error".into() };
        let mut tries = Tries::default();
        for attempt in [7, 8, 9, 10] {
            assert_eq!(tries.failed(failure(attempt), &retry), After::Retry);
            assert_eq!(tries.failed(failure(attempt), &retry), After::Known);
            assert_eq!(tries.failed(failure(7), &retry), After::Known);
        }
        assert_eq!(tries.evidence.iter().map(|one| one.attempt).collect::<Vec<_>>(), [8, 9, 10]);
        assert_eq!(tries.failed(failure(11), &retry), After::Final);
    }
}
