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
#[path = "tests/tries.rs"]
mod tests;
